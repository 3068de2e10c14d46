// A queue of the attempts in flight, ordered by the time at which they pass their latency limit.
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
    /// Removes an attempt that has ended. Has no effect if pop_late() has already removed it.
    void erase(const WatchedAttempt& attempt) { attempts_.erase(attempt); }
    /// Removes and returns the next attempt that is past its latency limit, or std::nullopt if there is none.
    std::optional<WatchedAttempt> pop_late(TimePoint now) {
        if (attempts_.empty() || attempts_.begin()->late_after >= now) return std::nullopt;
        return attempts_.extract(attempts_.begin()).value();
    }

private:
    std::set<WatchedAttempt> attempts_;
};

}  // namespace irismux::routing
