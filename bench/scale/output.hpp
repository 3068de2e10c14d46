// Tables and a chart from the measured figures.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace irismux::scale {

// Of the runs in a file of figures: Markdown, and a chart (SVG).
std::string table(const nlohmann::json& figures);
std::string chart(const nlohmann::json& figures);

}  // namespace irismux::scale
