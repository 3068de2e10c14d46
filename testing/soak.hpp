// A soak test of one gateway process, with a script that is drawn from a seed. Clients behave well, cancel
// requests, repeat ids, send malformed bytes or only open connections. Caches respond late, twice, with
// errors or not at all, close connections and drain. The notice board falls silent, breaks connections and
// publishes purges. System calls fail, and the wall clock is stepped. The process gets SIGHUP while it runs.
// At the end it gets SIGTERM and further signals while clients keep using their connections, and SIGKILL at
// the earliest time that the platform allows.
//
// The test judges the gateway by what the clients and caches have recorded. The same seed draws the same
// script, but the timing between the steps of the script depends on the machine.
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
    std::vector<std::string> violations;  // a text begins with the number of the violated rule, if any
    bool killed = false;                  // the process still ran at SIGKILL
    std::size_t requests = 0, served = 0, rejected = 0, failed = 0, attempts = 0;
    std::string script;    // the drawn script in one line
    std::string log_tail;  // end of the process's log
};

SoakResult run_soak(const SoakOptions& options);

}  // namespace irismux::test_support
