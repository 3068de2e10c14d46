// Attempts in flight by the time at which they pass their latency limit.
#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <set>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux::routing {

class LateAttemptQueue {
public:
    struct WatchedAttempt {
        TimePoint late_after;
        RequestId request;
        AttemptIndex attempt;
        auto operator<=>(const WatchedAttempt&) const = default;
    };

    void add(const WatchedAttempt& attempt) { attempts_.insert(attempt); }
    /// An attempt that has ended; nothing if it was late.
    void erase(const WatchedAttempt& attempt) { attempts_.erase(attempt); }
    /// Takes out the next attempt that is past its limit; none: no more.
    std::optional<WatchedAttempt> pop_late(TimePoint now) {
        if (attempts_.empty() || attempts_.begin()->late_after >= now) return std::nullopt;
        return attempts_.extract(attempts_.begin()).value();
    }

private:
    std::set<WatchedAttempt> attempts_;
};

}  // namespace irismux::routing
