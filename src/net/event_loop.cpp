#include "net/event_loop.hpp"

#include <algorithm>

namespace irismux {
namespace {

// Without alarms the reactor still looks up this often, for signals.
constexpr std::int64_t longest_wait_ms = 50;

}  // namespace

EventLoop::EventLoop()
    : anchor_(std::chrono::steady_clock::now()),
      unix_us_(std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
    run_due_timers();
}

TimePoint EventLoop::now() const {
    const auto passed = std::chrono::steady_clock::now() - anchor_;
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
    return TimePoint{} + Duration::micros(unix_us_ + us);
}

EventLoop::Timer EventLoop::schedule_at(TimePoint due, std::function<void()> then) {
    const Timer alarm{due, next_timer_++};
    timers_.emplace(alarm, std::move(then));
    return alarm;
}

// What was put off runs at the head of the next turn, and the poll between does not wait.
void EventLoop::iterate() {
    ++iterations_;
    const auto put_off = std::exchange(next_iteration_, {});
    for (const auto& then : put_off) then();
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
    std::int64_t wait_ms = longest_wait_ms;
    // The poll counts whole milliseconds: rounded up, since rounded down it would spin.
    if (!timers_.empty())
        wait_ms = std::min(wait_ms, ((timers_.begin()->first.first - present).micros() + 999) / 1000);
    if (!next_iteration_.empty()) wait_ms = 0;
    setTimeout(Poco::Timespan(wait_ms * 1000));
}

}  // namespace irismux
