// What a process under lab/skewed_clock.cpp is told of its clocks: a file of this form, named by
// IRISMUX_CLOCK_SKEW_FILE. A shorter file leaves the fields behind its end at zero.
#pragma once

#include <cstdint>

namespace irismux::test_support {

struct ClockSkew {
    double rate = 1;                 // of the steady clocks
    std::int64_t ahead_us = 0;       // of the steady clocks
    std::int64_t wall_ahead_us = 0;  // of the wall clock
};

}  // namespace irismux::test_support
