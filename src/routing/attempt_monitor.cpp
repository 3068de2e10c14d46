#include "routing/attempt_monitor.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

// Interval between two checks, as a share of the shortest latency objective.
constexpr double interval_share_of_objective = 0.1;
// If all latency objectives are longer than this value, the interval is derived from this value instead.
constexpr Duration longest_objective_counted = Duration::micros(2'000'000);

}  // namespace

AttemptMonitor::AttemptMonitor(const Deployment& deployment, const AttemptMonitorDependencies& dependencies)
    : dependencies_(dependencies), can_cancel_(deployment.capabilities.cancellation) {
    Duration shortest = longest_objective_counted;
    for (const ObjectKind& kind : deployment.kinds) shortest = std::min(shortest, kind.latency_objective);
    interval_ = std::max(shortest * interval_share_of_objective, deployment.timer_resolution);
}

void AttemptMonitor::on_attempt_started(const RequestId& request, AttemptIndex index, const Attempt& attempt,
                                        TimePoint now) {
    if (attempt.late_after) late_attempts_.add({*attempt.late_after, request, index});
    if (!timer_is_set_) set_timer(now);
}

void AttemptMonitor::on_attempt_ended(const RequestId& request, AttemptIndex index, const Attempt& attempt) {
    if (attempt.late_after) late_attempts_.erase({*attempt.late_after, request, index});
}

void AttemptMonitor::on_timer(PendingRequests& requests, TimePoint now) {
    timer_is_set_ = false;
    count_late_attempts(requests, now);
    dependencies_.congestion.recount_late_attempts(now);
    eject_unresponsive_endpoints(requests, now);
    if (!requests.empty()) set_timer(now);
}

void AttemptMonitor::set_timer(TimePoint now) {
    timer_is_set_ = true;
    dependencies_.callbacks.set_timer(timer_id, now + interval_);
}

void AttemptMonitor::count_late_attempts(PendingRequests& requests, TimePoint now) {
    while (const auto entry = late_attempts_.pop_late(now)) {
        PendingRequest& request = requests.at(entry->request);
        if (request.finished) continue;
        Attempt& attempt = request.attempts[entry->attempt.raw()];
        EndpointState& cache = dependencies_.endpoints.at(attempt.cache);
        Congestion::count_as_late(attempt, cache);
        dependencies_.outliers.on_late_attempt(cache, attempt, now);
        if (attempt.has_source() && !OutlierDetector::loses_attempts(cache, now))
            dependencies_.fill_source_selection.on_late_attempt(dependencies_.endpoints.at(attempt.source),
                                                                now);
    }
}

void AttemptMonitor::eject_unresponsive_endpoints(PendingRequests& requests, TimePoint now) const {
    for (const EndpointRole role : {EndpointRole::edge, EndpointRole::parent})
        for (EndpointState* endpoint : dependencies_.endpoints.active(role)) {
            if (endpoint->health.ejected() || !dependencies_.outliers.is_unresponsive(*endpoint, now))
                continue;
            dependencies_.outliers.eject(*endpoint, EjectionReason::unresponsive, now);
            cancel_attempts_at(*endpoint, requests);
        }
}

// Cancels the attempts that wait for the endpoint, if their requests are safe to send again. The results of
// these attempts are reported as Outcome::cancelled.
void AttemptMonitor::cancel_attempts_at(const EndpointState& endpoint, PendingRequests& requests) const {
    if (!can_cancel_) return;
    for (auto& [id, request] : requests) {
        if (request.finished || request.kind->effect == Effect::non_idempotent) continue;
        for (std::size_t index = 0; index < request.attempts.size(); ++index) {
            Attempt& attempt = request.attempts[index];
            const bool waits_for_it = attempt.cache == endpoint.id || attempt.source == endpoint.id;
            if (attempt.state != AttemptState::in_flight || !waits_for_it) continue;
            attempt.state = AttemptState::cancelled;
            request.avoided.push_back(endpoint.id);
            dependencies_.callbacks.cancel_attempt(id, AttemptIndex{index});
        }
    }
}

}  // namespace irismux::routing
