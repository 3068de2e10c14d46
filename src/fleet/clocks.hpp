/// The clocks that a member uses.
#pragma once

#include <cstdint>

#include "irismux/time.hpp"

namespace irismux::fleet {

/// Steady clock that also counts the time during which the machine is suspended (CLOCK_BOOTTIME). Terms and
/// waits are measured with it. Its times are comparable only with one another, not with the event loop's.
[[nodiscard]] TimePoint boot_time();
/// Wall clock in milliseconds. Use this clock only for display, since the wall clock may be stepped.
[[nodiscard]] std::int64_t unix_time_ms();

}  // namespace irismux::fleet
