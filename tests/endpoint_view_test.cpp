// Tests the endpoint updates that an EndpointView returns for full reads and changes.
#include "registry/endpoint_view.hpp"

#include <gtest/gtest.h>

#include "testing/registry_model.hpp"

namespace irismux::registry {
namespace {

using test_support::endpoint_value;

const Duration ms = Duration::micros(1000);
TimePoint start_time() { return TimePoint::at_seconds(1000); }

Record record(const std::string& id, const std::string& value, std::int64_t created, std::int64_t modified) {
    return {RecordKey{id}, value, Revision{created}, Revision{modified}};
}

// replace() must return updates only for the records of a full read that differ from the view. A record that
// was deleted and created again belongs to a new process: the view must remove the former endpoint before it
// adds the new endpoint, and the new endpoint counts as started now.
TEST(EndpointView, AFullReadReturnsOnlyTheDifferences) {
    EndpointView view;
    const TimePoint now = start_time();
    EXPECT_EQ(view.replace(Revision{5},
                           {record("a", endpoint_value("a", "Ready"), 2, 2),
                            record("b", endpoint_value("b", "Ready"), 3, 3),
                            record("c", endpoint_value("c", "Ready"), 4, 4),
                            record("d", endpoint_value("d", "Ready"), 5, 5)},
                           now)
                  .size(),
              4u);
    // Record a is unchanged, b was deleted, c was deleted and created again, and d drains.
    const auto updates = view.replace(
        Revision{20},
        {record("a", endpoint_value("a", "Ready"), 2, 2), record("c", endpoint_value("c", "Ready"), 12, 12),
         record("d", endpoint_value("d", "Terminating"), 5, 19)},
        now + ms);
    ASSERT_EQ(updates.size(), 4u);
    EXPECT_EQ(updates[0].first.cache, CacheId{"b"});
    EXPECT_EQ(updates[0].first.status, EndpointStatus::removed);
    EXPECT_EQ(updates[1].first.cache, CacheId{"c"});
    EXPECT_EQ(updates[1].first.status, EndpointStatus::removed);
    EXPECT_EQ(updates[2].first.cache, CacheId{"c"});
    EXPECT_EQ(updates[2].first.status, EndpointStatus::active);
    EXPECT_EQ(updates[2].first.started_at, now + ms)
        << "a new process whose record has no start time does not count as started now";
    EXPECT_EQ(updates[3].first.status, EndpointStatus::draining);
}

// A record that was deleted and created again belongs to a new process, even if the record names the start
// time of the former process. The new process must count as started now, and must keep this start time when
// its record changes later.
TEST(EndpointView, ARecordCreatedAgainCountsAsStartedNow) {
    EndpointView view;
    const TimePoint now = start_time();
    const std::string value = endpoint_value("a", "Ready", 1, 999'000);
    view.replace(Revision{5}, {record("a", value, 2, 2)}, now);
    view.apply(Revision{}, {{record("a", "", 0, 6), true}}, now + ms);
    const auto updates = view.apply(Revision{}, {{record("a", value, 9, 9), false}}, now + ms * 2);
    ASSERT_EQ(updates.size(), 1u);
    EXPECT_EQ(updates[0].first.started_at, now + ms * 2);
    // A later change of the record must not change the start time of the new process.
    const auto later = view.apply(
        Revision{}, {{record("a", endpoint_value("a", "Ready", 3, 999'000), 9, 12), false}}, now + ms * 3);
    ASSERT_EQ(later.size(), 1u);
    EXPECT_EQ(later[0].first.started_at, now + ms * 2);
}

// A record that becomes unreadable must not remove its endpoint: the last readable value must stay in force,
// the other records of the same change must be applied, and the unreadable records must be counted.
TEST(EndpointView, AnUnreadableRecordKeepsItsLastReadableValue) {
    EndpointView view;
    const TimePoint now = start_time();
    view.replace(Revision{5}, {record("a", endpoint_value("a", "Ready"), 2, 2)}, now);
    for (const std::string unreadable :
         {"", "{", "[]", "{\"id\":\"b\",\"state\":\"Ready\"}", "{\"id\":\"a\",\"state\":\"Off\"}"}) {
        const auto updates =
            view.apply(Revision{},
                       {{record("a", unreadable, 2, view.revision().raw() + 1), false},
                        {record("x", endpoint_value("x", "Ready"), 8, view.revision().raw() + 1), false}},
                       now);
        EXPECT_EQ(view.unreadable(), 1u);
        EXPECT_EQ(view.entries().at(RecordKey{"a"}).endpoint->first.status, EndpointStatus::active)
            << unreadable;
        EXPECT_TRUE(view.entries().contains(RecordKey{"x"}));
        for (const auto& [update, address] : updates) EXPECT_NE(update.cache, CacheId{"a"});
    }
    view.apply(Revision{}, {{record("a", "", 0, 90), true}}, now);
    EXPECT_EQ(view.unreadable(), 0u);
}

// A change that arrives after a newer change of the same record must not undo the newer change.
TEST(EndpointView, RepeatedChangesAreIgnored) {
    EndpointView view;
    const TimePoint now = start_time();
    view.replace(Revision{5}, {record("a", endpoint_value("a", "Ready"), 2, 2)}, now);
    EXPECT_EQ(
        view.apply(Revision{}, {{record("a", endpoint_value("a", "Terminating"), 2, 7), false}}, now).size(),
        1u);
    EXPECT_TRUE(
        view.apply(Revision{}, {{record("a", endpoint_value("a", "Ready"), 2, 6), false}}, now).empty());
    EXPECT_EQ(view.entries().at(RecordKey{"a"}).endpoint->first.status, EndpointStatus::draining);
}

}  // namespace
}  // namespace irismux::registry
