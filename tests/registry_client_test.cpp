// Tests RegistryClient over sockets against a fake registry with fault injection.
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
    // Declared last, so that it is destroyed before the fields above, which the running loop uses.
    test_support::LoopRunner loop_runner{loop};

    void SetUp() override { log::set_level(log::Level::error); }
    void create_client(std::size_t members = 3, const std::string& user = "",
                       const std::string& password = "") {
        registry = std::make_unique<test_support::FakeRegistry>(loop, members, ms * 20);
        for (const char* id : {"c1", "c2", "c3"}) put(id, "Ready");
        client = std::make_unique<RegistryClient>(loop, *this, settings(members, user, password), 7);
    }
    Settings settings(std::size_t members, const std::string& user, const std::string& password) const {
        Settings result;
        for (std::size_t n = 0; n < members; ++n) result.members.push_back(registry->address(n));
        result.prefix = prefix;
        result.user = user;
        result.password = password;
        result.page_size = 2;
        result.poll_policy.members = members;
        result.poll_policy.watch_timeout = ms * 150;
        result.poll_policy.reply_timeout = ms * 100;
        result.poll_policy.backoff_base = ms * 5;
        result.poll_policy.backoff_cap = ms * 100;
        return result;
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
    bool until(const std::function<bool()>& condition) { return loop_runner.run_until(condition); }
    bool draining(const std::string& id) {
        const auto it = endpoints.find(CacheId{id});
        return it != endpoints.end() && it->second.status == EndpointStatus::draining;
    }

    void on_endpoints(TimePoint, const std::vector<EndpointRecord>& updates, bool complete) override {
        test_support::apply(endpoints, updates, complete);
    }
    void on_sync_state(TimePoint, SyncState state, TimePoint) override { states.push_back(state); }
    void on_watch_warning(const WatchWarning& warning) override { warnings.push_back(warning); }
};

