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
    cancelled,  ///< the router has cancelled the attempt, and its result has not arrived yet
    ended
};

struct Attempt {
    CacheId cache;
    CacheId source;                   ///< fill source; equal to `cache` if there is no fill
    CellId cell;                      ///< copied from the cache, which may be erased before the next attempt
    TimePoint started_at;             ///< time at which the router decided on the attempt
    TimePoint slow_start_checked_at;  ///< time of the last check by SlowStartPolicy
    /// Time after which the attempt is late; std::nullopt if the attempt is not watched.
    std::optional<TimePoint> late_after;
    AttemptState state = AttemptState::in_flight;
    bool may_have_run = false;
    bool counted_as_late = false;  ///< included in EndpointLoad::late of its cache
    bool is_known_fill = false;    ///< an earlier cache-only attempt found no copy
    bool probes_cache = false;     ///< the attempt is the recovery probe of its cache
    bool probes_source = false;    ///< the attempt is the recovery probe of its source
    double transfer_seconds = 0;   ///< transfer time of the object at full rate

    [[nodiscard]] bool in_flight() const { return state != AttemptState::ended; }
    [[nodiscard]] bool has_source() const { return source != cache; }
};

/// How a cache miss of an attempt is handled.
enum class MissHandling {
    fill,            ///< the cache fills from the source
    fill_next_time,  ///< the attempt is cache-only; after a miss the next attempt may fill
    reject           ///< the attempt is cache-only; a miss ends the request
};

/// A request and its attempts. At most one attempt is in flight at a time: the next attempt starts after the
/// result of the previous attempt.
struct PendingRequest {
    Request request;
    const ObjectKind* kind = nullptr;
    std::vector<Attempt> attempts;
    std::vector<CacheId> avoided;     ///< endpoints that failed for this request
    bool object_is_repeated = false;  ///< the object was also requested recently
    bool allow_stale = false;         ///< copies within the stale-if-error window may be served
    bool known_miss = false;          ///< a cache-only attempt found no copy
    bool finished = false;

    // Plan of the attempt that is being planned or was planned last.
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

/// @return true if the status attributes the failure to the fill source or the origin behind it, not to the
/// cache
[[nodiscard]] inline bool source_at_fault(CacheStatus status) {
    return status >= CacheStatus::source_refused && status != CacheStatus::no_fill_slot;
}

/// @return true if the cache has processed the attempt. A cache that hangs can still reject attempts, but it
/// reports no status for them.
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

/// @return true if the cache served the response without starting a fill for this attempt
[[nodiscard]] inline bool served_from_copy(CacheStatus status) {
    return status == CacheStatus::hit || status == CacheStatus::stale || status == CacheStatus::coalesced;
}

}  // namespace irismux::routing
