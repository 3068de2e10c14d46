// Computes latency limits of requests from the latency objectives of their kinds.
#pragma once

#include <algorithm>

#include "irismux/deployment.hpp"

namespace irismux::routing {

/// @return time after which a response is late
/// @param transfer_seconds transfer time of the object at full rate
inline Duration latency_limit(const ObjectKind& kind, double transfer_seconds) {
    return kind.latency_objective + Duration::seconds(transfer_seconds * kind.latency_objective_stretch);
}

/// @return longest latency objective of all kinds; zero if there are no kinds
inline Duration longest_latency_objective(const Deployment& deployment) {
    Duration longest;
    for (const ObjectKind& kind : deployment.kinds) longest = std::max(longest, kind.latency_objective);
    return longest;
}

}  // namespace irismux::routing
