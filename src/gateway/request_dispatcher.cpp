#include "gateway/request_dispatcher.hpp"

#include <algorithm>

#include "gateway/request_log.hpp"

namespace irismux {
namespace {

// Sets a flag for the duration of a call to the router, also if the call throws.
class RouterCallScope {
public:
    explicit RouterCallScope(bool& in_call) : in_call_(in_call), was_in_call_(std::exchange(in_call, true)) {}
    ~RouterCallScope() { in_call_ = was_in_call_; }
    RouterCallScope(const RouterCallScope&) = delete;
    RouterCallScope& operator=(const RouterCallScope&) = delete;

private:
    bool& in_call_;
    bool was_in_call_;
};

}  // namespace

RequestDispatcher::RequestDispatcher(EventLoop& loop, FastCgiServer& server,
                                     CacheConnectionPool& cache_connections,
                                     EndpointHealthObserver& health_observer, const Deployment& deployment,
                                     std::uint64_t seed)
    : event_loop_(loop),
      server_(server),
      cache_connections_(cache_connections),
      health_observer_(health_observer),
      max_pending_requests_(static_cast<std::size_t>(deployment.max_pending_requests)),
      admission_(deployment),
      router_(*this, deployment, seed, loop.now()) {}

template <class Event, class... Arguments>
void RequestDispatcher::call_router(TimePoint now, Event event, const Arguments&... arguments) {
    const RouterCallScope scope(in_router_call_);
    (router_.*event)(now, arguments...);
}

RequestDispatcher::PendingRequest* RequestDispatcher::find(const RequestId& id) {
    const auto it = pending_requests_.find(id);
    return it == pending_requests_.end() ? nullptr : &it->second;
}

// --- requests: admission, disconnected clients, deadlines --------------------------------------------------

RequestHandler::Admission RequestDispatcher::on_client_request(const ClientStream& stream,
                                                               ClientRequest client_request) {
    const RequestId id{++last_request_id_};
    client_request.request.id = id;
    const Admission admission = admission_.admit(client_request, event_loop_.now());
    if (admission != Admission::accepted) return admission;
    request_log::admitted(stream, client_request);
    const Request request = client_request.request;
    PendingRequest& pending = pending_requests_[id];
    pending.active = std::make_shared<ActiveRequest>(server_, stream, std::move(client_request));
    by_client_stream_[stream] = id;
    if (max_pending_requests_ > 0 && pending_requests_.size() > max_pending_requests_) {
        reject(id, Duration{});
    } else {
        pending.deadline_timer = ScopedTimer(event_loop_, request.deadline, [this, id] { on_deadline(id); });
        if (drain_deadline_) shorten_deadline(id, pending, *drain_deadline_);
        call_router(event_loop_.now(), &Router::on_request, request);
    }
    erase_if_finished(id);
    return Admission::accepted;
}

// Attempts in flight continue: the router decides whether to cancel them, and their results show the state of
// the caches. Attempts that wait for a connection, or are to be moved to another connection, are withdrawn
// and do not begin.
void RequestDispatcher::on_client_closed(const ClientStream& stream) {
    const auto it = by_client_stream_.find(stream);
    if (it == by_client_stream_.end()) return;
    const RequestId id = it->second;
    ActiveRequest& request = *pending_requests_.at(id).active;
    request_log::client_closed(request, event_loop_.now());
    request.on_client_closed();
    release(request, false);
    call_router(event_loop_.now(), &Router::on_client_closed, id);
    cache_connections_.withdraw_unstarted_attempts(request);
    for (std::size_t index = 0; index < request.attempt_count(); ++index)
        if (request.attempt(index).progress == TransmitProgress::not_connected)
            end_attempt(request, index, {.outcome = Outcome::cancelled});
    erase_if_finished(id);
}

void RequestDispatcher::on_deadline(const RequestId& id) {
    PendingRequest* const pending = find(id);
    if (!pending) return;
    ActiveRequest& request = *pending->active;
    // The results of attempts are reported to the router before the deadline is handled.
    if (request.has_unreported_result()) {
        event_loop_.schedule_now([this, id] { on_deadline(id); });
        return;
    }
    end_all_attempts(request, Outcome::deadline_exceeded);
    // Failure prevented: the router waits for an event that never occurs, and the client gets no response.
    // Therefore every request that has no response at its deadline is failed here.
    if (request.fail()) {
        release(request, false);
        request_log::unanswered_at_deadline(request);
        call_router(event_loop_.now(), &Router::on_client_closed, id);
    }
    erase_if_finished(id);
}

void RequestDispatcher::begin_drain(TimePoint deadline) {
    drain_deadline_ = deadline;
    call_router(event_loop_.now(), &Router::on_drain, deadline);
    for (auto& [id, pending] : pending_requests_) shorten_deadline(id, pending, deadline);
}

void RequestDispatcher::shorten_deadline(const RequestId& id, PendingRequest& pending, TimePoint deadline) {
    if (deadline >= pending.active->deadline()) return;
    pending.active->shorten_deadline(deadline);
    pending.deadline_timer = ScopedTimer(event_loop_, deadline, [this, id] { on_deadline(id); });
}

bool RequestDispatcher::has_unanswered_request() const {
    return std::any_of(pending_requests_.begin(), pending_requests_.end(),
                       [](const auto& entry) { return !entry.second.active->answered(); });
}

void RequestDispatcher::release(const ActiveRequest& request, bool without_effect) {
    request_log::answered(request);
    admission_.release(request, without_effect);
}

void RequestDispatcher::erase_if_finished(const RequestId& id) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end() || !it->second.active->finished()) return;
    by_client_stream_.erase(it->second.active->client_stream());
    pending_requests_.erase(it);
}

