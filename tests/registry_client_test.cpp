// The registry client on sockets, against the stand-in and its faults; and the reading of what a registry
// writes.
#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <random>

#include "base/log.hpp"
#include "registry/endpoint_snapshot.hpp"
#include "registry/registry_client.hpp"
#include "store/store.hpp"
#include "testing/known_endpoints.hpp"
#include "testing/registry_stand_in.hpp"

using namespace irismux;
using namespace irismux::registry;
using stand_ins::list_value;

namespace {

const Duration ms = Duration::micros(1000);
const std::string prefix = "/caches/";

class OnSockets : public ::testing::Test, public WatchObserver {
protected:
    EventLoop loop;
    std::unique_ptr<stand_ins::RegistryStandIn> r;
    std::unique_ptr<RegistryClient> client;
    stand_ins::KnownEndpoints list;
    std::vector<SyncState> sights;
    std::vector<WatchWarning> warnings;
    stand_ins::Intervals stretches{loop};  // the last: nothing of the above may go while the loop runs

    void SetUp() override { log::show(log::Level::error); }
    void begin(std::size_t members = 3, const std::string& user = "", const std::string& password = "") {
        r = std::make_unique<stand_ins::RegistryStandIn>(loop, members, ms * 20);
        for (const char* id : {"c1", "c2", "c3"}) put(id, "Ready");
        client = std::make_unique<RegistryClient>(loop, *this, settings(members, user, password), 7);
    }
    Settings settings(std::size_t members, const std::string& user, const std::string& password) const {
        Settings s;
        for (std::size_t n = 0; n < members; ++n) s.members.push_back(r->address(n));
        s.prefix = prefix;
        s.user = user;
        s.password = password;
        s.page_size = 2;
        s.poll_policy.members = members;
        s.poll_policy.watch_timeout = ms * 150;
        s.poll_policy.reply_timeout = ms * 100;
        s.poll_policy.backoff_base = ms * 5;
        s.poll_policy.backoff_cap = ms * 100;
        return s;
    }
    void put(const std::string& id, const std::string& state) {
        r->model.put(prefix + id, list_value(id, state));
    }
    void drain(const std::string& id) {
        put(id, "Terminating");
        r->publish();
    }
    void start_and_follow() {
        client->start();
        ASSERT_TRUE(
            until([&] { return client->watch().sync_state() == SyncState::following && list.size() == 3; }));
    }
    bool until(const std::function<bool()>& so) { return stretches.until(so); }
    bool draining(const std::string& id) {
        const auto it = list.find(CacheId{id});
        return it != list.end() && it->second.status == EndpointStatus::draining;
    }

    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) override {
        stand_ins::apply(list, lines, complete);
    }
    void on_sync_state(TimePoint, SyncState s, TimePoint) override { sights.push_back(s); }
    void on_watch_warning(const WatchWarning& warning) override { warnings.push_back(warning); }
};

TEST_F(OnSockets, ReadsInPagesThenFollows) {
    begin();
    start_and_follow();
    EXPECT_EQ(r->ledger.reads, 2);
    drain("c2");
    EXPECT_TRUE(until([&] { return draining("c2"); }));
    r->model.erase(prefix + "c1");
    r->model.put("/elsewhere/c9", "x");
    r->publish();
    EXPECT_TRUE(until([&] { return list.size() == 2; }));
    EXPECT_EQ(r->ledger.reads, 2);
}

TEST_F(OnSockets, EachFaultIsRiddenOutAndTheDrainArrives) {
    using Faults = stand_ins::RegistryStandIn::Faults;
    const std::vector<std::pair<const char*, std::function<void(Faults&)>>> faults = {
        {"refuse", [](Faults& f) { f.refuse = true; }},  {"silent", [](Faults& f) { f.silent = true; }},
        {"mute", [](Faults& f) { f.mute = true; }},      {"cut", [](Faults& f) { f.cut = true; }},
        {"garble", [](Faults& f) { f.garble = true; }},  {"lag", [](Faults& f) { f.lag = 2; }},
        {"fragment", [](Faults& f) { f.fragment = 1; }}, {"delay", [](Faults& f) { f.delay = ms * 30; }}};
    for (const auto& [name, make] : faults) {
        SCOPED_TRACE(name);
        list.clear();
        client.reset();
        begin();
        start_and_follow();
        // The member that is followed has the fault, and its connections break once.
        for (std::size_t m = 0; m < 2; ++m) make(r->faults(m));
        for (std::size_t m = 0; m < 3; ++m) r->break_connections(m);
        r->model.commit({{RecordKey{prefix + "c1"}, list_value("c1", "Terminating")},
                         {RecordKey{prefix + "c2"}, list_value("c2", "Terminating")}});
        r->publish();
        EXPECT_TRUE(until([&] { return draining("c1") && draining("c2"); }));
        EXPECT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    }
}

