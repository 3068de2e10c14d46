// Every interleaving of a few members and faults, as far as asked for.
//
//   irismux_explore [MEMBERS] [FAULTS] [TICKS] [MOST_STATES]
#include <cstdlib>
#include <iostream>

#include "testing/interleaving_explorer.hpp"

int main(int argc, char** argv) {
    irismux::test_support::ExplorationBounds b;
    if (argc > 1) b.members = static_cast<std::size_t>(std::atoll(argv[1]));
    if (argc > 2) b.faults = std::atoi(argv[2]);
    if (argc > 3) b.ticks = std::atoi(argv[3]);
    if (argc > 4) b.max_states = static_cast<std::uint64_t>(std::atoll(argv[4]));
    bool good = true;
    for (const bool slow : {true, false}) {
        b.first_is_slow = slow;
        const irismux::test_support::ExplorationResult e = irismux::test_support::explore(b);
        std::cout << b.members << " members, the first " << (slow ? "slow" : "fast") << ", " << b.faults
                  << " faults, " << b.ticks << " ticks: " << e.states << " states, "
                  << (e.complete ? "all there are" : "given up") << '\n';
        for (const std::string& line : e.path) std::cout << line << '\n';
        good = good && e.path.empty() && e.complete;
    }
    return good ? 0 : 1;
}
