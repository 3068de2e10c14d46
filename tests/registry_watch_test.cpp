// Watch: which requests it makes, which replies it believes, and what it reports when.
#include <gtest/gtest.h>

#include <map>

#include "watch_harness.hpp"

namespace irismux::registry::testing {
namespace {

class WatchFollowing : public ::testing::Test {
protected:
    RegistryModel registry = model_of(4);
    WatchHarness harness;
    void SetUp() override {
        harness.watch.start(harness.now);
        ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
        harness.reply_to_full_read(registry);
        ASSERT_EQ(harness.watch.sync_state(), SyncState::following);
        ASSERT_EQ(harness.endpoints.size(), 4u);
    }
    void read_anew() {
        harness.advance_to_request();
        ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
        harness.watch.on_page(harness.now, harness.page(registry));
    }
};

// Given: four endpoints. When: one change drains two of them and deletes the others. Then: it is applied
// without a confirmation.
TEST_F(WatchFollowing, ADrainOfTheWholeFleetIsAppliedAtOnce) {
    registry.commit({{RecordKey{"c1"}, endpoint_value("c1", "Terminating")},
                     {RecordKey{"c2"}, endpoint_value("c2", "Terminating")},
                     {RecordKey{"c3"}, std::nullopt},
                     {RecordKey{"c4"}, std::nullopt}});
    harness.deliver_changes(registry);
    ASSERT_EQ(harness.endpoints.size(), 2u);
    for (const auto& [id, l] : harness.endpoints) EXPECT_EQ(l.status, EndpointStatus::draining);
}

// Given: an open watch. When: its connection breaks. Then: another member is asked for the next
// revision after a pause of at most the base, without a full read.
TEST_F(WatchFollowing, ABrokenWatchResumesAtAnotherMember) {
    const MemberIndex first = harness.member;
    harness.advance(ms * 500);
    harness.watch.on_changes(harness.now, harness.header(registry), {}, false);
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    EXPECT_EQ(harness.watch.sync_state(), SyncState::resuming);
    registry.erase("c1");
    harness.advance_to_request();
    EXPECT_EQ(harness.pending_request, WatchHarness::Request::watch);
    EXPECT_NE(harness.member, first);
    EXPECT_EQ(harness.at, registry.newest());
    EXPECT_LE(harness.now - start_time(), ms * 551) << "the first pause is at most the base";
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.deliver_changes(registry);
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"}));
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

// Given: a broken watch, and changes that are compacted meanwhile. When: the watch resumes. Then: a full
// read follows at once and its differences are reported; without it c1 would stay in force, and c2 would
// not count as a new process.
TEST_F(WatchFollowing, ACompactedRevisionLeadsToAFullRead) {
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    registry.erase("c1");
    registry.erase("c2");
    registry.put("c2", endpoint_value("c2", "Ready"));
    registry.put("c5", endpoint_value("c5", "Ready"));
    registry.compact(registry.newest());
    harness.advance_to_request();
    harness.watch.on_compacted(harness.now);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page) << "at once";
    EXPECT_EQ(harness.endpoints.size(), 4u) << "the former list stays in force meanwhile";
    harness.watch.on_page(harness.now, harness.page(registry));
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"}));
    EXPECT_TRUE(harness.endpoints.contains(CacheId{"c5"}));
    EXPECT_EQ(harness.endpoints.at(CacheId{"c2"}).started_at, harness.now);
    EXPECT_EQ(harness.endpoints.at(CacheId{"c3"}).started_at, TimePoint{})
        << "an unchanged record keeps its start";
}

// Given: a full read in pages. When: its revision is compacted between two pages, again and again. Then:
// it restarts after pauses up to the cap, and the former list stays in force.
TEST_F(WatchFollowing, PagesAreOfOneRevisionOrReadAnew) {
    harness.watch.on_compacted(harness.now);
    harness.watch.on_page(harness.now, harness.page(registry, 2));
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
    EXPECT_EQ(harness.at, registry.newest()) << "the second page is read at the first one's revision";
    EXPECT_EQ(harness.after, RecordKey{"c2"});
    registry.erase("c1");
    registry.compact(registry.newest());
    TimePoint last = harness.now;
    for (int n = 0; n < 12; ++n) {
        harness.watch.on_compacted(harness.now);
        EXPECT_EQ(harness.pending_request, WatchHarness::Request::none) << "repeated restarts cost a pause";
        harness.advance_to_request();
        EXPECT_LE(harness.now - last, WatchHarness::policy(3).backoff_cap);
        last = harness.now;
        EXPECT_EQ(harness.at, Revision{});
        EXPECT_EQ(harness.endpoints.size(), 4u);
        harness.watch.on_page(harness.now, harness.page(registry, 2));
    }
    while (harness.pending_request == WatchHarness::Request::read_page)
        harness.watch.on_page(harness.now, harness.page(registry, 2));
    EXPECT_EQ(harness.endpoints.size(), 3u);
}

// Given: a broken watch. When: the next member is older than the view. Then: another one is tried,
// without a full read, which would bring c1 back.
TEST_F(WatchFollowing, ALaggingMemberIsLeftForAnother) {
    RegistryModel old = registry;
    registry.erase("c1");
    harness.deliver_changes(registry);
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    harness.watch.on_watch_opened(harness.now, harness.header(old));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::lagging);
    const MemberIndex lagging = harness.member;
    harness.advance_to_request();
    EXPECT_NE(harness.member, lagging);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::watch);
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"})) << "a full read from it would bring c1 back";
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

class RolledBackRegistry : public ::testing::TestWithParam<bool> {};

// Given: a registry restored from a backup, in the same or another cluster. When: most members have been
// older than the view for the watch timeout. Then: and not before, a full read follows; a watch alone
// would keep c9, which the restored registry never had.
TEST_P(RolledBackRegistry, IsReadAnewOnceMostMembersShowIt) {
    for (const std::size_t members : {1u, 3u}) {
        RegistryModel registry = model_of(4);
        WatchHarness harness(members);
        const Revision backup = registry.newest();
        registry.put("c9", endpoint_value("c9", "Ready"));
        harness.watch.start(harness.now);
        harness.reply_to_full_read(registry);
        ASSERT_TRUE(harness.endpoints.contains(CacheId{"c9"}));
        registry.restore(backup, GetParam());
        harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
        const TimePoint since = harness.now;
        for (int n = 0; n < 200 && harness.pending_request != WatchHarness::Request::read_page; ++n) {
            harness.advance_to_request();
            if (harness.pending_request == WatchHarness::Request::check_revision)
                harness.watch.on_revision_not_reached(harness.now);
            else if (harness.pending_request == WatchHarness::Request::watch)
                harness.watch.on_watch_opened(harness.now, harness.header(registry));
            EXPECT_TRUE(harness.endpoints.contains(CacheId{"c9"})) << "not yet confirmed";
        }
        ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
        EXPECT_GE(harness.now - since, WatchHarness::policy(members).watch_timeout);
        EXPECT_LE(harness.now - since, WatchHarness::policy(members).watch_timeout +
                                           WatchHarness::policy(members).backoff_base * 4);
        harness.reply_to_full_read(registry);
        EXPECT_FALSE(harness.endpoints.contains(CacheId{"c9"}));
        EXPECT_EQ(harness.endpoints.size(), 4u);
        EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
        EXPECT_EQ(harness.watch.cluster(), registry.cluster());
    }
}
INSTANTIATE_TEST_SUITE_P(SameOrAnotherCluster, RolledBackRegistry, ::testing::Bool());

// Given: four endpoints. When: a member returns an empty or an unreadable list. Then: the former
// list stays in force until another member returns such a list, too.
TEST_F(WatchFollowing, AnEmptyOrUnreadableListNeedsAConfirmation) {
    for (const bool empty : {true, false}) {
        RegistryModel odd = registry;
        for (int n = 1; n <= 4; ++n) {
            if (empty)
                odd.erase("c" + std::to_string(n));
            else
                odd.put("c" + std::to_string(n), "junk");
        }
        harness.watch.on_compacted(harness.now);
        harness.watch.on_page(harness.now, harness.page(odd));
        EXPECT_EQ(harness.endpoints.size(), 4u);
        EXPECT_EQ(harness.pending_request, WatchHarness::Request::none);
        // The next member has the list: nothing changes.
        read_anew();
        harness.watch.on_watch_opened(harness.now, harness.header(registry));
        EXPECT_EQ(harness.endpoints.size(), 4u);
        EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    }
    for (int n = 1; n <= 4; ++n) registry.erase("c" + std::to_string(n));
    harness.watch.on_compacted(harness.now);
    read_anew();
    EXPECT_EQ(harness.endpoints.size(), 4u);
    read_anew();
    EXPECT_TRUE(harness.endpoints.empty()) << "a second member has confirmed it";
}

// Given: an open watch. When: it brings nothing for the watch timeout. Then: the state is disconnected,
// the list stays, and a history check precedes the next watch.
TEST_F(WatchFollowing, ASilentWatchIsReportedAsDisconnected) {
    const TimePoint last = harness.now;
    harness.advance(WatchHarness::policy(3).watch_timeout + ms);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::disconnected);
    EXPECT_EQ(harness.watch.last_complete_at(), last);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.advance_to_request();
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::check_revision);
    harness.reply_to_check(registry);
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

