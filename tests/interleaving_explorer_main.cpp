// Explores every interleaving of the steps of a few fleet members and of a few faults, within the bounds
// given as arguments. Exits with 1 if an invariant was violated or the search stopped at MAX_STATES.
//
//   irismux_explore [MEMBERS] [FAULTS] [TICKS] [MAX_STATES]
#include <cstdlib>
#include <iostream>

#include "testing/interleaving_explorer.hpp"

int main(int argc, char** argv) {
    irismux::test_support::ExplorationBounds bounds;
    if (argc > 1) bounds.members = static_cast<std::size_t>(std::atoll(argv[1]));
    if (argc > 2) bounds.faults = std::atoi(argv[2]);
    if (argc > 3) bounds.ticks = std::atoi(argv[3]);
    if (argc > 4) bounds.max_states = static_cast<std::uint64_t>(std::atoll(argv[4]));
    bool passed = true;
    for (const bool slow : {true, false}) {
        bounds.first_is_slow = slow;
        const irismux::test_support::ExplorationResult result = irismux::test_support::explore(bounds);
        std::cout << bounds.members << " fleet members, the first with a " << (slow ? "slow" : "fast")
                  << " clock, at most " << bounds.faults << " faults in " << bounds.ticks
                  << " ticks: the search visited " << result.states << " states and "
                  << (result.complete ? "did not reach" : "stopped at") << " the maximum number of states"
                  << '\n';
        for (const std::string& line : result.path) std::cout << line << '\n';
        passed = passed && result.path.empty() && result.complete;
    }
    return passed ? 0 : 1;
}
