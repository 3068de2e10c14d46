// Types for attempts and their results. An attempt sends a request to one endpoint to get a response.
#pragma once

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// How an attempt ended.
enum class Outcome {
    completed,   ///< a complete response arrived
    errored,     ///< an error response arrived
    overloaded,  ///< the attempt was refused for lack of capacity, and the request was neither run nor served
    deadline_exceeded,   ///< no response arrived in time
    connection_refused,  ///< no connection could be established
    connection_reset,    ///< the connection broke before the response was complete
    cancelled,           ///< the router cancelled the attempt
    superseded,          ///< another attempt of the same request already has a response
    cache_miss           ///< the attempt was only-if-cached, and the cache has no copy
};

/// How a cache produced its response, or why it could not produce one. The meaning follows RFC 9211
/// (Cache-Status).
enum class CacheStatus {
    none,            ///< the cache reported no status
    hit,             ///< the cache served its own copy
    filled,          ///< the cache fetched the object from the fill source
    via_origin,      ///< the cache fetched the object from the fill source, which fetched it from the origin
    coalesced,       ///< the cache waited for a fill that another request had started
    stale,           ///< the cache served a stale copy
    source_refused,  ///< the fill source refused the fill
    source_unreachable,  ///< the fill source could not be reached, or broke off the transfer
    source_miss,         ///< the fill source has no copy
    no_fill_slot,        ///< the cache has no capacity for another fill
    origin_failed        ///< the origin behind the fill source failed
};

/// One attempt at a cache, with the options that control how the cache may serve it.
struct AttemptPlan {
    CacheId cache;
    CacheId source;               ///< fill source for a miss; equal to `cache` if no fill is allowed
    int storage_rank = 0;         ///< rank at which the cache stores the copy; 0 to store no copy
    Duration max_age;             ///< age limit of a served copy; zero: ObjectKind::fresh_for applies
    bool coalesce = false;        ///< the cache may wait for a fill that another request has started
    bool revalidate = false;      ///< the cache asks the source whether a copy that is too old is still valid
    bool only_if_cached = false;  ///< the source responds only from its own copies
    bool bypass_parent_cache = false;  ///< the parent stores no copy
    Duration timeout;  ///< time limit of the attempt; zero: only the request's deadline applies
};

/// The result of an attempt. Each attempt has exactly one result, which is reported to the router once.
struct AttemptResult {
    RequestId request;
    AttemptIndex attempt;
    CacheId cache;
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration elapsed;  ///< time since the router decided on the attempt
    /// Part of `elapsed` during which the cache waited for the first byte of the fill.
    Duration fill_wait;
    bool request_finished = false;  ///< the client has received its final response or has disconnected
};

}  // namespace irismux
