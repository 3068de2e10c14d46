// Attempts: what the router asks of an endpoint for a request, and what came of it.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// How an attempt ended.
enum class Outcome {
    completed,           ///< a complete response
    errored,             ///< an error response
    overloaded,          ///< refused for want of capacity; nothing was run, nothing was served
    deadline_exceeded,   ///< no response in time
    connection_refused,  ///< no connection came up
    connection_reset,    ///< the connection broke before the response was complete
    cancelled,           ///< taken back by the router
    superseded,          ///< another attempt of the request has already been answered
    cache_miss           ///< an only-if-cached attempt found no copy
};

/// How a cache produced its response, or why it could not (in the sense of RFC 9211, Cache-Status).
enum class CacheStatus {
    none,                ///< not reported
    hit,                 ///< served from its own copy
    filled,              ///< fetched from the fill source
    via_origin,          ///< fetched from the fill source, which fetched it from the origin
    coalesced,           ///< waited for a fill that another request had begun
    stale,               ///< served a stale copy
    source_refused,      ///< the fill source refused
    source_unreachable,  ///< the fill source could not be reached, or broke off
    source_miss,         ///< the fill source has no copy
    no_fill_slot,        ///< the cache has no capacity for another fill
    origin_failed        ///< the origin behind the fill source failed
};

/// One attempt at a cache, with what the cache may do to answer it.
struct AttemptPlan {
    CacheId cache;
    CacheId source;                    ///< where a miss is filled from; the cache itself: no fill
    int storage_rank = 0;              ///< rank at which the copy is kept; 0: it is not kept
    Duration max_age;                  ///< oldest copy that may be served; zero: the kind's fresh_for
    bool coalesce = false;             ///< may wait for a fill under way
    bool revalidate = false;           ///< a copy that is too old is revalidated at the source
    bool only_if_cached = false;       ///< the source answers only from its own copies
    bool bypass_parent_cache = false;  ///< the parent keeps no copy
    Duration timeout;                  ///< zero: until the request's deadline
};

/// The end of an attempt, reported to the router once for each attempt.
struct AttemptResult {
    RequestId request;
    AttemptIndex attempt;
    CacheId cache;
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration elapsed;               ///< since the attempt was decided
    Duration fill_wait;             ///< the part of it that the cache waited for the fill's first byte
    bool request_finished = false;  ///< the client has its final response, or is gone
};

}  // namespace irismux
