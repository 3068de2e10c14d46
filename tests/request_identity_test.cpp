// Ids and times that others choose, without I/O: ids in flight on a connection, equal requests, when notices
// happened, and a router under ids that are never given twice.
#include <random>

#include "net/event_time_estimator.hpp"
#include "net/in_flight_request_ids.hpp"
#include "request/duplicate_request_filter.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

const TimePoint start = TimePoint::at_seconds(1'000'000);
TimePoint after(double seconds) { return start + Duration::seconds(seconds); }
ClientRequestId name(int n) { return ClientRequestId{std::to_string(n)}; }

TEST(InFlightRequestIds, BelongToOneRequestUntilTheirTime) {
    InFlightRequestIds names;
    names.add(name(1), RequestId{1}, after(2), start);
    EXPECT_FALSE(names.used_by_another(name(1), RequestId{1}, after(1)));
    EXPECT_TRUE(names.used_by_another(name(1), RequestId{2}, after(1)));
    EXPECT_FALSE(names.used_by_another(name(2), RequestId{2}, after(1)));
    EXPECT_FALSE(names.used_by_another(name(1), RequestId{2}, after(2)));
}

// Given a connection that carries a flood of ids. Then those that are over are dropped, and at the limit
// those that end first.
TEST(InFlightRequestIds, AreBounded) {
    InFlightRequestIds names;
    std::uint64_t lookup = 0;
    for (int n = 0; n < 3 * static_cast<int>(InFlightRequestIds::max_entries); ++n) {
        names.add(name(n), RequestId{++lookup}, after(10 + n * 1e-3), start);
        ASSERT_LE(names.size(), InFlightRequestIds::max_entries);
        ASSERT_TRUE(names.used_by_another(name(n), RequestId{0}, start));
    }
    names.add(name(-1), RequestId{++lookup}, after(1000), after(900));
    for (int n = 0; n < static_cast<int>(InFlightRequestIds::max_entries); ++n)
        names.add(name(-2 - n), RequestId{++lookup}, after(901), after(900));
    EXPECT_LE(names.size(), InFlightRequestIds::max_entries);
}

RequestFingerprint fingerprint_of(int id, const std::string& body) {
    return {ClientRequestId{std::to_string(id)}, "bids", "object", "0", body};
}

// Compared with a plain list: an equal request is refused until the first one's time, and any difference
// makes another request.
TEST(DuplicateRequestFilter, RefusesWhatAPlainListHolds) {
    std::mt19937 random(7);
    DuplicateRequestFilter filter;
    struct Known {
        std::string fingerprint;
        RequestId lookup;
        TimePoint until;
    };
    std::vector<Known> known;
    TimePoint now = start;
    for (std::uint64_t n = 1; n < 5'000; ++n) {
        now = now + Duration::micros(static_cast<std::int64_t>(random() % 2'000));
        std::erase_if(known, [&](const Known& k) { return k.until <= now; });
        if (!known.empty() && random() % 10 == 0) {
            const Known gone = known[random() % known.size()];
            filter.forget_request(gone.lookup);
            std::erase_if(known, [&](const Known& k) { return k.lookup == gone.lookup; });
        }
        const int id = static_cast<int>(random() % 4);
        const std::string body(random() % 3, 'b');
        const std::string fingerprint = std::to_string(id) + '/' + body;
        const bool expected = std::none_of(known.begin(), known.end(),
                                           [&](const Known& k) { return k.fingerprint == fingerprint; });
        const TimePoint until = now + Duration::micros(1 + static_cast<std::int64_t>(random() % 20'000));
        ASSERT_EQ(filter.accept(fingerprint_of(id, body), RequestId{n}, until, now), expected) << n;
        if (expected) known.push_back({fingerprint, RequestId{n}, until});
        ASSERT_EQ(filter.size(), known.size());
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

// Events in random order of clocks: a writer's clock that is off by any constant, the own one that is off as
// well, answers of the board that come late. A purge never counts as older than it is, and none as older than
// the poll before; with prompt answers each counts within the delay.
TEST(EventTimes, APurgeIsNeverTakenForOlderThanItIs) {
    std::mt19937 random(11);
    for (const double off : {0.0, 3600.0, -3600.0, 2.5, -2.5}) {
        EventTimeEstimator times;
        TimePoint now = start, poll = start;
        for (int n = 0; n < 2'000; ++n) {
            const Duration delay =
                Duration::micros(static_cast<std::int64_t>(random() % (n % 50 == 0 ? 8'000'000 : 20'000)));
            const TimePoint happened = now + Duration::micros(static_cast<std::int64_t>(random() % 500'000));
            now = happened + delay;
            times.begin_live(now, poll);
            const TimePoint at = times.purge_time(happened + Duration::seconds(off));
            ASSERT_GE(at, happened);
            ASSERT_LE(at, now);
            if (n > 100) {
                // Bounded by the shortest delay that was seen, and by what two clocks may drift apart.
                ASSERT_LE((at - happened).seconds(), 1.0);
            }
            poll = now;
        }
    }
}

// A writer's clock that is stepped back while the board is silent and after: what was known of it is void.
TEST(EventTimes, AWritersClockThatIsSteppedIsFoundOut) {
    EventTimeEstimator times;
    times.begin_live(after(1), after(0));
    EXPECT_EQ(times.purge_time(after(1)), after(1));
    times.begin_live(after(2), after(1));
    EXPECT_EQ(times.purge_time(after(2 - 3600)), after(2));
    times.begin_live(after(3), after(2));
    EXPECT_GE(times.purge_time(after(3)), after(3));
}

// History is no older than its newest purge makes it, whatever the own clock says.
TEST(EventTimes, HistoryIsDatedByItsNewestPurge) {
    for (const double off : {0.0, 3600.0}) {
        EventTimeEstimator times;
        const TimePoint newest = after(-1 - off);  // the own clock is ahead by that
        times.begin_history(start, newest);
        EXPECT_EQ(times.purge_time(newest - Duration::seconds(5)), after(-5));
        EXPECT_EQ(times.purge_time(newest), after(0));
    }
}

// A start is the same one when it is told again, and one that does not fit between two polls is one of now.
TEST(EventTimes, AStartThatDoesNotFitIsOneOfNow) {
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

// Given attempts that have ended, when timers fire, then nothing is found.
TEST(Router, TimersOfEndedAttemptsFindNothing) {
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

// Given a request id that is used twice, when the second request comes, then it is ignored.
TEST(Router, ASecondRequestOfTheSameIdIsIgnored) {
    RouterHarness harness;
    const Request lookup = request_for("twice", "object", harness.now + Duration::seconds(5));
    ASSERT_NE(harness.request(lookup), nullptr);
    EXPECT_EQ(harness.request(lookup), nullptr);
}

}  // namespace
}  // namespace irismux::testing
