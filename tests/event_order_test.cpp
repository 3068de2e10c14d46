// Tests events that arrive in an unfavourable order: requests that arrive while the gateway closes idle
// connections to free descriptors, retries that wait while the conditions for them change, and a shortage of
// descriptors.
#include <csignal>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

// The gateway has as many idle connections as the limit allows. While the gateway is stopped, a request
// arrives on each of these connections, and then a client opens one more connection. When the gateway
// continues, it has to close a connection to make room. A connection with unread bytes is not idle, so all
// requests must get their responses (FastCgiConnection::idle).
TEST(IdleClose, AnswersRequestsThatAreUnread) {
    // The gateway uses half of its descriptors for clients, and keeps a sixteenth of this half free.
    constexpr int descriptors = 64, client_connections = descriptors / 2,
                  idle_clients = client_connections - client_connections / 16;
    SingleProcess gateway(with_immediate_answers(process_options(2, {.descriptors = descriptors})));
    std::vector<std::shared_ptr<FastCgiClient>> clients;
    const auto all_answered = [&](std::uint16_t number) {
        return gateway.wait_until([&] {
            return std::all_of(clients.begin(), clients.end(), [&](const auto& client) {
                return client->has_response(number) || client->ended;
            });
        });
    };
    for (int n = 0; n < idle_clients; ++n) {
        clients.push_back(gateway.connect_client());
        clients.back()->send(1, {.id = id_of(100 + n)});
    }
    ASSERT_TRUE(all_answered(1));
    gateway.process->signal(SIGSTOP);
    for (int n = 0; n < idle_clients; ++n)
        clients[static_cast<std::size_t>(n)]->send(2, {.id = id_of(200 + n)});
    ASSERT_TRUE(gateway.wait_until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->connection->all_written(); });
    }));
    RawClient one_more(gateway.listen);
    gateway.process->signal(SIGCONT);
    ASSERT_TRUE(all_answered(2));
    for (const auto& client : clients) EXPECT_TRUE(client->has_response(2));
    // The new connection must not be closed either, although its client has sent nothing yet
    // (FastCgiServer::keep_connections_free).
    one_more.send(clients[0]->request(1, {.id = id_of(300)}));
    EXPECT_TRUE(gateway.wait_until([&] {
        return one_more.read_available() != RawClient::State::open ||
               one_more.received.find("Status: 200") != std::string::npos;
    }));
    EXPECT_NE(one_more.received.find("Status: 200"), std::string::npos);
}

// A client sends a request that is too large. The client goes on sending while the gateway refuses the
// request and closes the connection. A reset of the connection would discard the refusal before the client
// reads it. The refusal must arrive, followed by a regular end of the connection (Connection::linger).
TEST(IdleClose, ARefusalArrivesWhileTheClientGoesOnSending) {
    SingleProcess gateway(process_options(1));
    const auto encoder = gateway.connect_client();
    RawClient sender(gateway.listen);
    sender.send(encoder->request(1, {.id = id_of(1), .kind = "bids", .body = std::string(60'000, 'w')}) +
                std::string(100'000, 'x'));
    ASSERT_TRUE(gateway.wait_until(
        [&] { return gateway.logged("request_refused reason=record_too_long status=413"); }));
    RawClient::State state = RawClient::State::open;
    ASSERT_TRUE(
        gateway.wait_until([&] { return (state = sender.read_available()) != RawClient::State::open; }));
    EXPECT_EQ(state, RawClient::State::ended);
    EXPECT_NE(sender.received.find("Status: 413"), std::string::npos);
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 0u);
}

// The first attempt of a deduplicated request may have run. The retry of the request waits for a connection
// for longer than the time within which caches drop duplicates. The retry must not begin, since the request
// could run twice (Router::may_begin_attempt).
TEST(Retry, OfADeduplicatedRequestDoesNotBeginAfterItsWindow) {
    SingleProcess gateway(process_options(1, {.dedup_window_s = 0.5}, 0));
    ScriptedCache& cache = *gateway.caches[0];
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .kind = "keyed", .body = "b"});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    const TimePoint first = cache.received[0].at;
    cache.hold_connections();
    cache.received[0].connection->reset();
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("attempt_ended client_request_id=" + id_of(1)); }));
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.loop.now() > first + Duration::seconds(0.5); }));
    cache.resume_accepting();
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 1u);
    EXPECT_TRUE(client->has_response(1, "Status: 50"));
}

