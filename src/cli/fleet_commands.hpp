// `irismux fleet ...`: an operator's view of the fleet, and changes of its records.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/settings.hpp"

namespace irismux::cli {

// Each returns the exit code: 0, or 1 with one line on standard error.

// --- records of one site (fleet_commands.cpp)

/// Prints the live members, one per line.
int fleet_members(const fleet::Settings& settings);
/// Prints the duties with their owners and epochs, one per line, and what else is recorded.
int fleet_duties(const fleet::Settings& settings);
/// Asks the owner of a duty to release it until it is started anew, and waits for the next owner. The owner
/// itself gives it up, so at no time two may act.
int fleet_release(const fleet::Settings& settings, const std::string& duty);
/// Withdraws such a request.
int fleet_restore(const fleet::Settings& settings, const std::string& duty);

// --- records of all sites (fleet_in_force_command.cpp, fleet_repair_commands.cpp)

struct InForceQuery {
    std::int64_t event = 0;          ///< number of an event; zero: not asked for
    std::int64_t configuration = 0;  ///< number of a configuration; zero: not asked for
    std::string board;               ///< address of the notice board, for its newest event
    double wait_s = 0;               ///< longest wait until it is in force everywhere, in seconds
};
/// Prints whether that is in force. Exit code 0: everywhere; 3: at all gateways but those printed; 4: not
/// yet.
int fleet_in_force(const fleet::Settings& settings, const InForceQuery& query);
/// Removes a gateway that will not come back from the roster of its site.
int fleet_forget(const fleet::Settings& settings, const std::string& site, const std::string& member);
/// Begins a new generation of the board's event numbers, before a restored board is started.
int fleet_new_generation(const fleet::Settings& settings);

}  // namespace irismux::cli
