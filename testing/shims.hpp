// What a process is started with so that its calls fail and its clocks are wrong, by order of whoever holds
// this.
#pragma once

#include <string>
#include <vector>

#include "irismux/time.hpp"
#include "testing/failing_calls.hpp"
#include "testing/skewed_clock.hpp"

namespace irismux::test_support {

// Paths of the built libraries.
struct ShimLibraries {
    std::string clock, calls;
};

class Shims {
public:
    // Throws std::runtime_error where no folder for the orders can be made.
    explicit Shims(ShimLibraries libraries);
    ~Shims();
    Shims(const Shims&) = delete;
    Shims& operator=(const Shims&) = delete;

    // Of a process that is to be under these orders.
    std::vector<std::string> environment() const;
    // In force at once, also in a process that runs.
    void set_calls(const CallFaults& faults);
    void set_clock(const ClockSkew& skew);

private:
    ShimLibraries libraries_;
    std::string folder_, clock_file_, calls_file_;
};

}  // namespace irismux::test_support
