// SIGTERM while requests are in flight, half received, not accepted yet, or come on idle connections.
#include <csignal>
#include <memory>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

// From the platform's protocol: requests may come for so long after SIGTERM, and SIGKILL comes no sooner than
// 3 s after that.
constexpr double acceptance_period_s = 0.7, sigkill_after_s = 3 + acceptance_period_s;

// Given two requests at caches that do not respond, whose deadlines lie behind the earliest SIGKILL. When
// SIGTERM comes. Then both are answered before SIGKILL can come, the one without effect as refused, the one
// with an effect as failed, and the process ends by itself (Shutdown::begin, Router::on_drain).
TEST(Shutdown, AnswersBeforeItCanBeKilled) {
    SingleProcess solo(solo_shape(2));
    const auto a = solo.connect_client();
    a->send(1, {.id = id_of(1), .timeout_ms = 5000});
    a->send(2, {.id = id_of(2), .kind = "bids", .body = "b", .timeout_ms = 5000});
    ASSERT_TRUE(solo.wait_until(
        [&] { return solo.attempts_received(id_of(1)) > 0 && solo.attempts_received(id_of(2)) > 0; }));
    const TimePoint terminated_at = solo.loop.now();
    solo.process->signal(SIGTERM);
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_LT((solo.loop.now() - terminated_at).seconds(), sigkill_after_s);
    EXPECT_TRUE(a->has_response(1, "Status: 503"));
    EXPECT_TRUE(a->has_response(2, "Status: 502"));
}

// Given a gateway that is stopped (SIGSTOP) right after SIGTERM, so that whatever comes meanwhile waits in
// the system. When it goes on after the time to accept requests has passed. Then all of that is answered.
class ShutdownAfterStandstill : public ::testing::Test {
protected:
    SingleProcess solo{answering(solo_shape(2))};
    std::shared_ptr<FastCgiClient> idle = solo.connect_client();
    void shut_down_during(const std::function<void()>& meanwhile) {
        idle->send(1, {.id = id_of(1)});
        ASSERT_TRUE(solo.wait_until([&] { return idle->has_response(1); }));
        solo.process->signal(SIGTERM);
        ASSERT_TRUE(solo.wait_until([&] { return solo.logged("shutdown_started"); }));
        solo.process->signal(SIGSTOP);
        const TimePoint due = solo.loop.now() + Duration::seconds(acceptance_period_s);
        meanwhile();
        ASSERT_TRUE(solo.wait_until([&] { return solo.loop.now() > due; }));
        solo.process->signal(SIGCONT);
        EXPECT_TRUE(solo.exited_cleanly());
    }
};

// A request that lies unread on an open connection (FastCgiServer::drained).
TEST_F(ShutdownAfterStandstill, AnswersARequestThatIsUnread) {
    shut_down_during([&] { idle->send(2, {.id = id_of(2)}); });
    EXPECT_TRUE(idle->has_response(2, "Status: 200"));
}

// Two connections that are not accepted yet. The first one sends nothing, so that all is answered while the
// second one still waits (FastCgiServer::stop_listening accepts it).
TEST_F(ShutdownAfterStandstill, AnswersConnectionsThatWaitToBeAccepted) {
    std::unique_ptr<Raw> silent, asks;
    shut_down_during([&] {
        silent = std::make_unique<Raw>(solo.listen);
        asks = std::make_unique<Raw>(solo.listen);
        asks->say(idle->request(1, {.id = id_of(3)}));
    });
    EXPECT_EQ(asks->look(), Raw::Now::ended);
    EXPECT_NE(asks->heard.find("Status: 200"), std::string::npos);
}

// Given two connections that the shutdown has closed. When a request comes on one of them. Then it is not
// sent to a cache (Connection::linger discards it), and the response before it arrives without a reset.
TEST(Shutdown, DiscardsRequestsOnClosedConnections) {
    SingleProcess solo(answering(solo_shape(2)));
    const auto writes = solo.connect_client();
    Raw first(solo.listen), second(solo.listen);
    for (Raw* r : {&first, &second}) r->say(writes->request(1, {.id = id_of(r == &first ? 1 : 2)}));
    ASSERT_TRUE(solo.wait_until(
        [&] { return solo.attempts_received(id_of(1)) + solo.attempts_received(id_of(2)) == 2; }));
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("shutdown_closing_connections"); }));
    first.say(writes->request(2, {.id = id_of(3)}));
    first.say(std::string(20'000, 'x'));
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_EQ(solo.attempts_received(id_of(3)), 0u);
    for (Raw* r : {&first, &second}) {
        EXPECT_EQ(r->look(), Raw::Now::ended);
        EXPECT_NE(r->heard.find("Status: 200"), std::string::npos);
    }
}

// Given half of a request. When SIGTERM comes, and then the other half. Then it is answered.
TEST(Shutdown, AnswersARequestThatWasHalfReceived) {
    SingleProcess solo(answering(solo_shape(2)));
    const auto a = solo.connect_client();
    const std::string bytes = a->request(1, {.id = id_of(1)});
    a->write(std::string_view(bytes).substr(0, bytes.size() / 2));
    ASSERT_TRUE(solo.wait_until([&] { return a->connection->all_written(); }));
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("shutdown_started"); }));
    a->write(std::string_view(bytes).substr(bytes.size() / 2));
    ASSERT_TRUE(solo.wait_until([&] { return a->has_response(1); }));
    EXPECT_TRUE(a->has_response(1, "Status: 200"));
    EXPECT_TRUE(solo.exited_cleanly());
}

// Given a shutdown that waits for one request. When SIGHUP, with another notice board in the configuration,
// and a second SIGTERM come. Then the configuration is not read, and the request gets its one response.
TEST(Shutdown, IgnoresFurtherSignals) {
    SingleProcess solo(solo_shape(2));
    const auto a = solo.connect_client();
    a->send(1, {.id = id_of(1), .timeout_ms = 2000});
    ASSERT_TRUE(solo.wait_until([&] { return solo.cache_serving(id_of(1)) != nullptr; }));
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("shutdown_started"); }));
    test_support::FakeNoticeBoard other(solo.loop);
    json moved = solo.configuration_json;
    moved["board"] = other.address();
    std::ofstream(solo.configuration_file) << moved.dump();
    solo.process->signal(SIGHUP);
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.wait_until([&] { return solo.logged("reload_ignored reason=shutting_down"); }));
    ScriptedCache& cache = *solo.cache_serving(id_of(1));
    cache.answer(cache.received[0]);
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_FALSE(solo.logged("notice_board_changed"));
    EXPECT_EQ(a->responses.size(), 1u);
    EXPECT_TRUE(a->has_response(1, "Status: 200"));
}

}  // namespace
}  // namespace irismux::testing
