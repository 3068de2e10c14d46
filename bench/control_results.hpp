// What bench/scale measured (docs/measurements/scale.json), as series against the number of gateways.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "bench/results.hpp"

namespace irismux::bench {

/// Runs of one setting of [fleet].
struct ControlVariant {
    std::string name;  // the setting
    /// Series by name, `ROLE.QUANTITY.EVENT`:
    ///   gateway.{messages_per_s,kb_per_s,worst_kb_per_s,core_percent,memory_mb}.EVENT
    ///   machine.{messages_per_s,kb_per_s,worst_kb_per_s}.EVENT   the busiest control machine
    ///   board.{core_percent,kb_per_s,messages_per_s}.EVENT       the notice board's stand-in
    ///   registry.{core_percent,messages_per_s}.EVENT             all members of the registry, stand-ins
    ///   gateway.last_s.EVENT.WHAT, gateway.p99_s.EVENT.WHAT      until that was in force
    Results results;
    std::vector<std::string> events;                            // that were measured
    std::vector<std::pair<std::string, std::string>> in_force;  // event and what, of the last_s series
    std::vector<std::string> incomplete;                        // where not every gateway was reached
};

/// None where the file is not there. Throws std::runtime_error with one line where it can't be used.
std::vector<ControlVariant> read_control_results(const std::filesystem::path& file);

}  // namespace irismux::bench
