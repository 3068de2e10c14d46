// Reads the results of bench/scale (docs/measurements/scale.json) as series against the number of gateways.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "bench/results.hpp"

namespace irismux::bench {

/// Results of all runs that used the same [fleet] settings.
struct ControlVariant {
    std::string name;  // the settings of the variant
    /// Series by name, `ROLE.QUANTITY.EVENT`:
    ///   gateway.{messages_per_s,kb_per_s,worst_kb_per_s,core_percent,memory_mb}.EVENT
    ///   machine.{messages_per_s,kb_per_s,worst_kb_per_s}.EVENT   the busiest control machine
    ///   board.{core_percent,kb_per_s,messages_per_s}.EVENT       the fake notice board
    ///   registry.{core_percent,messages_per_s}.EVENT             all members of the fake registry together
    ///   gateway.last_s.EVENT.WHAT, gateway.p99_s.EVENT.WHAT      time until the change WHAT was in force
    Results results;
    std::vector<std::string> events;                            // events that were measured
    std::vector<std::pair<std::string, std::string>> in_force;  // event and WHAT of each last_s series
    std::vector<std::string> incomplete;                        // changes that did not reach every gateway
};

/// Reads the file. Returns an empty list if the file does not exist. Throws std::runtime_error with a
/// one-line message if the file is unusable.
std::vector<ControlVariant> read_control_results(const std::filesystem::path& file);

}  // namespace irismux::bench