TEST_F(OnSockets, CompactionWhileItWasAwayLeadsToAFullReadAndNoGap) {
    begin(1);
    start_and_follow();
    const std::uint64_t reads = client->watch().full_reads();
    r->down(0);
    r->model.erase(prefix + "c3");
    r->model.erase(prefix + "c2");
    put("c2", "Ready");
    r->model.compact(r->model.newest());
    ASSERT_TRUE(until([&] { return client->watch().sync_state() != SyncState::following; }));
    EXPECT_EQ(list.size(), 3u);
    r->up(0);
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    EXPECT_EQ(list.size(), 2u);
    EXPECT_GT(list.at(CacheId{"c2"}).started_at, TimePoint{});
    EXPECT_EQ(client->watch().full_reads(), reads + 1);
}

TEST_F(OnSockets, ARestoredRegistryIsFollowedAfterAFullRead) {
    begin(3);
    const Revision backup = r->model.newest();
    put("c4", "Ready");
    client->start();
    ASSERT_TRUE(
        until([&] { return list.size() == 4 && client->watch().sync_state() == SyncState::following; }));
    for (std::size_t m = 0; m < 3; ++m) r->down(m);
    r->model.restore(backup, true);
    for (std::size_t m = 0; m < 3; ++m) r->up(m);
    ASSERT_TRUE(
        until([&] { return list.size() == 3 && client->watch().sync_state() == SyncState::following; }));
    EXPECT_EQ(client->watch().cluster(), r->model.cluster());
}

TEST_F(OnSockets, ATokenIsFetchedAndRenewedWhenItIsRefused) {
    begin(2);
    r->user = "gateway";
    r->password = "secret";
    client.reset();
    client = std::make_unique<RegistryClient>(loop, *this, settings(2, "gateway", "secret"), 7);
    start_and_follow();
    EXPECT_EQ(r->ledger.logins, 1);
    r->forget_tokens();
    for (std::size_t m = 0; m < 2; ++m) r->break_connections(m);
    drain("c1");
    EXPECT_TRUE(until([&] { return draining("c1"); }));
    EXPECT_EQ(r->ledger.logins, 2);
    // Wrong ones lead to pauses, and to no line that holds them.
    client = std::make_unique<RegistryClient>(loop, *this, settings(2, "gateway", "mistaken"), 7);
    const int before = r->ledger.logins;
    client->start();
    EXPECT_TRUE(until([&] { return r->ledger.logins > before + 3; }));
    EXPECT_NE(client->watch().sync_state(), SyncState::following);
    for (const WatchWarning& warning : warnings) {
        ASSERT_TRUE(warning.failure);
        EXPECT_EQ(warning.failure->detail.find("mistaken"), std::string::npos) << warning.failure->detail;
    }
}

// Drops, compaction at every revision, lag and pieces, all at once, from seeds; in the end all is as it is
// there.
// Lists of records of which many do not fit into one answer.
class LongRecords : public OnSockets {
protected:
    void put_long(const std::string& id, const std::string& state, std::size_t bytes) {
        r->model.put(prefix + id, long_value(id, state, bytes));
    }
    static std::string long_value(const std::string& id, const std::string& state, std::size_t bytes) {
        return list_value(id, state, 1, 0, std::string(bytes, 'a'));
    }
    void begin_with(std::size_t records, std::size_t bytes, std::size_t page) {
        r = std::make_unique<stand_ins::RegistryStandIn>(loop, 3, ms * 20);
        for (std::size_t n = 0; n < records; ++n) put_long("c" + std::to_string(n), "Ready", bytes);
        Settings s = settings(3, "", "");
        s.page_size = page;
        s.poll_policy.reply_timeout = s.poll_policy.watch_timeout = ms * 1000;
        client = std::make_unique<RegistryClient>(loop, *this, s, 7);
        client->start();
    }
    bool follows_all(std::size_t records) {
        return until(
            [&] { return client->watch().sync_state() == SyncState::following && list.size() == records; });
    }
};

