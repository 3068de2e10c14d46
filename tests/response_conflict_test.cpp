// Tests that the pool takes no response for another attempt's, although a response names no more than the
// client request id, and that the requests concerned are served all the same.
#include "cache_connection_pool_scenario.hpp"

namespace irismux::testing {
namespace {

// A pool whose caches respond only when the test makes them do so.
struct HeldResponses {
    explicit HeldResponses(std::size_t max_connections) : scenario(max_connections) {
        scenario.on_attempt = [this](TestConnection& cache, const std::string& id) {
            attempts.push_back({&cache, id});
        };
        scenario.on_ended = [this](ActiveRequest&, Outcome outcome) { outcomes.push_back(outcome); };
    }
    struct ReceivedAttempt {
        TestConnection* cache;
        std::string id;
    };
    void hit(std::size_t n) {
        scenario.respond(*attempts.at(n).cache, attempts.at(n).id, "HIT", "tag=k1,minted=99", "bytes");
    }
    void miss(std::size_t n) { scenario.respond(*attempts.at(n).cache, attempts.at(n).id, "NONE", "-", ""); }
    void refuse(std::size_t n) {
        scenario.respond(*attempts.at(n).cache, attempts.at(n).id, "SHED", "-", "");
    }
    void cancel(std::size_t request) { scenario.pool->cancel_attempt(*scenario.requests.at(request), 0); }
    PoolScenario::Step when_received(std::size_t count, std::function<void()> action) {
        return {[this, count] { return attempts.size() == count; }, std::move(action)};
    }
    PoolScenario::Step after(double seconds, std::function<void()> action) {
        auto due = std::make_shared<TimePoint>();
        return {[this, due, seconds] {
                    if (*due == TimePoint{}) *due = scenario.loop.now() + Duration::seconds(seconds);
                    return scenario.loop.now() >= *due;
                },
                std::move(action)};
    }
    PoolScenario::Step when_ended(
        std::size_t count, std::function<void()> action = [] {}) {
        return {[this, count] { return outcomes.size() == count; }, std::move(action)};
    }

    PoolScenario scenario;
    std::vector<ReceivedAttempt> attempts;
    std::vector<Outcome> outcomes;
};

// The response to a cancelled attempt comes later than any window, when another request with the same id
// waits for its own. The other request must get its own response, on another connection. Limits of 8 and 1
// connections: with the lower one the old connection has to make room first.
TEST(ResponseConflict, ALateResponseIsNotTakenForALaterRequests) {
    for (const std::size_t max_connections : {8u, 1u}) {
        HeldResponses held(max_connections);
        held.scenario.start("b1");
        held.scenario.run_steps({held.when_received(1, [&] { held.cancel(0); }),
                                 held.after(1.5, [&] { held.scenario.start("b1"); }),
                                 held.when_received(2, [&] { held.hit(0); }),
                                 held.after(0.1,
                                            [&] {
                                                EXPECT_TRUE(held.outcomes.empty());
                                                held.miss(1);
                                            }),
                                 held.when_ended(1)});
        EXPECT_NE(held.attempts.at(0).cache, held.attempts.at(1).cache);
        EXPECT_EQ(held.outcomes, std::vector<Outcome>{Outcome::cache_miss});
    }
}

// A cache refuses an attempt, and a copy of the refusal comes 3 ms later, when the request has its next
// attempt. The copy must not be taken for the answer to that attempt, which runs.
TEST(ResponseConflict, ACopyOfARefusalIsNotTakenForTheNextAttempts) {
    HeldResponses held(8);
    held.scenario.on_ended = [&](ActiveRequest& request, Outcome outcome) {
        held.outcomes.push_back(outcome);
        if (outcome == Outcome::overloaded) held.scenario.start_attempt_of(request);
    };
    held.scenario.start("b1");
    held.scenario.run_steps({held.when_received(1, [&] { held.refuse(0); }),
                             held.when_received(2, [&] { held.refuse(0); }),
                             held.after(0.05, [&] { held.miss(1); }), held.when_ended(2)});
    EXPECT_EQ(held.outcomes, (std::vector<Outcome>{Outcome::overloaded, Outcome::cache_miss}));
}

// Two requests with one id wait for the same connection, since no response with the id can arrive yet. Right
// before the second attempt is written, the connection must refuse it, and it must go to another one.
TEST(ResponseConflict, TwoWaitingAttemptsWithOneIdUseTwoConnections) {
    HeldResponses held(2);  // one connection for each cache
    held.scenario.start("b1");
    held.scenario.start("b1");
    held.scenario.run_steps({held.when_received(2,
                                                [&] {
                                                    held.hit(1);
                                                    held.miss(0);
                                                }),
                             held.when_ended(2)});
    EXPECT_NE(held.attempts.at(0).cache, held.attempts.at(1).cache);
}

// A request is hedged at the cache that has its first attempt. Each attempt needs a connection of its own.
TEST(ResponseConflict, TwoAttemptsOfOneRequestUseTwoConnections) {
    HeldResponses held(2);
    held.scenario.start("b1");
    held.scenario.run_steps(
        {held.when_received(1, [&] { held.scenario.start_attempt_of(*held.scenario.requests.at(0)); }),
         held.when_received(2,
                            [&] {
                                held.refuse(1);
                                held.miss(0);
                            }),
         held.when_ended(2)});
    EXPECT_NE(held.attempts.at(0).cache, held.attempts.at(1).cache);
}

// Clients use one id again and again, and leave each time. The gateway must not open a connection for each of
// these requests: at most two, and one more for each 100 ms.
TEST(ResponseConflict, AnIdThatIsUsedAgainAndAgainOpensFewConnections) {
    HeldResponses held(64);
    held.scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
        held.attempts.push_back({&cache, id});
        held.scenario.loop.schedule_now([&] { held.cancel(held.scenario.requests.size() - 1); });
    };
    const TimePoint begun_at = held.scenario.loop.now();
    std::function<void()> repeat = [&] {
        held.scenario.start("b1");
        held.scenario.loop.schedule_at(held.scenario.loop.now() + Duration::micros(2'000), repeat);
    };
    repeat();
    held.scenario.run(1.0);
    const double seconds = (held.scenario.loop.now() - begun_at).seconds();
    EXPECT_GT(held.scenario.requests.size(), 100u);
    EXPECT_LE(static_cast<double>(held.scenario.connections.size()), 3 + seconds * 10);
    EXPECT_EQ(held.attempts.size() + held.scenario.ids_in_use.size(), held.scenario.requests.size());
}

// Cancelled attempts without a response use memory for as long as their connection lives. Beyond its limit,
// the connection must be replaced, and every attempt must still reach the cache.
TEST(ResponseConflict, AConnectionWithManyCancelledAttemptsIsReplaced) {
    HeldResponses held(8);
    constexpr std::size_t attempts = 3 * OutstandingResponses::max_abandoned;
    held.scenario.on_attempt = [&](TestConnection& cache, const std::string& id) {
        held.attempts.push_back({&cache, id});
        held.scenario.loop.schedule_now([&] {
            held.cancel(held.attempts.size() - 1);
            if (held.attempts.size() < attempts)
                held.scenario.start("b" + std::to_string(held.attempts.size()));
        });
    };
    held.scenario.start("b0");
    held.scenario.run_steps({held.when_received(attempts, [] {})});
    EXPECT_GE(held.scenario.connections.size(), 3u);
    EXPECT_LE(held.scenario.connections.size(), 4u);
}

}  // namespace
}  // namespace irismux::testing
