// Settings of the shim library testing/skewed_clock.cpp: rate and offsets of the clocks that a process sees.
// A process that runs under the shim maps a file of this layout into its memory. The environment variable
// IRISMUX_CLOCK_SKEW_FILE holds the path of the file. If the file is shorter than the layout, the fields
// beyond its end are zero.
#pragma once

#include <cstdint>

namespace irismux::test_support {

struct ClockSkew {
    double rate = 1;                 // rate of the steady clocks
    std::int64_t ahead_us = 0;       // offset of the steady clocks
    std::int64_t wall_ahead_us = 0;  // offset of the wall clock
};

}  // namespace irismux::test_support