// A page above the bound is asked for again with fewer records, not the same again.
TEST_F(LongRecords, ArePagedSmallerUntilTheyFit) {
    begin_with(60, 60'000, 40);
    ASSERT_TRUE(follows_all(60));
    EXPECT_LE(r->ledger.reads, 12);
    EXPECT_EQ(r->ledger.connections, 3);
}

// A change above the bound, in one chunk, leads to a full read in pages that fit, and the watch goes on.
TEST_F(LongRecords, InOneChangeLeadToAFullReadAndNoLoop) {
    begin_with(30, 60'000, 5);
    ASSERT_TRUE(follows_all(30));
    const int watches = r->ledger.watches;
    std::vector<std::pair<RecordKey, std::optional<std::string>>> writes;
    for (int n = 0; n < 30; ++n) {
        const std::string id = "c" + std::to_string(n);
        writes.emplace_back(RecordKey{prefix + id}, long_value(id, "Terminating", 60'000));
    }
    r->model.commit(writes);
    r->publish();
    ASSERT_TRUE(until([&] { return draining("c0") && draining("c29"); }));
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    EXPECT_LE(r->ledger.watches, watches + 2);
    EXPECT_EQ(client->watch().full_reads(), 2u);
}

// One record above the bound: what is known stays, and the registry is asked at the pace of a failure; once
// the record has gone the list is followed again.
TEST_F(LongRecords, OneThatFitsIntoNoAnswerLeavesWhatIsKnown) {
    begin_with(3, 10, 40);
    ASSERT_TRUE(follows_all(3));
    put_long("c9", "Ready", std::size_t{1} << 20);
    r->publish();
    ASSERT_TRUE(until([&] {
        return std::any_of(warnings.begin(), warnings.end(), [](const WatchWarning& warning) {
            return warning.failure && warning.failure->reason == RequestFailureReason::record_too_long;
        });
    }));
    EXPECT_EQ(list.size(), 3u);
    const int reads = r->ledger.reads;
    const TimePoint from = loop.now();
    ASSERT_TRUE(until([&] { return loop.now() > from + ms * 500; }));
    EXPECT_LE(r->ledger.reads, reads + 60);
    r->model.erase(prefix + "c9");
    put("c4", "Ready");
    r->publish();
    EXPECT_TRUE(follows_all(4));
}

// A history that does not fit into an answer can't be compared: the list is read whole.
TEST_F(LongRecords, OfAHistoryLeadToAFullRead) {
    begin_with(9, 150'000, 3);
    ASSERT_TRUE(follows_all(9));
    for (std::size_t m = 0; m < 3; ++m) r->down(m);
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::disconnected; }));
    put_long("c1", "Terminating", 150'000);
    for (std::size_t m = 0; m < 3; ++m) r->up(m);
    ASSERT_TRUE(until([&] { return draining("c1"); }));
    EXPECT_TRUE(follows_all(9));
    EXPECT_LE(r->ledger.checks, 2);
}

TEST_F(OnSockets, ManyTroublesAtOnceEndInTheNewestList) {
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE(seed);
        list.clear();
        client.reset();
        begin();
        std::ranlux24_base chance(seed);
        const auto draw = [&](int below) {
            return static_cast<int>(chance() % static_cast<unsigned>(below));
        };
        client->start();
        int left = 120;
        const std::function<void()> trouble = [&] {
            const std::size_t m = static_cast<std::size_t>(draw(3));
            stand_ins::RegistryStandIn::Faults& f = r->faults(m);
            const std::string id = "c" + std::to_string(draw(9));
            if (draw(3) == 0)
                r->model.erase(prefix + id);
            else
                put(id, draw(2) ? "Ready" : "Terminating");
            if (draw(3) == 0) r->model.compact(r->model.newest());
            switch (draw(10)) {
                case 0:
                    r->break_connections(m);
                    break;
                case 1:
                    f.cut = true;
                    break;
                case 2:
                    f.garble = true;
                    break;
                case 3:
                    f.lag = draw(4);
                    break;
                case 4:
                    f.fragment = draw(3);
                    break;
                case 5:
                    f.silent = !f.silent;
                    break;
                case 6:
                    draw(2) ? r->down(m) : r->up(m);
                    break;
                default:
                    break;
            }
            r->publish();
            if (--left > 0) loop.schedule_at(loop.now() + ms * (1 + draw(6)), trouble);
        };
        loop.schedule_now(trouble);
        ASSERT_TRUE(until([&] { return left == 0; }));
        for (std::size_t m = 0; m < 3; ++m) {
            r->faults(m) = {};
            r->up(m);
        }
        EXPECT_TRUE(until([&] {
            return client->watch().sync_state() == SyncState::following &&
                   client->watch().view().revision() >= r->model.newest();
        }));
        const auto* state = r->model.at(r->model.newest());
        EXPECT_EQ(list.size(), state->size());
        for (const auto& [key, rec] : *state) {
            const auto& entries = client->watch().view().entries();
            const auto it = entries.find(RecordKey{key.raw().substr(prefix.size())});
            ASSERT_TRUE(it != entries.end()) << key.raw();
            EXPECT_EQ(it->second.value, rec.value);
        }
    }
}

// --- what a registry writes
// ----------------------------------------------------------------------------------

template <class T>
void expect_value_or_one_line(const etcd::ReadResult<T>& result) {
    const auto* error = std::get_if<etcd::Error>(&result);
    if (!error) return;
    EXPECT_LE(error->message.size(), 200u);
    EXPECT_EQ(error->message.find('\n'), std::string::npos);
}

TEST(Etcd, AnswersAreReadOrRefusedWhole) {
    const std::string good =
        R"({"header":{"cluster_id":"14841639068965178418","revision":"9"},"kvs":[{"key":"L2NhY2hlcy9jMQ==",)"
        R"("create_revision":"4","mod_revision":"9","value":"eyJ4IjoxfQ=="}],"more":true,"count":"3"})";
    const auto read = etcd::read_range(200, good, prefix);
    ASSERT_TRUE(std::holds_alternative<etcd::Range>(read));
    const auto& range = std::get<etcd::Range>(read);
    EXPECT_EQ(range.page.records.at(0).key, RecordKey{"c1"});
    EXPECT_EQ(range.page.records.at(0).value, "{\"x\":1}");
    EXPECT_EQ(range.page.header.revision, Revision{9});
    EXPECT_TRUE(range.page.more);
    EXPECT_EQ(range.count, 3u);
    // Cut and mutated bytes end in a value or a problem of one line, whatever they are.
    std::mt19937 chance(5);
    for (int n = 0; n < 20'000; ++n) {
        std::string odd = good.substr(0, n % 3 ? good.size() : chance() % good.size());
        for (auto k = chance() % 4; k > 0 && !odd.empty(); --k)
            odd[chance() % odd.size()] = static_cast<char>(chance());
        expect_value_or_one_line(etcd::read_range(200, odd, prefix));
        expect_value_or_one_line(etcd::read_watch("{\"result\":" + odd + "}", prefix));
        expect_value_or_one_line(etcd::read_token(200, odd));
        expect_value_or_one_line(etcd::read_lease(200, odd));
        expect_value_or_one_line(etcd::read_conditional_write_result(200, odd));
    }
}

TEST(Etcd, ErrorsAreToldApart) {
    const auto fault = [](int status, const std::string& body) {
        const auto read = etcd::read_range(status, body, prefix);
        return std::get<etcd::Error>(read).code;
    };
    EXPECT_EQ(fault(400, R"({"error":"etcdserver: mvcc: required revision has been compacted","code":11})"),
              etcd::ErrorCode::compacted);
    EXPECT_EQ(fault(400, R"({"error":"etcdserver: mvcc: required revision is a future revision","code":11})"),
              etcd::ErrorCode::revision_not_reached);
    EXPECT_EQ(fault(401, R"({"error":"etcdserver: invalid auth token","code":16})"),
              etcd::ErrorCode::unauthenticated);
    EXPECT_EQ(fault(503, "busy"), etcd::ErrorCode::other);
    EXPECT_EQ(fault(200, "{}"), etcd::ErrorCode::unreadable);
    EXPECT_EQ(fault(200, R"({"header":{"revision":"x"}})"), etcd::ErrorCode::unreadable);
    EXPECT_EQ(fault(200, R"({"header":{"revision":"1"},"kvs":[{"key":"bm90IG91cnM="}]})"),
              etcd::ErrorCode::unreadable);
    const auto gone = etcd::read_watch(
        R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"7"}})", prefix);
    EXPECT_EQ(std::get<etcd::Error>(gone).code, etcd::ErrorCode::compacted);
}

