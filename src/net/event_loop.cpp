#include "net/event_loop.hpp"

#include <algorithm>

namespace irismux {
namespace {

// The longest wait of the reactor, so that signals are handled in time even if no timer is pending.
constexpr std::int64_t max_wait_ms = 50;

}  // namespace

EventLoop::EventLoop()
    : steady_start_(std::chrono::steady_clock::now()),
      unix_start_us_(std::chrono::duration_cast<std::chrono::microseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count()) {
    run_due_timers();
}

// Empties the containers before their callbacks are destroyed. A callback may own an object with timers,
// whose destructor erases them from the map of timers; erasing from a map that is being destroyed crashes.
EventLoop::~EventLoop() {
    const auto callbacks = std::exchange(next_iteration_, {});
    const auto timers = std::exchange(timers_, {});
}

TimePoint EventLoop::now() const {
    const auto passed = std::chrono::steady_clock::now() - steady_start_;
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
    return TimePoint{} + Duration::micros(unix_start_us_ + us);
}

EventLoop::Timer EventLoop::schedule_at(TimePoint due, std::function<void()> callback) {
    const Timer timer{due, next_timer_++};
    timers_.emplace(timer, std::move(callback));
    return timer;
}

// Deferred callbacks run at the start of the next iteration. The poll before that iteration does not wait.
void EventLoop::iterate() {
    ++iterations_;
    const auto deferred = std::exchange(next_iteration_, {});
    for (const auto& callback : deferred) callback();
    run_due_timers();
}

void EventLoop::run_due_timers() {
    TimePoint present = now();
    while (!timers_.empty() && timers_.begin()->first.first <= present) {
        auto due = timers_.extract(timers_.begin());
        max_timer_delay_ = std::max(max_timer_delay_, present - due.key().first);
        due.mapped()();
        present = now();
    }
    std::int64_t wait_ms = max_wait_ms;
    // Prevents a busy loop: the poll takes whole milliseconds and would round a shorter wait down to zero, so
    // the wait is rounded up.
    if (!timers_.empty())
        wait_ms = std::min(wait_ms, ((timers_.begin()->first.first - present).micros() + 999) / 1000);
    if (!next_iteration_.empty()) wait_ms = 0;
    setTimeout(Poco::Timespan(wait_ms * 1000));
}

}  // namespace irismux
