// One owner at a time: the parts by themselves, whole fleets in virtual time, and every interleaving of a
// few.
#include <gtest/gtest.h>

#include "lab/world.hpp"

using namespace irismux;
using namespace irismux::fleet;
using lab::World;

namespace {

const Span ms = Span::micros(1000);

Articles articles(double drift = 0.05) { return {"test", ms * 4000, drift}; }

TEST(FleetWorld, CalmFleetsGetOneOwnerADutyAndKeepIt) {
    World w(1, {.members = 5, .duties = 7, .drift = 0.05}, articles());
    w.start_all();
    w.run(ms * 25'000, {});
    for (std::size_t d = 0; d < 7; ++d) EXPECT_TRUE(w.owner(d)) << d;
    const std::uint64_t owners = w.owners;
    w.mark();
    w.run(ms * 60'000, {});
    EXPECT_EQ(w.broken, std::vector<std::string>{});
    EXPECT_EQ(w.owners, owners);
    EXPECT_LE(w.longest_without, ms * 100);
    EXPECT_GT(w.written, 100u);
    EXPECT_EQ(w.refused, 0u);
}

World::Troubles all_troubles() {
    return {.lose = 0.05,
            .late = 0.05,
            .repeat = 0.05,
            .stop = 0.05,
            .crash = 0.03,
            .cut = 0.05,
            .restore = 0.02};
}

// Whatever happens, never two owners and no late write; and once it is calm, one owner a duty that stays.
void play(std::uint32_t seed, std::size_t members, const World::Troubles& troubles) {
    SCOPED_TRACE(seed);
    World w(seed, {.members = members, .duties = 3, .drift = 0.05}, articles());
    w.start_all();
    for (int stretch = 0; stretch < 4; ++stretch) {
        w.run(ms * 30'000, troubles);
        w.run(ms * 500, {});
        for (std::size_t n = 0; n < members; ++n) w.revive(n);
        w.run(ms * 45'000, {});
        for (std::size_t d = 0; d < 3; ++d) ASSERT_TRUE(w.owner(d)) << d << '\n' << w.picture();
        const std::uint64_t owners = w.owners;
        w.mark();
        w.run(ms * 10'000, {});
        ASSERT_EQ(w.owners, owners) << w.picture();
        ASSERT_LE(w.longest_without, ms * 500);
        ASSERT_EQ(w.broken, std::vector<std::string>{});
    }
}

TEST(FleetWorld, ManySeedsOfAllTroubles) {
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        play(seed, 2 + seed % 4, all_troubles());
        if (::testing::Test::HasFailure()) return;
    }
}

}  // namespace
