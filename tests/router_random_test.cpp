// Runs the random router scenarios with one seed; irismux_seed_sweep tries many more seeds.
#include "random_gateway_scenario.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

TEST(RandomRouterScenario, EveryStepKeepsTheRules) {
    EXPECT_TRUE(rc::check("every step keeps the rules", narrow_scenarios));
}

TEST(RandomRouterScenario, EveryStepKeepsTheRulesHoweverStartsAreListed) {
    EXPECT_TRUE(rc::check("every step keeps the rules, wider draws", wide_scenarios));
}

}  // namespace
