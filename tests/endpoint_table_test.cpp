// Purges in the endpoint table: which requests they bind, for how long, and how many are kept one by one.
#include "endpoint/endpoint_table.hpp"

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

const Duration purge_done = Duration::seconds(6);
const TimePoint start = TimePoint::at_seconds(1000);

Request lookup_of(const std::string& object, std::int64_t group = 0) {
    Request a = request_for("l1", object, start + Duration::seconds(1));
    a.purge_group = PurgeGroupId{group};
    return a;
}

ObjectName object_no(std::size_t n) { return ObjectName{"o" + std::to_string(n)}; }

// Purges that are over when they are told, as most are after a long silence of the board, take no room.
TEST(EndpointTablePurges, PurgesThatAreOverAreNotKept) {
    EndpointTable table(purge_done);
    for (std::size_t n = 0; n < 21'600; ++n)
        table.add_purge(start - Duration::seconds(13), PurgeGroupId{0}, object_no(n), start);
    EXPECT_EQ(table.purge_count(), 0u);
    EXPECT_EQ(table.max_age_after_purges(lookup_of("o7"), start), std::nullopt);
}

// Those that are kept are forgotten once they are over.
TEST(EndpointTablePurges, PurgesAreForgotten) {
    EndpointTable table(purge_done);
    for (std::size_t n = 0; n < 100; ++n) table.add_purge(start, PurgeGroupId{0}, object_no(n), start);
    EXPECT_EQ(table.purge_count(), 100u);
    table.add_purge(start + Duration::seconds(13), PurgeGroupId{0}, object_no(100),
                    start + Duration::seconds(13));
    EXPECT_EQ(table.purge_count(), 1u);
}

// Beyond the bound no purge is lost: each object that was purged is bound at least as strictly as by its own.
TEST(EndpointTablePurges, BeyondItsBoundEveryPurgeStillBinds) {
    EndpointTable table(purge_done);
    std::map<std::size_t, TimePoint> purged;
    TimePoint now = start;
    for (std::size_t n = 0; n < 3 * EndpointTable::max_purges; ++n) {
        now = now + Duration::micros(100);
        purged[n] = now - Duration::micros(50);
        table.add_purge(purged[n], PurgeGroupId{0}, object_no(n), now);
        ASSERT_LE(table.purge_count(), EndpointTable::max_purges);
    }
    for (const auto& [n, at] : purged) {
        const auto bound = table.max_age_after_purges(lookup_of("o" + std::to_string(n)), now);
        ASSERT_TRUE(bound.has_value()) << n;
        ASSERT_LE(*bound, now - at) << n;
    }
    // What was never purged is bound by the merged half alone, and by nothing once that is over.
    const auto others = table.max_age_after_purges(lookup_of("other"), now);
    ASSERT_TRUE(others.has_value());
    EXPECT_GT(*others, now - purged.rbegin()->second);
    EXPECT_EQ(table.max_age_after_purges(lookup_of("other"), now + purge_done + purge_done), std::nullopt);
}

// The same for groups.
TEST(EndpointTablePurges, BeyondItsBoundEveryGroupPurgeStillBinds) {
    EndpointTable table(purge_done);
    const auto many = static_cast<std::int64_t>(2 * EndpointTable::max_purges);
    for (std::int64_t n = 0; n < many; ++n) table.add_purge(start, PurgeGroupId{n}, std::nullopt, start);
    EXPECT_LE(table.purge_count(), EndpointTable::max_purges);
    for (std::int64_t n = 0; n < many; ++n)
        ASSERT_TRUE(table.max_age_after_purges(lookup_of("any", n), start + Duration::seconds(1)).has_value())
            << n;
}

// A purge stamped now, or by a clock that is a little ahead, binds as strictly as can be said.
TEST(EndpointTablePurges, APurgeAheadOfTheClockBinds) {
    EndpointTable table(purge_done);
    table.add_purge(start + Duration::seconds(0.005), PurgeGroupId{0}, object_no(1), start);
    for (const Duration after : {Duration{}, Duration::seconds(0.001), Duration::seconds(0.005)}) {
        const auto bound = table.max_age_after_purges(lookup_of("o1"), start + after);
        ASSERT_TRUE(bound.has_value());
        EXPECT_GT(*bound, Duration{});
        EXPECT_LE(*bound, Duration::seconds(0.001));
    }
}

}  // namespace
}  // namespace irismux::testing
