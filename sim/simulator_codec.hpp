// Converts between the simulator's messages, which are JSON with fixed words, and the router's types.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "irismux/router.hpp"

namespace irismux::sim {

// Messages from the simulator. Each function throws std::runtime_error if a field is missing or invalid.
[[nodiscard]] EndpointUpdate read_endpoint_update(const nlohmann::json& message);
/// Leaves `id` and `kind` unset; the caller sets them.
[[nodiscard]] Request read_request(const nlohmann::json& message);
[[nodiscard]] AttemptResult read_attempt_result(RequestId request, const nlohmann::json& message);

// Messages to the simulator. `request` is the simulator's name of the request.
[[nodiscard]] nlohmann::json start_direct_attempt_message(const std::string& request, const CacheId& origin,
                                                          Duration timeout);
[[nodiscard]] nlohmann::json start_attempt_message(const std::string& request, const AttemptPlan& plan);
[[nodiscard]] nlohmann::json cancel_attempt_message(const std::string& request, AttemptIndex attempt);
[[nodiscard]] nlohmann::json reject_message(const std::string& request, Duration retry_after);
[[nodiscard]] nlohmann::json fail_message(const std::string& request);
[[nodiscard]] nlohmann::json set_timer_message(TimerId timer, TimePoint due);
[[nodiscard]] nlohmann::json subscribe_message();

}  // namespace irismux::sim
