// A wall clock that is wrong from the start of the process on, or stepped while it runs: what the notice
// board tells by an open poll is as old as it is, for purges and for starts of caches.
#include <chrono>
#include <csignal>

#include "codec/resp.hpp"
#include "single_process_fixture.hpp"
#include "testing/shims.hpp"

namespace irismux::testing {
namespace {

using stand_ins::Shims;
using stand_ins::SingleProcess;

const stand_ins::ShimLibraries libraries{IRISMUX_SKEWED_CLOCK, IRISMUX_FAILING_CALLS};
constexpr std::int64_t hour_us = 3'600'000'000;
// Of its even share, what a cold cache may get at most in the seconds after its start.
constexpr double cold_share = 0.5;

enum class Stepped { before_start, while_running };
struct Case {
    const char* name;
    std::int64_t wall_ahead_us;
    Stepped when;
};

std::int64_t unix_now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class WallClock : public ::testing::TestWithParam<Case> {
protected:
    void start(stand_ins::SingleProcess::Options shape) {
        if (GetParam().when == Stepped::before_start) step();
        shape.environment = shims.environment();
        solo = std::make_unique<SingleProcess>(answering(shape));
        // The poll under way is one that the board holds open.
        ASSERT_TRUE(solo->until([&] { return solo->notice_board->waiting_from() == 1; }));
        if (GetParam().when == Stepped::while_running) step();
    }
    void step() {
        stand_ins::ClockSkew skew;
        skew.wall_ahead_us = GetParam().wall_ahead_us;
        shims.set_clock(skew);
    }
    // Asks for so many objects, one in each few milliseconds; true: each was answered.
    bool ask(int lookups) {
        const auto client = solo->connect_client();
        for (int n = 0; n < lookups; ++n) {
            client->send(static_cast<std::uint16_t>(n + 1), {.id = id_of(next_), .object = id_of(next_)});
            ++next_;
            solo->until([] { return false; }, Duration::micros(4'000));
        }
        return solo->until([&] { return client->responses.size() == static_cast<std::size_t>(lookups); });
    }

    Shims shims{libraries};
    std::unique_ptr<SingleProcess> solo;

private:
    int next_ = 1000;
};

// Rule 5: no send after the purge was told may take a copy from before it. Guarded by EventTimes.
TEST_P(WallClock, APurgeToldByAnOpenPollBindsAtOnce) {
    start(solo_shape(2));
    const TimePoint told = solo->loop.now();
    solo->notice_board->post({{"flush", {{"collection", 1}, {"ms", unix_now_ms()}}}});
    ASSERT_TRUE(solo->until([&] { return solo->notice_board->waiting_from() == 2; }));
    ASSERT_TRUE(ask(100));
    for (const auto& cache : solo->caches)
        for (const auto& pull : cache->received) {
            const std::string fresh(resp::field(pull.fields, "fresh"));
            ASSERT_FALSE(fresh.empty()) << "any copy would do";
            EXPECT_LE(std::stoll(fresh), (pull.at - told).micros() / 1000 + 1);
        }
}

// It binds for as long as it should and not for the hour by which the clock is off.
TEST_P(WallClock, APurgeIsForgottenInItsTime) {
    stand_ins::SingleProcess::Options shape = solo_shape(2);
    shape.change = [change = shape.change](json& c) {
        change(c);
        c["settings"]["specifics"]["purgeDoneS"] = 0.2;
    };
    start(shape);
    solo->notice_board->post({{"flush", {{"collection", 1}, {"ms", unix_now_ms()}}}});
    ASSERT_TRUE(solo->until([&] { return solo->notice_board->waiting_from() == 2; }));
    solo->until([] { return false; }, Duration::seconds(0.6));
    ASSERT_TRUE(ask(10));
    for (const auto& cache : solo->caches)
        for (const auto& pull : cache->received) EXPECT_EQ(resp::field(pull.fields, "fresh"), "");
}

// Rule 4: a cache that starts while the process runs gets a small share at first.
TEST_P(WallClock, ACacheThatStartsNowIsWarmedSlowly) {
    start(solo_shape(2));
    stand_ins::ScriptedCache fresh(solo->loop, "e3");
    fresh.then = [&fresh](const stand_ins::ScriptedCache::ReceivedAttempt& p) { fresh.answer(p); };
    json line = stand_ins::endpoint_json("e3", "node", "plant", fresh.address(), "Ready");
    line["started_ms"] = unix_now_ms();
    solo->notice_board->post({{"pool", {{"version", 2}, {"full", false}, {"servers", {line}}}}});
    ASSERT_TRUE(solo->until([&] { return solo->notice_board->waiting_from() == 2; }));
    constexpr int lookups = 400;
    ASSERT_TRUE(ask(lookups));
    // A third of the lookups are its own by their names.
    EXPECT_LT(fresh.received.size(), static_cast<std::size_t>(lookups / 3 * cold_share));
}

// A signal that comes while the loop waits, just as the clock is stepped back: the wait goes on for what was
// left of it, and not for the hour besides. Nothing else wakes the loop: the board is silent and the cache
// hangs.
TEST(WallClockStep, WithASignalDoesNotHoldUpTheLoop) {
    Shims shims(libraries);
    stand_ins::SingleProcess::Options shape = solo_shape(1);
    shape.environment = shims.environment();
    SingleProcess solo(shape);
    solo.notice_board->silent = true;
    const auto client = solo.connect_client();
    for (std::uint16_t n = 1; n <= 5; ++n) {
        client->send(n, {.id = id_of(n), .patience_ms = 400});
        ASSERT_TRUE(solo.until([&] { return solo.attempts_received(id_of(n)) > 0; }));
        const TimePoint asked = solo.loop.now();
        for (int step = 1; step <= 4; ++step) {
            solo.until([] { return false; }, Duration::micros(20'000));
            stand_ins::ClockSkew skew;
            skew.wall_ahead_us = -hour_us * (n * 4 + step);
            shims.set_clock(skew);
            solo.process->signal(SIGHUP);
        }
        ASSERT_TRUE(solo.until([&] { return client->has_response(n); }, Duration::seconds(3)));
        EXPECT_LT((solo.loop.now() - asked).seconds(), 0.6);
    }
}

constexpr Case cases[] = {
    {"Right", 0, Stepped::before_start},
    {"AheadFromStart", hour_us, Stepped::before_start},
    {"BehindFromStart", -hour_us, Stepped::before_start},
    {"SecondsAheadFromStart", 7'000'000, Stepped::before_start},
    {"SteppedAhead", hour_us, Stepped::while_running},
    {"SteppedBack", -hour_us, Stepped::while_running},
};

INSTANTIATE_TEST_SUITE_P(Steps, WallClock, ::testing::ValuesIn(cases),
                         [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace irismux::testing
