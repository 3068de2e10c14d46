// `irismux fleet ...`: what an operator asks of the fleet by hand.
#pragma once

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

}  // namespace irismux::cli
