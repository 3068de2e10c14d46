// Reads the deployment's settings (JSON), which the gateway's configuration and the simulator's input have in
// the same form. The names in the JSON are fixed, and only this reader uses them.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "irismux/deployment.hpp"

namespace irismux {

struct DeploymentSettings {
    Deployment deployment;
    std::map<std::string, ObjectKindIndex> kind_indexes;  ///< by name of the kind
};

/// Throws ParseError if a setting is missing or invalid, and nlohmann::json::exception if an element of a
/// list has the wrong type.
[[nodiscard]] DeploymentSettings read_deployment(const nlohmann::json& settings);

}  // namespace irismux
