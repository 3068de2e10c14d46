// Seeded random runs; many more seeds are tried by irismux_seed_sweep.
#include "random_gateway_scenario.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

TEST(Random, EveryStepKeepsTheRules) {
    EXPECT_TRUE(rc::check("every step keeps the rules", narrow_scenarios));
}

TEST(Random, EveryStepKeepsTheRulesWhateverTheListSaysOfStarts) {
    EXPECT_TRUE(rc::check("every step keeps the rules, wider draws", wide_scenarios));
}

}  // namespace
