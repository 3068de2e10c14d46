// `irismux fleet ...`: what an operator asks of the fleet by hand.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/settings.hpp"

namespace irismux::cli {

// Each returns the exit code: 0, or 1 with one plain line on standard error.
int fleet_members(const fleet::Settings& settings);  // who lives, a line each
int fleet_duties(
    const fleet::Settings& settings);  // who owns what under which epoch, and what else is written
// Asks the owner to leave that duty to others until it is started anew: it gives it up itself, so that at no
// instant two may act. Waits for that, and says what has come of it.
int fleet_release(const fleet::Settings& settings, const std::string& duty);
// Takes that word back.
int fleet_restore(const fleet::Settings& settings, const std::string& duty);

struct InForceQuestion {
    std::int64_t event = 0, configuration = 0;  // zero: not asked
    std::string board;                          // its address; asked for its newest event
    double wait_s = 0;                          // until it is everywhere, at most
};
// Whether that is in force everywhere (exit code 0), at all but those that are named (3), or not yet (4).
int fleet_in_force(const fleet::Settings& settings, const InForceQuestion& question);
// Takes a name that nobody lives under from its site's roster: it is not waited for any more.
int fleet_forget(const fleet::Settings& settings, const std::string& site, const std::string& member);
// The board's numbers begin anew: before a restored board goes on.
int fleet_new_generation(const fleet::Settings& settings);

}  // namespace irismux::cli
