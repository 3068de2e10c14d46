// irismux_soak FIRST LAST [SECONDS]: soaks of the seeds from FIRST to LAST, each SECONDS long before SIGTERM.
// Prints a line a seed, and for one that fails what broke and the command that plays it again; ends with 1 if
// any did.
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
        const SoakResult r = run_soak(options);
        const bool good = r.violations.empty();
        failed += !good;
        std::cout << "seed " << seed << ": " << (good ? "kept" : "BROKEN") << "; asked " << r.requests
                  << ", served " << r.served << ", refused " << r.rejected << ", failed " << r.failed
                  << ", sends " << r.attempts << (r.killed ? ", killed at the end" : "") << "; " << r.script
                  << std::endl;
        if (good) continue;
        for (const std::string& v : r.violations) std::cout << "    " << v << '\n';
        std::cout << r.log_tail << "    again: " << argv[0] << ' ' << seed << ' ' << seed << ' ' << seconds
                  << std::endl;
    }
    std::cout << last - first + 1 << " seeds, " << failed << " broken" << std::endl;
    return failed == 0 ? 0 : 1;
}
