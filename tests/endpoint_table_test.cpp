// Purges as the roster keeps them: what they bind, for how long, and how many are kept one by one.
#include "endpoint/endpoint_table.hpp"

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

const Span purge_done = Span::seconds(6);
const Instant start = Instant::at_seconds(1000);

Arrival lookup_of(const std::string& object, std::int64_t group = 0) {
    Arrival a = arrival("l1", object, start + Span::seconds(1));
    a.group = GroupNo{group};
    return a;
}

ObjectName object_no(std::size_t n) { return ObjectName{"o" + std::to_string(n)}; }

// Purges that are over when they are told, as most are after a long silence of the board, take no room.
TEST(Roster, PurgesThatAreOverAreNotKept) {
    Roster roster(purge_done);
    for (std::size_t n = 0; n < 21'600; ++n)
        roster.purged(start - Span::seconds(13), GroupNo{0}, object_no(n), start);
    EXPECT_EQ(roster.purges_kept(), 0u);
    EXPECT_EQ(roster.purge_bound(lookup_of("o7"), start), std::nullopt);
}

// Those that are kept are forgotten once they are over.
TEST(Roster, PurgesAreForgotten) {
    Roster roster(purge_done);
    for (std::size_t n = 0; n < 100; ++n) roster.purged(start, GroupNo{0}, object_no(n), start);
    EXPECT_EQ(roster.purges_kept(), 100u);
    roster.purged(start + Span::seconds(13), GroupNo{0}, object_no(100), start + Span::seconds(13));
    EXPECT_EQ(roster.purges_kept(), 1u);
}

// Beyond the bound no purge is lost: each object that was purged is bound at least as strictly as by its own.
TEST(Roster, BeyondItsBoundEveryPurgeStillBinds) {
    Roster roster(purge_done);
    std::map<std::size_t, Instant> purged;
    Instant now = start;
    for (std::size_t n = 0; n < 3 * Roster::most_purges; ++n) {
        now = now + Span::micros(100);
        purged[n] = now - Span::micros(50);
        roster.purged(purged[n], GroupNo{0}, object_no(n), now);
        ASSERT_LE(roster.purges_kept(), Roster::most_purges);
    }
    for (const auto& [n, at] : purged) {
        const auto bound = roster.purge_bound(lookup_of("o" + std::to_string(n)), now);
        ASSERT_TRUE(bound.has_value()) << n;
        ASSERT_LE(*bound, now - at) << n;
    }
    // What was never purged is bound by the merged half alone, and by nothing once that is over.
    const auto others = roster.purge_bound(lookup_of("other"), now);
    ASSERT_TRUE(others.has_value());
    EXPECT_GT(*others, now - purged.rbegin()->second);
    EXPECT_EQ(roster.purge_bound(lookup_of("other"), now + purge_done + purge_done), std::nullopt);
}

// The same for groups.
TEST(Roster, BeyondItsBoundEveryGroupPurgeStillBinds) {
    Roster roster(purge_done);
    const auto many = static_cast<std::int64_t>(2 * Roster::most_purges);
    for (std::int64_t n = 0; n < many; ++n) roster.purged(start, GroupNo{n}, std::nullopt, start);
    EXPECT_LE(roster.purges_kept(), Roster::most_purges);
    for (std::int64_t n = 0; n < many; ++n)
        ASSERT_TRUE(roster.purge_bound(lookup_of("any", n), start + Span::seconds(1)).has_value()) << n;
}

// A purge stamped now, or by a clock that is a little ahead, binds as strictly as can be said.
TEST(Roster, APurgeAheadOfTheClockBinds) {
    Roster roster(purge_done);
    roster.purged(start + Span::seconds(0.005), GroupNo{0}, object_no(1), start);
    for (const Span after : {Span{}, Span::seconds(0.001), Span::seconds(0.005)}) {
        const auto bound = roster.purge_bound(lookup_of("o1"), start + after);
        ASSERT_TRUE(bound.has_value());
        EXPECT_GT(*bound, Span{});
        EXPECT_LE(*bound, Span::seconds(0.001));
    }
}

}  // namespace
}  // namespace irismux::testing
