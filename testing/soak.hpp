// A soak test of one gateway process, from a seed. Clients behave well, cancel requests, repeat ids, send
// malformed bytes or only open connections. Caches answer late, twice, with errors or not at all, close
// connections and drain. The notice board falls silent, breaks connections and publishes purges. System calls
// fail, and the wall clock is stepped. The process gets SIGHUP while it runs, then SIGTERM and further
// signals while clients keep using their connections, and SIGKILL at the earliest time that the platform
// allows.
//
// The verdicts come from the records of clients and caches. The same seed draws the same script; the timing
// between its steps depends on the machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "testing/shims.hpp"

namespace irismux::test_support {

struct SoakOptions {
    std::string program;
    ShimLibraries shims;
    std::uint64_t seed = 1;
    double seconds = 3;  // time until SIGTERM
};

struct SoakResult {
    std::vector<std::string> violations;  // each begins with the number of its rule if it has one
    bool killed = false;                  // the process still ran at SIGKILL
    std::size_t requests = 0, served = 0, rejected = 0, failed = 0, attempts = 0;
    std::string script;    // the drawn script in one line
    std::string log_tail;  // end of the process's log
};

SoakResult run_soak(const SoakOptions& options);

}  // namespace irismux::test_support
