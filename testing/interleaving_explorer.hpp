// Explores every interleaving of a few Agents and a bounded number of faults. The search starts from a fleet
// at rest. It proceeds breadth first, tick by tick, and visits each state once. Therefore it reports the
// first violated invariant with a shortest path to the violation.
//
// A tick is an eighth of a term. In a tick, each running process receives the changes from its watch and
// wakes. It makes one fenced write if its Agent permits it to begin one. The registry then runs the
// transactions of the process, and their results are delivered to the process. The search tries both orders
// in which the processes can run.
//
// Each fault can hit any fleet member at any tick, up to a total number of faults. The faults of a member
// are:
//    a request of the member is lost, or the reply to it is lost
//    a request of the member arrives at any later tick
//    the process stops, stops after sending a request, or stops after its request was committed; it resumes
//      at any later tick
//    the member is partitioned until any later tick
//    the process crashes and restarts at any later tick
//
// The registry can also be restored from a backup that is at least a term old, which counts as a fault.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace irismux::test_support {

struct ExplorationBounds {
    std::size_t members = 2;
    int ticks = 24;
    int faults = 1;
    /// The search stops when it has visited this number of states, and its result is then incomplete.
    std::uint64_t max_states = 2'000'000;
    /// Drift of the clocks, as a share of real time. The first member's clock is slow and the second member's
    /// clock is fast by this share, or the other way round if `first_is_slow` is false.
    double drift = 0.25;
    bool first_is_slow = true;
};

struct ExplorationResult {
    std::uint64_t states = 0;
    bool complete = true;  // false if the search stopped at max_states
    /// The events that led to a violation, with one line for each tick that had an event. Empty if no
    /// invariant was violated.
    std::vector<std::string> path;
};

ExplorationResult explore(const ExplorationBounds& bounds);

}  // namespace irismux::test_support
