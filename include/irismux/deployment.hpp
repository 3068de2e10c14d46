// The configuration that a gateway receives once, when the gateway starts. This file contains no decisions.
// The router ignores fields marked "not used by decisions". They are read so that the whole configuration is
// validated.
#pragma once

#include <optional>
#include <vector>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Effect of executing a request more than once.
enum class Effect {
    idempotent,  ///< repetition has no further effect
    /// Repetition has no further effect while the caches keep the request's idempotency key
    /// (ObjectKind::dedup_window).
    deduplicated,
    non_idempotent  ///< each execution takes effect
};
/// The set of caches that share their idempotency keys.
enum class DedupScope { all, location, cell };
/// Which other caches a cache may use as its fill source. Not used by decisions.
enum class Siblings { none, location, any };
/// The responses for which caches report a CacheStatus.
enum class CacheStatusReporting { none, hits, all };

struct ObjectKind {
    Effect effect = Effect::idempotent;
    DedupScope dedup_scope = DedupScope::all;  ///< used only for deduplicated kinds
    Duration dedup_window;       ///< how long caches keep a key; used only for deduplicated kinds
    Duration latency_objective;  ///< a response that takes longer has less utility
    /// Multiple of the object's transfer time that is added to `latency_objective`.
    double latency_objective_stretch = 0;
    Duration deadline;              ///< time limit for all attempts of a client together
    double utility = 1;             ///< utility of a response that is not late; not used by decisions
    double late_utility_share = 0;  ///< share of `utility` that a late response has; not used by decisions
    Duration fresh_for;             ///< age at which a copy becomes stale; zero: never
    /// How long after `fresh_for` a stale copy may still be served if the source has failed.
    Duration stale_if_error_for;
    double stale_utility_share = 1;  ///< share of `utility` that a stale response has; not used by decisions
    bool uncacheable = false;        ///< requests of this kind run at the origin
};

/// Features that the protocols of the deployment support.
struct Capabilities {
    bool cancellation = false;  ///< attempts can be cancelled
    bool probes = false;        ///< health checks can be sent
    bool retry_after = false;   ///< clients honour a retry-after time
    /// Several attempts of one request may be in flight at the same time. Not used by decisions.
    bool hedged_requests = false;
    bool direct_attempts = false;  ///< attempts can bypass the caches and go to parents and to the origin
    bool coalescing = false;       ///< an attempt may wait for a fill that another request has started
    Siblings siblings = Siblings::none;
    CacheStatusReporting cache_status = CacheStatusReporting::none;
    int max_attempts = 1;      ///< maximum number of attempts for each request
    Duration max_retry_after;  ///< longest retry-after time that clients honour
};

/// How the capacity of an endpoint grows after a restart.
struct SlowStart {
    double initial_capacity_share = 1;  ///< share of the full capacity at the start
    Duration window;                    ///< longest time until the share, which rises linearly, reaches 1
    double overload_multiple = 1;  ///< load above this multiple of the current capacity stops the endpoint
};

/// Limits of connections to caches. Not used by decisions.
struct ConnectionSettings {
    Duration connect_timeout;  ///< a connection not established within this time counts as refused
    Duration idle_timeout;     ///< an idle connection is closed after this time
    int max_streams = 1;       ///< maximum number of concurrent attempts on one connection
};

struct Deployment {
    int gateways = 1;
    int gateways_in_location = 1;  ///< number of gateways in this gateway's location
    int locations = 1;             ///< number of locations that have gateways
    LocationId location;           ///< location of this gateway
    std::vector<ObjectKind> kinds;
    std::optional<MachineType> parent_machine;
    std::optional<MachineType> origin_machine;
    Capabilities capabilities;
    bool subscribe_to_endpoints = false;  ///< the endpoint list is sent only to subscribers
    bool weights_known = false;           ///< EndpointUpdate::weight is valid
    SlowStart edge_slow_start;
    SlowStart parent_slow_start;
    bool origin_stops_when_overloaded = false;  ///< an overloaded origin stops responding for a while
    Duration overload_window;                   ///< period over which the load of an endpoint is summed
    Duration drain_grace_period;                ///< not used by decisions
    Duration purge_grace_period;                ///< not used by decisions
    Duration purge_retention;                   ///< time after which a purge has reached every copy
    Duration timer_resolution;                  ///< maximum delay of timers and of reports
    ConnectionSettings connections;
    int max_pending_requests = 0;                ///< limit of concurrent requests; 0: unlimited
    double transfer_rate_kb_per_s = 0;           ///< maximum rate of one transfer; 0: unknown
    double location_link_capacity_kb_per_s = 0;  ///< capacity of the link into this location; 0: unknown
    double total_link_capacity_kb_per_s = 0;  ///< total capacity of the links into all locations; 0: unknown
};

}  // namespace irismux
