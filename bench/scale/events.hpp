// The events that a fleet of a given size is put through, and what is measured of each.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/scale/rig.hpp"

namespace irismux::scale {

// Times until something was in force, over the gateways that it had to reach.
struct Reached {
    std::size_t of = 0, reached = 0;
    double median_s = 0, p99_s = 0, last_s = 0;
};
Reached reached(const InForceTimes& in_force, std::int64_t since_us,
                const std::vector<std::size_t>& gateways);

struct EventResult {
    std::string name;
    double seconds = 0;  // measured
    Rate stubs;
    std::optional<Rate> real,
        compared_stubs;  // and the hollow ones that met the same, where there are real ones
    double cores_per_gateway = 0, cores_per_real_gateway = 0;  // of one core
    std::map<std::string, double> cores_by_role;               // of one core
    double bytes_per_gateway = 0, bytes_per_real_gateway = 0;  // bytes, at the end
    std::map<std::string, Reached> in_force;
    std::string note;
};
nlohmann::json to_json(const EventResult& result);

// Names of all events, in the order in which they are run.
const std::vector<std::string>& event_names();

// Starts all gateways, waits until each knows of all, and runs the events named. Says on standard error how
// far it is.
nlohmann::json run_events(Rig& rig, const std::vector<std::string>& names);

}  // namespace irismux::scale
