#include "net/event_loop.hpp"

#include <algorithm>

namespace irismux {
namespace {

// Without alarms the reactor still looks up this often, for signals.
constexpr std::int64_t longest_wait_ms = 50;

}  // namespace

Loop::Loop()
    : anchor_(std::chrono::steady_clock::now()),
      unix_us_(std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {
    settle();
}

Instant Loop::now() const {
    const auto passed = std::chrono::steady_clock::now() - anchor_;
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(passed).count();
    return Instant{} + Span::micros(unix_us_ + us);
}

Loop::Alarm Loop::at(Instant due, std::function<void()> then) {
    const Alarm alarm{due, next_++};
    alarms_.emplace(alarm, std::move(then));
    return alarm;
}

// What was put off runs at the head of the next turn, and the poll between does not wait.
void Loop::turn() {
    ++turns_;
    const auto put_off = std::exchange(next_turn_, {});
    for (const auto& then : put_off) then();
    settle();
}

void Loop::settle() {
    Instant present = now();
    while (!alarms_.empty() && alarms_.begin()->first.first <= present) {
        auto due = alarms_.extract(alarms_.begin());
        latest_ = std::max(latest_, present - due.key().first);
        due.mapped()();
        present = now();
    }
    std::int64_t wait_ms = longest_wait_ms;
    // The poll counts whole milliseconds: rounded up, since rounded down it would spin.
    if (!alarms_.empty())
        wait_ms = std::min(wait_ms, ((alarms_.begin()->first.first - present).micros() + 999) / 1000);
    if (!next_turn_.empty()) wait_ms = 0;
    setTimeout(Poco::Timespan(wait_ms * 1000));
}

}  // namespace irismux
