#include "gateway/shutdown.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace irismux {
namespace {

// The platform's protocol allows requests to arrive for `acceptance_period` after SIGTERM. After the
// acceptance period the platform waits for at least the longest deadline of any object kind before it sends
// SIGKILL. If the longest deadline exceeds `max_counted_deadline`, the platform waits for at least
// `max_counted_deadline` instead.
constexpr Duration acceptance_period = Duration::micros(700'000);
constexpr Duration max_counted_deadline = Duration::micros(3'000'000);
// Share of the acceptance period that is reserved for closing connections: the gateway handles the signal up
// to 50 ms late, and clients need up to 50 ms to detect that their connection is closed.
constexpr double closing_share = 0.35;
constexpr Duration check_interval = Duration::micros(10'000);

}  // namespace

Shutdown::Shutdown(EventLoop& loop, RequestDispatcher& dispatcher, FastCgiServer& server,
                   CacheConnectionPool& cache_connections, FleetParticipation& fleet,
                   Duration longest_deadline)
    : event_loop_(loop),
      dispatcher_(dispatcher),
      server_(server),
      cache_connections_(cache_connections),
      fleet_(fleet),
      longest_deadline_(longest_deadline) {}

// Failure prevented: SIGKILL arrives while requests have no response, and the connections of their clients
// end before the response. Therefore the deadlines of all requests, including the pending ones, are
// shortened, so that every request is answered before SIGKILL can arrive.
void Shutdown::begin() {
    if (state_ != State::none) return;
    state_ = State::draining;
    const TimePoint now = event_loop_.now();
    accepts_until_ = now + acceptance_period;
    answer_deadline_ =
        now + std::min(longest_deadline_, max_counted_deadline) + acceptance_period * (1 - closing_share);
    close_at_ = answer_deadline_ + acceptance_period * (closing_share / 2);
    fleet_.leave();
    log::event(log::Level::info, "shutdown_started",
               {{"pending_requests", dispatcher_.pending_request_count()}});
    dispatcher_.begin_drain(answer_deadline_);
    check_progress();
}

void Shutdown::check_progress() {
    const TimePoint now = event_loop_.now();
    if (state_ == State::draining) finish_draining_if_due(now);
    if (state_ == State::closing) finish_closing_if_due(now);
    if (state_ == State::stopped) return;
    const TimePoint next_check = std::max(accepts_until_, now + check_interval);
    check_timer_ = ScopedTimer(event_loop_, next_check, [this] { check_progress(); });
}

bool Shutdown::all_answered() const { return !dispatcher_.has_unanswered_request() && server_.drained(); }

// Closes the listener first, and then the connections. Requests on connections that were accepted before the
// listener was closed are answered before any connection is closed, unless `close_at_` is reached before.
void Shutdown::finish_draining_if_due(TimePoint now) {
    if (now < accepts_until_) return;
    if (all_answered()) server_.stop_listening();
    const bool nothing_can_come = !server_.listening() && all_answered();
    if (now < close_at_ && !nothing_can_come) return;
    state_ = State::closing;
    stop_at_ = std::min(now, answer_deadline_) + acceptance_period * closing_share;
    server_.stop_listening();
    server_.close_all();
    log::event(log::Level::info, "shutdown_closing_connections",
               {{"connections", server_.connection_count()}});
}

// Attempts whose clients have disconnected may still be in flight; their responses are not needed.
void Shutdown::finish_closing_if_due(TimePoint now) {
    if (server_.connection_count() > 0 && now < stop_at_) return;
    state_ = State::stopped;
    cache_connections_.close_all();
    log::event(log::Level::info, "shutdown_complete",
               {{"pending_requests", dispatcher_.pending_request_count()},
                {"max_timer_delay_us", event_loop_.max_timer_delay().micros()}});
    event_loop_.stop();
}

}  // namespace irismux
