// A soak of one real process between misbehaving far ends, from a seed: clients that are good, impatient,
// repeat ids, send bad bytes or come as a crowd; caches that answer late, twice, with errors, not at all or
// close, that drain and come; a board that falls silent, breaks off and purges; calls that fail, a wall clock
// that is stepped; SIGHUP while it runs, SIGTERM in series, clients that go on using their connections, and
// SIGKILL at the earliest moment.
//
// Verdicts come from the ledgers of the far ends. The same seed draws the same script; what happens between
// its steps is the machine's.
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
    double seconds = 3;  // until SIGTERM
};

struct SoakResult {
    std::vector<std::string> violations;  // each with its rule; empty: none
    bool killed = false;                  // it still ran when SIGKILL came
    std::size_t requests = 0, served = 0, rejected = 0, failed = 0, attempts = 0;
    std::string script;    // what was drawn, in a line
    std::string log_tail;  // of the process
};

SoakResult run_soak(const SoakOptions& options);

}  // namespace irismux::test_support
