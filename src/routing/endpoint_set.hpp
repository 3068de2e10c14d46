// All endpoints of the list, by id and by role.
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

    /// Before a complete list: what it does not name is removed.
    void remove_all();
    /// @return the endpoint, if the update tells of a process that has started and is still warming up.
    EndpointState* apply(const EndpointUpdate& update, TimePoint now);
    /// After the last update of a list.
    void finish_updates(TimePoint now);

    /// Null: not known.
    [[nodiscard]] EndpointState* find(const CacheId& id);
    /// An endpoint with attempts in flight, which is never erased.
    [[nodiscard]] EndpointState& at(const CacheId& id) { return endpoints_.at(id); }
    /// Those that take new requests.
    [[nodiscard]] const std::vector<EndpointState*>& active(EndpointRole role) const;
    /// The same in the object's order of preference.
    [[nodiscard]] std::vector<EndpointState*> ranked(const ObjectName& object, EndpointRole role) const;

    /// The largest number of them that were active at once; at least 1.
    [[nodiscard]] std::size_t most_edges() const { return most_edges_; }
    [[nodiscard]] std::size_t most_parents() const { return most_parents_; }

private:
    [[nodiscard]] EndpointRole role_of(const EndpointUpdate& update) const;
    [[nodiscard]] const SlowStart& slow_start_of(EndpointRole role) const;
    [[nodiscard]] std::size_t active_at_once(EndpointRole role, TimePoint now) const;
    void erase_removed(TimePoint now);

    LocationId location_;
    std::optional<MachineType> parent_machine_, origin_machine_;
    SlowStart edge_slow_start_, parent_slow_start_;
    Duration initial_response_gap_;  // the longest latency objective

    std::map<CacheId, EndpointState> endpoints_;
    std::vector<EndpointState*> edges_, parents_, origins_;  // the active ones
    std::size_t most_edges_ = 1, most_parents_ = 1;
};

}  // namespace irismux::routing
