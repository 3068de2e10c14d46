// Renders the measured figures as tables and a chart.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace irismux::scale {

// Render the runs of a results file: table() as Markdown, chart() as SVG.
std::string table(const nlohmann::json& figures);
std::string chart(const nlohmann::json& figures);

}  // namespace irismux::scale
