// The one thread: a SocketReactor with alarms. Its clock is steady, anchored once to the Unix clock.
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

class EventLoop final : public Poco::Net::SocketReactor {
public:
    using Timer = std::pair<TimePoint, std::uint64_t>;

    EventLoop();
    TimePoint now() const;
    Timer schedule_at(TimePoint due, std::function<void()> then);
    Timer schedule_now(std::function<void()> then) { return schedule_at(now(), std::move(then)); }
    void cancel(const Timer& alarm) { timers_.erase(alarm); }

    // Runs before the next wait, after all that has come in with this one: many small writes become few.
    void run_next_iteration(std::function<void()> then) { next_iteration_.push_back(std::move(then)); }

    // Runs the alarms that are due and bounds the next wait by the rest. The reactor has no hook before its
    // poll, so every handler ends with this call.
    void run_due_timers();
    Duration max_timer_delay() const {
        return max_timer_delay_;
    }  // of all alarms so far, the most that one came too late
    // How often the loop has come round: a loop with nothing to do waits up to 50 ms in each turn.
    std::uint64_t iterations() const { return iterations_; }

protected:
    void onBusy() override { iterate(); }
    void onTimeout() override { iterate(); }
    void onIdle() override { iterate(); }  // no socket is watched

private:
    void iterate();

    std::chrono::steady_clock::time_point anchor_;
    std::int64_t unix_us_;
    std::uint64_t next_timer_ = 0, iterations_ = 0;
    std::vector<std::function<void()>> next_iteration_;
    std::map<Timer, std::function<void()>> timers_;
    Duration max_timer_delay_;
};

}  // namespace irismux
