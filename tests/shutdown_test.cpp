// Tests SIGTERM while requests are in flight, half received or not accepted yet, or while requests arrive on
// idle connections. No request may be lost or get two responses.
#include <csignal>
#include <memory>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

// The platform's protocol sets both times: requests may arrive for the acceptance period after SIGTERM, and
// SIGKILL is sent no sooner than 3 s after this period.
constexpr double acceptance_period_s = 0.7, sigkill_after_s = 3 + acceptance_period_s;

// Two requests wait at caches that do not respond, with deadlines after the earliest SIGKILL. After SIGTERM
// both requests must get a response before SIGKILL can be sent: the idempotent request is rejected, and
// the non-idempotent request fails. The process must then exit by itself (Shutdown::begin,
// Router::on_drain).
TEST(Shutdown, AnswersBeforeItCanBeKilled) {
    SingleProcess gateway(process_options(2));
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .timeout_ms = 5000});
    client->send(2, {.id = id_of(2), .kind = "bids", .body = "b", .timeout_ms = 5000});
    ASSERT_TRUE(gateway.wait_until(
        [&] { return gateway.attempts_received(id_of(1)) > 0 && gateway.attempts_received(id_of(2)) > 0; }));
    const TimePoint terminated_at = gateway.loop.now();
    gateway.process->signal(SIGTERM);
    EXPECT_TRUE(gateway.exited_cleanly());
    EXPECT_LT((gateway.loop.now() - terminated_at).seconds(), sigkill_after_s);
    EXPECT_TRUE(client->has_response(1, "Status: 503"));
    EXPECT_TRUE(client->has_response(2, "Status: 502"));
}

// The test stops the gateway (SIGSTOP) right after SIGTERM, so that every request that arrives meanwhile
// waits in the kernel. The gateway continues when the acceptance period has passed, and must still respond to
// every request that waited.
class ShutdownAfterStandstill : public ::testing::Test {
protected:
    SingleProcess gateway{with_immediate_answers(process_options(2))};
    std::shared_ptr<FastCgiClient> idle = gateway.connect_client();
    void shut_down_during(const std::function<void()>& meanwhile) {
        idle->send(1, {.id = id_of(1)});
        ASSERT_TRUE(gateway.wait_until([&] { return idle->has_response(1); }));
        gateway.process->signal(SIGTERM);
        ASSERT_TRUE(gateway.wait_until([&] { return gateway.logged("shutdown_started"); }));
        gateway.process->signal(SIGSTOP);
        const TimePoint acceptance_end = gateway.loop.now() + Duration::seconds(acceptance_period_s);
        meanwhile();
        ASSERT_TRUE(gateway.wait_until([&] { return gateway.loop.now() > acceptance_end; }));
        gateway.process->signal(SIGCONT);
        EXPECT_TRUE(gateway.exited_cleanly());
    }
};

// A request waits unread on an open connection. The gateway must read the request before it exits
// (FastCgiServer::drained).
TEST_F(ShutdownAfterStandstill, AnswersARequestThatIsUnread) {
    shut_down_during([&] { idle->send(2, {.id = id_of(2)}); });
    EXPECT_TRUE(idle->has_response(2, "Status: 200"));
}

// Two connections wait to be accepted. The first connection sends nothing, and a request waits on the second
// connection. When the gateway has accepted only the first connection, it has responded to every request that
// it has read. If it exited then, the request on the second connection would be lost.
// FastCgiServer::stop_listening must accept the second connection too.
TEST_F(ShutdownAfterStandstill, AnswersConnectionsThatWaitToBeAccepted) {
    std::unique_ptr<RawClient> silent, requesting;
    shut_down_during([&] {
        silent = std::make_unique<RawClient>(gateway.listen);
        requesting = std::make_unique<RawClient>(gateway.listen);
        requesting->send(idle->request(1, {.id = id_of(3)}));
    });
    EXPECT_EQ(requesting->read_available(), RawClient::State::ended);
    EXPECT_NE(requesting->received.find("Status: 200"), std::string::npos);
}

// A request arrives on one of two connections that the shutdown has closed. The new request must not be sent
// to a cache (Connection::linger discards it). The responses to the earlier requests must arrive without a
// reset of their connections.
TEST(Shutdown, DiscardsRequestsOnClosedConnections) {
    SingleProcess gateway(with_immediate_answers(process_options(2)));
    const auto encoder = gateway.connect_client();
    RawClient first(gateway.listen), second(gateway.listen);
    for (RawClient* raw_client : {&first, &second})
        raw_client->send(encoder->request(1, {.id = id_of(raw_client == &first ? 1 : 2)}));
    ASSERT_TRUE(gateway.wait_until(
        [&] { return gateway.attempts_received(id_of(1)) + gateway.attempts_received(id_of(2)) == 2; }));
    gateway.process->signal(SIGTERM);
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.logged("shutdown_closing_connections"); }));
    first.send(encoder->request(2, {.id = id_of(3)}));
    first.send(std::string(20'000, 'x'));
    EXPECT_TRUE(gateway.exited_cleanly());
    EXPECT_EQ(gateway.attempts_received(id_of(3)), 0u);
    for (RawClient* raw_client : {&first, &second}) {
        EXPECT_EQ(raw_client->read_available(), RawClient::State::ended);
        EXPECT_NE(raw_client->received.find("Status: 200"), std::string::npos);
    }
}

// The second half of a request arrives after SIGTERM. The request must get its response.
TEST(Shutdown, AnswersARequestThatWasHalfReceived) {
    SingleProcess gateway(with_immediate_answers(process_options(2)));
    const auto client = gateway.connect_client();
    const std::string bytes = client->request(1, {.id = id_of(1)});
    client->write(std::string_view(bytes).substr(0, bytes.size() / 2));
    ASSERT_TRUE(gateway.wait_until([&] { return client->connection->all_written(); }));
    gateway.process->signal(SIGTERM);
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.logged("shutdown_started"); }));
    client->write(std::string_view(bytes).substr(bytes.size() / 2));
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    EXPECT_TRUE(client->has_response(1, "Status: 200"));
    EXPECT_TRUE(gateway.exited_cleanly());
}

// While the shutdown waits for one request, the test changes the configuration file to name another notice
// board, and SIGHUP and a second SIGTERM arrive. The gateway must not read the configuration, and the request
// must get exactly one response.
TEST(Shutdown, IgnoresFurtherSignals) {
    SingleProcess gateway(process_options(2));
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .timeout_ms = 2000});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.cache_serving(id_of(1)) != nullptr; }));
    gateway.process->signal(SIGTERM);
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.logged("shutdown_started"); }));
    test_support::FakeNoticeBoard other_board(gateway.loop);
    json new_configuration = gateway.configuration_json;
    new_configuration["board"] = other_board.address();
    std::ofstream(gateway.configuration_file) << new_configuration.dump();
    gateway.process->signal(SIGHUP);
    gateway.process->signal(SIGTERM);
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.logged("reload_ignored reason=shutting_down"); }));
    ScriptedCache& cache = *gateway.cache_serving(id_of(1));
    cache.answer(cache.received[0]);
    EXPECT_TRUE(gateway.exited_cleanly());
    EXPECT_FALSE(gateway.logged("notice_board_changed"));
    EXPECT_EQ(client->responses.size(), 1u);
    EXPECT_TRUE(client->has_response(1, "Status: 200"));
}

}  // namespace
}  // namespace irismux::testing
