// The one reader of what a gateway is told at start, whoever tells it: the simulator or the configuration.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "irismux/deployment.hpp"

namespace irismux {

struct Reading {
    Deployment deployment;
    std::map<std::string, KindNo> kind_places;
};

Reading read_deployment(const nlohmann::json& told);

}  // namespace irismux
