// Tests to which requests a purge in the endpoint table applies, for how long it applies, and how many purges
// the table stores unmerged.
#include "endpoint/endpoint_table.hpp"

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

const Duration purge_retention = Duration::seconds(6);
const TimePoint start = TimePoint::at_seconds(1000);

Request request_of(const std::string& object, std::int64_t group = 0) {
    Request request = request_for("l1", object, start + Duration::seconds(1));
    request.purge_group = PurgeGroupId{group};
    return request;
}

ObjectName object_name(std::size_t n) { return ObjectName{"o" + std::to_string(n)}; }

// Purges that have expired before they are added must not be stored. After the notice board was unreachable
// for a long time, most of the purges that it sends have expired.
TEST(EndpointTablePurges, DoesNotStoreExpiredPurges) {
    EndpointTable table(purge_retention);
    for (std::size_t n = 0; n < 21'600; ++n)
        table.add_purge(start - Duration::seconds(13), PurgeGroupId{0}, object_name(n), start);
    EXPECT_EQ(table.purge_count(), 0u);
    EXPECT_EQ(table.max_age_after_purges(request_of("o7"), start), std::nullopt);
}

// Stored purges must be removed once they have expired.
TEST(EndpointTablePurges, RemovesExpiredPurges) {
    EndpointTable table(purge_retention);
    for (std::size_t n = 0; n < 100; ++n) table.add_purge(start, PurgeGroupId{0}, object_name(n), start);
    EXPECT_EQ(table.purge_count(), 100u);
    table.add_purge(start + Duration::seconds(13), PurgeGroupId{0}, object_name(100),
                    start + Duration::seconds(13));
    EXPECT_EQ(table.purge_count(), 1u);
}

// A table with more than max_purges purges merges some of them, and must not lose a purge. The age limit of
// each purged object must be at least as strict as the limit that the object's own purge sets.
TEST(EndpointTablePurges, EachPurgeStillAppliesAboveTheBound) {
    EndpointTable table(purge_retention);
    std::map<std::size_t, TimePoint> purged;
    TimePoint now = start;
    for (std::size_t n = 0; n < 3 * EndpointTable::max_purges; ++n) {
        now = now + Duration::micros(100);
        purged[n] = now - Duration::micros(50);
        table.add_purge(purged[n], PurgeGroupId{0}, object_name(n), now);
        ASSERT_LE(table.purge_count(), EndpointTable::max_purges);
    }
    for (const auto& [n, purged_at] : purged) {
        const auto bound = table.max_age_after_purges(request_of("o" + std::to_string(n)), now);
        ASSERT_TRUE(bound.has_value()) << n;
        ASSERT_LE(*bound, now - purged_at) << n;
    }
    // Only the merged purges limit the age of an object that was never purged, and only until the merged
    // purges expire.
    const auto other_bound = table.max_age_after_purges(request_of("other"), now);
    ASSERT_TRUE(other_bound.has_value());
    EXPECT_GT(*other_bound, now - purged.rbegin()->second);
    EXPECT_EQ(table.max_age_after_purges(request_of("other"), now + purge_retention + purge_retention),
              std::nullopt);
}

// A table with more than max_purges purges of groups must not lose a purge either.
TEST(EndpointTablePurges, EachGroupPurgeStillAppliesAboveTheBound) {
    EndpointTable table(purge_retention);
    const auto groups = static_cast<std::int64_t>(2 * EndpointTable::max_purges);
    for (std::int64_t n = 0; n < groups; ++n) table.add_purge(start, PurgeGroupId{n}, std::nullopt, start);
    EXPECT_LE(table.purge_count(), EndpointTable::max_purges);
    for (std::int64_t n = 0; n < groups; ++n)
        ASSERT_TRUE(
            table.max_age_after_purges(request_of("any", n), start + Duration::seconds(1)).has_value())
            << n;
}

// A purge whose timestamp is now, or slightly in the future because of a fast clock, must apply with the
// strictest age limit that can be expressed.
TEST(EndpointTablePurges, APurgeWithAFutureTimestampApplies) {
    EndpointTable table(purge_retention);
    table.add_purge(start + Duration::seconds(0.005), PurgeGroupId{0}, object_name(1), start);
    for (const Duration after : {Duration{}, Duration::seconds(0.001), Duration::seconds(0.005)}) {
        const auto bound = table.max_age_after_purges(request_of("o1"), start + after);
        ASSERT_TRUE(bound.has_value());
        EXPECT_GT(*bound, Duration{});
        EXPECT_LE(*bound, Duration::seconds(0.001));
    }
}

}  // namespace
}  // namespace irismux::testing
