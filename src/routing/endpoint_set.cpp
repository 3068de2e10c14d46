#include "routing/endpoint_set.hpp"

#include <algorithm>

#include "routing/latency.hpp"
#include "routing/rendezvous_hash.hpp"

namespace irismux::routing {

EndpointSet::EndpointSet(const Deployment& deployment)
    : location_(deployment.location),
      parent_machine_(deployment.parent_machine),
      origin_machine_(deployment.origin_machine),
      edge_slow_start_(deployment.edge_slow_start),
      parent_slow_start_(deployment.parent_slow_start),
      initial_response_gap_(longest_latency_objective(deployment)) {}

void EndpointSet::remove_all() {
    for (auto& [id, endpoint] : endpoints_) endpoint.status = EndpointStatus::removed;
}

EndpointState* EndpointSet::apply(const EndpointUpdate& update, TimePoint now) {
    const auto [entry, inserted] = endpoints_.try_emplace(update.cache);
    EndpointState& endpoint = entry->second;
    if (inserted) {
        endpoint.id = update.cache;
        endpoint.rendezvous_key = rendezvous_key(update.cache.raw());
        endpoint.health.mean_response_gap = initial_response_gap_;
        endpoint.health.last_seen = now;
    }
    endpoint.role = role_of(update);
    endpoint.cell = update.cell;
    endpoint.weight = update.weight;
    endpoint.status = update.status;
    endpoint.listed_at = now;
    if (update.status == EndpointStatus::removed || update.started_at == endpoint.started_at) return nullptr;
    endpoint.started_at = update.started_at;
    const bool warmed_up = now - update.started_at >= slow_start_of(endpoint.role).window;
    return endpoint.role == EndpointRole::origin || warmed_up ? nullptr : &endpoint;
}

void EndpointSet::finish_updates(TimePoint now) {
    erase_removed(now);
    edges_.clear();
    parents_.clear();
    origins_.clear();
    for (auto& [id, endpoint] : endpoints_) {
        if (!endpoint.active()) continue;
        if (endpoint.role == EndpointRole::edge) edges_.push_back(&endpoint);
        if (endpoint.role == EndpointRole::parent) parents_.push_back(&endpoint);
        if (endpoint.role == EndpointRole::origin) origins_.push_back(&endpoint);
    }
    max_active_edges_ = std::max(max_active_edges_, active_at_once(EndpointRole::edge, now));
    max_active_parents_ = std::max(max_active_parents_, active_at_once(EndpointRole::parent, now));
}

EndpointState* EndpointSet::find(const CacheId& id) {
    const auto entry = endpoints_.find(id);
    return entry == endpoints_.end() ? nullptr : &entry->second;
}

const std::vector<EndpointState*>& EndpointSet::active(EndpointRole role) const {
    if (role == EndpointRole::edge) return edges_;
    if (role == EndpointRole::parent) return parents_;
    return origins_;
}

std::vector<EndpointState*> EndpointSet::ranked(const ObjectName& object, EndpointRole role) const {
    return rank_by_rendezvous_hash(object, active(role));
}

EndpointRole EndpointSet::role_of(const EndpointUpdate& update) const {
    if (origin_machine_ && update.machine_type == *origin_machine_) return EndpointRole::origin;
    if (parent_machine_ && update.machine_type == *parent_machine_) return EndpointRole::parent;
    return update.location == location_ ? EndpointRole::edge : EndpointRole::other_location;
}

const SlowStart& EndpointSet::slow_start_of(EndpointRole role) const {
    return role == EndpointRole::parent ? parent_slow_start_ : edge_slow_start_;
}

// Counts the endpoints of a role that are active in normal operation. The first list may arrive while
// endpoints are being replaced. In this case the new endpoints are still warming up, so the draining
// endpoints are counted instead of the new endpoints.
std::size_t EndpointSet::active_at_once(EndpointRole role, TimePoint now) const {
    std::size_t active = 0;
    std::size_t before_replacement = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.role != role || endpoint.status == EndpointStatus::removed) continue;
        const bool warmed_up = now - endpoint.started_at >= slow_start_of(role).window;
        if (endpoint.active()) ++active;
        if (!endpoint.active() || warmed_up) ++before_replacement;
    }
    return std::max(active, before_replacement);
}

// Erases removed endpoints, so that endpoints that come and go do not accumulate. An endpoint is kept until
// it would have warmed up: a list may omit the endpoint by mistake, and the transfer time of requests already
// sent to a warming endpoint still counts when the endpoint returns.
void EndpointSet::erase_removed(TimePoint now) {
    const Duration longest_window = std::max(edge_slow_start_.window, parent_slow_start_.window);
    std::erase_if(endpoints_, [&](const auto& entry) {
        const EndpointState& endpoint = entry.second;
        return endpoint.status == EndpointStatus::removed && endpoint.load.in_flight == 0 &&
               now > endpoint.listed_at + longest_window;
    });
}

}  // namespace irismux::routing
