// The endpoints of a deployment: edge caches, parent caches and the origin.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// What service discovery says of an endpoint.
enum class EndpointStatus {
    active,    ///< takes new requests
    draining,  ///< finishes what it has and takes nothing new
    removed    ///< no longer part of the deployment
};

/// Why an endpoint is ejected: passed over until a recovery probe succeeds.
enum class EjectionReason {
    connection_refused,  ///< no connection came up
    errors,              ///< errors that stand out among its peers
    unresponsive,        ///< silent for far longer than usual while peers respond
    deadline_exceeded,   ///< an attempt ran out of time, and nothing was received since it began
    source_unreachable   ///< caches could not reach it as their fill source
};

/// One entry of the endpoint list, as service discovery announces it.
struct EndpointUpdate {
    CacheId cache;
    LocationId location;
    MachineType machine_type;  ///< tells parents and the origin from edge caches
    CellId cell;               ///< endpoints of one cell drop each other's duplicates
    double weight = 1;         ///< transfers at full rate that its link carries at once; meaningful only
                               ///< with Deployment::weights_known
    EndpointStatus status = EndpointStatus::active;
    TimePoint started_at;  ///< start of its process; zero: long ago
};

}  // namespace irismux