// --- what is kept -----------------------------------------------------------------------------------------

TEST(Kept, AListComesBackWholeOrIsRefusedInOneLine) {
    const TimePoint then = TimePoint::at_seconds(1000);
    EndpointView v;
    v.replace(Revision{9},
              {{RecordKey{"c1"}, list_value("c1", "Ready"), Revision{2}, Revision{3}},
               {RecordKey{"c2"}, "unreadable", Revision{4}, Revision{4}},
               {RecordKey{"c3"}, list_value("c3", "Terminating"), Revision{5}, Revision{9}}},
              then);
    const std::string owner = "here /caches/";
    const std::string bytes = serialize_snapshot(v, ClusterId{"77"}, then, owner);
    const auto why = [&](const std::string& b, const std::string& whose, TimePoint now) {
        return std::get<SnapshotError>(parse_snapshot(b, whose, now, Duration::seconds(60)));
    };
    const auto good = parse_snapshot(bytes, owner, then + Duration::seconds(59), Duration::seconds(60));
    const auto* s = std::get_if<EndpointSnapshot>(&good);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->cluster, ClusterId{"77"});
    EXPECT_EQ(s->revision, Revision{9});
    EXPECT_EQ(s->as_of, then);
    ASSERT_EQ(s->records.size(), 2u) << "one that was never readable is not kept";
    EXPECT_EQ(s->records[1].modified, Revision{9});
    EXPECT_EQ(why(bytes, "there /caches/", then), SnapshotError::other_owner);
    EXPECT_EQ(why(bytes, owner, then + Duration::seconds(61)), SnapshotError::too_old);
    EXPECT_EQ(why(bytes, owner, then - ms), SnapshotError::from_future);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string odd = bytes;
        odd[at] = static_cast<char>(odd[at] ^ 0x20);
        EXPECT_EQ(why(odd, owner, then), SnapshotError::checksum_mismatch) << at;
        EXPECT_EQ(why(bytes.substr(0, at), owner, then), SnapshotError::checksum_mismatch) << at;
    }
}

