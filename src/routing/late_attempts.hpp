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
    struct Entry {
        TimePoint late_after;
        RequestId request;
        AttemptIndex attempt;
        auto operator<=>(const Entry&) const = default;
    };

    void add(const Entry& entry) { entries_.insert(entry); }
    /// An attempt that has ended; nothing if it was late.
    void erase(const Entry& entry) { entries_.erase(entry); }
    /// Takes out the next attempt that is past its limit; none: no more.
    std::optional<Entry> pop_late(TimePoint now) {
        if (entries_.empty() || entries_.begin()->late_after >= now) return std::nullopt;
        return entries_.extract(entries_.begin()).value();
    }

private:
    std::set<Entry> entries_;
};

}  // namespace irismux::routing
