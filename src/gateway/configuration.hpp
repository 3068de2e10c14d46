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
    std::size_t descriptors = 0;
    std::size_t memory = 0;                           // bytes
    nlohmann::json known = nlohmann::json::object();  // the notice board's events up to the start
    DeploymentSettings settings;
};

// Throws std::runtime_error with one plain line; a TransientError where the file may be read before long.
Configuration read_configuration(const std::string& path);

}  // namespace irismux
