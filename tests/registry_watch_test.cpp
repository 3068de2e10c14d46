// Tests the requests that a Watch makes, which replies it accepts, and when it reports which endpoints,
// states and warnings.
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
    void read_again() {
        harness.advance_to_request();
        ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
        harness.watch.on_page(harness.now, harness.page(registry));
    }
};

// A change that leaves no active endpoint (two drained, two deleted) must be applied without a confirmation
// by a second registry member. Only the list of a full read needs one.
TEST_F(WatchFollowing, ADrainOfAllEndpointsIsAppliedAtOnce) {
    registry.commit({{RecordKey{"c1"}, endpoint_value("c1", "Terminating")},
                     {RecordKey{"c2"}, endpoint_value("c2", "Terminating")},
                     {RecordKey{"c3"}, std::nullopt},
                     {RecordKey{"c4"}, std::nullopt}});
    harness.deliver_changes(registry);
    ASSERT_EQ(harness.endpoints.size(), 2u);
    for (const auto& [id, endpoint] : harness.endpoints) EXPECT_EQ(endpoint.status, EndpointStatus::draining);
}

// A watch whose connection breaks must resume from the next revision at another registry member, after a
// pause of at most backoff_base and without a full read.
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
    EXPECT_EQ(harness.requested_revision, registry.newest());
    EXPECT_LE(harness.now - start_time(), ms * 551) << "the first pause was longer than backoff_base";
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.deliver_changes(registry);
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"}));
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

// Changes made while the watch is broken are compacted before it resumes, so a watch can no longer deliver
// them. The Watch must make a full read at once and report the differences; otherwise c1 would stay in force
// and c2 would not count as a new process.
TEST_F(WatchFollowing, ACompactedRevisionLeadsToAFullRead) {
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    registry.erase("c1");
    registry.erase("c2");
    registry.put("c2", endpoint_value("c2", "Ready"));
    registry.put("c5", endpoint_value("c5", "Ready"));
    registry.compact(registry.newest());
    harness.advance_to_request();
    harness.watch.on_compacted(harness.now);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page)
        << "the Watch did not start the full read at once";
    EXPECT_EQ(harness.endpoints.size(), 4u) << "the former list did not stay in force during the full read";
    harness.watch.on_page(harness.now, harness.page(registry));
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"}));
    EXPECT_TRUE(harness.endpoints.contains(CacheId{"c5"}));
    EXPECT_EQ(harness.endpoints.at(CacheId{"c2"}).started_at, harness.now);
    EXPECT_EQ(harness.endpoints.at(CacheId{"c3"}).started_at, TimePoint{})
        << "the start time of an unchanged record has changed";
}

// All pages of a full read are read at one revision. If this revision is compacted between two pages, the
// Watch must restart the read after a pause of at most backoff_cap, as often as needed. The former list must
// stay in force meanwhile.
TEST_F(WatchFollowing, AFullReadRestartsIfItsRevisionIsCompacted) {
    harness.watch.on_compacted(harness.now);
    harness.watch.on_page(harness.now, harness.page(registry, 2));
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
    EXPECT_EQ(harness.requested_revision, registry.newest())
        << "the second page was not requested at the revision of the first page";
    EXPECT_EQ(harness.after_key, RecordKey{"c2"});
    registry.erase("c1");
    registry.compact(registry.newest());
    TimePoint last_read = harness.now;
    for (int n = 0; n < 12; ++n) {
        harness.watch.on_compacted(harness.now);
        EXPECT_EQ(harness.pending_request, WatchHarness::Request::none)
            << "the Watch restarted the read without a pause";
        harness.advance_to_request();
        EXPECT_LE(harness.now - last_read, WatchHarness::policy(3).backoff_cap);
        last_read = harness.now;
        EXPECT_EQ(harness.requested_revision, Revision{});
        EXPECT_EQ(harness.endpoints.size(), 4u);
        harness.watch.on_page(harness.now, harness.page(registry, 2));
    }
    while (harness.pending_request == WatchHarness::Request::read_page)
        harness.watch.on_page(harness.now, harness.page(registry, 2));
    EXPECT_EQ(harness.endpoints.size(), 3u);
}

// A watch resumes at a registry member whose revision is lower than that of the view. The Watch must try
// another registry member. A full read from the lagging one would bring the deleted endpoint c1 back.
TEST_F(WatchFollowing, AMemberOlderThanTheViewIsSkipped) {
    RegistryModel outdated = registry;
    registry.erase("c1");
    harness.deliver_changes(registry);
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    harness.watch.on_watch_opened(harness.now, harness.header(outdated));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::lagging);
    const MemberIndex lagging = harness.member;
    harness.advance_to_request();
    EXPECT_NE(harness.member, lagging);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::watch);
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    EXPECT_FALSE(harness.endpoints.contains(CacheId{"c1"})) << "the deleted endpoint c1 is in force again";
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