// Given: a watch that is current for a while. When: it times out, again and again. Then: each pause is at
// most the base.
TEST_F(WatchFollowing, PausesAfterSeparateTimeoutsDoNotGrow) {
    for (int n = 0; n < 12; ++n) {
        harness.advance(ms * 300);
        harness.watch.on_changes(harness.now, harness.header(registry), {}, false);
        const TimePoint since = harness.now;
        harness.advance(WatchHarness::policy(3).watch_timeout + ms);
        harness.advance_to_request();
        EXPECT_LE(harness.now - since,
                  WatchHarness::policy(3).watch_timeout + ms + WatchHarness::policy(3).backoff_base);
        harness.reply_to_check(registry);
        harness.watch.on_watch_opened(harness.now, harness.header(registry));
    }
}

// Given: a registry that was restored and has grown past the revision of the view. When: the watch
// resumes after a disconnection. Then: the history check leads to a full read; a watch from that revision
// on would keep c9 and miss c7.
TEST_F(WatchFollowing, ARestoredRegistryPastTheViewIsFoundByItsHistory) {
    const Revision backup = registry.newest();
    registry.put("c9", endpoint_value("c9", "Ready"));
    harness.deliver_changes(registry);
    ASSERT_TRUE(harness.endpoints.contains(CacheId{"c9"}));
    registry.restore(backup, false);
    registry.put("c7", endpoint_value("c7", "Ready"));
    registry.put("c8", endpoint_value("c8", "Ready"));
    harness.advance(WatchHarness::policy(3).watch_timeout + ms);
    harness.advance_to_request();
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::check_revision);
    harness.reply_to_check(registry);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
    harness.reply_to_full_read(registry);
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c9"}));
    EXPECT_TRUE(harness.endpoints.contains(CacheId{"c7"}));
}

