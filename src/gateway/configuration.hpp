// Where and as what a gateway serves: its configuration, read once.
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
    /// Notices that the notice board had published when the configuration was written.
    nlohmann::json initial_notices = nlohmann::json::object();
    DeploymentSettings settings;
};

// Throws std::runtime_error with one plain line; a TransientError where the file may be read before long.
Configuration read_configuration(const std::string& path);

}  // namespace irismux
