// The settings of the shim testing/skewed_clock.cpp: rate and offsets of the clocks that a process sees. The
// process maps a file of this layout, whose path the environment variable IRISMUX_CLOCK_SKEW_FILE holds. In a
// shorter file the fields behind its end are zero.
#pragma once

#include <cstdint>

namespace irismux::test_support {

struct ClockSkew {
    double rate = 1;                 // rate of the steady clocks
    std::int64_t ahead_us = 0;       // offset of the steady clocks
    std::int64_t wall_ahead_us = 0;  // offset of the wall clock
};

}  // namespace irismux::test_support
