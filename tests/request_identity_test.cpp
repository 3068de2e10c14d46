// Tests, without I/O, how the gateway handles ids and timestamps that clients, caches and writers of notices
// choose: equal requests, the estimated times of notices, and a router whose ids never repeat.
#include <random>

#include "net/event_time_estimator.hpp"
#include "request/duplicate_request_filter.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

const TimePoint start = TimePoint::at_seconds(1'000'000);
TimePoint after(double seconds) { return start + Duration::seconds(seconds); }

RequestFingerprint fingerprint_of(int id, const std::string& body) {
    return {ClientRequestId{std::to_string(id)}, "bids", "object", "0", body};
}

// Compares the filter with a plain list. While the filter remembers a request, an equal request must be
// refused. A request that differs in any way must be accepted as another request.
TEST(DuplicateRequestFilter, AgreesWithAPlainList) {
    std::mt19937 random(7);
    DuplicateRequestFilter filter;
    struct AcceptedRequest {
        std::string fingerprint;
        RequestId request_id;
        TimePoint until;
    };
    std::vector<AcceptedRequest> accepted;
    TimePoint now = start;
    for (std::uint64_t n = 1; n < 5'000; ++n) {
        now = now + Duration::micros(static_cast<std::int64_t>(random() % 2'000));
        std::erase_if(accepted, [&](const AcceptedRequest& entry) { return entry.until <= now; });
        if (!accepted.empty() && random() % 10 == 0) {
            const AcceptedRequest forgotten = accepted[random() % accepted.size()];
            filter.forget_request(forgotten.request_id);
            std::erase_if(accepted, [&](const AcceptedRequest& entry) {
                return entry.request_id == forgotten.request_id;
            });
        }
        const int id = static_cast<int>(random() % 4);
        const std::string body(random() % 3, 'b');
        const std::string fingerprint = std::to_string(id) + '/' + body;
        const bool expected =
            std::none_of(accepted.begin(), accepted.end(),
                         [&](const AcceptedRequest& entry) { return entry.fingerprint == fingerprint; });
        const TimePoint until = now + Duration::micros(1 + static_cast<std::int64_t>(random() % 20'000));
        ASSERT_EQ(filter.accept(fingerprint_of(id, body), RequestId{n}, until, now), expected) << n;
        if (expected) accepted.push_back({fingerprint, RequestId{n}, until});
        ASSERT_EQ(filter.size(), accepted.size());
    }
}

TEST(DuplicateRequestFilter, IsBounded) {
    DuplicateRequestFilter filter;
    for (std::size_t n = 0; n < 2 * DuplicateRequestFilter::max_entries; ++n) {
        const double until = 10 + static_cast<double>(n) * 1e-3;
        ASSERT_TRUE(
            filter.accept(fingerprint_of(static_cast<int>(n), ""), RequestId{n + 1}, after(until), start));
        ASSERT_LE(filter.size(), DuplicateRequestFilter::max_entries);
    }
}

// If the gateway dated a purge earlier than the purge happened, copies from before the purge would be served.
// Clocks that differ could cause such a date. In the test, the clock of the purge's writer differs from the
// clock of this process by a constant of up to an hour, and some responses of the notice board are late. The
// date of a purge must be neither earlier than the purge nor earlier than the previous poll. While responses
// are prompt, the date must be later than the purge by at most the delay of the responses.
TEST(EventTimes, APurgeIsNeverTakenForOlderThanItIs) {
    std::mt19937 random(11);
    for (const double writer_ahead_s : {0.0, 3600.0, -3600.0, 2.5, -2.5}) {
        EventTimeEstimator times;
        TimePoint now = start, previous_poll = start;
        for (int n = 0; n < 2'000; ++n) {
            const Duration delay =
                Duration::micros(static_cast<std::int64_t>(random() % (n % 50 == 0 ? 8'000'000 : 20'000)));
            const TimePoint happened = now + Duration::micros(static_cast<std::int64_t>(random() % 500'000));
            now = happened + delay;
            times.begin_live(now, previous_poll);
            const TimePoint at = times.purge_time(happened + Duration::seconds(writer_ahead_s));
            ASSERT_GE(at, happened);
            ASSERT_LE(at, now);
            if (n > 100) {
                // The error of the date is limited by the shortest delay seen so far and by the allowed drift
                // between two clocks.
                ASSERT_LE((at - happened).seconds(), 1.0);
            }
            previous_poll = now;
        }
    }
}

// The writer's clock is stepped back while the notice board is silent, and forward again afterwards. The
// clock offset that was estimated before each step must be discarded.
TEST(EventTimes, AStepOfTheWritersClockIsDetected) {
    EventTimeEstimator times;
    times.begin_live(after(1), after(0));
    EXPECT_EQ(times.purge_time(after(1)), after(1));
    times.begin_live(after(2), after(1));
    EXPECT_EQ(times.purge_time(after(2 - 3600)), after(2));
    times.begin_live(after(3), after(2));
    EXPECT_GE(times.purge_time(after(3)), after(3));
}

// The newest purge of a history must be dated to the time at which the history was read, and each other purge
// by its distance from the newest purge, whatever this process's clock says.
TEST(EventTimes, HistoryIsDatedByItsNewestPurge) {
    for (const double own_clock_ahead_s : {0.0, 3600.0}) {
        EventTimeEstimator times;
        const TimePoint newest =
            after(-1 - own_clock_ahead_s);  // this process's clock is ahead by own_clock_ahead_s
        times.begin_history(start, newest);
        EXPECT_EQ(times.purge_time(newest - Duration::seconds(5)), after(-5));
        EXPECT_EQ(times.purge_time(newest), after(0));
    }
}

// If the notice board announces the start of a cache again, the start must keep its estimated time. A start
// whose timestamp does not fit between two polls must be dated to the current time.
TEST(EventTimes, AStartThatDoesNotFitIsDatedToTheCurrentTime) {
    EventTimeEstimator times;
    const CacheId a{"a"}, b{"b"}, c{"c"};
    times.begin_live(after(10), after(9));
    EXPECT_EQ(times.start_time(a, after(9.5)), after(9.5));
    EXPECT_EQ(times.start_time(b, after(-3600)), after(10));
    EXPECT_EQ(times.start_time(c, TimePoint{}), TimePoint{});
    times.begin_live(after(20), after(19));
    EXPECT_EQ(times.start_time(a, after(9.5)), after(9.5));
    EXPECT_EQ(times.start_time(b, after(-3600)), after(10));
    EXPECT_EQ(times.start_time(b, after(-3599)), after(20));
}

// Timers that fire after their attempts have ended must have no effect.
TEST(Router, TimersOfEndedAttemptsHaveNoEffect) {
    RouterHarness harness;
    for (int n = 0; n < 50; ++n) {
        ASSERT_NE(harness.request(
                      request_for("x" + std::to_string(n), "object", harness.now + Duration::seconds(5))),
                  nullptr);
        harness.end_attempt(harness.callbacks.attempts.size() - 1, Outcome::completed, CacheStatus::hit,
                            true);
        harness.advance(Duration::seconds(0.5));
    }
    EXPECT_TRUE(harness.callbacks.violations.empty()) << harness.callbacks.violations.front();
}

// The router must ignore a second request with an id that was used before.
TEST(Router, ASecondRequestOfTheSameIdIsIgnored) {
    RouterHarness harness;
    const Request request = request_for("twice", "object", harness.now + Duration::seconds(5));
    ASSERT_NE(harness.request(request), nullptr);
    EXPECT_EQ(harness.request(request), nullptr);
}

}  // namespace
}  // namespace irismux::testing