// Given: 50 changes outside of the prefix, and a progress notice. When: they are compacted and the watch
// breaks. Then: it resumes behind them.
TEST_F(WatchFollowing, ProgressNoticesMoveTheRevisionToResumeFrom) {
    for (int n = 0; n < 50; ++n)
        registry.put("elsewhere", "x");  // not under our prefix: nothing is delivered
    harness.watch.on_changes(harness.now, harness.header(registry), {}, false);
    registry.compact(registry.newest());
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    EXPECT_EQ(harness.at, Revision{registry.newest().raw() + 1});
}

// Given: a revision in two fragments. When: the connection breaks between them. Then: nothing is applied,
// and the whole revision is requested again.
TEST_F(WatchFollowing, FragmentsOfARevisionAreAppliedTogether) {
    const Revision r = registry.commit({{RecordKey{"c1"}, std::nullopt}, {RecordKey{"c2"}, std::nullopt}});
    const std::vector<Change> all = *registry.changes(r, r);
    harness.watch.on_changes(harness.now, harness.header(registry), {all[0]}, true);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    EXPECT_EQ(harness.at, r) << "the whole revision is requested again";
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.watch.on_changes(harness.now, harness.header(registry), {all[0]}, true);
    harness.watch.on_changes(harness.now, harness.header(registry), {all[1]}, false);
    EXPECT_EQ(harness.endpoints.size(), 2u);
}

