// The router (include/irismux/router.hpp): calls the policies in order for each request and, in reverse
// order, for each result. This file makes no policy decisions itself; docs/design.md lists which file decides
// what.
#include "irismux/router.hpp"

#include <algorithm>
#include <optional>

#include "routing/attempt_monitor.hpp"
#include "routing/congestion.hpp"
#include "routing/edge_selection.hpp"
#include "routing/endpoint_set.hpp"
#include "routing/fill_source.hpp"
#include "routing/freshness.hpp"
#include "routing/idempotency.hpp"
#include "routing/latency.hpp"
#include "routing/link_capacity.hpp"
#include "routing/object_statistics.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/random_fraction.hpp"
#include "routing/retry_policy.hpp"
#include "routing/slow_start.hpp"

namespace irismux {

using namespace routing;

namespace {

const TimerId resubscribe_timer{1};
// Minimum delay before subscribing again. All gateways lose service discovery at the same time, so the delay
// is random, up to twice this value.
constexpr Duration resubscribe_delay = Duration::micros(2'000'000);

}  // namespace

class Router::Core {
public:
    Core(RouterCallbacks& callbacks, const Deployment& deployment, std::uint64_t seed);

    void on_endpoint_updates(const std::vector<EndpointUpdate>& updates, bool complete, TimePoint now);
    void on_endpoint_updates_lost(TimePoint now);
    void on_request(const Request& request, TimePoint now);
    void on_attempt_result(const AttemptResult& result, TimePoint now);
    void on_client_closed(const RequestId& id);
    void on_purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    void postpone_recovery_probe(const CacheId& cache, TimePoint not_before);
    [[nodiscard]] bool may_begin_attempt(const RequestId& id, AttemptIndex index, TimePoint now);
    void on_drain(TimePoint deadline);
    void on_timer(TimerId timer, TimePoint now);

private:
    void attempt_or_end(PendingRequest& request, TimePoint now);
    [[nodiscard]] bool plan_attempt(PendingRequest& request, TimePoint now);
    void start_attempt(PendingRequest& request, TimePoint now);
    [[nodiscard]] Attempt planned_attempt(const PendingRequest& request, TimePoint now);
    void process_result(PendingRequest& request, Attempt& attempt, const AttemptResult& result,
                        TimePoint now);
    void reject_or_fail(PendingRequest& request);
    void erase_if_finished(const RequestId& id);

    [[nodiscard]] EndpointState* source_of(const Attempt& attempt) {
        return attempt.has_source() ? &endpoints_.at(attempt.source) : nullptr;
    }

    RouterCallbacks& callbacks_;
    const Deployment deployment_;

    RandomFraction random_;
    EndpointSet endpoints_;
    LinkCapacity links_;
    ObjectStatistics statistics_;
    Congestion congestion_;
    SlowStartPolicy slow_start_;
    OutlierDetector outliers_;
    FreshnessPolicy freshness_;
    IdempotencyPolicy idempotency_;
    RetryPolicy retries_;
    EdgeSelection edge_selection_;
    FillSourceSelection fill_source_selection_;
    AttemptMonitor monitor_;

