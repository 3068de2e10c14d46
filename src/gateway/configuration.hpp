// The configuration of a gateway: its name, addresses, resource limits and deployment settings.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "gateway/deployment_reader.hpp"

namespace irismux {

struct Configuration {
    std::string name;
    std::string listen;
    std::string notice_board;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 0;  ///< upper limit of open file descriptors of the process
    std::size_t memory_bytes = 0;     ///< memory that the process may use
    /// Notices that the notice board had published up to the start of the gateway.
    nlohmann::json initial_notices = nlohmann::json::object();
    DeploymentSettings settings;
};

/// Throws TransientError if the file cannot be read at present but another attempt may succeed soon, and
/// ParseError in all other cases. The message is one line.
Configuration read_configuration(const std::string& path);

}  // namespace irismux
