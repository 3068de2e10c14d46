// Highest random weight (rendezvous) hashing. Each object has its own order of preference over the endpoints.
// When an endpoint leaves, only the objects that preferred this endpoint move, each to the next endpoint in
// the object's order.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "irismux/ids.hpp"
#include "routing/endpoint_state.hpp"

namespace irismux::routing {

/// Hashes the bytes of a name with FNV-1a, followed by MurmurHash3's 64-bit finalizer.
std::uint64_t rendezvous_key(const std::string& name);

/// @return weight of an endpoint for an object
std::uint64_t rendezvous_score(std::uint64_t object_key, std::uint64_t endpoint_key);

/// Sorts endpoints by their weight for the object, highest first. Endpoints of equal weight are sorted by id.
std::vector<EndpointState*> rank_by_rendezvous_hash(const ObjectName& object,
                                                    std::vector<EndpointState*> endpoints);

}  // namespace irismux::routing
