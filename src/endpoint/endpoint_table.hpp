// The list of caches, parents and origin as last told, and the purges: what a send is checked against when
// its first byte goes out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "irismux/router.hpp"
#include "routing/purge_table.hpp"

namespace irismux {

class CacheConnection;

// The one record a cache.
struct Endpoint {
    EndpointUpdate update;
    std::string address;
    std::vector<std::shared_ptr<CacheConnection>> connections;
};

class EndpointTable {
public:
    explicit EndpointTable(Duration purge_done) : purges_(purge_done) {}

    void apply(const std::vector<std::pair<EndpointUpdate, std::string>>& lines, bool complete);
    Endpoint* find(const CacheId& id);
    bool is_active(const CacheId& id) const;
    void for_each(const std::function<void(Endpoint&)>& visit);
    std::size_t count_at(const LocationId& location) const;
    // Forgets a cache that is gone once nothing is connected to it.
    void erase_if_removed(const CacheId& id);

    static constexpr std::size_t max_purges = PurgeTable::max_purges;

    void add_purge(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    std::size_t purge_count() const { return purges_.size(); }
    // The age that a copy may have at most after the purges so far; none if no purge binds.
    std::optional<Duration> max_age_after_purges(const Request& lk, TimePoint now) const;

private:
    std::map<CacheId, Endpoint> endpoints_;
    PurgeTable purges_;
};

}  // namespace irismux
