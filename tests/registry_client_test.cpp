// RegistryClient on sockets, against a stand-in registry and its faults.
#include <gtest/gtest.h>

#include <random>

#include "base/log.hpp"
#include "registry/registry_client.hpp"
#include "testing/fake_registry.hpp"
#include "testing/known_endpoints.hpp"

using namespace irismux;
using namespace irismux::registry;
using test_support::endpoint_value;

namespace {

const Duration ms = Duration::micros(1000);
const std::string prefix = "/caches/";

class RegistryClientOnSockets : public ::testing::Test, public WatchObserver {
protected:
    EventLoop loop;
    std::unique_ptr<test_support::FakeRegistry> registry;
    std::unique_ptr<RegistryClient> client;
    test_support::KnownEndpoints endpoints;
    std::vector<SyncState> states;
    std::vector<WatchWarning> warnings;
    test_support::LoopRunner intervals{loop};  // the last: nothing of the above may go while the loop runs

    void SetUp() override { log::set_level(log::Level::error); }
    void begin(std::size_t members = 3, const std::string& user = "", const std::string& password = "") {
        registry = std::make_unique<test_support::FakeRegistry>(loop, members, ms * 20);
        for (const char* id : {"c1", "c2", "c3"}) put(id, "Ready");
        client = std::make_unique<RegistryClient>(loop, *this, settings(members, user, password), 7);
    }
    Settings settings(std::size_t members, const std::string& user, const std::string& password) const {
        Settings s;
        for (std::size_t n = 0; n < members; ++n) s.members.push_back(registry->address(n));
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
        registry->model.put(prefix + id, endpoint_value(id, state));
    }
    void drain(const std::string& id) {
        put(id, "Terminating");
        registry->publish();
    }
    void start_and_follow() {
        client->start();
        ASSERT_TRUE(until(
            [&] { return client->watch().sync_state() == SyncState::following && endpoints.size() == 3; }));
    }
    bool until(const std::function<bool()>& condition) { return intervals.run_until(condition); }
    bool draining(const std::string& id) {
        const auto it = endpoints.find(CacheId{id});
        return it != endpoints.end() && it->second.status == EndpointStatus::draining;
    }

    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& updates, bool complete) override {
        test_support::apply(endpoints, updates, complete);
    }
    void on_sync_state(TimePoint, SyncState s, TimePoint) override { states.push_back(s); }
    void on_watch_warning(const WatchWarning& warning) override { warnings.push_back(warning); }
};

// Given: three records and pages of two. When: a client starts. Then: it reads two pages, then receives
// changes without another read.
TEST_F(RegistryClientOnSockets, ReadsInPagesThenFollows) {
    begin();
    start_and_follow();
    EXPECT_EQ(registry->ledger.reads, 2);
    drain("c2");
    EXPECT_TRUE(until([&] { return draining("c2"); }));
    registry->model.erase(prefix + "c1");
    registry->model.put("/elsewhere/c9", "x");
    registry->publish();
    EXPECT_TRUE(until([&] { return endpoints.size() == 2; }));
    EXPECT_EQ(registry->ledger.reads, 2);
}

// Given: two of three members with one kind of fault. When: all connections break and a drain is
// published. Then: it arrives, and the client follows again.
TEST_F(RegistryClientOnSockets, ADrainArrivesDespiteEachFault) {
    using Faults = test_support::FakeRegistry::Faults;
    const std::vector<std::pair<const char*, std::function<void(Faults&)>>> faults = {
        {"refuse", [](Faults& f) { f.refuse = true; }},
        {"silent", [](Faults& f) { f.silent_watches = true; }},
        {"mute", [](Faults& f) { f.unresponsive = true; }},
        {"cut", [](Faults& f) { f.truncate_watch = true; }},
        {"garble", [](Faults& f) { f.corrupt_response = true; }},
        {"lag", [](Faults& f) { f.lag = 2; }},
        {"fragment", [](Faults& f) { f.fragment_size = 1; }},
        {"delay", [](Faults& f) { f.delay = ms * 30; }}};
    for (const auto& [name, make] : faults) {
        SCOPED_TRACE(name);
        endpoints.clear();
        client.reset();
        begin();
        start_and_follow();
        // The member that is followed has the fault, and its connections break once.
        for (std::size_t m = 0; m < 2; ++m) make(registry->faults(m));
        for (std::size_t m = 0; m < 3; ++m) registry->break_connections(m);
        registry->model.commit({{RecordKey{prefix + "c1"}, endpoint_value("c1", "Terminating")},
                                {RecordKey{prefix + "c2"}, endpoint_value("c2", "Terminating")}});
        registry->publish();
        EXPECT_TRUE(until([&] { return draining("c1") && draining("c2"); }));
        EXPECT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    }
}

