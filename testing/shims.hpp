// Provides the environment that loads the shim libraries into a process. Controls which system calls fail in
// this process and what its clocks show.
#pragma once

#include <string>
#include <vector>

#include "irismux/time.hpp"
#include "testing/failing_calls.hpp"
#include "testing/skewed_clock.hpp"

namespace irismux::test_support {

// Paths of the built shim libraries: skewed_clock and failing_calls.
struct ShimLibraries {
    std::string clock, calls;
};

class Shims {
public:
    // Throws std::runtime_error if the folder for the settings files cannot be created.
    explicit Shims(ShimLibraries libraries);
    ~Shims();
    Shims(const Shims&) = delete;
    Shims& operator=(const Shims&) = delete;

    // Returns the environment variables that load the shims into a process.
    std::vector<std::string> environment() const;
    // set_calls() and set_clock() take effect at once, also in a process that already runs.
    void set_calls(const CallFaults& faults);
    void set_clock(const ClockSkew& skew);

private:
    ShimLibraries libraries_;
    std::string folder_, clock_file_, calls_file_;
};

}  // namespace irismux::test_support
