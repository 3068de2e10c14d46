#include "endpoint/endpoint_table.hpp"

#include <algorithm>

namespace irismux {
namespace {

bool is_listed(const Endpoint& endpoint) { return endpoint.update.status != EndpointStatus::removed; }
bool is_unused(const Endpoint& endpoint) { return !is_listed(endpoint) && endpoint.connections.empty(); }

}  // namespace

void EndpointTable::apply(const std::vector<EndpointRecord>& records, bool complete) {
    if (complete)
        for (auto& [id, endpoint] : endpoints_) endpoint.update.status = EndpointStatus::removed;
    for (const auto& [update, address] : records) {
        Endpoint& endpoint = endpoints_[update.cache];
        endpoint.update = update;
        if (!address.empty()) endpoint.address = address;
    }
    std::erase_if(endpoints_, [](const auto& entry) { return is_unused(entry.second); });
}

Endpoint* EndpointTable::find(const CacheId& id) {
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::is_active(const CacheId& id) const {
    const auto it = endpoints_.find(id);
    return it != endpoints_.end() && it->second.update.status == EndpointStatus::active;
}

void EndpointTable::for_each(const std::function<void(Endpoint&)>& callback) {
    for (auto& [id, endpoint] : endpoints_) callback(endpoint);
}

std::size_t EndpointTable::count_at(const LocationId& location) const {
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
            return entry.second.update.location == location && is_listed(entry.second);
        }));
}

void EndpointTable::erase_if_removed(const CacheId& id) {
    const auto it = endpoints_.find(id);
    if (it != endpoints_.end() && is_unused(it->second)) endpoints_.erase(it);
}

void EndpointTable::add_purge(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object,
                              TimePoint now) {
    purges_.add(at, group, object, now);
}

std::optional<Duration> EndpointTable::max_age_after_purges(const Request& request, TimePoint now) const {
    const std::optional<TimePoint> purged_at = purges_.newest(request.object, request.purge_group, now);
    if (!purged_at) return std::nullopt;
    // A purge at the current time, or from a clock that is ahead, gives an age of zero or less. Zero means
    // that no limit is set, so a purged copy would be served. The returned age is therefore at least the
    // smallest positive duration.
    constexpr Duration min_max_age = Duration::micros(1);
    return std::max(now - *purged_at, min_max_age);
}

}  // namespace irismux