class RolledBackRegistry : public ::testing::TestWithParam<bool> {};

// A registry is restored from a backup, as the same cluster or as another cluster. A Watch that only went on
// watching would keep the endpoint c9, which the restored registry does not have. The Watch must make a full
// read, but only after most registry members have had a lower revision than the view for the watch timeout.
TEST_P(RolledBackRegistry, IsReadAgainOnceMostMembersAreOlderThanTheView) {
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
            EXPECT_TRUE(harness.endpoints.contains(CacheId{"c9"}))
                << "c9 was removed before most registry members had confirmed the restore";
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

// A full read that returns an empty list, or a list of unreadable records, must not be applied until a read
// from another registry member confirms it. Otherwise one faulty registry member could remove all endpoints.
TEST_F(WatchFollowing, AnEmptyOrUnreadableListNeedsAConfirmation) {
    for (const bool empty : {true, false}) {
        RegistryModel faulty = registry;
        for (int n = 1; n <= 4; ++n) {
            if (empty)
                faulty.erase("c" + std::to_string(n));
            else
                faulty.put("c" + std::to_string(n), "junk");
        }
        harness.watch.on_compacted(harness.now);
        harness.watch.on_page(harness.now, harness.page(faulty));
        EXPECT_EQ(harness.endpoints.size(), 4u);
        EXPECT_EQ(harness.pending_request, WatchHarness::Request::none);
        // The next registry member returns the former list, so the endpoints stay as they are.
        read_again();
        harness.watch.on_watch_opened(harness.now, harness.header(registry));
        EXPECT_EQ(harness.endpoints.size(), 4u);
        EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    }
    for (int n = 1; n <= 4; ++n) registry.erase("c" + std::to_string(n));
    harness.watch.on_compacted(harness.now);
    read_again();
    EXPECT_EQ(harness.endpoints.size(), 4u);
    read_again();
    EXPECT_TRUE(harness.endpoints.empty())
        << "the empty list was not applied although a second registry member had confirmed it";
}

// A watch that delivers nothing for the watch timeout must be reported as disconnected. The list must stay in
// force, and the Watch must make a history check before it opens the next watch.
TEST_F(WatchFollowing, ASilentWatchIsReportedAsDisconnected) {
    const TimePoint last_message = harness.now;
    harness.advance(WatchHarness::policy(3).watch_timeout + ms);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::disconnected);
    EXPECT_EQ(harness.watch.last_complete_at(), last_message);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.advance_to_request();
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::check_revision);
    harness.reply_to_check(registry);
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
    EXPECT_EQ(harness.watch.full_reads(), 1u);
}

// A watch that has been open for a while must reset the backoff; otherwise the pauses after separate timeouts
// would grow. The test lets twelve watches time out, each after it has been open for 300 ms. Each timeout
// must cost a pause of at most backoff_base.
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

