// What a gateway is told once, when it starts. Nothing here decides anything.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

enum class Effect { idempotent, deduplicated, non_idempotent };
enum class DedupScope { all, location, cell };
enum class Siblings { none, location, any };
enum class CacheStatusReporting { none, hits, all };

struct ObjectKind {
    Effect effect = Effect::idempotent;
    DedupScope dedup_scope = DedupScope::all;  // deduplicated kinds: who drops repeats
    Duration dedup_window;                     // deduplicated kinds: for how long
    Duration latency_objective;                // the latency budget
    double latency_objective_stretch = 0;      // it grows by this multiple of the sending time
    Duration deadline;                         // all tries of a client together
    double utility = 1;
    double late_utility_share = 0;  // of the utility, once past the budget
    Duration fresh_for;             // zero: good until purged
    Duration stale_if_error_for;    // how much past fresh a copy may be
    double stale_utility_share = 1;
    bool uncacheable = false;  // runs at the origin
};

struct Capabilities {
    bool cancellation = false;
    bool probes = false;
    bool retry_after = false;
    bool hedged_requests = false;
    bool direct_attempts = false;  // lookups may go to parents and to the origin
    bool coalescing = false;       // a lookup may wait for a fill under way
    Siblings siblings = Siblings::none;
    CacheStatusReporting cache_status = CacheStatusReporting::none;
    int max_attempts = 1;  // for one lookup
    Duration max_retry_after;
};

struct SlowStart {
    double initial_capacity_share = 1;  // share of capacity at the start
    Duration window;                    // the share rises evenly until then, at the slowest
    double overload_multiple = 1;       // of the present capacity, at which it falls over
};

// For the host, not for decisions: how connections to caches are kept.
struct ConnectionSettings {
    Duration connect_timeout;  // one that is not up by then is refused
    Duration idle_timeout;     // an idle one is closed after this
    int max_streams = 1;
};

struct Deployment {
    int gateways = 1;
    int gateways_in_location = 1;  // at this gateway's location
    int locations = 1;             // those that have gateways
    LocationId location;
    std::vector<ObjectKind> kinds;
    std::optional<MachineType> parent_machine;
    std::optional<MachineType> origin_machine;
    Capabilities capabilities;
    bool subscribe_to_endpoints = false;
    bool weights_known = false;
    SlowStart edge_slow_start;
    SlowStart parent_slow_start;
    bool origin_stops_when_overloaded = false;  // it stops for a while when pushed over
    Duration overload_window;
    Duration drain_grace_period;
    Duration purge_grace_period;
    Duration purge_retention;
    Duration timer_resolution;
    ConnectionSettings connections;
    int max_pending_requests = 0;                // lookups at once; 0: not told
    double transfer_rate_kb_per_s = 0;           // top pace of one answer; 0: not told
    double location_link_capacity_kb_per_s = 0;  // this location's link in; 0: not told
    double total_link_capacity_kb_per_s = 0;     // of all locations
};

}  // namespace irismux
