#include "endpoint/endpoint_table.hpp"

#include <algorithm>

namespace irismux {

void EndpointTable::apply(const std::vector<std::pair<EndpointUpdate, std::string>>& lines, bool complete) {
    if (complete)
        for (auto& [id, p] : endpoints_) p.update.status = EndpointStatus::removed;
    for (const auto& [listing, address] : lines) {
        Endpoint& p = endpoints_[listing.cache];
        p.update = listing;
        if (!address.empty()) p.address = address;
    }
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        const Endpoint& p = it->second;
        it = p.update.status == EndpointStatus::removed && p.connections.empty() ? endpoints_.erase(it)
                                                                                 : std::next(it);
    }
}

Endpoint* EndpointTable::find(const CacheId& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::is_active(const CacheId& id) const {
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && it->second.update.status == EndpointStatus::active;
}

void EndpointTable::for_each(const std::function<void(Endpoint&)>& visit) {
    for (auto& [id, p] : endpoints_) visit(p);
}

std::size_t EndpointTable::count_at(const LocationId& location) const {
    return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& p) {
        return p.second.update.location == location && p.second.update.status != EndpointStatus::removed;
    }));
}

void EndpointTable::erase_if_removed(const CacheId& id) {
    const auto it = endpoints_.find(id);
    if (it == endpoints_.end() || it->second.update.status != EndpointStatus::removed ||
        !it->second.connections.empty())
        return;
    endpoints_.erase(it);
}

void EndpointTable::add_purge(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object,
                              TimePoint now) {
    purges_.add(at, group, object, now);
}

std::optional<Duration> EndpointTable::max_age_after_purges(const Request& lk, TimePoint now) const {
    const std::optional<TimePoint> at = purges_.newest(lk.object, lk.purge_group, now);
    if (!at) return std::nullopt;
    // Guards against a purge of this very instant, or of a clock that is ahead: none at all would bind there.
    return std::max(now - *at, Duration::micros(1));
}

}  // namespace irismux
