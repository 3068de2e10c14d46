// Runs the random router scenarios with many seeds, without shrinking, and prints each seed that breaks a
// rule.
//
//   irismux_seed_sweep FIRST LAST [narrow|wide] [RUNS] [SECONDS]     (1 200 wide 150 600)
//
// The values in parentheses are the defaults; SECONDS limits the whole run. The exit code is 1 if a seed
// fails and 2 if no seed was tried. To shrink a failing seed, run the command that the output gives:
//   RC_PARAMS="seed=N max_success=150" irismux_tests --gtest_filter=...
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "random_gateway_scenario.hpp"

int main(int argc, char** argv) {
    using namespace rc::detail;
    const auto argument_or = [&](int position, long fallback) {
        return argc > position ? std::atol(argv[position]) : fallback;
    };
    const long first = argument_or(1, 1), last = argument_or(2, 200), runs = argument_or(4, 150),
               seconds = argument_or(5, 600);
    const bool narrow = argc > 3 && std::string(argv[3]) == "narrow";
    const auto stop_at = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    long tried = 0, failed = 0;
    for (long seed = first; seed <= last && std::chrono::steady_clock::now() < stop_at; ++seed) {
        TestParams params;
        params.seed = static_cast<std::uint64_t>(seed);
        params.maxSuccess = static_cast<int>(runs);
        params.disableShrinking = true;
        TestMetadata metadata;
        metadata.id = metadata.description =
            narrow ? "every step keeps the rules" : "every step keeps the rules, wider draws";
        const auto result = checkTestable(
            narrow ? irismux::testing::narrow_scenarios : irismux::testing::wide_scenarios, metadata, params);
        ++tried;
        FailureResult violation;
        if (!result.match(violation)) continue;
        ++failed;
        std::printf(
            "seed %ld: %s\n  RC_PARAMS=\"seed=%ld max_success=%ld\" irismux_tests "
            "--gtest_filter=RandomRouterScenario.%s\n",
            seed, violation.description.substr(violation.description.rfind('\n') + 1).c_str(), seed, runs,
            narrow ? "EveryStepKeepsTheRules" : "EveryStepKeepsTheRulesHoweverStartsAreListed");
    }
    std::printf("%ld seeds tried, %ld failed\n", tried, failed);
    return tried == 0 ? 2 : failed > 0 ? 1 : 0;
}