    PendingRequests pending_requests_;
    std::optional<TimePoint> drain_deadline_;
};

Router::Core::Core(RouterCallbacks& callbacks, const Deployment& deployment, std::uint64_t seed)
    : callbacks_(callbacks),
      deployment_(deployment),
      random_(seed),
      endpoints_(deployment_),
      links_(deployment_, endpoints_),
      statistics_(deployment_),
      congestion_(deployment_, endpoints_, links_, statistics_),
      slow_start_(deployment_, links_, random_),
      outliers_(deployment_, endpoints_, links_, callbacks_),
      freshness_(deployment_),
      idempotency_(deployment_),
      retries_(deployment_, random_),
      edge_selection_(deployment_, endpoints_, statistics_, congestion_, slow_start_, outliers_),
      fill_source_selection_(deployment_, {.endpoints = endpoints_,
                                           .statistics = statistics_,
                                           .congestion = congestion_,
                                           .slow_start = slow_start_,
                                           .outliers = outliers_,
                                           .freshness = freshness_,
                                           .random = random_}),
      monitor_(deployment_, {.endpoints = endpoints_,
                             .congestion = congestion_,
                             .outliers = outliers_,
                             .fill_source_selection = fill_source_selection_,
                             .callbacks = callbacks_}) {
    if (deployment_.subscribe_to_endpoints) callbacks_.subscribe_to_endpoints();
}

// --- planning and starting attempts ---

// Starts an attempt, or ends the request if one of the policies does not allow an attempt.
void Router::Core::attempt_or_end(PendingRequest& request, TimePoint now) {
    if (plan_attempt(request, now))
        start_attempt(request, now);
    else
        reject_or_fail(request);
}

// First checks whether an attempt is allowed at all, since selecting endpoints accrues budgets and starts
// recovery probes. The freshness policy then begins the plan that the other policies complete. The source is
// selected after the cache, since the state of the cache determines whether a fill is worthwhile.
bool Router::Core::plan_attempt(PendingRequest& request, TimePoint now) {
    if (!retries_.may_attempt(request, now)) return false;
    if (!idempotency_.may_attempt(request, nullptr, now)) return false;
    freshness_.begin_plan(request, now);
    if (!edge_selection_.select(request, now)) return false;
    return fill_source_selection_.select(request, endpoints_.at(request.plan.cache), now);
}

void Router::Core::start_attempt(PendingRequest& request, TimePoint now) {
    const Attempt attempt = planned_attempt(request, now);
    EndpointState& cache = endpoints_.at(attempt.cache);
    EndpointState* source = source_of(attempt);
    const bool direct = cache.role == EndpointRole::origin;
    congestion_.on_attempt_started(attempt, cache, source, now);
    if (source) slow_start_.charge(*source, attempt.transfer_seconds, now);
    if (!direct) slow_start_.charge(cache, attempt.transfer_seconds, now);
    request.attempts.push_back(attempt);
    if (direct)
        callbacks_.start_direct_attempt(request.request.id, attempt.cache, Duration{});
    else
        callbacks_.start_attempt(request.request.id, request.plan);
    monitor_.on_attempt_started(request.request.id, AttemptIndex{request.attempts.size() - 1}, attempt, now);
}

Attempt Router::Core::planned_attempt(const PendingRequest& request, TimePoint now) {
    Attempt attempt;
    attempt.cache = request.plan.cache;
    attempt.source = request.plan.source;
    attempt.cell = endpoints_.at(attempt.cache).cell;
    attempt.started_at = now;
    attempt.slow_start_checked_at = now;
    attempt.probes_cache = request.probes_cache;
    attempt.probes_source = request.probes_source;
    attempt.transfer_seconds = statistics_.transfer_seconds(request.request);
    attempt.is_known_fill = request.known_miss && attempt.has_source();
    if (!request.kind->uncacheable)
        attempt.late_after = now + latency_limit(*request.kind, attempt.transfer_seconds);
    return attempt;
}

// --- processing results ---

// Calls the policies in the reverse of the order in which they plan an attempt. Lost attempts are detected
// before the counters of attempts in flight change, and health is updated afterwards. Edge selection reads
// the health as updated by this result. The caller consults the retry policy next, which reads what all other
// policies have recorded on the request.
void Router::Core::process_result(PendingRequest& request, Attempt& attempt, const AttemptResult& result,
                                  TimePoint now) {
    EndpointState& cache = endpoints_.at(attempt.cache);
    EndpointState* source = source_of(attempt);
    attempt.state = AttemptState::ended;
    monitor_.on_attempt_ended(request.request.id, result.attempt, attempt);
    outliers_.record_lost_or_answered(cache, attempt, result, now);
    congestion_.on_attempt_ended(attempt, cache, source);
    statistics_.record_attempt(request, attempt);
    congestion_.on_cache_result(cache, request, attempt, result, now);
    statistics_.record_result(request, attempt, result);

    fill_source_selection_.on_result(request, attempt, result, source, now);
    if (source) outliers_.on_source_result(*source, attempt, result, now);

    const bool late = result.elapsed > latency_limit(*request.kind, attempt.transfer_seconds);
    const bool hit = result.outcome == Outcome::completed && result.cache_status == CacheStatus::hit;
    outliers_.on_cache_result(cache, attempt, result, hit && late, now);
    slow_start_.on_cache_result(cache, result, now);
    edge_selection_.on_result(request, attempt, result, cache);

    FreshnessPolicy::on_result(request, result);
    IdempotencyPolicy::record_result(attempt, result);
    if (result.request_finished || result.outcome == Outcome::completed) request.finished = true;
}

// --- requests by id ---

void Router::Core::on_request(const Request& request, TimePoint now) {
    const auto [entry, inserted] = pending_requests_.try_emplace(request.id);
    if (!inserted) return;
    PendingRequest& pending = entry->second;
    pending.request = request;
    pending.request.deadline = std::min(request.deadline, drain_deadline_.value_or(request.deadline));
    pending.kind = &deployment_.kinds[request.kind.raw()];
    pending.object_is_repeated = statistics_.record_request(request.object, now);
    attempt_or_end(pending, now);
    erase_if_finished(request.id);
}

void Router::Core::on_attempt_result(const AttemptResult& result, TimePoint now) {
    const auto entry = pending_requests_.find(result.request);
    if (entry == pending_requests_.end()) return;
    PendingRequest& request = entry->second;
    const std::size_t index = result.attempt.raw();
    if (index >= request.attempts.size() || !request.attempts[index].in_flight()) return;
    process_result(request, request.attempts[index], result, now);
    switch (retries_.next_step(request, result)) {
        case NextStep::none:
            break;
        case NextStep::try_again:
            attempt_or_end(request, now);
            break;
        case NextStep::end_request:
            reject_or_fail(request);
            break;
    }
    erase_if_finished(result.request);
}

void Router::Core::on_client_closed(const RequestId& id) {
    const auto entry = pending_requests_.find(id);
    if (entry == pending_requests_.end()) return;
    entry->second.finished = true;
    erase_if_finished(id);
}

// Rechecks an attempt that has waited for a connection. Meanwhile the client may have disconnected, the
// caches may have discarded the request's idempotency key, or an endpoint may have restarted, so that the
// endpoint's slow start applies.
bool Router::Core::may_begin_attempt(const RequestId& id, AttemptIndex index, TimePoint now) {
    const auto entry = pending_requests_.find(id);
    if (entry == pending_requests_.end()) return false;
    PendingRequest& request = entry->second;
    if (request.finished || index.raw() >= request.attempts.size()) return false;
    Attempt& attempt = request.attempts[index.raw()];
    if (attempt.state != AttemptState::in_flight) return false;
    if (!idempotency_.may_attempt(request, &attempt, now)) return false;
    if (!slow_start_.recheck(endpoints_.at(attempt.cache), attempt, now)) return false;
    if (EndpointState* source = source_of(attempt); source && !slow_start_.recheck(*source, attempt, now))
        return false;
    attempt.slow_start_checked_at = now;
    return true;
}

// Shortens the deadlines of all requests, since clients whose deadline is after the end of the process would
// otherwise get no final response.
void Router::Core::on_drain(TimePoint deadline) {
    drain_deadline_ = deadline;
    for (auto& [id, pending] : pending_requests_)
        pending.request.deadline = std::min(pending.request.deadline, deadline);
}

void Router::Core::reject_or_fail(PendingRequest& request) {
    request.finished = true;
    const Duration retry_after = retries_.retry_after();
    if (IdempotencyPolicy::may_reject(request))
        callbacks_.reject(request.request.id, retry_after);
    else
        callbacks_.fail(request.request.id);
}

void Router::Core::erase_if_finished(const RequestId& id) {
    const auto entry = pending_requests_.find(id);
    if (entry == pending_requests_.end() || !entry->second.finished) return;
    for (Attempt& attempt : entry->second.attempts)
        if (attempt.in_flight()) Congestion::stop_counting_as_late(attempt, endpoints_.at(attempt.cache));
    if (!entry->second.has_attempt_in_flight()) pending_requests_.erase(entry);
}

// --- endpoints, purges and timers ---

void Router::Core::on_endpoint_updates(const std::vector<EndpointUpdate>& updates, bool complete,
                                       TimePoint now) {
    if (complete) endpoints_.remove_all();
    for (const EndpointUpdate& update : updates) {
        EndpointState* restarted = endpoints_.apply(update, now);
        if (!restarted) continue;
        outliers_.on_restart(*restarted);
        slow_start_.begin(*restarted, update.started_at, now);
    }
    endpoints_.finish_updates(now);
}

void Router::Core::on_endpoint_updates_lost(TimePoint now) {
    callbacks_.set_timer(resubscribe_timer, now + resubscribe_delay * (1 + random_.next()));
}

void Router::Core::on_purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object,
                            TimePoint now) {
    freshness_.on_purge(age, group, object, now);
}

