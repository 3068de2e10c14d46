// One record of the endpoint list, as the notice board and the registry both write it: JSON with "id",
// "state" (Ready, Terminating, Gone), and optionally "zone", "kind", "cell", "weight", "started_ms" (Unix
// clock, milliseconds) and "addr".
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>

#include "irismux/endpoint.hpp"

namespace irismux {

/// An update with the endpoint's address. Empty: the address is as it was.
using EndpointRecord = std::pair<EndpointUpdate, std::string>;

/// Throws std::runtime_error that says which field is missing or wrong.
[[nodiscard]] EndpointRecord parse_endpoint_record(const nlohmann::json& record);

/// A point of the Unix clock. Values that are too large to compute with are limited.
[[nodiscard]] TimePoint time_from_unix_ms(std::int64_t ms);

}  // namespace irismux