// --- attempts ----------------------------------------------------------------------------------------------

void RequestDispatcher::begin_attempt(const RequestId& id, Attempt attempt) {
    PendingRequest* const pending = find(id);
    if (!pending) return;
    ActiveRequest& request = *pending->active;
    const Duration timeout = attempt.plan ? attempt.plan->timeout : Duration{};
    const std::size_t index = request.add_attempt(std::move(attempt));
    request_log::attempt_started(id, index);
    const TimePoint times_out_at = event_loop_.now() + timeout;
    if (timeout > Duration{} && times_out_at < request.deadline())
        pending->attempt_timers[index] =
            ScopedTimer(event_loop_, times_out_at, [this, id, index] { on_attempt_timeout(id, index); });
    cache_connections_.start_attempt(request, index);
}

// The client may have left while the attempt waited, without the event loop having read the end of the
// client's connection.
bool RequestDispatcher::may_begin_attempt(ActiveRequest& request, std::size_t attempt) {
    if (!request.answered() && server_.client_has_left(request.client_stream()))
        on_client_closed(request.client_stream());
    return !request.answered() &&
           router_.may_begin_attempt(event_loop_.now(), request.id(), AttemptIndex{attempt});
}

void RequestDispatcher::on_attempt_timeout(const RequestId& id, std::size_t attempt) {
    PendingRequest* const pending = find(id);
    if (!pending) return;
    ActiveRequest& request = *pending->active;
    pending->attempt_timers.erase(attempt);
    cache_connections_.cancel_attempt(request, attempt);
    on_attempt_ended(request, attempt, {.outcome = Outcome::deadline_exceeded});
}

void RequestDispatcher::on_attempt_ended(ActiveRequest& request, std::size_t attempt, const AttemptEnd& end) {
    const RequestId id = request.id();
    end_attempt(request, attempt, end);
    erase_if_finished(id);
}

// Called if all connections that could carry the attempt already use the request's id for another request.
// This occurs only if clients reuse a request id after a short time or use one id for several requests at the
// same time. The attempt has not run. If the attempt is the first one of its request, the request is
// therefore rejected without effect.
void RequestDispatcher::on_request_id_in_use(ActiveRequest& request, std::size_t attempt) {
    request_log::id_in_use_at_cache(request, attempt);
    if (attempt > 0) return on_attempt_ended(request, attempt, {.outcome = Outcome::overloaded});
    if (request.reject(Duration{})) release(request, true);
    on_attempt_ended(request, attempt, {.outcome = Outcome::cancelled});
}

