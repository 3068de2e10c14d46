// Paths of docs/CAPACITY.md and its input files in the repository.
#pragma once

#include <filesystem>
#include <string>

#include "bench/capacity_page.hpp"

namespace irismux::bench {

constexpr const char* capacity_page_file = "docs/CAPACITY.md";
constexpr const char* targets_file = "bench/targets.toml";
constexpr const char* data_path_file = "docs/measurements/data_path.json";
constexpr const char* scale_file = "docs/measurements/scale.json";

/// Renders docs/CAPACITY.md from the committed figures. Throws std::runtime_error if a file is unusable.
inline std::string capacity_page_of(const std::filesystem::path& root) {
    const Targets targets = read_targets(root / targets_file);
    std::optional<Results> data_path;
    if (std::filesystem::exists(root / data_path_file)) data_path = read_results(root / data_path_file);
    return capacity_page(targets, data_path ? &*data_path : nullptr, read_control_results(root / scale_file));
}

}  // namespace irismux::bench
