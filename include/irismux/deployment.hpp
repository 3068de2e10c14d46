// What a gateway is told once, when it starts. Nothing here decides anything.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

enum class Effect { idempotent, deduplicated, side_effecting };
enum class DedupGroup { all, location, cell };
enum class Siblings { none, location, any };
enum class Notes { none, hits, all };

struct ObjectKind {
    Effect effect = Effect::idempotent;
    DedupGroup group = DedupGroup::all;  // deduplicated kinds: who drops repeats
    Span window;                         // deduplicated kinds: for how long
    Span budget;                         // the latency budget
    double budget_stretch = 0;           // it grows by this multiple of the sending time
    Span deadline;                       // all tries of a client together
    double utility = 1;
    double late_share = 0;  // of the utility, once past the budget
    Span fresh;             // zero: good until purged
    Span grace;             // how much past fresh a copy may be
    double stale_share = 1;
    bool uncacheable = false;  // runs at the origin
};

struct Permits {
    bool cancel = false;
    bool probes = false;
    bool retry_after = false;
    bool second_copies = false;
    bool direct = false;  // lookups may go to parents and to the origin
    bool joins = false;   // a lookup may wait for a fill under way
    Siblings siblings = Siblings::none;
    Notes notes = Notes::none;
    int sends = 1;  // for one lookup
    Span longest_retry_after;
};

struct ColdStart {
    double floor = 1;     // share of capacity at the start
    Span warm_after;      // the share rises evenly until then, at the slowest
    double multiple = 1;  // of the present capacity, at which it falls over
};

// For the host, not for decisions: how connections to caches are kept.
struct Connections {
    Span time_out;  // one that is not up by then is refused
    Span idle;      // an idle one is closed after this
    int streams = 1;
};

struct Deployment {
    int gateways = 1;
    int gateways_here = 1;  // at this gateway's location
    int locations = 1;      // those that have gateways
    LocationId location;
    std::vector<ObjectKind> kinds;
    std::optional<MachineId> parent_machine;
    std::optional<MachineId> origin_machine;
    Permits permits;
    bool list_on_request = false;
    bool weights_told = false;
    ColdStart cold_edge;
    ColdStart cold_parent;
    bool origin_falls = false;  // it stops for a while when pushed over
    Span fall_window;
    Span drain_grace;
    Span purge_grace;
    Span purge_done;
    Span tick;
    Connections connections;
    int most_held = 0;              // lookups at once; 0: not told
    double flow_kb_per_s = 0;       // top pace of one answer; 0: not told
    double pipe_here_kb_per_s = 0;  // this location's link in; 0: not told
    double pipes_all_kb_per_s = 0;  // of all locations
};

}  // namespace irismux
