/// The two clocks of a member's process.
#pragma once

#include <cstdint>

#include "irismux/time.hpp"

namespace irismux::fleet {

/// Steady, and also counts the time during which the machine is suspended (CLOCK_BOOTTIME). Terms and waits
/// are judged by it. Its instants compare only with one another, not with those of the event loop.
[[nodiscard]] TimePoint boot_time();
/// The wall clock, in milliseconds; for people only, since it may be stepped.
[[nodiscard]] std::int64_t unix_time_ms();

}  // namespace irismux::fleet