// Given: a client whose registry is down. When: it changes and compacts meanwhile. Then: one full read
// brings the differences.
TEST_F(RegistryClientOnSockets, ACompactionDuringAnOutageLeadsToOneFullRead) {
    begin(1);
    start_and_follow();
    const std::uint64_t reads = client->watch().full_reads();
    registry->stop_member(0);
    registry->model.erase(prefix + "c3");
    registry->model.erase(prefix + "c2");
    put("c2", "Ready");
    registry->model.compact(registry->model.newest());
    ASSERT_TRUE(until([&] { return client->watch().sync_state() != SyncState::following; }));
    EXPECT_EQ(endpoints.size(), 3u);
    registry->restart_member(0);
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    EXPECT_EQ(endpoints.size(), 2u);
    EXPECT_GT(endpoints.at(CacheId{"c2"}).started_at, TimePoint{});
    EXPECT_EQ(client->watch().full_reads(), reads + 1);
}

// Given: a client of four records. When: the registry is restored, as another cluster, to three. Then:
// the client follows it.
TEST_F(RegistryClientOnSockets, ARestoredRegistryIsFollowedAfterAFullRead) {
    begin(3);
    const Revision backup = registry->model.newest();
    put("c4", "Ready");
    client->start();
    ASSERT_TRUE(
        until([&] { return endpoints.size() == 4 && client->watch().sync_state() == SyncState::following; }));
    for (std::size_t m = 0; m < 3; ++m) registry->stop_member(m);
    registry->model.restore(backup, true);
    for (std::size_t m = 0; m < 3; ++m) registry->restart_member(m);
    ASSERT_TRUE(
        until([&] { return endpoints.size() == 3 && client->watch().sync_state() == SyncState::following; }));
    EXPECT_EQ(client->watch().cluster(), registry->model.cluster());
}

// Given: a registry that needs a password. When: it forgets its tokens. Then: the client fetches one new
// token. With a wrong password it goes on trying, and the password is in no warning.
TEST_F(RegistryClientOnSockets, ARefusedTokenIsRenewedOnce) {
    begin(2);
    registry->user = "gateway";
    registry->password = "secret";
    client.reset();
    client = std::make_unique<RegistryClient>(loop, *this, settings(2, "gateway", "secret"), 7);
    start_and_follow();
    EXPECT_EQ(registry->ledger.logins, 1);
    registry->revoke_tokens();
    for (std::size_t m = 0; m < 2; ++m) registry->break_connections(m);
    drain("c1");
    EXPECT_TRUE(until([&] { return draining("c1"); }));
    EXPECT_EQ(registry->ledger.logins, 2);
    client = std::make_unique<RegistryClient>(loop, *this, settings(2, "gateway", "mistaken"), 7);
    const int before = registry->ledger.logins;
    client->start();
    EXPECT_TRUE(until([&] { return registry->ledger.logins > before + 3; }));
    EXPECT_NE(client->watch().sync_state(), SyncState::following);
    for (const WatchWarning& warning : warnings) {
        ASSERT_TRUE(warning.failure);
        EXPECT_EQ(warning.failure->detail.find("mistaken"), std::string::npos) << warning.failure->detail;
    }
}

// Lists of records of which few fit into one reply.
class LongRecords : public RegistryClientOnSockets {
protected:
    void put_long(const std::string& id, const std::string& state, std::size_t bytes) {
        registry->model.put(prefix + id, long_value(id, state, bytes));
    }
    static std::string long_value(const std::string& id, const std::string& state, std::size_t bytes) {
        return endpoint_value(id, state, 1, 0, std::string(bytes, 'a'));
    }
    void begin_with(std::size_t records, std::size_t bytes, std::size_t page) {
        registry = std::make_unique<test_support::FakeRegistry>(loop, 3, ms * 20);
        for (std::size_t n = 0; n < records; ++n) put_long("c" + std::to_string(n), "Ready", bytes);
        Settings s = settings(3, "", "");
        s.page_size = page;
        s.poll_policy.reply_timeout = s.poll_policy.watch_timeout = ms * 1000;
        client = std::make_unique<RegistryClient>(loop, *this, s, 7);
        client->start();
    }
    bool follows_all(std::size_t records) {
        return until([&] {
            return client->watch().sync_state() == SyncState::following && endpoints.size() == records;
        });
    }
};

