// The one way into the decisions (Router) and the one way out of them (Port).
//
// A host builds one Router a gateway, calls it for each thing that happens, in order, with the present
// instant, and carries out what comes through the Port. The Router has no clock, no threads and no I/O. A
// Port must not call the Router before the call that it serves has returned.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "irismux/deployment.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

enum class EndpointStatus { active, draining, removed };
enum class Outcome {
    completed,
    errored,
    overloaded,
    deadline_exceeded,
    connection_refused,
    connection_reset,
    cancelled,
    superseded,
    cache_miss
};
enum class CacheStatus {
    none,
    hit,
    filled,
    via_origin,
    coalesced,
    stale,
    source_refused,
    source_unreachable,
    source_miss,
    no_fill_slot,
    origin_failed
};

// One line of the list of caches.
struct EndpointUpdate {
    CacheId cache;
    LocationId location;
    MachineType machine_type;
    CellId cell;
    double weight = 1;
    EndpointStatus status = EndpointStatus::active;
    TimePoint started_at;  // zero: long ago
};

struct Request {
    RequestId id;
    ObjectKindIndex kind;
    ObjectName object;
    PurgeGroupId purge_group;
    TimePoint deadline;
    double size_kb = 0;  // 0: not told
    bool is_client_retry = false;
    bool is_write = false;
};

// What a cache says of its load; absent where not told.
struct LoadReport {
    std::optional<double> active_requests;  // lookups in work
    std::optional<double> queued_requests;
    std::optional<double> cpu_share;   // share of its processor
    std::optional<double> link_share;  // a cache: fill of its location's link; a parent: fetches out
    std::optional<double> hit_share;
};

struct AttemptResult {
    RequestId request;
    AttemptIndex attempt;
    CacheId cache;
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration elapsed;
    Duration fill_wait;
    bool request_finished = false;  // the lookup has ended
    std::optional<LoadReport> load;
};

struct HealthCheckResult {
    CacheId cache;
    Outcome outcome = Outcome::completed;
    Duration elapsed;
    std::optional<LoadReport> load;
};

struct AttemptPlan {
    CacheId cache;
    CacheId source;        // the cache itself: fill nothing
    int storage_rank = 0;  // 0: keep nothing
    Duration max_age;      // zero: the kind's fresh time
    bool coalesce = false;
    bool revalidate = false;
    bool only_if_cached = false;       // the source gives only what it holds
    bool bypass_parent_cache = false;  // the parent keeps no copy
    Duration timeout;                  // zero: until the client gives up
};

class RouterCallbacks {
public:
    virtual ~RouterCallbacks() = default;
    virtual void start_direct_attempt(const RequestId&, const CacheId&, Duration time_out) = 0;
    virtual void start_attempt(const RequestId&, const AttemptPlan&) = 0;
    virtual void cancel_attempt(const RequestId&, AttemptIndex) = 0;
    virtual void reject(const RequestId&, Duration come_back_in) = 0;
    virtual void fail(const RequestId&) = 0;
    virtual void request_health_check(const CacheId&) = 0;
    virtual void set_timer(TimerId, TimePoint) = 0;
    virtual void subscribe_to_endpoints() = 0;  // ask for the list's changes
    virtual void log(std::string_view) = 0;
    // It is passed over from now on, or no more.
    virtual void on_ejection_changed(const CacheId&, bool) {}
};

class Router {
public:
    Router(RouterCallbacks&, const Deployment&, std::uint64_t seed, TimePoint now);
    ~Router();
    Router(Router&&) noexcept;

    void on_endpoint_updates(TimePoint now, const std::vector<EndpointUpdate>&, bool complete);
    void on_endpoint_updates_lost(TimePoint now);
    void on_request(TimePoint now, const Request&);
    void on_attempt_result(TimePoint now, const AttemptResult&);
    void on_opened(TimePoint now, const RequestId&, AttemptIndex);
    void on_client_closed(TimePoint now, const RequestId&);
    void on_purge(TimePoint now, Duration age, PurgeGroupId, const std::optional<ObjectName>&);
    void on_probe(TimePoint now, const HealthCheckResult&);
    // Another gateway looks at a marked cache on behalf of all: the trial that ends the mark is worth its
    // while from then on. Puts it off by one longest back-off at most; of caches that are not marked nothing
    // is kept.
    void postpone_recovery_probe(TimePoint now, const CacheId&, TimePoint from);
    void on_timer(TimePoint now, TimerId);
    // The process ends by then: lookups still at work are answered before, by effect.
    void on_drain(TimePoint now, TimePoint by);
    // Asked right before a send's first byte: whether it may still go. Nothing leaves through the Port. A
    // send that may not is answered as one that never ran.
    bool may_begin_attempt(TimePoint now, const RequestId&, AttemptIndex);

private:
    class Core;
    std::unique_ptr<Core> core_;
};

}  // namespace irismux
