// Crossings of a client that leaves: whatever waits then does not begin any more. The far ends' ledgers say
// so.
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using lab::Asker;
using lab::Puppet;
using lab::Solo;

enum class Goes { closes, aborts };

class ClientGone : public ::testing::TestWithParam<Goes> {
protected:
    static void leave(Asker& a, std::uint16_t request) {
        GetParam() == Goes::closes ? a.close() : a.abort(request);
    }
};

// No connection to the only cache comes up until the client has left. Guarded by Caches::withdraw, and behind
// it by Router::may_begin.
TEST_P(ClientGone, AFirstSendThatWaitsForAConnectionDoesNotBegin) {
    Solo solo(solo_shape(1, {}, 0));
    solo.caches[0]->hold_connections();
    const auto one = solo.asker(), other = solo.asker();
    one->ask(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return solo.coming_up(*solo.caches[0]) == 1; }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.said("client_left lookup=" + id_of(1)); }));
    solo.caches[0]->take_again();
    // Every connection that the gateway has begun to that cache comes up, then one more lookup passes.
    ASSERT_TRUE(solo.until([&] { return solo.coming_up(*solo.caches[0]) == 0; }));
    other->ask(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.until([&] { return solo.pulls(id_of(2)) == 1; }));
    EXPECT_EQ(solo.pulls(id_of(1)), 0u);
}

// The cache that has the lookup ends its connection, and no other comes up until the client has left: nothing
// of a further send begins.
TEST_P(ClientGone, AFurtherSendThatWaitsDoesNotBegin) {
    Solo solo(solo_shape(1, {}, 0));
    Puppet& cache = *solo.caches[0];
    const auto one = solo.asker(), other = solo.asker();
    one->ask(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return cache.pulled(id_of(1)) == 1; }));
    cache.hold_connections();
    cache.pulls[0].wire->reset();
    ASSERT_TRUE(solo.until([&] { return solo.coming_up(cache) == 1; }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.said("client_left lookup=" + id_of(1)); }));
    cache.take_again();
    ASSERT_TRUE(solo.until([&] { return solo.coming_up(cache) == 0; }));
    other->ask(1, {.id = id_of(2)});
    ASSERT_TRUE(solo.until([&] { return solo.pulls(id_of(2)) == 1; }));
    EXPECT_EQ(solo.pulls(id_of(1)), 1u);
}

// Over a megabyte of answers lies unread before a client that has one more lookup at work, and leaves: it is
// heard of all the same, and the lookup, whose cache breaks off, is not sent again. Guarded by
// FrontLink::look_ahead.
TEST_P(ClientGone, IsHeardOfWhileItsAnswersLieUnread) {
    Solo solo(solo_shape(1));
    Puppet& cache = *solo.caches[0];
    const auto one = solo.asker();
    one->ask(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return cache.pulled(id_of(1)) == 1; }));
    one->wire->hear(false);
    // More than is let lie before a connection is not read on, less than what cuts it off.
    constexpr int large = 20;
    for (int n = 2; n < 2 + large; ++n) one->ask(static_cast<std::uint16_t>(n), {.id = id_of(n)});
    ASSERT_TRUE(solo.until([&] { return cache.pulls.size() == 1 + large; }));
    for (std::size_t n = 1; n < cache.pulls.size(); ++n)
        cache.answer(cache.pulls[n], "HIT", std::string(240'000, 'b'));
    ASSERT_TRUE(
        solo.until([&] { return solo.said("request=" + std::to_string(1 + large) + " bytes=240000"); }));
    leave(*one, 1);
    ASSERT_TRUE(solo.until([&] { return solo.said("client_left lookup=" + id_of(1)); }, Span::seconds(2)));
    cache.pulls[0].wire->reset();
    ASSERT_TRUE(solo.until([&] { return solo.said("send_ended lookup=" + id_of(1)); }));
    const auto other = solo.asker();
    other->ask(1, {.id = id_of(99)});
    ASSERT_TRUE(solo.until([&] { return solo.pulls(id_of(99)) == 1; }));
    EXPECT_EQ(solo.pulls(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(Both, ClientGone, ::testing::Values(Goes::closes, Goes::aborts));

}  // namespace
}  // namespace irismux::testing