// The cache resets the first attempt of a deduplicated request. The first attempt and the retry must both
// carry the client's idempotency key, by which caches drop duplicates. A request whose key contains a
// character that would end the key's field must be refused.
TEST(Retry, OfADeduplicatedRequestCarriesItsKey) {
    SingleProcess gateway(process_options(2, {.dedup_window_s = 5}));
    for (const auto& cache : gateway.caches)
        cache->on_attempt = [&](const ScriptedCache::ReceivedAttempt& attempt) {
            gateway.attempts_received(attempt.request_id) == 1 ? attempt.connection->reset()
                                                               : cache->answer(attempt);
        };
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .kind = "keyed", .body = "b", .idempotency_key = "0555f6b1ff2b8183"});
    client->send(2, {.id = id_of(2), .kind = "keyed", .body = "b", .idempotency_key = "05,via=e9"});
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1) && client->has_response(2); }));
    EXPECT_TRUE(client->has_response(1, "Status: 200"));
    EXPECT_TRUE(client->has_response(2, "Status: 400"));
    std::size_t count = 0;
    for (const auto& cache : gateway.caches)
        for (const ScriptedCache::ReceivedAttempt& attempt : cache->received) {
            EXPECT_NE(attempt.fields.find("op=0555f6b1ff2b8183"), std::string::npos) << attempt.fields;
            ++count;
        }
    EXPECT_EQ(count, 2u);
}

// An attempt waits for a connection when its cache begins to drain. The attempt must go to another cache.
TEST(Retry, OfAnAttemptWhoseCacheDrainsGoesElsewhere) {
    SingleProcess gateway(process_options(2, {}, 0));
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.cache_serving(id_of(1)) != nullptr; }));
    ScriptedCache& draining = *gateway.cache_serving(id_of(1));
    ScriptedCache& other_cache = draining.id() == "e1" ? *gateway.caches[1] : *gateway.caches[0];
    draining.answer(draining.received[0]);
    draining.hold_connections();
    draining.connections[0]->close();
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    client->send(2, {.id = id_of(2)});
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("request_admitted client_request_id=" + id_of(2)); }));
    gateway.notice_board->post(
        {{"pool",
          {{"version", 2},
           {"full", false},
           {"servers", {test_support::endpoint_json(draining.id(), "node", "plant", "", "Terminating")}}}}});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.notice_board->last_poll_since() == 2; }));
    draining.resume_accepting();
    ASSERT_TRUE(gateway.wait_until([&] { return other_cache.count_received(id_of(2)) == 1; }));
    EXPECT_EQ(draining.count_received(id_of(2)), 0u);
}

// Silent clients take all descriptors that they can while the notice board is down. When the notice board
// accepts connections again, the gateway must poll it after one retry delay: the limit on client descriptors
// leaves descriptors for the connection to the notice board (client_limits).
TEST(Descriptors, OneIsLeftForTheNoticeBoard) {
    auto options = process_options(1, {.connect_timeout_s = 0.4, .descriptors = 64});
    options.adjust_configuration = [change = options.adjust_configuration](json& configuration) {
        change(configuration);
        // Nothing listens at this address yet: connections are refused.
        Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
        configuration["board"] = free.address().toString();
    };
    SingleProcess gateway(options);
    std::vector<std::shared_ptr<FastCgiClient>> silent;
    silent.reserve(100);
    for (int n = 0; n < 100; ++n) silent.push_back(gateway.connect_client());
    ASSERT_TRUE(gateway.wait_until([&] {
        return std::count_if(silent.begin(), silent.end(),
                             [](const auto& client) { return client->ended; }) >= 100 - 32;
    }));
    std::size_t polls = 0;
    test_support::Acceptor restarted_board(
        gateway.loop, [&](const Poco::Net::StreamSocket&) { ++polls; }, 64,
        gateway.configuration_json["board"].get<std::string>());
    const TimePoint restarted_at = gateway.loop.now();
    EXPECT_TRUE(gateway.wait_until([&] { return polls > 0; }, Duration::seconds(2)));
    EXPECT_LT((gateway.loop.now() - restarted_at).seconds(), 0.4 + 0.5);
}

}  // namespace
}  // namespace irismux::testing
