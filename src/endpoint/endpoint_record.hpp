// One line of the list of caches, as boards and registries write it: JSON with "id", "state" (Ready,
// Terminating, Gone), and "zone", "kind", "cell", "weight", "started_ms" (Unix clock, milliseconds) and
// "addr" where told.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>

#include "irismux/router.hpp"

namespace irismux {

using EndpointRecord = std::pair<EndpointUpdate, std::string>;  // with its address; empty: as before

// Throws std::runtime_error with plain words for what is wrong.
EndpointRecord parse_endpoint_record(const nlohmann::json& line);

// An instant of the Unix clock.
TimePoint time_from_unix_ms(std::int64_t ms);

}  // namespace irismux
