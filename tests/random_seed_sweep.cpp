// Tries many seeds of the random runs, without shrinking, and prints each that breaks a rule.
//
//   irismux_seed_sweep FIRST LAST [narrow|wide] [RUNS] [SECONDS]     (1 200 wide 150 600)
//
// Exit code 1 if a seed fails, 2 if none was tried. To shrink a failing one, as each line says:
//   RC_PARAMS="seed=N max_success=150" irismux_tests --gtest_filter=...
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "random_gateway_scenario.hpp"

int main(int argc, char** argv) {
    using namespace rc::detail;
    const auto figure = [&](int n, long usual) { return argc > n ? std::atol(argv[n]) : usual; };
    const long first = figure(1, 1), last = figure(2, 200), runs = figure(4, 150), seconds = figure(5, 600);
    const bool narrow = argc > 3 && std::string(argv[3]) == "narrow";
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    long tried = 0, failed = 0;
    for (long seed = first; seed <= last && std::chrono::steady_clock::now() < end; ++seed) {
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
            "seed %ld: %s\n  RC_PARAMS=\"seed=%ld max_success=%ld\" irismux_tests --gtest_filter=Random.%s\n",
            seed, violation.description.substr(violation.description.rfind('\n') + 1).c_str(), seed, runs,
            narrow ? "EveryStepKeepsTheRules" : "EveryStepKeepsTheRulesWhateverTheListSaysOfStarts");
    }
    std::printf("%ld seeds tried, %ld failed\n", tried, failed);
    return tried == 0 ? 2 : failed > 0 ? 1 : 0;
}
