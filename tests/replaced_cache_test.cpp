// A new process comes up at the address of a cache that has gone, under a new id or under the old one. The
// scripted cache plays both processes, which differ by their connections.
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::ScriptedCache;
using test_support::SingleProcess;

enum class Replacement { new_id, same_id };

// Sends requests one after the other until one is served: a process that has just started gets few of them.
bool send_until_served(SingleProcess& gateway, test_support::FastCgiClient& client, int first_id) {
    std::uint16_t number = 100;
    client.send(number, {.id = id_of(first_id)});
    return gateway.wait_until([&] {
        if (client.has_response(number, "Status: 200")) return true;
        if (!client.has_response(number)) return false;
        ++number;
        client.send(number, {.id = id_of(first_id + number)});
        return false;
    });
}

class ReplacedCache : public ::testing::TestWithParam<Replacement> {
protected:
    // Announces a process at the address of the first cache that has started now, and waits until the gateway
    // has read this.
    static void replace(SingleProcess& gateway) {
        const ScriptedCache& cache = *gateway.caches[0];
        const bool new_id = GetParam() == Replacement::new_id;
        json old_process = test_support::endpoint_json(cache.id(), "node", "plant", cache.address(), "Gone");
        json new_process = test_support::endpoint_json(new_id ? "e9" : cache.id(), "node", "plant",
                                                       cache.address(), "Ready");
        const TimePoint now = gateway.loop.now();
        new_process["started_ms"] = (now - TimePoint{}).micros() / 1'000;
        json servers = json::array();
        if (new_id) servers.push_back(old_process);
        servers.push_back(new_process);
        gateway.notice_board->post({{"pool", {{"version", 2}, {"full", false}, {"servers", servers}}}});
        ASSERT_TRUE(gateway.wait_until([&] { return gateway.notice_board->last_poll_since() == 2; }));
    }
};

// The connection to the old process is open and idle. Work for the new process must not go out on it.
TEST_P(ReplacedCache, GetsNoWorkOnAConnectionToTheOldProcess) {
    SingleProcess gateway(with_immediate_answers(process_options(1)));
    ScriptedCache& cache = *gateway.caches[0];
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1, "Status: 200"); }));
    replace(gateway);
    ASSERT_TRUE(send_until_served(gateway, *client, 2));
    for (std::size_t n = 1; n < cache.received.size(); ++n)
        EXPECT_NE(cache.received[0].connection, cache.received[n].connection) << n;
}

// A bid is at the old process, which says nothing more. The bid must not be sent to the new process, since
// the old one may have run it. Other requests must be served by the new process meanwhile.
TEST_P(ReplacedCache, ABidAtTheOldProcessIsNotSentToTheNewOne) {
    SingleProcess gateway(process_options(1, {.deadline_s = 3}));
    ScriptedCache& cache = *gateway.caches[0];
    const auto client = gateway.connect_client(), other_client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .kind = "bids", .body = "ten", .timeout_ms = 3'000});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.received.size() == 1; }));
    replace(gateway);
    cache.on_attempt = [&](const ScriptedCache::ReceivedAttempt& attempt) { cache.answer(attempt); };
    EXPECT_TRUE(send_until_served(gateway, *other_client, 2));
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    EXPECT_FALSE(client->has_response(1, "Status: 200"));
    EXPECT_EQ(cache.count_received(id_of(1)), 1u);
    for (std::size_t n = 1; n < cache.received.size(); ++n)
        EXPECT_NE(cache.received[0].connection, cache.received[n].connection) << n;
}

// An attempt waits for a connection to the old process. It must reach the new one exactly once, and its
// client must be served.
TEST_P(ReplacedCache, AWaitingBidRunsOnceAtTheNewProcess) {
    SingleProcess gateway(process_options(1, {.deadline_s = 3}, 0));
    ScriptedCache& cache = *gateway.caches[0];
    cache.on_attempt = [&](const ScriptedCache::ReceivedAttempt& attempt) { cache.answer(attempt); };
    const auto client = gateway.connect_client();
    cache.hold_connections();
    client->send(1, {.id = id_of(1), .kind = "bids", .body = "ten"});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.pending_connections(cache) == 1; }));
    replace(gateway);
    cache.resume_accepting();
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    EXPECT_TRUE(client->has_response(1, "Status: 200"));
    EXPECT_EQ(cache.count_received(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(IdOfTheNewProcess, ReplacedCache,
                         ::testing::Values(Replacement::new_id, Replacement::same_id));

}  // namespace
}  // namespace irismux::testing
