// EndpointView: the updates that full reads and changes lead to.
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

// Given: a view of four endpoints. When: a full read shows one of them unchanged, one missing, one
// created anew and one draining. Then: the unchanged one is not in the updates; the new one is removed
// first, and counts as started now.
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
    // a stays, b went, c was deleted and created anew, d drains.
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
        << "another process that names no start counts as started now";
    EXPECT_EQ(updates[3].first.status, EndpointStatus::draining);
}

// Given: a record that is deleted. When: it is created anew with the start of its predecessor. Then: it
// counts as started now, and keeps that start when it changes later.
TEST(EndpointView, ARecordCreatedAnewCountsAsStartedNow) {
    EndpointView view;
    const TimePoint now = start_time();
    const std::string value = endpoint_value("a", "Ready", 1, 999'000);
    view.replace(Revision{5}, {record("a", value, 2, 2)}, now);
    view.apply(Revision{}, {{record("a", "", 0, 6), true}}, now + ms);
    const auto updates = view.apply(Revision{}, {{record("a", value, 9, 9), false}}, now + ms * 2);
    ASSERT_EQ(updates.size(), 1u);
    EXPECT_EQ(updates[0].first.started_at, now + ms * 2);
    // What only changes it later keeps that start.
    const auto later = view.apply(
        Revision{}, {{record("a", endpoint_value("a", "Ready", 3, 999'000), 9, 12), false}}, now + ms * 3);
    ASSERT_EQ(later.size(), 1u);
    EXPECT_EQ(later[0].first.started_at, now + ms * 2);
}

// Given: a readable record. When: it becomes unreadable in various ways. Then: its last good form stays,
// other records of the same change are applied, and unreadable records are counted.
TEST(EndpointView, AnUnreadableRecordKeepsItsLastGoodForm) {
    EndpointView view;
    const TimePoint now = start_time();
    view.replace(Revision{5}, {record("a", endpoint_value("a", "Ready"), 2, 2)}, now);
    for (const std::string bad :
         {"", "{", "[]", "{\"id\":\"b\",\"state\":\"Ready\"}", "{\"id\":\"a\",\"state\":\"Off\"}"}) {
        const auto updates =
            view.apply(Revision{},
                       {{record("a", bad, 2, view.revision().raw() + 1), false},
                        {record("x", endpoint_value("x", "Ready"), 8, view.revision().raw() + 1), false}},
                       now);
        EXPECT_EQ(view.unreadable(), 1u);
        EXPECT_EQ(view.entries().at(RecordKey{"a"}).endpoint->first.status, EndpointStatus::active) << bad;
        EXPECT_TRUE(view.entries().contains(RecordKey{"x"}));
        for (const auto& [update, address] : updates) EXPECT_NE(update.cache, CacheId{"a"});
    }
    view.apply(Revision{}, {{record("a", "", 0, 90), true}}, now);
    EXPECT_EQ(view.unreadable(), 0u);
}

// Given: a view at revision 7. When: a change of revision 6 arrives again. Then: it has no effect.
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
