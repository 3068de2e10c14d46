// A shim library that changes the rate of a process's steady clocks and makes these clocks jump, as on a
// machine that was suspended. It also steps the process's wall clock. LD_PRELOAD loads the library into the
// process. The environment variable IRISMUX_CLOCK_SKEW_FILE holds the path of a file with a
// test_support::ClockSkew; a test may change the file while the process runs.
#include "testing/skewed_clock.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>

namespace {

using irismux::test_support::ClockSkew;

using Clock = int (*)(clockid_t, timespec*);

Clock real() {
    static const Clock found = reinterpret_cast<Clock>(dlsym(RTLD_NEXT, "clock_gettime"));
    return found;
}

const volatile ClockSkew* skew() {
    static const ClockSkew* const shared = [] {
        const char* path = std::getenv("IRISMUX_CLOCK_SKEW_FILE");
        const int file = path ? ::open(path, O_RDONLY) : -1;
        if (file < 0) return static_cast<const ClockSkew*>(nullptr);
        void* at = ::mmap(nullptr, sizeof(ClockSkew), PROT_READ, MAP_SHARED, file, 0);
        ::close(file);
        return at == MAP_FAILED ? nullptr : static_cast<const ClockSkew*>(at);
    }();
    return shared;
}

std::int64_t micros(const timespec& t) { return t.tv_sec * 1'000'000 + t.tv_nsec / 1000; }

void set_time(timespec* t, std::int64_t us) {
    t->tv_sec = us / 1'000'000;
    t->tv_nsec = us % 1'000'000 * 1000;
}

}  // namespace

extern "C" int clock_gettime(clockid_t id, timespec* t) {
    const int failed = real()(id, t);
    if (failed != 0 || !skew()) return failed;
    if (id == CLOCK_REALTIME) set_time(t, micros(*t) + skew()->wall_ahead_us);
    if (id != CLOCK_MONOTONIC && id != CLOCK_BOOTTIME) return 0;
    static const std::int64_t first = micros(*t);
    const auto passed = static_cast<double>(micros(*t) - first) * skew()->rate;
    set_time(t, first + static_cast<std::int64_t>(passed) + skew()->ahead_us);
    return 0;
}
