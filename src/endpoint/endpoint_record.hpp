// Parses a record of the endpoint list. The notice board and the registry use the same JSON format, with
// "id", "state" (Ready, Terminating, Gone), and optionally "zone", "kind", "cell", "weight", "started_ms"
// (Unix clock, milliseconds) and "addr".
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>

#include "irismux/endpoint.hpp"

namespace irismux {

/// An endpoint update and the endpoint's address. An empty address means that the address has not changed.
using EndpointRecord = std::pair<EndpointUpdate, std::string>;

/// Parses a record.
/// @throws std::runtime_error that names the missing or invalid field
[[nodiscard]] EndpointRecord parse_endpoint_record(const nlohmann::json& record);

/// Converts a Unix time in milliseconds. Values beyond the supported range are clamped.
[[nodiscard]] TimePoint time_from_unix_ms(std::int64_t ms);

}  // namespace irismux