TEST(Store, KeepsWhatWasWrittenAndAFullOneCostsOnlyTheWrite) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("irismux_store." + std::to_string(::getpid()));
    {
        auto opened = Store::open(folder.string(), 1 << 20);
        ASSERT_TRUE(std::holds_alternative<Store>(opened)) << std::get<StoreError>(opened).detail;
        Store& store = std::get<Store>(opened);
        EXPECT_FALSE(store.read("list"));
        EXPECT_TRUE(std::holds_alternative<Store::Written>(store.write("list", "one")));
        EXPECT_TRUE(std::holds_alternative<Store::Written>(store.write("list", std::string(100'000, 'x'))));
        const auto refused = store.write("list", std::string(2 << 20, 'y'));
        ASSERT_TRUE(std::holds_alternative<StoreError>(refused));
        EXPECT_EQ(std::get<StoreError>(refused).code, StoreError::Code::write_failed);
        EXPECT_EQ(store.read("list"), std::string(100'000, 'x')) << "the former one is still there";
    }
    auto again = Store::open(folder.string(), 1 << 20);
    EXPECT_EQ(std::get<Store>(again).read("list"), std::string(100'000, 'x'));
    std::filesystem::remove_all(folder);
    EXPECT_TRUE(std::holds_alternative<StoreError>(Store::open("/proc/nowhere", 1 << 20)));
}

// A file that was cut short is told and left as it is: to read from its missing pages would end the process.
TEST(Store, ThatWasCutShortIsToldAndLeft) {
    namespace fs = std::filesystem;
    std::string folder = (fs::temp_directory_path() / "irismux-store-XXXXXX").string();
    ASSERT_TRUE(::mkdtemp(folder.data()));
    {
        auto opened = Store::open(folder, 1 << 20);
        ASSERT_TRUE(std::holds_alternative<Store>(opened));
        for (const char* name : {"a", "b", "c"})
            EXPECT_TRUE(std::holds_alternative<Store::Written>(
                std::get<Store>(opened).write(name, std::string(50'000, 'x'))));
    }
    const std::uintmax_t whole = fs::file_size(folder + "/data.mdb");
    for (const std::uintmax_t size : {whole - 1, whole / 2, std::uintmax_t{8192}}) {
        fs::resize_file(folder + "/data.mdb", size);
        const auto again = Store::open(folder, 1 << 20);
        ASSERT_TRUE(std::holds_alternative<StoreError>(again)) << size;
        EXPECT_EQ(std::get<StoreError>(again).code, StoreError::Code::truncated);
        EXPECT_EQ(fs::file_size(folder + "/data.mdb"), size);
    }
    fs::remove_all(folder);
}

}  // namespace
