// irismux_soak FIRST LAST [SECONDS [PROGRAM]]: runs a soak test for each seed from FIRST to LAST, with
// SECONDS of load before SIGTERM. Prints a line for each seed and, for a seed that fails, the violations and
// the command that repeats it. Exits with 1 if any seed failed.
#include <cstdlib>
#include <iostream>
#include <string>

#include "testing/soak.hpp"

int main(int argc, char** argv) {
    using namespace irismux::test_support;
    if (argc < 3) {
        std::cerr << "usage: " << argv[0] << " FIRST LAST [SECONDS [PROGRAM]]\n";
        return 2;
    }
    const std::uint64_t first = std::strtoull(argv[1], nullptr, 10),
                        last = std::strtoull(argv[2], nullptr, 10);
    const std::string seconds = argc > 3 ? argv[3] : "3";
    const std::string program = argc > 4 ? argv[4] : IRISMUX_PROGRAM;
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const SoakOptions options{
            program, {IRISMUX_SKEWED_CLOCK, IRISMUX_FAILING_CALLS}, seed, std::atof(seconds.c_str())};
        const SoakResult result = run_soak(options);
        const bool passed = result.violations.empty();
        failed += !passed;
        std::cout << "seed " << seed << ": " << (passed ? "passed" : "FAILED") << "; requests "
                  << result.requests << ", served " << result.served << ", rejected " << result.rejected
                  << ", failed " << result.failed << ", attempts " << result.attempts
                  << (result.killed ? ", killed at the end" : "") << "; " << result.script << std::endl;
        if (passed) continue;
        for (const std::string& violation : result.violations) std::cout << "    " << violation << '\n';
        std::cout << result.log_tail << "    repeat with: " << argv[0] << ' ' << seed << ' ' << seed << ' '
                  << seconds << std::endl;
    }
    std::cout << last - first + 1 << " seeds, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
