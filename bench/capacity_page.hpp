// Renders docs/CAPACITY.md: the resources that each role needs at the users' target, estimated from the
// measured slopes.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/control_results.hpp"
#include "bench/results.hpp"
#include "bench/targets.hpp"

namespace irismux::bench {

/// An estimated value at a size that was not necessarily measured, with the basis of the estimate.
struct Estimate {
    std::optional<double> value;  // std::nullopt if the series was not measured
    std::string unit;
    bool extrapolated = false;  // size beyond four times the largest measured size
    std::string basis;          // series, line and sizes behind the estimate

    /// Formats the estimate for a table: value and unit with a mark if it is an extrapolation, or `not
    /// measured`.
    std::string shown_value(double scale = 1, const std::string& other_unit = {}) const;
};

/// Estimates the value of the named series at `size`.
Estimate estimate(const Results* results, const std::string& series, double size);

/// Renders the whole page.
std::string capacity_page(const Targets& targets, const Results* data_path,
                          const std::vector<ControlVariant>& control);

}  // namespace irismux::bench
