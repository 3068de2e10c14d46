#include "fleet/clocks.hpp"

#include <time.h>

namespace irismux::fleet {
namespace {

std::int64_t microseconds_of(clockid_t clock) {
    timespec time{};
    ::clock_gettime(clock, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
}

}  // namespace

TimePoint boot_time() { return TimePoint{} + Duration::micros(microseconds_of(CLOCK_BOOTTIME)); }

std::int64_t unix_time_ms() { return microseconds_of(CLOCK_REALTIME) / 1000; }

}  // namespace irismux::fleet