void Router::Core::postpone_recovery_probe(const CacheId& cache, TimePoint not_before) {
    if (EndpointState* endpoint = endpoints_.find(cache))
        OutlierDetector::postpone_recovery_probe(*endpoint, not_before);
}

void Router::Core::on_timer(TimerId timer, TimePoint now) {
    if (timer == resubscribe_timer) return callbacks_.subscribe_to_endpoints();
    if (timer == AttemptMonitor::timer_id) monitor_.on_timer(pending_requests_, now);
}

// --- the public interface ---

Router::Router(RouterCallbacks& callbacks, const Deployment& deployment, std::uint64_t seed, TimePoint)
    : core_(std::make_unique<Core>(callbacks, deployment, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

void Router::on_endpoint_updates(TimePoint now, const std::vector<EndpointUpdate>& updates, bool complete) {
    core_->on_endpoint_updates(updates, complete, now);
}
void Router::on_endpoint_updates_lost(TimePoint now) { core_->on_endpoint_updates_lost(now); }
void Router::on_request(TimePoint now, const Request& request) { core_->on_request(request, now); }
void Router::on_attempt_result(TimePoint now, const AttemptResult& result) {
    core_->on_attempt_result(result, now);
}
void Router::on_client_closed(TimePoint, const RequestId& request) { core_->on_client_closed(request); }
void Router::on_purge(TimePoint now, Duration age, PurgeGroupId group,
                      const std::optional<ObjectName>& object) {
    core_->on_purge(age, group, object, now);
}
void Router::postpone_recovery_probe(TimePoint, const CacheId& cache, TimePoint not_before) {
    core_->postpone_recovery_probe(cache, not_before);
}
bool Router::may_begin_attempt(TimePoint now, const RequestId& request, AttemptIndex attempt) {
    return core_->may_begin_attempt(request, attempt, now);
}
void Router::on_drain(TimePoint, TimePoint deadline) { core_->on_drain(deadline); }
void Router::on_timer(TimePoint now, TimerId timer) { core_->on_timer(timer, now); }

}  // namespace irismux
