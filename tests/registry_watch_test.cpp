// The core of the registry client: a view at one revision, and what is asked, believed and told when.
#include <gtest/gtest.h>

#include <random>

#include "registry/watch.hpp"
#include "testing/known_endpoints.hpp"
#include "testing/registry_model.hpp"

using namespace irismux;
using namespace irismux::registry;
using stand_ins::list_value;
using stand_ins::RegistryModel;

namespace {

const Duration ms = Duration::micros(1000);
TimePoint start_time() { return TimePoint::at_seconds(1000); }

// --- the view ---------------------------------------------------------------------------------------------

Record record(const std::string& id, const std::string& value, std::int64_t created, std::int64_t modified) {
    return {RecordKey{id}, value, Revision{created}, Revision{modified}};
}

TEST(View, TellsOnlyWhatDiffersAfterAFullRead) {
    EndpointView v;
    const TimePoint t = start_time();
    EXPECT_EQ(
        v.replace(Revision{5},
                  {record("a", list_value("a", "Ready"), 2, 2), record("b", list_value("b", "Ready"), 3, 3),
                   record("c", list_value("c", "Ready"), 4, 4), record("d", list_value("d", "Ready"), 5, 5)},
                  t)
            .size(),
        4u);
    // a stays, b went, c was deleted and created anew, d drains.
    const auto told =
        v.replace(Revision{20},
                  {record("a", list_value("a", "Ready"), 2, 2), record("c", list_value("c", "Ready"), 12, 12),
                   record("d", list_value("d", "Terminating"), 5, 19)},
                  t + ms);
    ASSERT_EQ(told.size(), 4u);
    EXPECT_EQ(told[0].first.cache, CacheId{"b"});
    EXPECT_EQ(told[0].first.status, EndpointStatus::removed);
    EXPECT_EQ(told[1].first.cache, CacheId{"c"});
    EXPECT_EQ(told[1].first.status, EndpointStatus::removed);
    EXPECT_EQ(told[2].first.cache, CacheId{"c"});
    EXPECT_EQ(told[2].first.status, EndpointStatus::active);
    EXPECT_EQ(told[2].first.started_at, t + ms) << "another process that names no start is cold from now on";
    EXPECT_EQ(told[3].first.status, EndpointStatus::draining);
}

TEST(View, ARecordThatCameAnewInTwoStepsIsColdThoughItNamesItsOldStart) {
    EndpointView v;
    const TimePoint t = start_time();
    const std::string value = list_value("a", "Ready", 1, 999'000);
    v.replace(Revision{5}, {record("a", value, 2, 2)}, t);
    v.apply(Revision{}, {{record("a", "", 0, 6), true}}, t + ms);
    const auto told = v.apply(Revision{}, {{record("a", value, 9, 9), false}}, t + ms * 2);
    ASSERT_EQ(told.size(), 1u);
    EXPECT_EQ(told[0].first.started_at, t + ms * 2);
    // What only changes it later keeps that start.
    const auto later =
        v.apply(Revision{}, {{record("a", list_value("a", "Ready", 3, 999'000), 9, 12), false}}, t + ms * 3);
    ASSERT_EQ(later.size(), 1u);
    EXPECT_EQ(later[0].first.started_at, t + ms * 2);
}

TEST(View, ABadRecordKeepsItsLastGoodFormAndHoldsUpNoOther) {
    EndpointView v;
    const TimePoint t = start_time();
    v.replace(Revision{5}, {record("a", list_value("a", "Ready"), 2, 2)}, t);
    for (const std::string bad :
         {"", "{", "[]", "{\"id\":\"b\",\"state\":\"Ready\"}", "{\"id\":\"a\",\"state\":\"Off\"}"}) {
        const auto told = v.apply(Revision{},
                                  {{record("a", bad, 2, v.revision().raw() + 1), false},
                                   {record("x", list_value("x", "Ready"), 8, v.revision().raw() + 1), false}},
                                  t);
        EXPECT_EQ(v.unreadable(), 1u);
        EXPECT_EQ(v.entries().at(RecordKey{"a"}).endpoint->first.status, EndpointStatus::active) << bad;
        EXPECT_TRUE(v.entries().contains(RecordKey{"x"}));
        for (const auto& [l, address] : told) EXPECT_NE(l.cache, CacheId{"a"});
    }
    v.apply(Revision{}, {{record("a", "", 0, 90), true}}, t);
    EXPECT_EQ(v.unreadable(), 0u);
}

TEST(View, RepeatsByRevisionAreDropped) {
    EndpointView v;
    const TimePoint t = start_time();
    v.replace(Revision{5}, {record("a", list_value("a", "Ready"), 2, 2)}, t);
    EXPECT_EQ(v.apply(Revision{}, {{record("a", list_value("a", "Terminating"), 2, 7), false}}, t).size(),
              1u);
    EXPECT_TRUE(v.apply(Revision{}, {{record("a", list_value("a", "Ready"), 2, 6), false}}, t).empty());
    EXPECT_EQ(v.entries().at(RecordKey{"a"}).endpoint->first.status, EndpointStatus::draining);
}

// --- the watch --------------------------------------------------------------------------------------------

// A carrier that remembers the one ask in force, and a Router's list kept from what is told.
class Bench final : public WatchTransport, public WatchObserver {
public:
    explicit Bench(std::size_t members = 3, std::uint64_t seed = 1)
        : watch(*this, *this, pace(members), seed) {}

    static PollPolicy pace(std::size_t members) {
        PollPolicy p;
        p.members = members;
        return p;
    }

    enum class Ask { none, read, check, follow };
    Ask asked = Ask::none;
    MemberIndex member;
    std::optional<RecordKey> after;
    Revision at;
    TimePoint wake_at, now = start_time();
    int asks = 0;
    stand_ins::KnownEndpoints list;
    std::vector<WatchWarningKind> warnings;
    std::vector<SyncState> sights;
    Watch watch;

    void read_page(MemberIndex m, const std::optional<RecordKey>& a, Revision r) override {
        asked = Ask::read, member = m, after = a, at = r, ++asks;
    }
    void check_revision(MemberIndex m, Revision r) override {
        asked = Ask::check, member = m, at = r, ++asks;
    }
    void open_watch(MemberIndex m, Revision r) override { asked = Ask::follow, member = m, at = r, ++asks; }
    void close() override { asked = Ask::none; }
    void schedule_wake(TimePoint t) override { wake_at = t; }
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) override {
        stand_ins::apply(list, lines, complete);
    }
    void on_sync_state(TimePoint, SyncState s, TimePoint) override { sights.push_back(s); }
    void on_watch_warning(const WatchWarning& warning) override { warnings.push_back(warning.kind); }

    void pass(Duration s) {
        const TimePoint until = now + s;
        while (wake_at > now && wake_at <= until) {
            now = wake_at;
            watch.on_wake(now);
        }
        now = until;
    }
    // Until something is asked.
    void pass_to_ask() {
        for (int n = 0; n < 100 && asked == Ask::none; ++n) {
            now = wake_at;
            watch.on_wake(now);
        }
        ASSERT_NE(asked, Ask::none);
    }

    // Answers from a model, as one of its members sees it.
    ReplyHeader header(const RegistryModel& m) const { return {m.cluster(), m.newest()}; }
    Page page(const RegistryModel& m, std::size_t most = 1000) const {
        const Revision r = at == Revision{} ? m.newest() : at;
        Page p;
        p.header = {m.cluster(), r};
        for (const auto& [key, rec] : *m.at(r)) {
            if (after && key <= *after) continue;
            if (p.records.size() == most) return p.more = true, p;
            p.records.push_back(rec);
        }
        return p;
    }
    void read_all(const RegistryModel& m) {
        watch.on_page(now, page(m));
        ASSERT_EQ(asked, Ask::follow);
        watch.on_watch_opened(now, header(m));
    }
    void answer_check(const RegistryModel& m) {
        const RegistryModel::State* state = m.at(at);
        if (!state) return watch.on_compacted(now);
        std::vector<Record> newest;
        for (const auto& [key, r] : *state) newest.push_back(r);
        std::sort(newest.begin(), newest.end(),
                  [](const Record& x, const Record& y) { return x.modified > y.modified; });
        newest.resize(std::min(newest.size(), max_checked_records));
        watch.on_check_result(now, header(m), state->size(), newest);
    }
    void deliver(const RegistryModel& m) {
        watch.on_changes(now, header(m), *m.changes(at, m.newest()), false);
    }
};

RegistryModel model_of(std::size_t caches) {
    RegistryModel m;
    for (std::size_t n = 1; n <= caches; ++n)
        m.put("c" + std::to_string(n), list_value("c" + std::to_string(n), "Ready"));
    return m;
}

class Following : public ::testing::Test {
protected:
    RegistryModel m = model_of(4);
    Bench b;
    void SetUp() override {
        b.watch.start(b.now);
        ASSERT_EQ(b.asked, Bench::Ask::read);
        b.read_all(m);
        ASSERT_EQ(b.watch.sync_state(), SyncState::following);
        ASSERT_EQ(b.list.size(), 4u);
    }
    void read_anew() {
        b.pass_to_ask();
        ASSERT_EQ(b.asked, Bench::Ask::read);
        b.watch.on_page(b.now, b.page(m));
    }
};

TEST_F(Following, ADrainIsToldAtOnceHoweverMuchOfTheFleetItHits) {
    m.commit({{RecordKey{"c1"}, list_value("c1", "Terminating")},
              {RecordKey{"c2"}, list_value("c2", "Terminating")},
              {RecordKey{"c3"}, std::nullopt},
              {RecordKey{"c4"}, std::nullopt}});
    b.deliver(m);
    ASSERT_EQ(b.list.size(), 2u);
    for (const auto& [id, l] : b.list) EXPECT_EQ(l.status, EndpointStatus::draining);
}

TEST_F(Following, ABrokenWatchGoesOnFromTheNextRevisionElsewhereAndReadsNothingAnew) {
    const MemberIndex first = b.member;
    b.pass(ms * 500);
    b.watch.on_changes(b.now, b.header(m), {}, false);
    b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
    EXPECT_EQ(b.watch.sync_state(), SyncState::resuming);
    m.erase("c1");
    b.pass_to_ask();
    EXPECT_EQ(b.asked, Bench::Ask::follow);
    EXPECT_NE(b.member, first);
    EXPECT_EQ(b.at, m.newest());
    EXPECT_LE(b.now - start_time(), ms * 551) << "the first pause is at most the base";
    b.watch.on_watch_opened(b.now, b.header(m));
    b.deliver(m);
    EXPECT_FALSE(b.list.contains(CacheId{"c1"}));
    EXPECT_EQ(b.watch.full_reads(), 1u);
}

// Without the full read c1 would stay in service, and c2, another process by now, warm.
TEST_F(Following, ACompactedResumptionReadsAllAndTellsTheDifference) {
    b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
    m.erase("c1");
    m.erase("c2");
    m.put("c2", list_value("c2", "Ready"));
    m.put("c5", list_value("c5", "Ready"));
    m.compact(m.newest());
    b.pass_to_ask();
    b.watch.on_compacted(b.now);
    ASSERT_EQ(b.asked, Bench::Ask::read) << "at once";
    EXPECT_EQ(b.list.size(), 4u) << "what is known stays in force meanwhile";
    b.watch.on_page(b.now, b.page(m));
    EXPECT_FALSE(b.list.contains(CacheId{"c1"}));
    EXPECT_TRUE(b.list.contains(CacheId{"c5"}));
    EXPECT_EQ(b.list.at(CacheId{"c2"}).started_at, b.now);
    EXPECT_EQ(b.list.at(CacheId{"c3"}).started_at, TimePoint{}) << "an old one is no new one";
}

TEST_F(Following, PagesArePinnedAndBegunAnewWhenTheirRevisionIsCompacted) {
    b.watch.on_compacted(b.now);
    b.watch.on_page(b.now, b.page(m, 2));
    ASSERT_EQ(b.asked, Bench::Ask::read);
    EXPECT_EQ(b.at, m.newest()) << "the second page is read at the first one's revision";
    EXPECT_EQ(b.after, RecordKey{"c2"});
    m.erase("c1");
    m.compact(m.newest());
    TimePoint last = b.now;
    for (int n = 0; n < 12; ++n) {
        b.watch.on_compacted(b.now);
        EXPECT_EQ(b.asked, Bench::Ask::none) << "again and again costs a pause";
        b.pass_to_ask();
        EXPECT_LE(b.now - last, Bench::pace(3).backoff_cap);
        last = b.now;
        EXPECT_EQ(b.at, Revision{});
        EXPECT_EQ(b.list.size(), 4u);
        b.watch.on_page(b.now, b.page(m, 2));
    }
    while (b.asked == Bench::Ask::read) b.watch.on_page(b.now, b.page(m, 2));
    EXPECT_EQ(b.list.size(), 3u);
}

TEST_F(Following, AMemberThatLagsIsLeftForAnother) {
    RegistryModel old = m;
    m.erase("c1");
    b.deliver(m);
    b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
    b.pass_to_ask();
    b.watch.on_watch_opened(b.now, b.header(old));
    EXPECT_EQ(b.watch.sync_state(), SyncState::lagging);
    const MemberIndex lagging = b.member;
    b.pass_to_ask();
    EXPECT_NE(b.member, lagging);
    ASSERT_EQ(b.asked, Bench::Ask::follow);
    b.watch.on_watch_opened(b.now, b.header(m));
    EXPECT_EQ(b.watch.sync_state(), SyncState::following);
    EXPECT_FALSE(b.list.contains(CacheId{"c1"})) << "a reread at it would have brought c1 back";
    EXPECT_EQ(b.watch.full_reads(), 1u);
}

class WentBack : public ::testing::TestWithParam<bool> {};

// Going on with the watch alone would keep c9, which the restored registry never had.
TEST_P(WentBack, ARestoredRegistryIsReadAnewOnceMostMembersShowIt) {
    for (const std::size_t members : {1u, 3u}) {
        RegistryModel m = model_of(4);
        Bench b(members);
        const Revision backup = m.newest();
        m.put("c9", list_value("c9", "Ready"));
        b.watch.start(b.now);
        b.read_all(m);
        ASSERT_TRUE(b.list.contains(CacheId{"c9"}));
        m.restore(backup, GetParam());
        b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
        const TimePoint since = b.now;
        for (int n = 0; n < 200 && b.asked != Bench::Ask::read; ++n) {
            b.pass_to_ask();
            if (b.asked == Bench::Ask::check)
                b.watch.on_revision_not_reached(b.now);
            else if (b.asked == Bench::Ask::follow)
                b.watch.on_watch_opened(b.now, b.header(m));
            EXPECT_TRUE(b.list.contains(CacheId{"c9"})) << "not yet believed";
        }
        ASSERT_EQ(b.asked, Bench::Ask::read);
        EXPECT_GE(b.now - since, Bench::pace(members).watch_timeout);
        EXPECT_LE(b.now - since, Bench::pace(members).watch_timeout + Bench::pace(members).backoff_base * 4);
        b.read_all(m);
        EXPECT_FALSE(b.list.contains(CacheId{"c9"}));
        EXPECT_EQ(b.list.size(), 4u);
        EXPECT_EQ(b.watch.sync_state(), SyncState::following);
        EXPECT_EQ(b.watch.cluster(), m.cluster());
    }
}
INSTANTIATE_TEST_SUITE_P(SameOrAnotherCluster, WentBack, ::testing::Bool());

TEST_F(Following, ARereadThatIsEmptyOrUnreadableIsNoInstructionUntilAnotherMemberConfirms) {
    for (const bool empty : {true, false}) {
        RegistryModel odd = m;
        for (int n = 1; n <= 4; ++n) {
            if (empty)
                odd.erase("c" + std::to_string(n));
            else
                odd.put("c" + std::to_string(n), "junk");
        }
        b.watch.on_compacted(b.now);
        b.watch.on_page(b.now, b.page(odd));
        EXPECT_EQ(b.list.size(), 4u);
        EXPECT_EQ(b.asked, Bench::Ask::none);
        // The next member has the list: nothing has happened.
        read_anew();
        b.watch.on_watch_opened(b.now, b.header(m));
        EXPECT_EQ(b.list.size(), 4u);
        EXPECT_EQ(b.watch.sync_state(), SyncState::following);
    }
    for (int n = 1; n <= 4; ++n) m.erase("c" + std::to_string(n));
    b.watch.on_compacted(b.now);
    read_anew();
    EXPECT_EQ(b.list.size(), 4u);
    read_anew();
    EXPECT_TRUE(b.list.empty()) << "a second member has confirmed it";
}

TEST_F(Following, AnOpenAndSilentWatchIsFoundByItsSilence) {
    const TimePoint last = b.now;
    b.pass(Bench::pace(3).watch_timeout + ms);
    EXPECT_EQ(b.watch.sync_state(), SyncState::disconnected);
    EXPECT_EQ(b.watch.last_complete_at(), last);
    EXPECT_EQ(b.list.size(), 4u);
    b.pass_to_ask();
    ASSERT_EQ(b.asked, Bench::Ask::check);
    b.answer_check(m);
    b.watch.on_watch_opened(b.now, b.header(m));
    EXPECT_EQ(b.watch.sync_state(), SyncState::following);
    EXPECT_EQ(b.watch.full_reads(), 1u);
}

// Silence ends a watch as a break does: one that had held before it is followed by a short pause, however
// often.
TEST_F(Following, SilencesThatHaveNothingToDoWithEachOtherDoNotAddUp) {
    for (int n = 0; n < 12; ++n) {
        b.pass(ms * 300);
        b.watch.on_changes(b.now, b.header(m), {}, false);
        const TimePoint since = b.now;
        b.pass(Bench::pace(3).watch_timeout + ms);
        b.pass_to_ask();
        EXPECT_LE(b.now - since, Bench::pace(3).watch_timeout + ms + Bench::pace(3).backoff_base);
        b.answer_check(m);
        b.watch.on_watch_opened(b.now, b.header(m));
    }
}

// By its numbers nothing is wrong with it; a watch from ours on would keep c9 and never hear of c7.
TEST_F(Following, ARestoredRegistryThatHasGrownPastUsIsFoundByItsHistory) {
    const Revision backup = m.newest();
    m.put("c9", list_value("c9", "Ready"));
    b.deliver(m);
    ASSERT_TRUE(b.list.contains(CacheId{"c9"}));
    m.restore(backup, false);
    m.put("c7", list_value("c7", "Ready"));
    m.put("c8", list_value("c8", "Ready"));
    b.pass(Bench::pace(3).watch_timeout + ms);
    b.pass_to_ask();
    ASSERT_EQ(b.asked, Bench::Ask::check);
    b.answer_check(m);
    ASSERT_EQ(b.asked, Bench::Ask::read);
    b.read_all(m);
    EXPECT_FALSE(b.list.contains(CacheId{"c9"}));
    EXPECT_TRUE(b.list.contains(CacheId{"c7"}));
}

TEST_F(Following, ProgressMovesThePointOfResumptionPastACompaction) {
    for (int n = 0; n < 50; ++n) m.put("elsewhere", "x");  // not under our prefix: nothing is delivered
    b.watch.on_changes(b.now, b.header(m), {}, false);
    m.compact(m.newest());
    b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
    b.pass_to_ask();
    EXPECT_EQ(b.at, Revision{m.newest().raw() + 1});
}

TEST_F(Following, PartsOfARevisionCountTogetherOrNotAtAll) {
    const Revision r = m.commit({{RecordKey{"c1"}, std::nullopt}, {RecordKey{"c2"}, std::nullopt}});
    const std::vector<Change> all = *m.changes(r, r);
    b.watch.on_changes(b.now, b.header(m), {all[0]}, true);
    EXPECT_EQ(b.list.size(), 4u);
    b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
    b.pass_to_ask();
    EXPECT_EQ(b.at, r) << "it is asked for once more, whole";
    b.watch.on_watch_opened(b.now, b.header(m));
    b.watch.on_changes(b.now, b.header(m), {all[0]}, true);
    b.watch.on_changes(b.now, b.header(m), {all[1]}, false);
    EXPECT_EQ(b.list.size(), 2u);
}

TEST_F(Following, TooManyPiecesOrRecordsAreRefusedAndWhatIsKnownStays) {
    std::vector<Change> many(Bench::pace(3).max_pending_changes, {record("c1", "", 0, 100), true});
    b.watch.on_changes(b.now, {m.cluster(), Revision{100}}, many, true);
    b.watch.on_changes(b.now, {m.cluster(), Revision{100}}, many, true);
    EXPECT_EQ(b.list.size(), 4u);
    b.pass_to_ask();
    ASSERT_EQ(b.asked, Bench::Ask::read);
    Page p;
    p.header = {m.cluster(), Revision{200}};
    for (std::size_t n = 0; n <= Bench::pace(3).max_records; ++n)
        p.records.push_back(
            record("x" + std::to_string(n), list_value("x" + std::to_string(n), "Ready"), 3, 3));
    for (int n = 0; n < 3; ++n) {
        b.watch.on_page(b.now, p);
        EXPECT_EQ(b.list.size(), 4u);
        b.pass_to_ask();
    }
    EXPECT_EQ(std::count(b.warnings.begin(), b.warnings.end(), WatchWarningKind::too_many_records), 1);
}

TEST(Watch, AThousandThatLoseTheRegistryComeBackSpreadOverThePause) {
    std::map<int, int> by_ms;
    for (std::uint64_t seed = 0; seed < 1000; ++seed) {
        RegistryModel m = model_of(1);
        Bench b(1, seed * 7919 + 1);
        b.watch.start(b.now);
        b.read_all(m);
        b.watch.on_request_failed(b.now, {RequestFailureReason::connection_lost, {}});
        // Down for a while: each attempt fails at once.
        const TimePoint up = b.now + Duration::seconds(10);
        while (b.now < up) {
            b.pass_to_ask();
            if (b.now < up) b.watch.on_request_failed(b.now, {RequestFailureReason::connect_failed, {}});
        }
        ++by_ms[static_cast<int>((b.now - up).micros() / 100'000)];
    }
    int most = 0;
    for (const auto& [slot, n] : by_ms) most = std::max(most, n);
    EXPECT_LT(most, 1000 / 10) << "of a thousand in the worst 100 ms";
    EXPECT_LE(by_ms.rbegin()->first, 50) << "none stays away for longer than the cap";
}

TEST(Watch, FromAStoredViewItServesAtOnceAndSaysThatItIsOld) {
    RegistryModel m = model_of(3);
    Bench b;
    std::vector<Record> kept;
    for (const auto& [key, r] : *m.at(m.newest())) kept.push_back(r);
    b.watch.start_from(b.now, m.cluster(), m.newest(), kept, b.now - Duration::seconds(60));
    EXPECT_EQ(b.list.size(), 3u);
    EXPECT_EQ(b.watch.sync_state(), SyncState::disconnected);
    b.watch.start(b.now);
    ASSERT_EQ(b.asked, Bench::Ask::check) << "it may have been restored since";
    b.answer_check(m);
    m.erase("c1");
    b.watch.on_watch_opened(b.now, b.header(m));
    b.deliver(m);
    EXPECT_EQ(b.list.size(), 2u);
    EXPECT_EQ(b.watch.sync_state(), SyncState::following);
}

// --- a random life
// -------------------------------------------------------------------------------------------

// Members show the model as it was some revisions ago, or as it was before a restore; deliveries are lost,
// repeated, cut and late. After each step the view is exactly some revision of the model, and what was told
// is the view.
class Life {
public:
    explicit Life(std::uint64_t seed)
        : chance_(static_cast<std::uint_fast32_t>(seed)), b_(1 + draw(3), seed) {
        for (int n = 0; n < 5; ++n) change();
        b_.watch.start(b_.now);
    }

    void step(bool faults) {
        const int what = draw(100);
        if (faults && what < 25)
            change();
        else if (faults && what < 32)
            m_.compact(Revision{m_.newest().raw() - draw(3)});
        else if (faults && what < 35)
            b_.watch.on_request_failed(b_.now, {RequestFailureReason::connection_lost, {}});
        else if (faults && what < 37)
            lag_ = {MemberIndex{static_cast<std::size_t>(draw(3))}, draw(4)};
        else if (faults && what == 37 && b_.watch.view().revision() > Revision{})
            set_back();
        else if (what < 80)
            answer(faults);
        else
            b_.pass(ms * (1 + draw(faults ? 900 : 300)));
        check();
    }
    void settle() {
        lag_ = {MemberIndex{0}, 0};
        for (int n = 0; n < 4000; ++n) step(false);
        ASSERT_EQ(b_.watch.sync_state(), SyncState::following);
        ASSERT_EQ(b_.watch.view().revision(), m_.newest());
        check();
    }

private:
    std::ranlux24_base chance_;
    RegistryModel m_;
    Bench b_;
    std::map<Revision, RegistryModel::State> known_;  // of this registry's life, and of the ones before it
    std::vector<std::map<Revision, RegistryModel::State>> lives_;
    std::pair<MemberIndex, int> lag_{MemberIndex{0}, 0};
    Revision last_;
    std::uint64_t reads_ = 0;

    int draw(int below) { return static_cast<int>(chance_() % static_cast<std::uint_fast32_t>(below)); }

    void change() {
        std::vector<std::pair<RecordKey, std::optional<std::string>>> writes;
        const int n = 1 + draw(3);
        for (int w = 0; w < n; ++w) {
            const std::string id = "c" + std::to_string(draw(8));
            if (draw(3) == 0)
                writes.emplace_back(RecordKey{id}, std::nullopt);
            else
                writes.emplace_back(RecordKey{id},
                                    list_value(id, draw(3) ? "Ready" : "Terminating", 1 + draw(5)));
        }
        m_.commit(writes);
        known_[m_.newest()] = *m_.at(m_.newest());
    }
    // It takes longer than a connection that breaks.
    void set_back() {
        b_.watch.on_request_failed(b_.now, {RequestFailureReason::connection_lost, {}});
        b_.now = b_.now + Bench::pace(1).watch_timeout;
        b_.watch.on_wake(b_.now);
        b_.watch.on_request_failed(b_.now, {RequestFailureReason::connection_lost, {}});
        known_[m_.newest()] = *m_.at(m_.newest());
        lives_.push_back(known_);
        m_.restore(Revision{m_.newest().raw() - 1 - draw(4)}, draw(2) == 0);
        known_.clear();
        known_[m_.newest()] = *m_.at(m_.newest());
        lag_ = {MemberIndex{0}, 0};
    }
    Revision shown() const {
        const std::int64_t behind = b_.member == lag_.first ? lag_.second : 0;
        return std::max(m_.oldest(), Revision{m_.newest().raw() - behind});
    }
    void answer(bool faults) {
        const ReplyHeader from{m_.cluster(), shown()};
        if (b_.asked == Bench::Ask::read) {
            const Revision r = b_.at == Revision{} ? shown() : b_.at;
            const RegistryModel::State* state = m_.at(r);
            if (!state) return b_.watch.on_compacted(b_.now);
            Page p;
            p.header = {m_.cluster(), r};
            const std::size_t most = static_cast<std::size_t>(1 + draw(6));
            for (const auto& [key, rec] : *state) {
                if (b_.after && key <= *b_.after) continue;
                if (p.records.size() == most) {
                    p.more = true;
                    break;
                }
                p.records.push_back(rec);
            }
            return b_.watch.on_page(b_.now, p);
        }
        if (b_.asked == Bench::Ask::check) return b_.answer_check(m_);
        if (b_.asked != Bench::Ask::follow) return;
        b_.watch.on_watch_opened(b_.now, from);
        if (b_.asked != Bench::Ask::follow || b_.watch.sync_state() != SyncState::following) return;
        if (faults && draw(5) == 0) return;  // open and silent for now
        Revision next{std::max(b_.at, Revision{b_.watch.view().revision().raw() + 1})};
        if (faults && draw(4) == 0)
            next = Revision{std::max<std::int64_t>(2, next.raw() - draw(3))};  // repeats
        if (next > from.revision) return b_.watch.on_changes(b_.now, from, {}, false);
        const auto all = m_.changes(next, from.revision);
        if (!all) return b_.watch.on_compacted(b_.now);
        if (all->empty()) return b_.watch.on_changes(b_.now, from, {}, false);
        std::size_t first = 0;
        while (first < all->size()) {
            const std::size_t part = std::min(all->size() - first, static_cast<std::size_t>(1 + draw(4)));
            const bool goes_on = first + part < all->size();
            b_.watch.on_changes(b_.now, from,
                                {all->begin() + static_cast<std::ptrdiff_t>(first),
                                 all->begin() + static_cast<std::ptrdiff_t>(first + part)},
                                goes_on);
            first += part;
            if (goes_on && faults && draw(6) == 0)
                return b_.watch.on_request_failed(b_.now, {RequestFailureReason::connection_lost, {}});
        }
    }

    bool is(const RegistryModel::State& state) const {
        const auto& entries = b_.watch.view().entries();
        if (entries.size() != state.size()) return false;
        for (const auto& [key, rec] : state) {
            const auto it = entries.find(key);
            if (it == entries.end() || it->second.value != rec.value || it->second.created != rec.created)
                return false;
        }
        return true;
    }
    void check() {
        const EndpointView& v = b_.watch.view();
        // One gone back is only followed after a full read.
        ASSERT_TRUE(v.revision() >= last_ || b_.watch.full_reads() > reads_);
        last_ = v.revision();
        reads_ = b_.watch.full_reads();
        if (v.revision() == Revision{}) return;
        bool some = false;
        const auto holds = [&](const std::map<Revision, RegistryModel::State>& life) {
            const auto it = life.find(v.revision());
            return it != life.end() && is(it->second);
        };
        some = holds(known_) || std::any_of(lives_.begin(), lives_.end(), holds);
        ASSERT_TRUE(some) << "no revision of the registry is " << v.revision().raw();
        std::size_t told = 0;
        for (const auto& [key, e] : v.entries()) {
            ASSERT_TRUE(e.endpoint);
            const auto it = b_.list.find(e.endpoint->first.cache);
            ASSERT_TRUE(it != b_.list.end()) << key.raw();
            ASSERT_EQ(it->second.status, e.endpoint->first.status);
            ASSERT_EQ(it->second.weight, e.endpoint->first.weight);
            ++told;
        }
        ASSERT_EQ(told, b_.list.size());
    }
};

TEST(Random, TheViewIsAlwaysSomeRevisionAndInTheEndTheNewest) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Life life(seed);
        for (int n = 0; n < 400; ++n) {
            life.step(true);
            if (HasFatalFailure()) return;
        }
        life.settle();
        if (HasFatalFailure()) return;
    }
}

}  // namespace
