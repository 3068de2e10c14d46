// Reads the deployment's settings (JSON), as the gateway's configuration and the simulator both have them.
// Their words are fixed and appear nowhere else.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "irismux/deployment.hpp"

namespace irismux {

struct DeploymentSettings {
    Deployment deployment;
    std::map<std::string, ObjectKindIndex> kind_indexes;  ///< by the kind's name
};

/// Throws std::runtime_error if a setting is missing, or not as it must be.
[[nodiscard]] DeploymentSettings read_deployment(const nlohmann::json& settings);

}  // namespace irismux
