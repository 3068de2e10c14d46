// The event loop: a Poco SocketReactor with timers. One thread runs everything.
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

/// Calls back for sockets, timers and deferred work, on the thread that runs it. An exception in a timer's
/// callback is logged by the reactor and ends that callback alone.
class EventLoop final : public Poco::Net::SocketReactor {
public:
    /// Names one timer. Its number is never given twice, so cancelling a timer that has run does nothing.
    using Timer = std::pair<TimePoint, std::uint64_t>;

    EventLoop();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// The present time of a steady clock, which is anchored once to the Unix clock.
    [[nodiscard]] TimePoint now() const;
    /// Calls back once, at `due` or up to a millisecond later. Whoever owns what the callback uses holds a
    /// ScopedTimer instead.
    Timer schedule_at(TimePoint due, std::function<void()> callback);
    /// Calls back once, after the handler that runs now.
    Timer schedule_now(std::function<void()> callback) { return schedule_at(now(), std::move(callback)); }
    void cancel(const Timer& timer) { timers_.erase(timer); }
    [[nodiscard]] bool is_pending(const Timer& timer) const { return timers_.contains(timer); }

    /// Calls back in the next iteration, after all input that is ready by then: small writes are collected.
    void run_next_iteration(std::function<void()> callback) {
        next_iteration_.push_back(std::move(callback));
    }

    /// Runs the timers that are due and limits the next wait to the earliest of the others. The reactor has
    /// no hook before its poll, so every handler ends with this call.
    void run_due_timers();
    /// The longest time by which a timer has run late so far.
    [[nodiscard]] Duration max_timer_delay() const { return max_timer_delay_; }
    /// Iterations so far. An idle loop waits up to 50 ms in each.
    [[nodiscard]] std::uint64_t iterations() const { return iterations_; }

protected:
    void onBusy() override { iterate(); }
    void onTimeout() override { iterate(); }
    void onIdle() override { iterate(); }  // no socket is watched

private:
    void iterate();

    std::chrono::steady_clock::time_point steady_start_;
    std::int64_t unix_start_us_;
    std::uint64_t next_timer_ = 0, iterations_ = 0;
    std::vector<std::function<void()>> next_iteration_;
    std::map<Timer, std::function<void()>> timers_;
    Duration max_timer_delay_;
};

/// Owns one timer of a loop: cancels it when destroyed or assigned anew. While its callback runs it is no
/// longer pending. Must be destroyed or cancelled before its loop is.
class ScopedTimer {
public:
    ScopedTimer() = default;
    /// Calls back once, at `due`.
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
