// Every interleaving of a few Agents and a bounded number of faults: from a fleet at rest, tick by tick,
// each state once, breadth first, so that the first broken guarantee comes with a shortest path to it.
//
// A tick is an eighth of a term. In a tick each process that runs hears the watch, has its transactions
// settled and answered, wakes and writes one work where it may begin one; in either order. Faults, each at
// any tick to any member, so many in all: its request is lost, its answer is lost, its request lands at any
// later tick, it stops (and goes on at any later tick), it stops after its request was settled, it is cut off
// (until any later tick), it dies (and starts anew at any later tick); and the registry goes back to a backup
// a term old.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace irismux::test_support {

struct ExplorationBounds {
    std::size_t members = 2;
    int ticks = 24;
    int faults = 1;
    std::uint64_t max_states = 2'000'000;  // beyond, it gives up and says so
    double drift = 0.25;                   // of the clocks: the first as slow, the second as fast as that,
    bool first_is_slow = true;             // or the other way round
};

struct ExplorationResult {
    std::uint64_t states = 0;
    bool complete = true;  // not given up
    std::vector<std::string>
        path;  // what happened, a line a tick with something to tell; empty: nothing broke
};

ExplorationResult explore(const ExplorationBounds& bounds);

}  // namespace irismux::test_support
