// The decisions alone, driven through their Port in virtual time: for sizes that sockets would take too long.
#pragma once

#include <cstdint>
#include <string>

namespace irismux::bench {

/// What one Router is asked.
struct RouterLoad {
    std::uint64_t seed = 1;
    std::uint64_t lookups = 100'000;
    double per_second = 1'000;  // in virtual time
    std::uint64_t objects = 0;  // asked for at random; 0: each lookup asks for another one
    double deadline_s = 3;      // of the object kind
    int listed_caches = 20;
    int parents = 2;
    int purges_in_force = 0;  // of single objects, each renewed before it ends
};

struct RouterCost {
    double us_per_lookup = 0;  // lookup and answer, processor time of the calling thread
    double longest_us = 0;     // the longest single call by the clock
    double us_per_purge = 0;
    double us_per_list = 0;     // a complete list
    double grown_mb = 0;        // resident memory of this process, over that before the first lookup
    std::uint64_t refused = 0;  // nacks and failures
};

/// Runs in a process of its own, started from `self` (this very program), so that its memory is nobody
/// else's. Throws std::runtime_error where it does not end well.
RouterCost measure_router(const std::string& self, const RouterLoad& load);
/// That process: prints its cost. The words are those that measure_router gave it.
void run_router(const std::string& load);

}  // namespace irismux::bench
