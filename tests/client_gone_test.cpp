// A client closes its connection, or aborts its request, while its attempt waits: the attempt does not begin.
// The scripted caches count what has arrived.
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

enum class ClientEnd { closes, aborts };

class ClientGone : public ::testing::TestWithParam<ClientEnd> {
protected:
    static void end(FastCgiClient& client, std::uint16_t request) {
        if (GetParam() == ClientEnd::closes)
            client.close();
        else
            client.abort(request);
    }
};

// Given a first attempt that waits, since no connection to the only cache comes up. When its client is gone,
// and connections come up. Then the attempt does not arrive
// (CacheConnectionPool::withdraw_unstarted_attempts, and behind it Router::may_begin_attempt).
TEST_P(ClientGone, AFirstAttemptThatWaitsForAConnectionDoesNotBegin) {
    SingleProcess solo(solo_shape(1, {}, 0));
    solo.caches[0]->hold_connections();
    const auto one = solo.connect_client(), other = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.wait_until([&] { return solo.pending_connections(*solo.caches[0]) == 1; }));
    end(*one, 1);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); }));
    solo.caches[0]->resume_accepting();
    // Every connection that the gateway has begun to that cache comes up, then one more request passes.
    ASSERT_TRUE(solo.wait_until([&] { return solo.pending_connections(*solo.caches[0]) == 0; }));
    other->send(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.wait_until([&] { return solo.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 0u);
}

// Given a request whose first attempt has been reset by its cache, and a retry that waits for a connection.
// When its client is gone, and connections come up. Then the retry does not arrive.
TEST_P(ClientGone, ARetryThatWaitsDoesNotBegin) {
    SingleProcess solo(solo_shape(1, {}, 0));
    ScriptedCache& cache = *solo.caches[0];
    const auto one = solo.connect_client(), other = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    cache.hold_connections();
    cache.received[0].connection->reset();
    ASSERT_TRUE(solo.wait_until([&] { return solo.pending_connections(cache) == 1; }));
    end(*one, 1);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); }));
    cache.resume_accepting();
    ASSERT_TRUE(solo.wait_until([&] { return solo.pending_connections(cache) == 0; }));
    other->send(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.wait_until([&] { return solo.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 1u);
}

// Given a client with over a megabyte of responses unread and one more request in flight. When it is gone.
// Then the gateway notices, and when the cache resets the attempt it is not retried
// (FastCgiConnection::scan_paused_input).
TEST_P(ClientGone, IsNoticedWhileResponsesAreUnread) {
    SingleProcess solo(solo_shape(1));
    ScriptedCache& cache = *solo.caches[0];
    const auto one = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    one->connection->enable_reading(false);
    // More than makes the gateway stop reading the connection, less than makes it close it.
    constexpr int large = 20;
    for (int n = 2; n < 2 + large; ++n) one->send(static_cast<std::uint16_t>(n), {.id = id_of(n)});
    ASSERT_TRUE(solo.wait_until([&] { return cache.received.size() == 1 + large; }));
    for (std::size_t n = 1; n < cache.received.size(); ++n)
        cache.answer(cache.received[n], "HIT", std::string(240'000, 'b'));
    ASSERT_TRUE(solo.wait_until(
        [&] { return solo.logged("fastcgi_request=" + std::to_string(1 + large) + " bytes=240000"); }));
    end(*one, 1);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); },
                                Duration::seconds(2)));
    cache.received[0].connection->reset();
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("attempt_ended client_request_id=" + id_of(1)); }));
    const auto other = solo.connect_client();
    other->send(1, {.id = id_of(99)});
    ASSERT_TRUE(solo.wait_until([&] { return solo.attempts_received(id_of(99)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(ClosesOrAborts, ClientGone, ::testing::Values(ClientEnd::closes, ClientEnd::aborts));

}  // namespace
}  // namespace irismux::testing
