// What a gateway is told once, when it starts. Nothing here decides anything. Fields marked "not used by
// decisions" are read so that a configuration is checked whole.
#pragma once

#include <optional>
#include <vector>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// What repeating a request does.
enum class Effect {
    idempotent,     ///< nothing more
    deduplicated,   ///< nothing more, while its idempotency key is remembered (ObjectKind::dedup_window)
    non_idempotent  ///< the effect happens again
};
/// Who remembers idempotency keys together.
enum class DedupScope { all, location, cell };
/// Which caches may serve as each other's fill source. Not used by decisions.
enum class Siblings { none, location, any };
/// For which responses caches report a CacheStatus.
enum class CacheStatusReporting { none, hits, all };

struct ObjectKind {
    Effect effect = Effect::idempotent;
    DedupScope dedup_scope = DedupScope::all;  ///< of deduplicated kinds
    Duration dedup_window;                     ///< of deduplicated kinds: for how long a key is remembered
    Duration latency_objective;                ///< a response later than this is worth less
    double latency_objective_stretch = 0;      ///< multiple of the transfer time that is added to it
    Duration deadline;                         ///< for all attempts of a client together
    double utility = 1;                        ///< of a response in time; not used by decisions
    double late_utility_share = 0;             ///< of `utility`, once late; not used by decisions
    Duration fresh_for;                        ///< age at which a copy becomes stale; zero: never
    Duration stale_if_error_for;     ///< for how long a stale copy may still stand in for a failed source
    double stale_utility_share = 1;  ///< not used by decisions
    bool uncacheable = false;        ///< runs at the origin
};

/// What the protocols of the deployment offer.
struct Capabilities {
    bool cancellation = false;  ///< attempts can be taken back
    bool probes = false;        ///< health checks can be sent
    bool retry_after = false;   ///< clients heed a time to come again
    bool hedged_requests =
        false;  ///< several attempts of one request may be in flight; not used by decisions
    bool direct_attempts = false;  ///< attempts may go straight to parents and to the origin
    bool coalescing = false;       ///< an attempt may wait for a fill under way
    Siblings siblings = Siblings::none;
    CacheStatusReporting cache_status = CacheStatusReporting::none;
    int max_attempts = 1;      ///< of one request
    Duration max_retry_after;  ///< longest time that clients heed
};

/// How the capacity of a restarted endpoint grows.
struct SlowStart {
    double initial_capacity_share = 1;  ///< of full capacity, at the start
    Duration window;                    ///< the share rises evenly to 1 in this time, at the slowest
    double overload_multiple = 1;       ///< load above this multiple of the present capacity stops it
};

/// Limits of connections to caches. Not used by decisions.
struct ConnectionSettings {
    Duration connect_timeout;  ///< a connection that is not up by then counts as refused
    Duration idle_timeout;     ///< an idle connection is closed after this
    int max_streams = 1;       ///< attempts that one connection carries at once
};

struct Deployment {
    int gateways = 1;
    int gateways_in_location = 1;  ///< in this gateway's location
    int locations = 1;             ///< with gateways
    LocationId location;           ///< this gateway's
    std::vector<ObjectKind> kinds;
    std::optional<MachineType> parent_machine;
    std::optional<MachineType> origin_machine;
    Capabilities capabilities;
    bool subscribe_to_endpoints = false;  ///< the endpoint list comes on request only
    bool weights_known = false;           ///< EndpointUpdate::weight is meaningful
    SlowStart edge_slow_start;
    SlowStart parent_slow_start;
    bool origin_stops_when_overloaded = false;  ///< it answers nothing for a while then
    Duration overload_window;                   ///< over which the load of an endpoint is summed
    Duration drain_grace_period;                ///< not used by decisions
    Duration purge_grace_period;                ///< not used by decisions
    Duration purge_retention;                   ///< a purge has reached every copy after this
    Duration timer_resolution;                  ///< timers and reports may be late by this
    ConnectionSettings connections;
    int max_pending_requests = 0;                ///< at once; 0: unlimited
    double transfer_rate_kb_per_s = 0;           ///< highest rate of one transfer; 0: unknown
    double location_link_capacity_kb_per_s = 0;  ///< of the link into this location; 0: unknown
    double total_link_capacity_kb_per_s = 0;     ///< of the links into all locations; 0: unknown
};

}  // namespace irismux
