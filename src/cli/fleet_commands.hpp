// The sub-commands of `irismux fleet`, with which an operator shows and changes the records of the fleet.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/settings.hpp"

namespace irismux::cli {

// Each function returns the exit code: 0, or 1 after printing one line on standard error.

// --- records of one site (fleet_commands.cpp)

/// Prints the live members, one per line.
int fleet_members(const fleet::Settings& settings);
/// Prints the duties, one per line, with their fencing tokens, owners, release requests and health check
/// results, and then the progress of the garbage collection.
int fleet_duties(const fleet::Settings& settings);
/// Asks the owner of a duty to release the duty, and waits for the next owner. The request stays in effect
/// until the former owner leaves the fleet or joins it again, for example after a restart, or until
/// fleet_restore() withdraws the request. The former owner itself gives up the duty, so two members never act
/// on the duty at one time.
int fleet_release(const fleet::Settings& settings, const std::string& duty);
/// Withdraws the request to release a duty.
int fleet_restore(const fleet::Settings& settings, const std::string& duty);

// --- records of all sites (fleet_in_force_command.cpp, fleet_repair_commands.cpp)

struct InForceQuery {
    /// Number of the queried event; zero: no event is queried.
    std::int64_t event = 0;
    /// Number of the queried configuration; zero: no configuration is queried.
    std::int64_t configuration = 0;
    /// Address of the notice board, which is asked for the number of its newest event.
    std::string board;
    /// Longest wait, in seconds, until the event and the configuration are in force everywhere.
    double wait_s = 0;
};
/// Prints whether the queried event and configuration are in force. Returns exit code 0 if they are in force
/// everywhere, 3 if they are in force at all gateways except the printed gateways and sites, and 4 if they
/// are not in force everywhere yet.
int fleet_in_force(const fleet::Settings& settings, const InForceQuery& query);
/// Removes a permanently stopped gateway from the roster of its site.
int fleet_forget(const fleet::Settings& settings, const std::string& site, const std::string& member);
/// Begins a new generation of the notice board's event numbers. After a restore of the notice board, the
/// operator must run this command before the notice board is started.
int fleet_new_generation(const fleet::Settings& settings);

}  // namespace irismux::cli
