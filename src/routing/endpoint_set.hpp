// The endpoints of the endpoint list, by id and by role.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "irismux/deployment.hpp"
#include "routing/endpoint_state.hpp"

namespace irismux::routing {

class EndpointSet {
public:
    explicit EndpointSet(const Deployment& deployment);

    /// Marks all endpoints as removed. Called before a complete list is applied, so that endpoints missing
    /// from the list stay removed.
    void remove_all();
    /// Applies one update of a list.
    /// @return the endpoint if the update announces a new process that is still warming up, otherwise null
    EndpointState* apply(const EndpointUpdate& update, TimePoint now);
    /// Rebuilds the lists of active endpoints. Called after the last update of a list.
    void finish_updates(TimePoint now);

    /// @return null if there is no endpoint with this id
    [[nodiscard]] EndpointState* find(const CacheId& id);
    /// Returns an endpoint that must exist. An endpoint with attempts in flight always exists, because it is
    /// never erased.
    [[nodiscard]] EndpointState& at(const CacheId& id) { return endpoints_.at(id); }
    /// @return the endpoints of the role that accept new requests
    [[nodiscard]] const std::vector<EndpointState*>& active(EndpointRole role) const;
    /// @return the active endpoints of the role in the object's order of preference
    [[nodiscard]] std::vector<EndpointState*> ranked(const ObjectName& object, EndpointRole role) const;

    /// @return the largest number of edge caches that have been active at the same time, at least 1
    [[nodiscard]] std::size_t max_active_edges() const { return max_active_edges_; }
    /// @return the largest number of parents that have been active at the same time, at least 1
    [[nodiscard]] std::size_t max_active_parents() const { return max_active_parents_; }

private:
    [[nodiscard]] EndpointRole role_of(const EndpointUpdate& update) const;
    [[nodiscard]] const SlowStart& slow_start_of(EndpointRole role) const;
    [[nodiscard]] std::size_t active_at_once(EndpointRole role, TimePoint now) const;
    void erase_removed(TimePoint now);

    LocationId location_;
    std::optional<MachineType> parent_machine_, origin_machine_;
    SlowStart edge_slow_start_, parent_slow_start_;
    Duration initial_response_gap_;  // longest latency objective

    std::map<CacheId, EndpointState> endpoints_;
    std::vector<EndpointState*> edges_, parents_, origins_;  // active endpoints
    std::size_t max_active_edges_ = 1, max_active_parents_ = 1;
};

}  // namespace irismux::routing
