// The event loop: a Poco SocketReactor with timers. All callbacks run on one thread.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "irismux/time.hpp"

namespace irismux {

/// Runs callbacks for sockets, timers and deferred work on the thread that runs the loop. An exception in a
/// timer's callback is logged by the reactor and ends only that callback.
class EventLoop final : public Poco::Net::SocketReactor {
public:
    /// Identifies a timer. Its number is never reused, so cancelling a timer that has run does nothing.
    using Timer = std::pair<TimePoint, std::uint64_t>;

    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// The current time of a steady clock that was set once, when the loop was created, to the Unix time.
    [[nodiscard]] TimePoint now() const;
    /// Runs the callback once, at `due` or up to a millisecond later. An owner of objects that the callback
    /// uses should hold a ScopedTimer instead.
    Timer schedule_at(TimePoint due, std::function<void()> callback);
    /// Runs the callback once, after the current handler.
    Timer schedule_now(std::function<void()> callback) { return schedule_at(now(), std::move(callback)); }
    void cancel(const Timer& timer) { timers_.erase(timer); }
    [[nodiscard]] bool is_pending(const Timer& timer) const { return timers_.contains(timer); }

    /// Runs the callback in the next iteration, after all input that is ready by then has been handled. Used
    /// to combine small writes.
    void run_next_iteration(std::function<void()> callback) {
        next_iteration_.push_back(std::move(callback));
    }

    /// Runs the timers that are due. Limits the next wait so that it ends at the latest when the earliest
    /// other timer is due. The reactor has no hook before its poll, so every handler must end with a call of
    /// this function.
    void run_due_timers();
    /// The longest delay so far between the time at which a timer was due and the time at which it ran.
    [[nodiscard]] Duration max_timer_delay() const { return max_timer_delay_; }
    /// Number of iterations so far. An idle loop waits up to 50 ms in each iteration.
    [[nodiscard]] std::uint64_t iterations() const { return iterations_; }

protected:
    void onBusy() override { iterate(); }
    void onTimeout() override { iterate(); }
    void onIdle() override { iterate(); }  // called if no socket is watched

private:
    void iterate();

    std::chrono::steady_clock::time_point steady_start_;
    std::int64_t unix_start_us_;
    std::uint64_t next_timer_ = 0, iterations_ = 0;
    std::vector<std::function<void()>> next_iteration_;
    std::map<Timer, std::function<void()>> timers_;
    Duration max_timer_delay_;
};

/// Owns one timer of a loop and cancels it when destroyed or reassigned. The timer is no longer pending while
/// its callback runs. Must be destroyed or cancelled before its loop is destroyed.
class ScopedTimer {
public:
    ScopedTimer() = default;
    /// Runs the callback once, at `due`.
    ScopedTimer(EventLoop& loop, TimePoint due, std::function<void()> callback)
        : event_loop_(&loop), timer_(loop.schedule_at(due, std::move(callback))) {}
    ~ScopedTimer() { cancel(); }
    ScopedTimer(ScopedTimer&& other) noexcept
        : event_loop_(std::exchange(other.event_loop_, nullptr)), timer_(std::move(other.timer_)) {}
    ScopedTimer& operator=(ScopedTimer&& other) noexcept {
        if (this == &other) return *this;
        cancel();
        event_loop_ = std::exchange(other.event_loop_, nullptr);
        timer_ = std::move(other.timer_);
        return *this;
    }
    ScopedTimer(const ScopedTimer&) = delete;
    ScopedTimer& operator=(const ScopedTimer&) = delete;

    void cancel() noexcept {
        if (EventLoop* const loop = std::exchange(event_loop_, nullptr)) loop->cancel(timer_);
    }
    /// Whether the callback has yet to run.
    [[nodiscard]] bool pending() const { return event_loop_ && event_loop_->is_pending(timer_); }

private:
    EventLoop* event_loop_ = nullptr;
    EventLoop::Timer timer_{};
};

}  // namespace irismux
