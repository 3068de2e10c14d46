// Crossings of a client that leaves: whatever waits then does not begin any more. The far ends' ledgers say
// so.
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using stand_ins::FastCgiClient;
using stand_ins::ScriptedCache;
using stand_ins::SingleProcess;

enum class Goes { closes, aborts };

class ClientGone : public ::testing::TestWithParam<Goes> {
protected:
    static void leave(FastCgiClient& a, std::uint16_t request) {
        GetParam() == Goes::closes ? a.close() : a.abort(request);
    }
};

// No connection to the only cache comes up until the client has left. Guarded by Caches::withdraw, and behind
// it by Router::may_begin.
TEST_P(ClientGone, AFirstSendThatWaitsForAConnectionDoesNotBegin) {
    SingleProcess solo(solo_shape(1, {}, 0));
    solo.caches[0]->hold_connections();
    const auto one = solo.connect_client(), other = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return solo.pending_connections(*solo.caches[0]) == 1; }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); }));
    solo.caches[0]->resume_accepting();
    // Every connection that the gateway has begun to that cache comes up, then one more lookup passes.
    ASSERT_TRUE(solo.until([&] { return solo.pending_connections(*solo.caches[0]) == 0; }));
    other->send(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.until([&] { return solo.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 0u);
}

// The cache that has the lookup ends its connection, and no other comes up until the client has left: nothing
// of a further send begins.
TEST_P(ClientGone, AFurtherSendThatWaitsDoesNotBegin) {
    SingleProcess solo(solo_shape(1, {}, 0));
    ScriptedCache& cache = *solo.caches[0];
    const auto one = solo.connect_client(), other = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return cache.find_received(id_of(1)) == 1; }));
    cache.hold_connections();
    cache.received[0].wire->reset();
    ASSERT_TRUE(solo.until([&] { return solo.pending_connections(cache) == 1; }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); }));
    cache.resume_accepting();
    ASSERT_TRUE(solo.until([&] { return solo.pending_connections(cache) == 0; }));
    other->send(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.until([&] { return solo.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 1u);
}

// Over a megabyte of answers lies unread before a client that has one more lookup at work, and leaves: it is
// heard of all the same, and the lookup, whose cache breaks off, is not sent again. Guarded by
// FrontLink::look_ahead.
TEST_P(ClientGone, IsHeardOfWhileItsAnswersLieUnread) {
    SingleProcess solo(solo_shape(1));
    ScriptedCache& cache = *solo.caches[0];
    const auto one = solo.connect_client();
    one->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return cache.find_received(id_of(1)) == 1; }));
    one->wire->start_reading(false);
    // More than is let lie before a connection is not read on, less than what cuts it off.
    constexpr int large = 20;
    for (int n = 2; n < 2 + large; ++n) one->send(static_cast<std::uint16_t>(n), {.id = id_of(n)});
    ASSERT_TRUE(solo.until([&] { return cache.received.size() == 1 + large; }));
    for (std::size_t n = 1; n < cache.received.size(); ++n)
        cache.answer(cache.received[n], "HIT", std::string(240'000, 'b'));
    ASSERT_TRUE(solo.until(
        [&] { return solo.logged("fastcgi_request=" + std::to_string(1 + large) + " bytes=240000"); }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.logged("client_closed client_request_id=" + id_of(1)); },
                           Duration::seconds(2)));
    cache.received[0].wire->reset();
    ASSERT_TRUE(solo.until([&] { return solo.logged("attempt_ended client_request_id=" + id_of(1)); }));
    const auto other = solo.connect_client();
    other->send(1, {.id = id_of(99)});
    ASSERT_TRUE(solo.until([&] { return solo.attempts_received(id_of(99)) == 1; }));
    EXPECT_EQ(solo.attempts_received(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(Both, ClientGone, ::testing::Values(Goes::closes, Goes::aborts));

}  // namespace
}  // namespace irismux::testing
