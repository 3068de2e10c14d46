// The current endpoint list with the connections of each endpoint, and the purges in effect. An attempt is
// checked against both right before its first byte is written.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "irismux/endpoint.hpp"
#include "irismux/request.hpp"
#include "routing/purge_table.hpp"

namespace irismux {

class CacheConnection;

/// An endpoint. The table keeps an endpoint while the endpoint list contains it or while it has connections.
struct Endpoint {
    EndpointUpdate update;  ///< the latest update
    std::string address;
    std::vector<std::shared_ptr<CacheConnection>> connections;
};

class EndpointTable {
public:
    /// Maximum number of purges. If there are more, purges are merged, and the merged purge is at least as
    /// strict as the purges that it replaces.
    static constexpr std::size_t max_purges = PurgeTable::max_purges;

    /// @param purge_retention a purge no longer applies to any request after twice this time
    explicit EndpointTable(Duration purge_retention) : purges_(purge_retention) {}

    /// Applies records of the endpoint list.
    /// @param complete the records are the whole list, so endpoints missing from it are removed
    void apply(const std::vector<EndpointRecord>& records, bool complete);
    /// @return null if there is no endpoint with this id. A non-null pointer is valid until the next call of
    /// apply() or erase_if_removed().
    [[nodiscard]] Endpoint* find(const CacheId& id);
    [[nodiscard]] bool is_active(const CacheId& id) const;
    /// Calls the callback for each endpoint. The callback must not add or erase endpoints.
    void for_each(const std::function<void(Endpoint&)>& callback);
    /// @return number of endpoints that the endpoint list contains for the location
    [[nodiscard]] std::size_t count_at(const LocationId& location) const;
    /// Erases an endpoint that is no longer in the endpoint list and has no connections. Must be called when
    /// an endpoint has lost a connection.
    void erase_if_removed(const CacheId& id);

    /// Adds a purge of one object, or of all objects of the group if `object` is not set.
    void add_purge(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    [[nodiscard]] std::size_t purge_count() const { return purges_.size(); }
    /// @return maximum age of a copy that may be served, greater than zero; std::nullopt if no purge applies
    /// to the request
    [[nodiscard]] std::optional<Duration> max_age_after_purges(const Request& request, TimePoint now) const;

private:
    std::map<CacheId, Endpoint> endpoints_;
    PurgeTable purges_;
};

}  // namespace irismux