void RequestDispatcher::end_attempt(ActiveRequest& request, std::size_t index, const AttemptEnd& end) {
    Attempt& attempt = request.attempt(index);
    if (attempt.ended()) return;
    attempt.state = AttemptState::ended;
    if (PendingRequest* const pending = find(request.id())) pending->attempt_timers.erase(index);
    if (end.outcome == Outcome::completed && request.respond(end)) release(request, false);
    const AttemptResult result{request.id(),  AttemptIndex{index}, attempt.cache,
                               end.outcome,   end.cache_status,    event_loop_.now() - attempt.decided_at,
                               end.fill_wait, request.answered()};
    request_log::attempt_ended(request, result);
    if (!in_router_call_) return report_to_router(result);
    // The router must not be called from within its own calls.
    event_loop_.schedule_now([this, result] {
        report_to_router(result);
        erase_if_finished(result.request);
    });
}

void RequestDispatcher::end_all_attempts(ActiveRequest& request, Outcome outcome) {
    for (std::size_t index = 0; index < request.attempt_count(); ++index) {
        if (request.attempt(index).ended()) continue;
        cache_connections_.cancel_attempt(request, index);
        end_attempt(request, index, {.outcome = outcome});
    }
}

void RequestDispatcher::report_to_router(const AttemptResult& result) {
    PendingRequest* const pending = find(result.request);
    if (!pending) return;
    pending->active->attempt(result.attempt.raw()).state = AttemptState::reported;
    AttemptResult reported = result;
    reported.request_finished = pending->active->answered();
    call_router(event_loop_.now(), &Router::on_attempt_result, reported);
}

void RequestDispatcher::on_health_check_result(const HealthCheckResult& result) {
    health_observer_.on_health_check_done(result.cache, result.outcome == Outcome::completed);
}

// --- RouterCallbacks: decisions of the router --------------------------------------------------------------

void RequestDispatcher::start_direct_attempt(const RequestId& id, const CacheId& origin, Duration timeout) {
    AttemptPlan plan;
    plan.cache = origin;
    plan.source = origin;
    plan.timeout = timeout;
    start_attempt(id, plan);
}

void RequestDispatcher::start_attempt(const RequestId& id, const AttemptPlan& plan) {
    begin_attempt(id, {.cache = plan.cache, .plan = plan, .decided_at = event_loop_.now()});
}

void RequestDispatcher::cancel_attempt(const RequestId& id, AttemptIndex attempt) {
    PendingRequest* const pending = find(id);
    if (!pending || attempt.raw() >= pending->active->attempt_count()) return;
    ActiveRequest& request = *pending->active;
    if (request.attempt(attempt.raw()).ended()) return;
    cache_connections_.cancel_attempt(request, attempt.raw());
    end_attempt(request, attempt.raw(), {.outcome = Outcome::cancelled});
}

void RequestDispatcher::reject(const RequestId& id, Duration retry_after) {
    PendingRequest* const pending = find(id);
    if (!pending) return;
    request_log::rejected(*pending->active, retry_after);
    if (pending->active->reject(retry_after)) release(*pending->active, true);
}

void RequestDispatcher::fail(const RequestId& id) {
    PendingRequest* const pending = find(id);
    if (!pending) return;
    request_log::failed(*pending->active);
    if (pending->active->fail()) release(*pending->active, false);
}

void RequestDispatcher::set_timer(TimerId timer, TimePoint due) {
    event_loop_.schedule_at(due, [this, timer] { call_router(event_loop_.now(), &Router::on_timer, timer); });
}

void RequestDispatcher::on_endpoint_ejected(const CacheId& cache, EjectionReason reason) {
    request_log::endpoint_ejected(cache, reason);
    health_observer_.on_ejection_changed(cache, true);
}

void RequestDispatcher::on_endpoint_readmitted(const CacheId& cache) {
    request_log::endpoint_readmitted(cache);
    health_observer_.on_ejection_changed(cache, false);
}

// --- events from other components --------------------------------------------------------------------------

void RequestDispatcher::on_endpoint_updates(const std::vector<EndpointUpdate>& updates, bool complete) {
    call_router(event_loop_.now(), &Router::on_endpoint_updates, updates, complete);
}

void RequestDispatcher::on_endpoint_updates_lost(TimePoint now) {
    call_router(now, &Router::on_endpoint_updates_lost);
}

void RequestDispatcher::on_purge(TimePoint now, Duration age, PurgeGroupId group,
                                 const std::optional<ObjectName>& object) {
    call_router(now, &Router::on_purge, age, group, object);
}

void RequestDispatcher::postpone_recovery_probe(const CacheId& cache, TimePoint not_before) {
    call_router(event_loop_.now(), &Router::postpone_recovery_probe, cache, not_before);
}

}  // namespace irismux
