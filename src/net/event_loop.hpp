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

class Loop final : public Poco::Net::SocketReactor {
public:
    using Alarm = std::pair<Instant, std::uint64_t>;

    Loop();
    Instant now() const;
    Alarm at(Instant due, std::function<void()> then);
    Alarm soon(std::function<void()> then) { return at(now(), std::move(then)); }
    void forget(const Alarm& alarm) { alarms_.erase(alarm); }

    // Runs before the next wait, after all that has come in with this one: many small writes become few.
    void next_turn(std::function<void()> then) { next_turn_.push_back(std::move(then)); }

    // Runs the alarms that are due and bounds the next wait by the rest. The reactor has no hook before its
    // poll, so every handler ends with this call.
    void settle();
    Span latest() const { return latest_; }  // of all alarms so far, the most that one came too late
    // How often the loop has come round: a loop with nothing to do waits up to 50 ms in each turn.
    std::uint64_t turns() const { return turns_; }

protected:
    void onBusy() override { turn(); }
    void onTimeout() override { turn(); }
    void onIdle() override { turn(); }  // no socket is watched

private:
    void turn();

    std::chrono::steady_clock::time_point anchor_;
    std::int64_t unix_us_;
    std::uint64_t next_ = 0, turns_ = 0;
    std::vector<std::function<void()>> next_turn_;
    std::map<Alarm, std::function<void()>> alarms_;
    Span latest_;
};

}  // namespace irismux
