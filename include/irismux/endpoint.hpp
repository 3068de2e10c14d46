// The endpoints of a deployment: edge caches, parent caches and the origin.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Status of an endpoint as service discovery reports it.
enum class EndpointStatus {
    active,    ///< takes new requests
    draining,  ///< finishes its current requests and accepts no new requests
    removed    ///< no longer part of the deployment
};

/// Why an endpoint is ejected. An ejected endpoint is not selected until a recovery probe succeeds.
enum class EjectionReason {
    connection_refused,  ///< no connection could be established
    errors,              ///< the endpoint's error rate is an outlier among the rates of its peers
    unresponsive,        ///< the endpoint has not responded for far longer than usual while its peers respond
    deadline_exceeded,   ///< an attempt timed out, and the endpoint has been silent since the attempt began
    source_unreachable   ///< caches could not reach the endpoint as their fill source
};

/// One entry of the endpoint list from service discovery.
struct EndpointUpdate {
    CacheId cache;
    LocationId location;
    MachineType machine_type;  ///< distinguishes parents and the origin from edge caches
    CellId cell;               ///< endpoints of one cell detect each other's duplicate requests
    /// Number of concurrent transfers at full rate that the endpoint's link carries. Valid only if
    /// Deployment::weights_known is set.
    double weight = 1;
    EndpointStatus status = EndpointStatus::active;
    TimePoint started_at;  ///< start time of the endpoint's process; zero: long ago
};

}  // namespace irismux