// A registry is restored from a backup and then grows past the revision of the view, so that its revision
// does not show the restore. The backup lacks the endpoint c9, and c7 was added after the restore at a
// revision that the view already covers. The history check after the disconnection must lead to a full read;
// a Watch that only resumed from the view's revision would keep c9 and miss c7.
TEST_F(WatchFollowing, TheHistoryCheckDetectsARestoredRegistryPastTheView) {
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

// A progress notification announces the revision after 50 changes outside of the prefix. The registry does
// not deliver these changes to the watch, and then compacts them. A watch that breaks must resume after the
// announced revision; an earlier revision would be compacted.
TEST_F(WatchFollowing, ProgressNoticesMoveTheRevisionToResumeFrom) {
    for (int n = 0; n < 50; ++n) registry.put("elsewhere", "x");  // outside of the prefix, so not delivered
    harness.watch.on_changes(harness.now, harness.header(registry), {}, false);
    registry.compact(registry.newest());
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    EXPECT_EQ(harness.requested_revision, Revision{registry.newest().raw() + 1});
}

// The connection breaks between two fragments of one revision. The Watch must apply no part of the revision,
// and must request the whole revision again.
TEST_F(WatchFollowing, FragmentsOfARevisionAreAppliedTogether) {
    const Revision revision =
        registry.commit({{RecordKey{"c1"}, std::nullopt}, {RecordKey{"c2"}, std::nullopt}});
    const std::vector<Change> all = *registry.changes(revision, revision);
    harness.watch.on_changes(harness.now, harness.header(registry), {all[0]}, true);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
    harness.advance_to_request();
    EXPECT_EQ(harness.requested_revision, revision) << "the Watch did not request the whole revision again";
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.watch.on_changes(harness.now, harness.header(registry), {all[0]}, true);
    harness.watch.on_changes(harness.now, harness.header(registry), {all[1]}, false);
    EXPECT_EQ(harness.endpoints.size(), 2u);
}

// A change with too many entries and a list with too many records must be rejected, and the former list must
// stay in force. If the list is still too long in later attempts, this must not be reported again.
TEST_F(WatchFollowing, TooManyFragmentsOrRecordsAreRefused) {
    std::vector<Change> many(WatchHarness::policy(3).max_pending_changes, {record("c1", "", 0, 100), true});
    harness.watch.on_changes(harness.now, {registry.cluster(), Revision{100}}, many, true);
    harness.watch.on_changes(harness.now, {registry.cluster(), Revision{100}}, many, true);
    EXPECT_EQ(harness.endpoints.size(), 4u);
    harness.advance_to_request();
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::read_page);
    Page page;
    page.header = {registry.cluster(), Revision{200}};
    for (std::size_t n = 0; n <= WatchHarness::policy(3).max_records; ++n)
        page.records.push_back(
            record("x" + std::to_string(n), endpoint_value("x" + std::to_string(n), "Ready"), 3, 3));
    for (int n = 0; n < 3; ++n) {
        harness.watch.on_page(harness.now, page);
        EXPECT_EQ(harness.endpoints.size(), 4u);
        harness.advance_to_request();
    }
    EXPECT_EQ(
        std::count(harness.warnings.begin(), harness.warnings.end(), WatchWarningKind::too_many_records), 1);
}

// When a registry that was down for ten seconds is up again, its clients must not all reconnect at once. Of a
// thousand clients, fewer than a hundred must reconnect within any one slot of 100 ms, and all must reconnect
// within the cap of the pauses.
TEST(Watch, AThousandClientsDoNotReconnectAtOnce) {
    std::map<int, int> clients_by_slot;  // slots of 100 ms
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        RegistryModel registry = model_of(1);
        WatchHarness harness(1, seed * 7919 + 1);
        harness.watch.start(harness.now);
        harness.reply_to_full_read(registry);
        harness.watch.on_request_failed(harness.now, {RequestFailureReason::connection_lost, {}});
        // The registry refuses connections for 10 s.
        const TimePoint restarted_at = harness.now + Duration::seconds(10);
        while (harness.now < restarted_at) {
            harness.advance_to_request();
            if (harness.now < restarted_at)
                harness.watch.on_request_failed(harness.now, {RequestFailureReason::connect_failed, {}});
        }
        ++clients_by_slot[static_cast<int>((harness.now - restarted_at).micros() / 100'000)];
    }
    int most = 0;
    for (const auto& [slot, clients] : clients_by_slot) most = std::max(most, clients);
    EXPECT_LT(most, 1000 / 10) << "too many of a thousand clients reconnected within the same 100 ms";
    EXPECT_LE(clients_by_slot.rbegin()->first, 50) << "a pause was longer than backoff_cap";
}

// A Watch that starts from a stored list must put the list in force at once and report the state
// disconnected. The Watch must make a history check before it opens a watch, since the registry may have been
// restored after the list was stored.
TEST(Watch, AStoredListIsInForceAtOnceAndReportedAsDisconnected) {
    RegistryModel registry = model_of(3);
    WatchHarness harness;
    std::vector<Record> stored;
    for (const auto& [key, record] : *registry.at(registry.newest())) stored.push_back(record);
    harness.watch.start_from(harness.now, registry.cluster(), registry.newest(), stored,
                             harness.now - Duration::seconds(60));
    EXPECT_EQ(harness.endpoints.size(), 3u);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::disconnected);
    harness.watch.start(harness.now);
    ASSERT_EQ(harness.pending_request, WatchHarness::Request::check_revision)
        << "the Watch made no history check, but the registry could have been restored since the list was "
           "stored";
    harness.reply_to_check(registry);
    registry.erase("c1");
    harness.watch.on_watch_opened(harness.now, harness.header(registry));
    harness.deliver_changes(registry);
    EXPECT_EQ(harness.endpoints.size(), 2u);
    EXPECT_EQ(harness.watch.sync_state(), SyncState::following);
}

}  // namespace
}  // namespace irismux::registry::testing
