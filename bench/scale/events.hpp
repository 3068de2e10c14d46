// The events that a fleet of a given size is exposed to, and the measurements taken during each event.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/scale/rig.hpp"

namespace irismux::scale {

// Distribution of the times that a change took to come into force, over the gateways that the change had to
// reach.
struct Reached {
    std::size_t of = 0, reached = 0;
    double median_s = 0, p99_s = 0, last_s = 0;
};
Reached reached(const InForceTimes& in_force, std::int64_t since_us,
                const std::vector<std::size_t>& gateways);

struct EventResult {
    std::string name;
    double seconds = 0;  // length of the measurement
    Rate stubs;          // written as "hollow" to result files
    // `real` and `compared_stubs` are set only if there are real gateways. `compared_stubs` covers the stub
    // gateways that were exposed to the event in the same way as the real gateways. Result files name this
    // field "beside".
    std::optional<Rate> real, compared_stubs;
    double cores_per_gateway = 0, cores_per_real_gateway = 0;  // share of one core
    std::map<std::string, double> cores_by_role;               // share of one core
    double bytes_per_gateway = 0, bytes_per_real_gateway = 0;  // memory at the end of the measurement
    std::map<std::string, Reached> in_force;
    std::string note;
};
nlohmann::json to_json(const EventResult& result);

// Names of all events, in execution order.
const std::vector<std::string>& event_names();

// Starts all gateways and waits until each stub gateway has the complete list of fleet members, the endpoint
// list and all purges. Then runs the named events. Prints progress on standard error.
nlohmann::json run_events(Rig& rig, const std::vector<std::string>& names);

}  // namespace irismux::scale
