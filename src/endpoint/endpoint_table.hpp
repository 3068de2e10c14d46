// The endpoint list in force, with each endpoint's connections, and the purges. An attempt is checked against
// both right before its first byte is written.
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

/// One endpoint. It is kept while it is listed or connected.
struct Endpoint {
    EndpointUpdate update;  ///< the last one
    std::string address;
    std::vector<std::shared_ptr<CacheConnection>> connections;
};

class EndpointTable {
public:
    /// More purges are merged: they bind at least as strictly as they did.
    static constexpr std::size_t max_purges = PurgeTable::max_purges;

    /// @param purge_retention after this time, twice over, a purge binds no request any more.
    explicit EndpointTable(Duration purge_retention) : purges_(purge_retention) {}

    /// @param complete endpoints that are not named are removed.
    void apply(const std::vector<EndpointRecord>& records, bool complete);
    /// Null if there is no such endpoint. Valid until the next call of apply() or erase_if_removed().
    [[nodiscard]] Endpoint* find(const CacheId& id);
    [[nodiscard]] bool is_active(const CacheId& id) const;
    /// The callback must not change which endpoints there are.
    void for_each(const std::function<void(Endpoint&)>& callback);
    /// How many endpoints are listed for the location.
    [[nodiscard]] std::size_t count_at(const LocationId& location) const;
    /// To be called when an endpoint has lost a connection.
    void erase_if_removed(const CacheId& id);

    /// @param object none: all objects of the group.
    void add_purge(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    [[nodiscard]] std::size_t purge_count() const { return purges_.size(); }
    /// The age from which on no copy may be served, more than zero; none if no purge binds the request.
    [[nodiscard]] std::optional<Duration> max_age_after_purges(const Request& request, TimePoint now) const;

private:
    std::map<CacheId, Endpoint> endpoints_;
    PurgeTable purges_;
};

}  // namespace irismux
