#include "routing/outlier_detector.hpp"

#include "routing_test_support.hpp"

namespace irismux::testing {
namespace {

using namespace routing;

class OutlierDetectorTest : public ::testing::Test {
protected:
    Deployment deployment_ = deployment();
    TimePoint now_ = TimePoint::at_seconds(100);
    RecordingCallbacks callbacks_{deployment_};
    EndpointSet endpoints_ = endpoint_set(deployment_, now_);
    LinkCapacity links_{deployment_, endpoints_};
    OutlierDetector outliers_{deployment_, endpoints_, links_, callbacks_};
    EndpointState& cache_ = endpoints_.at(CacheId{"e1"});
    EndpointState& peer_ = endpoints_.at(CacheId{"e2"});
    EndpointState& parent_ = endpoints_.at(CacheId{"p1"});
    EndpointState& other_parent_ = endpoints_.at(CacheId{"p2"});
    PendingRequest idempotent_ = pending_request(deployment_.kinds[0], now_ + one_second);
    PendingRequest non_idempotent_ = pending_request(deployment_.kinds[1], now_ + one_second);

    void wait(double seconds) { now_ = now_ + Duration::seconds(seconds); }
    void result(EndpointState& cache, Outcome outcome, CacheStatus status = CacheStatus::none) {
        outliers_.on_cache_result(cache, attempt_at(cache.id.raw(), now_), result_of(outcome, status), false,
                                  now_);
    }
    void source_result(EndpointState& source, Outcome outcome, CacheStatus status, double fill_wait = 0,
                       bool probe = false) {
        Attempt attempt = attempt_at("e1", now_ - Duration::seconds(fill_wait));
        attempt.source = source.id;
        attempt.probes_source = probe;
        AttemptResult result = result_of(outcome, status);
        result.fill_wait = Duration::seconds(fill_wait);
        outliers_.on_source_result(source, attempt, result, now_);
    }
    bool may_choose() const { return outliers_.may_choose(cache_, idempotent_, now_); }
};

TEST_F(OutlierDetectorTest, ARefusedConnectionEjectsUntilTheBackoffEnds) {
    result(cache_, Outcome::connection_refused);
    EXPECT_EQ(cache_.health.ejection, EjectionState::ejected);
    EXPECT_FALSE(may_choose());
    wait(1.9);
    EXPECT_FALSE(may_choose());
    wait(0.1);
    EXPECT_TRUE(may_choose());
    ASSERT_EQ(callbacks_.ejection_changes.size(), 1u);
    EXPECT_EQ(callbacks_.ejection_changes[0], (std::pair{cache_.id, true}));
}

TEST_F(OutlierDetectorTest, TheBackoffDoublesUpToItsLimit) {
    for (const double backoff : {2.0, 4.0, 8.0, 16.0, 30.0, 30.0}) {
        result(cache_, Outcome::connection_refused);
        EXPECT_EQ(cache_.health.next_probe_at, now_ + Duration::seconds(backoff));
        wait(backoff);
    }
}

TEST_F(OutlierDetectorTest, AnEjectedEndpointIsNotEjectedAgainBeforeItsProbe) {
    result(cache_, Outcome::connection_refused);
    const TimePoint probe_at = cache_.health.next_probe_at;
    wait(1);
    result(cache_, Outcome::connection_refused);
    EXPECT_EQ(cache_.health.next_probe_at, probe_at);
    EXPECT_EQ(cache_.health.consecutive_ejections, 1);
}

TEST_F(OutlierDetectorTest, OneIdempotentRequestIsTheRecoveryProbe) {
    result(cache_, Outcome::connection_refused);
    wait(2);
    EXPECT_FALSE(outliers_.may_choose(cache_, non_idempotent_, now_));
    ASSERT_TRUE(OutlierDetector::recovery_probe_is_due(cache_, now_));
    OutlierDetector::begin_recovery_probe(cache_);
    EXPECT_FALSE(may_choose()) << "a second recovery probe is allowed while the first one is in flight";
    Attempt probe = attempt_at("e1", now_);
    probe.probes_cache = true;
    outliers_.on_cache_result(cache_, probe, result_of(Outcome::completed), false, now_);
    EXPECT_EQ(cache_.health.ejection, EjectionState::admitted);
    EXPECT_EQ(callbacks_.ejection_changes.back(), (std::pair{cache_.id, false}));
}

TEST_F(OutlierDetectorTest, AnInconclusiveProbeIsFollowedByAnother) {
    result(cache_, Outcome::connection_refused);
    wait(2);
    OutlierDetector::begin_recovery_probe(cache_);
    Attempt probe = attempt_at("e1", now_);
    probe.probes_cache = true;
    outliers_.on_cache_result(cache_, probe, result_of(Outcome::cancelled), false, now_);
    EXPECT_EQ(cache_.health.ejection, EjectionState::ejected);
    EXPECT_TRUE(may_choose());
}

TEST_F(OutlierDetectorTest, AProbeIsPostponedByOneLongestBackoffAtMost) {
    OutlierDetector::postpone_recovery_probe(cache_, now_ + one_second * 100);
    EXPECT_TRUE(may_choose())
        << "a cache that is not ejected is excluded because a time for a recovery probe is set";
    result(cache_, Outcome::connection_refused);
    OutlierDetector::postpone_recovery_probe(cache_, now_ + one_second * 100);
    EXPECT_EQ(cache_.health.next_probe_at, now_ + one_second * 32);
    OutlierDetector::postpone_recovery_probe(cache_, now_);
    EXPECT_TRUE(may_choose()) << "an earlier probe time does not bring the recovery probe forward";
}

TEST_F(OutlierDetectorTest, ErrorsAtOneCacheAloneEjectIt) {
    result(cache_, Outcome::errored);
    EXPECT_FALSE(cache_.health.ejected());
    result(cache_, Outcome::errored);
    EXPECT_TRUE(cache_.health.ejected());
}

TEST_F(OutlierDetectorTest, ErrorsAtAllCachesEjectNone) {
    for (int n = 0; n < 20; ++n)
        for (const char* cache : {"e1", "e2", "e3"}) {
            result(endpoints_.at(CacheId{cache}),
                   n % 4 == 0 ? Outcome::connection_reset : Outcome::completed);
            EXPECT_FALSE(endpoints_.at(CacheId{cache}).health.ejected()) << n;
        }
}

TEST_F(OutlierDetectorTest, AnErrorOfTheSourceIsNotTheCachesOwn) {
    for (int n = 0; n < 10; ++n) result(cache_, Outcome::errored, CacheStatus::source_unreachable);
    EXPECT_EQ(cache_.health.error_share, 0);
    EXPECT_FALSE(cache_.health.ejected());
}

TEST_F(OutlierDetectorTest, LateHitsCountAsErrors) {
    for (int n = 0; n < 2; ++n)
        outliers_.on_cache_result(cache_, attempt_at("e1", now_),
                                  result_of(Outcome::completed, CacheStatus::hit), true, now_);
    EXPECT_TRUE(cache_.health.ejected());
}

// A detector that looked at silence alone would take an idle cache for a hung cache. During a fault that
// silences all caches, it would take all caches for hung caches. In the test, a cache responds every 20 ms
// and then stays silent for longer than the latency objective. The cache must count as unresponsive only if a
// peer has responded during the silence and an attempt waits for the cache.
TEST_F(OutlierDetectorTest, SilenceIsComparedWithTheEndpointsOwnGapsAndItsPeers) {
    cache_.load.in_flight = 1;
    cache_.load.busy_since = now_;
    for (int n = 0; n < 100; ++n) {
        wait(0.02);
        result(cache_, Outcome::completed);
    }
    wait(0.5);
    EXPECT_FALSE(outliers_.is_unresponsive(cache_, now_))
        << "the cache counts as unresponsive although no peer has responded";
    result(peer_, Outcome::completed);
    EXPECT_TRUE(outliers_.is_unresponsive(cache_, now_));
    cache_.load.in_flight = 0;
    EXPECT_FALSE(outliers_.is_unresponsive(cache_, now_))
        << "the cache counts as unresponsive although no attempt waits for the cache";
}

TEST_F(OutlierDetectorTest, ADeadlineEjectsOnlyWhatHasBeenSilentWhilePeersResponded) {
    const Attempt attempt = attempt_at("e1", now_);
    wait(1);
    outliers_.on_cache_result(cache_, attempt, result_of(Outcome::deadline_exceeded), false, now_);
    EXPECT_FALSE(cache_.health.ejected()) << "the cache is ejected although no peer has responded";
    result(peer_, Outcome::completed);
    outliers_.on_cache_result(cache_, attempt, result_of(Outcome::deadline_exceeded), false, now_);
    EXPECT_TRUE(cache_.health.ejected());
}

TEST_F(OutlierDetectorTest, AParentToWhichThereIsNoConnectionIsEjectedAtOnce) {
    source_result(parent_, Outcome::overloaded, CacheStatus::source_unreachable);
    EXPECT_TRUE(parent_.health.ejected());
}

// A slow origin makes the fills at all parents time out, and ejecting a parent would only shift its load to
// the other parents. In the test, the fills at both parents time out, and no parent may be ejected. After one
// parent has completed a fill, the other parent must be ejected when a fill through it times out.
TEST_F(OutlierDetectorTest, FillsThatTimeOutEjectOnlyASilentParent) {
    wait(1);
    for (int n = 0; n < 20; ++n)
        for (EndpointState* source : {&parent_, &other_parent_})
            source_result(*source, Outcome::errored, CacheStatus::source_unreachable, 1);
    EXPECT_FALSE(parent_.health.ejected());
    EXPECT_FALSE(other_parent_.health.ejected());
    wait(2);
    source_result(other_parent_, Outcome::completed, CacheStatus::filled);
    source_result(parent_, Outcome::errored, CacheStatus::source_unreachable, 1);
    EXPECT_TRUE(parent_.health.ejected());
}

TEST_F(OutlierDetectorTest, AHitDoesNotCountAsAResponseOfTheSource) {
    wait(1);
    source_result(parent_, Outcome::completed, CacheStatus::hit);
    EXPECT_LT(parent_.health.last_seen, now_);
    source_result(parent_, Outcome::completed, CacheStatus::filled);
    EXPECT_EQ(parent_.health.last_seen, now_);
}

// A gateway that did not detect a cache that loses attempts would wait for each lost attempt until the
// deadline. In the test, a cache responds to one attempt and leaves two others without a response, while its
// peers lose no attempt. After the second lost attempt, the cache must count as losing attempts for two
// seconds.
TEST_F(OutlierDetectorTest, ACacheThatLosesAttemptsStandsOutAmongItsPeers) {
    Attempt attempt = attempt_at("e1", now_);
    wait(1);
    result(cache_, Outcome::completed);
    outliers_.on_late_attempt(cache_, attempt, now_);
    EXPECT_FALSE(OutlierDetector::loses_attempts(cache_, now_))
        << "a single late attempt marks the cache as losing attempts";
    outliers_.on_late_attempt(cache_, attempt, now_);
    EXPECT_TRUE(OutlierDetector::loses_attempts(cache_, now_));
    EXPECT_FALSE(OutlierDetector::loses_attempts(cache_, now_ + one_second * 2));
}

TEST_F(OutlierDetectorTest, ALateResponseRevertsItsCountAsLost) {
    Attempt attempt = attempt_at("e1", now_);
    wait(1);
    result(cache_, Outcome::completed);
    attempt.counted_as_late = true;
    outliers_.on_late_attempt(cache_, attempt, now_);
    EXPECT_GT(cache_.health.lost_share, 0);
    outliers_.record_lost_or_answered(cache_, attempt, result_of(Outcome::completed), now_);
    EXPECT_EQ(cache_.health.lost_share, 0);
}

TEST_F(OutlierDetectorTest, ARestartClearsErrorsAndEjections) {
    for (int n = 0; n < 3; ++n) result(cache_, Outcome::errored);
    outliers_.on_restart(cache_);
    EXPECT_FALSE(cache_.health.ejected());
    EXPECT_EQ(cache_.health.error_share, 0);
    EXPECT_EQ(cache_.health.consecutive_ejections, 0);
}

}  // namespace
}  // namespace irismux::testing
