// Crossings of SIGTERM with what is at work, half read, accepted or resting.
#include <csignal>
#include <memory>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using stand_ins::FastCgiClient;
using stand_ins::ScriptedCache;
using stand_ins::SingleProcess;

// Of the protocol: SIGKILL comes no sooner than three seconds and this after SIGTERM.
constexpr double work_after = 0.7, killed_after = 3 + work_after;

// Hung caches, clients that would wait longer than the platform: each is answered by effect before SIGKILL
// can come, and the program ends by itself. Guarded by Host::leave and Router::on_leaving.
TEST(Leave, AnswersBeforeItCanBeKilled) {
    SingleProcess solo(solo_shape(2));
    const auto a = solo.connect_client();
    a->send(1, {.id = id_of(1), .patience_ms = 5000});
    a->send(2, {.id = id_of(2), .kind = "bids", .body = "b", .patience_ms = 5000});
    ASSERT_TRUE(solo.until(
        [&] { return solo.attempts_received(id_of(1)) > 0 && solo.attempts_received(id_of(2)) > 0; }));
    const TimePoint told = solo.loop.now();
    solo.process->signal(SIGTERM);
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_LT((solo.loop.now() - told).seconds(), killed_after);
    EXPECT_TRUE(a->has_response(1, "Status: 503"));
    EXPECT_TRUE(a->has_response(2, "Status: 502"));
}

// What the system holds for the gateway at the moment of its end has been taken: the gateway stands still
// from right after SIGTERM until that moment has passed.
class StandsStill : public ::testing::Test {
protected:
    SingleProcess solo{answering(solo_shape(2))};
    std::shared_ptr<FastCgiClient> resting = solo.connect_client();
    void end_in(const std::function<void()>& meanwhile) {
        resting->send(1, {.id = id_of(1)});
        ASSERT_TRUE(solo.until([&] { return resting->has_response(1); }));
        solo.process->signal(SIGTERM);
        ASSERT_TRUE(solo.until([&] { return solo.logged("shutdown_started"); }));
        solo.process->signal(SIGSTOP);
        const TimePoint due = solo.loop.now() + Duration::seconds(work_after);
        meanwhile();
        ASSERT_TRUE(solo.until([&] { return solo.loop.now() > due; }));
        solo.process->signal(SIGCONT);
        EXPECT_TRUE(solo.exited_cleanly());
    }
};

// Guarded by Front::drained (bytes that lie unread).
TEST_F(StandsStill, AnswersWhatLiesUnread) {
    end_in([&] { resting->send(2, {.id = id_of(2)}); });
    EXPECT_TRUE(resting->has_response(2, "Status: 200"));
}

// The first that is accepted says nothing, so that nothing seems to be owed while others still wait. Guarded
// by Front::stop_listening, which takes them in.
TEST_F(StandsStill, AnswersWhoeverWaitsToBeAccepted) {
    std::unique_ptr<Raw> silent, asks;
    end_in([&] {
        silent = std::make_unique<Raw>(solo.listen);
        asks = std::make_unique<Raw>(solo.listen);
        asks->say(resting->request(1, {.id = id_of(3)}));
    });
    EXPECT_EQ(asks->look(), Raw::Now::ended);
    EXPECT_NE(asks->heard.find("Status: 200"), std::string::npos);
}

// A connection that the gateway has ended is not heard any more: a question that crosses the end is not sent
// on. Guarded by Link::linger, which discards it; that no reset takes the answer before it,
// IdleClose.AnAnswerOutlivesTheRestOfWhatWasTooLarge shows.
TEST(Leave, EndsConnectionsInPeace) {
    SingleProcess solo(answering(solo_shape(2)));
    const auto writes = solo.connect_client();
    Raw resting(solo.listen), waiting(solo.listen);
    for (Raw* r : {&resting, &waiting}) r->say(writes->request(1, {.id = id_of(r == &resting ? 1 : 2)}));
    ASSERT_TRUE(
        solo.until([&] { return solo.attempts_received(id_of(1)) + solo.attempts_received(id_of(2)) == 2; }));
    solo.process->signal(SIGTERM);
    // Its end is seen: the question goes out now, and only then is anything read.
    ASSERT_TRUE(solo.until([&] { return solo.logged("shutdown_closing_connections"); }));
    resting.say(writes->request(2, {.id = id_of(3)}));
    resting.say(std::string(20'000, 'x'));
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_EQ(solo.attempts_received(id_of(3)), 0u);
    for (Raw* r : {&resting, &waiting}) {
        EXPECT_EQ(r->look(), Raw::Now::ended);
        EXPECT_NE(r->heard.find("Status: 200"), std::string::npos);
    }
}

// Half of a request is here when SIGTERM comes, the rest after it.
TEST(Leave, AnswersARequestThatWasHalfRead) {
    SingleProcess solo(answering(solo_shape(2)));
    const auto a = solo.connect_client();
    const std::string bytes = a->request(1, {.id = id_of(1)});
    a->write(std::string_view(bytes).substr(0, bytes.size() / 2));
    ASSERT_TRUE(solo.until([&] { return a->wire->all_written(); }));
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.until([&] { return solo.logged("shutdown_started"); }));
    a->write(std::string_view(bytes).substr(bytes.size() / 2));
    ASSERT_TRUE(solo.until([&] { return a->has_response(1); }));
    EXPECT_TRUE(a->has_response(1, "Status: 200"));
    EXPECT_TRUE(solo.exited_cleanly());
}

// Signals that come while it leaves change nothing: one answer, one end.
TEST(Leave, ASecondSignalChangesNothing) {
    SingleProcess solo(solo_shape(2));
    const auto a = solo.connect_client();
    a->send(1, {.id = id_of(1), .patience_ms = 2000});
    ASSERT_TRUE(solo.until([&] { return solo.cache_serving(id_of(1)) != nullptr; }));
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.until([&] { return solo.logged("shutdown_started"); }));
    stand_ins::NoticeBoard other(solo.loop);
    json moved = solo.configured;
    moved["board"] = other.address();
    std::ofstream(solo.configuration_file) << moved.dump();
    solo.process->signal(SIGHUP);
    solo.process->signal(SIGTERM);
    ASSERT_TRUE(solo.until([&] { return solo.logged("reload_ignored reason=shutting_down"); }));
    ScriptedCache& cache = *solo.cache_serving(id_of(1));
    cache.answer(cache.received[0]);
    EXPECT_TRUE(solo.exited_cleanly());
    EXPECT_FALSE(solo.logged("notice board: now at"));
    EXPECT_EQ(a->responses.size(), 1u);
    EXPECT_TRUE(a->has_response(1, "Status: 200"));
}

}  // namespace
}  // namespace irismux::testing
