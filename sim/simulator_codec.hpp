// The simulator's messages: JSON whose words are fixed, and the router's types that they stand for.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "irismux/router.hpp"

namespace irismux::sim {

// What the simulator sends. Each throws std::runtime_error if a field is missing or not as it must be.
[[nodiscard]] EndpointUpdate read_endpoint_update(const nlohmann::json& message);
/// Without id and kind, which the caller knows.
[[nodiscard]] Request read_request(const nlohmann::json& message);
[[nodiscard]] AttemptResult read_attempt_result(RequestId request, const nlohmann::json& message);

// What the simulator is sent. `request` is its name there.
[[nodiscard]] nlohmann::json start_direct_attempt_message(const std::string& request, const CacheId& origin,
                                                          Duration timeout);
[[nodiscard]] nlohmann::json start_attempt_message(const std::string& request, const AttemptPlan& plan);
[[nodiscard]] nlohmann::json cancel_attempt_message(const std::string& request, AttemptIndex attempt);
[[nodiscard]] nlohmann::json reject_message(const std::string& request, Duration retry_after);
[[nodiscard]] nlohmann::json fail_message(const std::string& request);
[[nodiscard]] nlohmann::json set_timer_message(TimerId timer, TimePoint due);
[[nodiscard]] nlohmann::json subscribe_message();

}  // namespace irismux::sim
