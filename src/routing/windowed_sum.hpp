// A sum over a sliding window, stored as a fixed number of partial sums.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "irismux/time.hpp"

namespace irismux::routing {

template <std::size_t parts>
class WindowedSum {
public:
    void add(double amount, TimePoint now, Duration window) {
        const std::int64_t part = part_of(now, window);
        Part& p = parts_[static_cast<std::size_t>(part) % parts_.size()];
        if (p.index != part) p = {part, 0};
        p.amount += amount;
    }
    /// @return sum since `start` within the window. The part that contains `start` is counted as a whole.
    double since(TimePoint start, TimePoint now, Duration window) const {
        const std::int64_t first = part_of(std::max(start, now - window), window);
        double sum = 0;
        for (const Part& p : parts_) sum += p.index >= first ? p.amount : 0;
        return sum;
    }

private:
    struct Part {
        std::int64_t index = 0;
        double amount = 0;
    };
    std::array<Part, parts + 1> parts_{};
    static std::int64_t part_of(TimePoint t, Duration window) {
        const std::int64_t part = window.micros() / static_cast<std::int64_t>(parts);
        return (t - TimePoint{}).micros() / std::max<std::int64_t>(1, part);
    }
};

}  // namespace irismux::routing