// A client must read a list that is longer than a page in pages, and must then receive changes without
// another read. A change outside of the prefix must have no effect.
TEST_F(RegistryClientOnSockets, ReadsInPagesThenFollows) {
    create_client();
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

// Two of three registry members have the same fault when all connections break and a drain is published. For
// each kind of fault the drain must arrive, and the client must follow the registry again.
TEST_F(RegistryClientOnSockets, ADrainArrivesDespiteEachFault) {
    using Faults = test_support::FakeRegistry::Faults;
    const std::vector<std::pair<const char*, std::function<void(Faults&)>>> faults = {
        {"connections refused", [](Faults& f) { f.refuse = true; }},
        {"silent watches", [](Faults& f) { f.silent_watches = true; }},
        {"unresponsive", [](Faults& f) { f.unresponsive = true; }},
        {"watch message truncated", [](Faults& f) { f.truncate_watch = true; }},
        {"response corrupted", [](Faults& f) { f.corrupt_response = true; }},
        {"lagging", [](Faults& f) { f.lag = 2; }},
        {"fragmented", [](Faults& f) { f.fragment_size = 1; }},
        {"delayed", [](Faults& f) { f.delay = ms * 30; }}};
    for (const auto& [name, inject] : faults) {
        SCOPED_TRACE(name);
        endpoints.clear();
        client.reset();
        create_client();
        start_and_follow();
        // Two of three registry members get the fault. All connections break once, so that the client must
        // reconnect.
        for (std::size_t member = 0; member < 2; ++member) inject(registry->faults(member));
        for (std::size_t member = 0; member < 3; ++member) registry->break_connections(member);
        registry->model.commit({{RecordKey{prefix + "c1"}, endpoint_value("c1", "Terminating")},
                                {RecordKey{prefix + "c2"}, endpoint_value("c2", "Terminating")}});
        registry->publish();
        EXPECT_TRUE(until([&] { return draining("c1") && draining("c2"); }));
        EXPECT_TRUE(until([&] { return client->watch().sync_state() == SyncState::following; }));
    }
}

// The registry changes and compacts while the client cannot reach it, so that a watch cannot deliver the
// changes. The former endpoint list must stay in force until one full read delivers the differences.
TEST_F(RegistryClientOnSockets, ACompactionDuringAnOutageLeadsToOneFullRead) {
    create_client(1);
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

// The registry is restored from a backup as another cluster, without the record put after the backup. The
// client must drop that record and follow the new cluster.
TEST_F(RegistryClientOnSockets, ARestoredRegistryIsFollowedAfterAFullRead) {
    create_client(3);
    const Revision backup = registry->model.newest();
    put("c4", "Ready");
    client->start();
    ASSERT_TRUE(
        until([&] { return endpoints.size() == 4 && client->watch().sync_state() == SyncState::following; }));
    for (std::size_t member = 0; member < 3; ++member) registry->stop_member(member);
    registry->model.restore(backup, true);
    for (std::size_t member = 0; member < 3; ++member) registry->restart_member(member);
    ASSERT_TRUE(
        until([&] { return endpoints.size() == 3 && client->watch().sync_state() == SyncState::following; }));
    EXPECT_EQ(client->watch().cluster(), registry->model.cluster());
}

// The registry revokes its authentication tokens. The client must fetch exactly one new token to replace the
// refused token. A client with a wrong password must go on trying, and no warning may contain the password.
TEST_F(RegistryClientOnSockets, ARefusedTokenIsRenewedOnce) {
    create_client(2);
    registry->user = "gateway";
    registry->password = "secret";
    client.reset();
    client = std::make_unique<RegistryClient>(loop, *this, settings(2, "gateway", "secret"), 7);
    start_and_follow();
    EXPECT_EQ(registry->ledger.logins, 1);
    registry->revoke_tokens();
    for (std::size_t member = 0; member < 2; ++member) registry->break_connections(member);
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

// Fixture for records so long that few of them fit into one reply.
class RegistryClientWithLongRecords : public RegistryClientOnSockets {
protected:
    void put_long(const std::string& id, const std::string& state, std::size_t bytes) {
        registry->model.put(prefix + id, long_value(id, state, bytes));
    }
    static std::string long_value(const std::string& id, const std::string& state, std::size_t bytes) {
        return endpoint_value(id, state, 1, 0, std::string(bytes, 'a'));
    }
    void start_with_long_records(std::size_t records, std::size_t bytes, std::size_t page) {
        registry = std::make_unique<test_support::FakeRegistry>(loop, 3, ms * 20);
        for (std::size_t n = 0; n < records; ++n) put_long("c" + std::to_string(n), "Ready", bytes);
        Settings s = settings(3, "", "");
        s.page_size = page;
        s.poll_policy.reply_timeout = s.poll_policy.watch_timeout = ms * 1000;
        client = std::make_unique<RegistryClient>(loop, *this, s, 7);
        client->start();
    }
    bool follows(std::size_t records) {
        return until([&] {
            return client->watch().sync_state() == SyncState::following && endpoints.size() == records;
        });
    }
};

// The pages of a full read exceed the reply limit. The client must request pages with fewer records;
// repeating the same request would fail again.
TEST_F(RegistryClientWithLongRecords, ReadsPagesThatFitTheReplyLimit) {
    start_with_long_records(60, 60'000, 40);
    ASSERT_TRUE(follows(60));
    EXPECT_LE(registry->ledger.reads, 12);
    EXPECT_EQ(registry->ledger.connections, 3);
}

// The registry sends a change over the message limit in one chunk, so that the watch cannot deliver the
// change. The client must make one full read in pages that fit the reply limit, and then watch again.
TEST_F(RegistryClientWithLongRecords, AChangeOverTheMessageLimitLeadsToOneFullRead) {
    start_with_long_records(30, 60'000, 5);
    ASSERT_TRUE(follows(30));
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

// One record alone exceeds the reply limit, so that no page can contain the record. The former endpoint list
// must stay in force, and the client must make requests as rarely as after other failures. Once the record is
// erased, the client must follow the list again.
TEST_F(RegistryClientWithLongRecords, ARecordOverTheReplyLimitLeavesTheListInForce) {
    start_with_long_records(3, 10, 40);
    ASSERT_TRUE(follows(3));
    put_long("c9", "Ready", std::size_t{1} << 20);
    registry->publish();
    ASSERT_TRUE(until([&] {
        return std::any_of(warnings.begin(), warnings.end(), [](const WatchWarning& warning) {
            return warning.failure && warning.failure->reason == RequestFailureReason::record_too_long;
        });
    }));
    EXPECT_EQ(endpoints.size(), 3u);
    const int reads = registry->ledger.reads;
    const TimePoint started_at = loop.now();
    ASSERT_TRUE(until([&] { return loop.now() > started_at + ms * 500; }));
    EXPECT_LE(registry->ledger.reads, reads + 60);
    registry->model.erase(prefix + "c9");
    put("c4", "Ready");
    registry->publish();
    EXPECT_TRUE(follows(4));
}

// The records that a disconnected client reads for its history check exceed the reply limit. The client must
// make a full read instead of repeating the check.
TEST_F(RegistryClientWithLongRecords, AHistoryCheckOverTheReplyLimitLeadsToAFullRead) {
    start_with_long_records(9, 150'000, 3);
    ASSERT_TRUE(follows(9));
    for (std::size_t member = 0; member < 3; ++member) registry->stop_member(member);
    ASSERT_TRUE(until([&] { return client->watch().sync_state() == SyncState::disconnected; }));
    put_long("c1", "Terminating", 150'000);
    for (std::size_t member = 0; member < 3; ++member) registry->restart_member(member);
    ASSERT_TRUE(until([&] { return draining("c1"); }));
    EXPECT_TRUE(follows(9));
    EXPECT_LE(registry->ledger.checks, 2);
}

class RegistryClientUnderRandomFaults : public RegistryClientOnSockets {
protected:
    static constexpr std::size_t members = 3;
    std::ranlux24_base random;
    int steps_left = 0;

    int draw(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }

    void change_record() {
        const std::string id = "c" + std::to_string(draw(9));
        if (draw(3) == 0)
            registry->model.erase(prefix + id);
        else
            put(id, draw(2) ? "Ready" : "Terminating");
        if (draw(3) == 0) registry->model.compact(registry->model.newest());
    }
    void inject_fault(std::size_t member) {
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
        change_record();
        inject_fault(member);
        registry->publish();
        --steps_left;
        if (steps_left > 0) loop.schedule_at(loop.now() + ms * (1 + draw(6)), [this] { step(); });
    }
    void run_steps(std::uint32_t seed) {
        endpoints.clear();
        client.reset();
        create_client(members);
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

// Registry members drop connections, lag, corrupt replies and send fragments, and the registry compacts its
// history, at random from a seed. Once the faults end, the client must have the newest list.
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
