// A request that has no final response yet, and its attempts.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "irismux/attempt.hpp"
#include "irismux/deployment.hpp"
#include "irismux/request.hpp"

namespace irismux::routing {

enum class AttemptState {
    in_flight,
    cancelled,  ///< the router has taken it back; its result is still to come
    ended
};

struct Attempt {
    CacheId cache;
    CacheId source;                       ///< the cache itself: no fill
    CellId cell;                          ///< of the cache, which may be erased before the next attempt
    TimePoint started_at;                 ///< when it was decided
    TimePoint slow_start_checked_at;      ///< when it was last checked against slow start
    std::optional<TimePoint> late_after;  ///< past its latency limit from then on; none: not watched
    AttemptState state = AttemptState::in_flight;
    bool may_have_run = false;
    bool counted_as_late = false;  ///< in the load of its cache
    bool is_known_fill = false;    ///< the cache is known to have no copy
    bool probes_cache = false;     ///< it is the recovery probe of its cache
    bool probes_source = false;
    double transfer_seconds = 0;  ///< of the object at full rate

    [[nodiscard]] bool in_flight() const { return state != AttemptState::ended; }
    [[nodiscard]] bool has_source() const { return source != cache; }
};

/// What a miss leads to.
enum class MissHandling {
    fill,            ///< the cache fills from the source
    fill_next_time,  ///< a cache-only attempt; a miss is followed by an attempt that may fill
    reject           ///< a cache-only attempt; a miss ends the request
};

/// At most one attempt is in flight at a time: the next begins after the result of the one before.
struct PendingRequest {
    Request request;
    const ObjectKind* kind = nullptr;
    std::vector<Attempt> attempts;
    std::vector<CacheId> avoided;     ///< endpoints that have failed this request
    bool object_is_repeated = false;  ///< the object was requested not long ago
    bool allow_stale = false;         ///< copies within the stale-if-error window may be served
    bool known_miss = false;          ///< a cache-only attempt found no copy
    bool finished = false;

    // Of the attempt that is being planned, or was planned last.
    AttemptPlan plan;
    MissHandling on_miss = MissHandling::fill;
    bool probes_cache = false;
    bool probes_source = false;

    [[nodiscard]] bool avoids(const CacheId& endpoint) const {
        return std::find(avoided.begin(), avoided.end(), endpoint) != avoided.end();
    }
    [[nodiscard]] bool has_attempt_in_flight() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight(); });
    }
};

using PendingRequests = std::map<RequestId, PendingRequest>;

/// The result lays the failure on the fill source or on what is behind it, not on the cache.
[[nodiscard]] inline bool source_at_fault(CacheStatus status) {
    return status >= CacheStatus::source_refused && status != CacheStatus::no_fill_slot;
}

/// The cache has worked on the attempt. A cache that hangs can still turn attempts away, without a status.
[[nodiscard]] inline bool cache_responded(const AttemptResult& result) {
    switch (result.outcome) {
        case Outcome::completed:
        case Outcome::cache_miss:
        case Outcome::errored:
            return true;
        case Outcome::overloaded:
            return result.cache_status != CacheStatus::none;
        default:
            return false;
    }
}

/// Served without a fill of its own.
[[nodiscard]] inline bool served_from_copy(CacheStatus status) {
    return status == CacheStatus::hit || status == CacheStatus::stale || status == CacheStatus::coalesced;
}

}  // namespace irismux::routing