// Given: four endpoints. When: a change or a list exceeds its limit. Then: it is refused, the former
// list stays, and a long list is reported once.
TEST_F(WatchFollowing, TooManyFragmentsOrRecordsAreRefused) {
    std::vector<Change> many(WatchHarness::policy(3).max_pending_changes, {record("c1", "", 0, 100), true});
    harness.watch.on_changes(harness.now, {registry.cluster(), Revision{100}}, many, true);
    harness.watch.on_changes(harness.now, {registry.cluster(), Revision{100}}, many, true);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.advance_to_request();
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
    Page p;
    p.header = {registry.cluster(), Revision{200}};
    for (std::size_t n = 0; n <= WatchHarness::policy(3).max_records; ++n)
        p.records.push_back(
            record("x" + std::to_string(n), endpoint_value("x" + std::to_string(n), "Ready"), 3, 3));
    for (int n = 0; n < 3; ++n) {
        harness.watch.on_page(harness.now, p);
        EXPECT_EQ(harness.endpoints.size(), 4u);
        harness.advance_to_request();
    }
    EXPECT_EQ(
        std::count(harness.warnings.begin(), harness.warnings.end(), WatchWarningKind::too_many_records), 1);
}

// Given: a thousand clients of a registry that is down for ten seconds. When: it is up again. Then: at
// most a tenth of them reconnect within any 100 ms, and all within the cap.
TEST(Watch, AThousandClientsReconnectSpreadOverThePause) {
    std::map<int, int> by_ms;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        RegistryModel registry = model_of(1);
        WatchHarness harness(1, seed * 7919 + 1);
        harness.watch.start(harness.now);
        harness.reply_to_full_read(registry);
        harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
        // Down for a while: each attempt fails at once.
        const TimePoint up = harness.now + Duration::seconds(10);
        while (harness.now < up) {
            harness.advance_to_request();
            if (harness.now < up)
                harness.watch.on_request_failed(harness.now, {RequestFailureReason::connect_failed, {}});
        }
        ++by_ms[static_cast<int>((harness.now - up).micros() / 100'000)];
    }
    int most = 0;
    for (const auto& [slot, n] : by_ms) most = std::max(most, n);
    EXPECT_LT(most, 1000 / 10) << "of a thousand in the worst 100 ms";
    EXPECT_LE(by_ms.rbegin()->first, 50) << "no pause is longer than the cap";
}

// Given: a stored list. When: a watch starts from it. Then: it is in force at once, its state is
// disconnected, and a history check precedes the watch.
TEST(Watch, AStoredListIsInForceAtOnceAndDisconnected) {
    RegistryModel registry = model_of(3);
    WatchHarness harness;
    std::vector<Record> kept;
    for (const auto& [key, r] : *registry.at(registry.newest())) kept.push_back(r);
    harness.watch.start_from(harness.now, registry.cluster(), registry.newest(), kept,
                             harness.now - Duration::seconds(60));
    EXPECT_EQ(harness.endpoints.size(), 3u);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::disconnected);
    harness.watch.start(harness.now);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::check_revision)
        << "it may have been restored since";
    harness.reply_to_check(registry);
    registry.erase("c1");
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.deliver_changes(registry);
    EXPECT_EQ(harness.endpoints.size(), 2u);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
}

}  // namespace
}  // namespace irismux::registry::testing
