// Measures the Router alone, for sizes that would take too long over sockets. The measurement drives the
// Router through its callback interface in virtual time.
#pragma once

#include <cstdint>
#include <string>

namespace irismux::bench {

/// Load on one Router.
struct RouterLoad {
    std::uint64_t seed = 1;
    std::uint64_t lookups = 100'000;
    double per_second = 1'000;  // lookups per second of virtual time
    std::uint64_t objects = 0;  // number of objects requested at random; 0: a new object for each lookup
    double deadline_s = 3;      // deadline of the object kind
    int listed_caches = 20;
    int parents = 2;
    int purges_in_force = 0;  // purges of single objects, each renewed before it expires
};

struct RouterCost {
    double us_per_lookup = 0;  // processor time of the calling thread for a lookup and its response
    double longest_us = 0;     // longest single lookup in wall-clock time
    double us_per_purge = 0;
    double us_per_list = 0;     // for a complete endpoint list
    double grown_mb = 0;        // growth of this process's resident memory since before the first lookup
    std::uint64_t refused = 0;  // number of nacks and failures
};

/// Runs the measurement in a child process, started from `self` (this program's path), so that the measured
/// memory is the Router's alone. Throws std::runtime_error if the child fails.
RouterCost measure_router(const std::string& self, const RouterLoad& load);
/// Entry point of the child process: prints the cost as JSON. `load` is the JSON text from measure_router().
void run_router(const std::string& load);

}  // namespace irismux::bench
