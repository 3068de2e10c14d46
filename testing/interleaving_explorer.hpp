// Explores every interleaving of a few Agents and a bounded number of faults. The search starts from a fleet
// at rest and goes breadth first, tick by tick, visiting each state once, so that the first violated
// invariant is reported with a shortest path to it.
//
// A tick is an eighth of a term. In a tick each running process receives the watch's changes, wakes, makes
// one fenced write if it may begin one, and has its transactions committed and answered; the processes run in
// either order. Each fault can hit any member at any tick, up to a total number of faults: its request is
// lost, its response is lost, its request arrives at any later tick, it stops (and resumes at any later
// tick), it stops after sending its request, it stops after its request was committed, it is partitioned
// (until any later tick), it crashes (and restarts at any later tick). The registry can also be restored from
// a backup that is a term old.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace irismux::test_support {

struct ExplorationBounds {
    std::size_t members = 2;
    int ticks = 24;
    int faults = 1;
    /// The search stops at this number of states and is then incomplete.
    std::uint64_t max_states = 2'000'000;
    /// Drift of the clocks: the first member's clock is slow and the second's is fast by this share, or the
    /// other way round.
    double drift = 0.25;
    bool first_is_slow = true;
};

struct ExplorationResult {
    std::uint64_t states = 0;
    bool complete = true;  // false if the search stopped at max_states
    /// The events that led to a violation, a line for each tick with an event; empty if no invariant was
    /// violated.
    std::vector<std::string> path;
};

ExplorationResult explore(const ExplorationBounds& bounds);

}  // namespace irismux::test_support
