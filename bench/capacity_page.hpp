// docs/CAPACITY.md: what each role needs at the users' target, from the slopes that were measured.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bench/control_results.hpp"
#include "bench/results.hpp"
#include "bench/targets.hpp"

namespace irismux::bench {

/// A value at a size that need not have been measured, with what it rests on.
struct Estimate {
    std::optional<double> value;  // none: not measured
    std::string unit;
    bool extrapolated = false;  // beyond four times the largest size measured
    std::string basis;          // series, line, sizes

    /// As a table shows it: value and unit, a mark where it is an extrapolation, `not measured`.
    std::string shown_value(double scale = 1, const std::string& other_unit = {}) const;
};

/// By the named series at that size.
Estimate estimate(const Results* results, const std::string& series, double size);

/// The whole page.
std::string capacity_page(const Targets& targets, const Results* data_path,
                          const std::vector<ControlVariant>& control);

}  // namespace irismux::bench
