// The one reader of what a gateway is told at start, whoever tells it: the simulator or the configuration.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "irismux/deployment.hpp"

namespace irismux {

struct DeploymentSettings {
    Deployment deployment;
    std::map<std::string, ObjectKindIndex> kind_indexes;
};

DeploymentSettings read_deployment(const nlohmann::json& told);

}  // namespace irismux