// Given: pages over the reply limit. When: a full read begins. Then: pages are requested anew with fewer
// records, not the same again.
TEST_F(LongRecords, AreReadInPagesThatFit) {
    begin_with(60, 60'000, 40);
    ASSERT_TRUE(follows_all(60));
    EXPECT_LE(registry->ledger.reads, 12);
    EXPECT_EQ(registry->ledger.connections, 3);
}

// Given: a watch. When: one change over the message limit arrives in one chunk. Then: one full read
// follows in pages that fit, and the watch goes on.
TEST_F(LongRecords, InOneChangeLeadToOneFullRead) {
    begin_with(30, 60'000, 5);
    ASSERT_TRUE(follows_all(30));
    const int watches = registry->ledger.watches;
    std::vector<std::pair<RecordKey, std::optional<std::string>>> writes;
    for (int n = 0; n < 30; ++n) {
        const std::string id = "c" + std::to_string(n);
        writes.emplace_back(RecordKey{prefix + id}, long_value(id, "Terminating", 60'000));
    }
    registry->model.commit(writes);
    registry->publish();
    ASSERT_TRUE(until([&] { return draining("c0") && draining("c29"); }));
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    EXPECT_LE(registry->ledger.watches, watches + 2);
    EXPECT_EQ(client->watch().full_reads(), 2u);
}

// Given: a list. When: one record alone is over the reply limit. Then: the list stays in force,
// requests are as rare as after other failures, and the list is followed once the record is gone.
TEST_F(LongRecords, OneOverTheReplyLimitLeavesTheListInForce) {
    begin_with(3, 10, 40);
    ASSERT_TRUE(follows_all(3));
    put_long("c9", "Ready", std::size_t{1} << 20);
    registry->publish();
    ASSERT_TRUE(until([&] {
        return std::any_of(warnings.begin(), warnings.end(), [](const WatchWarning& warning) {
            return warning.failure && warning.failure->reason == RequestFailureReason::record_too_long;
        });
    }));
    EXPECT_EQ(endpoints.size(), 3u);
    const int reads = registry->ledger.reads;
    const TimePoint from = loop.now();
    ASSERT_TRUE(until([&] { return loop.now() > from + ms * 500; }));
    EXPECT_LE(registry->ledger.reads, reads + 60);
    registry->model.erase(prefix + "c9");
    put("c4", "Ready");
    registry->publish();
    EXPECT_TRUE(follows_all(4));
}

// Given: a disconnected client. When: the records for its history check are over the reply limit. Then:
// it makes a full read instead.
TEST_F(LongRecords, OfAHistoryLeadToAFullRead) {
    begin_with(9, 150'000, 3);
    ASSERT_TRUE(follows_all(9));
    for (std::size_t m = 0; m < 3; ++m) registry->stop_member(m);
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::disconnected; }));
    put_long("c1", "Terminating", 150'000);
    for (std::size_t m = 0; m < 3; ++m) registry->restart_member(m);
    ASSERT_TRUE(until([&] { return draining("c1"); }));
    EXPECT_TRUE(follows_all(9));
    EXPECT_LE(registry->ledger.checks, 2);
}

class RegistryClientUnderRandomFaults : public RegistryClientOnSockets {
protected:
    static constexpr std::size_t members = 3;
    std::ranlux24_base random;
    int steps_left = 0;

    int draw(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }

    void change_a_record() {
        const std::string id = "c" + std::to_string(draw(9));
        if (draw(3) == 0)
            registry->model.erase(prefix + id);
        else
            put(id, draw(2) ? "Ready" : "Terminating");
        if (draw(3) == 0) registry->model.compact(registry->model.newest());
    }
    void make_a_fault(std::size_t member) {
        test_support::FakeRegistry::Faults& faults = registry->faults(member);
        switch (draw(10)) {
            case 0:
                return registry->break_connections(member);
            case 1:
                faults.truncate_watch = true;
                return;
            case 2:
                faults.corrupt_response = true;
                return;
            case 3:
                faults.lag = draw(4);
                return;
            case 4:
                faults.fragment_size = draw(3);
                return;
            case 5:
                faults.silent_watches = !faults.silent_watches;
                return;
            case 6:
                return draw(2) ? registry->stop_member(member) : registry->restart_member(member);
            default:
                return;
        }
    }
    void step() {
        const auto member = static_cast<std::size_t>(draw(static_cast<int>(members)));
        change_a_record();
        make_a_fault(member);
        registry->publish();
        --steps_left;
        if (steps_left > 0) loop.schedule_at(loop.now() + ms * (1 + draw(6)), [this] { step(); });
    }
    void run_steps(std::uint32_t seed) {
        endpoints.clear();
        client.reset();
        begin(members);
        random.seed(seed);
        client->start();
        steps_left = 120;
        loop.schedule_now([this] { step(); });
        ASSERT_TRUE(until([&] { return steps_left == 0; }));
    }
    void end_faults() {
        for (std::size_t member = 0; member < members; ++member) {
            registry->faults(member) = {};
            registry->restart_member(member);
        }
    }
    void expect_newest_list() const {
        const auto* state = registry->model.at(registry->model.newest());
        EXPECT_EQ(endpoints.size(), state->size());
        const auto& entries = client->watch().view().entries();
        for (const auto& [key, record] : *state) {
            const auto it = entries.find(RecordKey{key.raw().substr(prefix.size())});
            ASSERT_TRUE(it != entries.end()) << key.raw();
            EXPECT_EQ(it->second.value, record.value);
        }
    }
};

// Given: members that drop connections, compact, lag, garble and send fragments, drawn from a seed. When:
// the faults end. Then: the client has the newest list.
TEST_F(RegistryClientUnderRandomFaults, EndsAtTheNewestList) {
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE(seed);
        run_steps(seed);
        if (HasFatalFailure()) return;
        end_faults();
        EXPECT_TRUE(until([&] {
            return client->watch().sync_state() == SyncState::following &&
                   client->watch().view().revision() >= registry->model.newest();
        }));
        expect_newest_list();
        if (HasFatalFailure()) return;
    }
}

}  // namespace
