#include "routing/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

#include "routing/latency.hpp"

namespace irismux::routing {
namespace {

constexpr Duration first_backoff = Duration::micros(2'000'000);
constexpr Duration longest_backoff = Duration::micros(30'000'000);
constexpr int max_backoff_doublings = 8;
// An endpoint is unresponsive after a silence of this many mean gaps between its responses. If responses were
// independent, such a silence would occur by chance once in e^14 cases.
constexpr double unresponsive_after_gaps = 14;
// Gaps and lost attempts are averaged over approximately `gap_averaging_responses` responses, and errors over
// approximately `error_averaging_results` results.
constexpr double gap_averaging_responses = 16;
constexpr double error_averaging_results = 10;
// An endpoint is ejected if its error share exceeds `ejection_error_share` (about two errors in ten results)
// plus `ejection_multiple_of_peers` times the mean error share of its peers.
constexpr double ejection_error_share = 0.17;
constexpr double ejection_multiple_of_peers = 1.5;
// Chance does not explain a share of lost attempts above `lost_share_limit` if some peer has less than a
// third of this share.
constexpr double lost_share_limit = 0.085;
constexpr double lost_multiple_of_peer = 3;
// How long an endpoint is treated as losing attempts.
constexpr Duration loses_attempts_for = Duration::micros(2'000'000);

// Returns the time since which the endpoint has not responded although attempts were in flight.
TimePoint silent_since(const EndpointState& endpoint) {
    return std::max(endpoint.health.last_seen, endpoint.load.busy_since);
}

}  // namespace

OutlierDetector::OutlierDetector(const Deployment& deployment, const EndpointSet& endpoints,
                                 const LinkCapacity& links, RouterCallbacks& callbacks)
    : endpoints_(endpoints),
      links_(links),
      callbacks_(callbacks),
      gateways_in_location_(std::max(1, deployment.gateways_in_location)),
      longest_latency_objective_(longest_latency_objective(deployment)) {}

// --- ejection and recovery probe ---

void OutlierDetector::eject(EndpointState& endpoint, EjectionReason reason, TimePoint now) const {
    EndpointHealth& health = endpoint.health;
    if (health.ejection == EjectionState::ejected && now < health.next_probe_at) return;
    if (!health.ejected()) callbacks_.on_endpoint_ejected(endpoint.id, reason);
    health.ejection = EjectionState::ejected;
    const int doublings = std::min(health.consecutive_ejections, max_backoff_doublings);
    health.backoff_ends_at = now + std::min(first_backoff * std::pow(2.0, doublings), longest_backoff);
    health.next_probe_at = health.backoff_ends_at;
    ++health.consecutive_ejections;
}

void OutlierDetector::readmit(EndpointState& endpoint) const {
    const bool was_ejected = endpoint.health.ejected();
    endpoint.health.ejection = EjectionState::admitted;
    if (was_ejected) callbacks_.on_endpoint_readmitted(endpoint.id);
}

void OutlierDetector::on_restart(EndpointState& endpoint) const {
    readmit(endpoint);
    endpoint.health.consecutive_ejections = 0;
    endpoint.health.error_share = 0;
}

bool OutlierDetector::recovery_probe_is_due(const EndpointState& endpoint, TimePoint now) {
    return endpoint.health.ejection == EjectionState::ejected && now >= endpoint.health.next_probe_at;
}

bool OutlierDetector::may_choose(const EndpointState& endpoint, const PendingRequest& request,
                                 TimePoint now) const {
    if (request.avoids(endpoint.id)) return false;
    if (!endpoint.health.ejected()) return true;
    return recovery_probe_is_due(endpoint, now) && request.kind->effect == Effect::idempotent;
}

void OutlierDetector::begin_recovery_probe(EndpointState& endpoint) {
    endpoint.health.ejection = EjectionState::probing;
}

void OutlierDetector::end_recovery_probe(EndpointState& endpoint) {
    if (endpoint.health.recovery_probe_in_flight()) endpoint.health.ejection = EjectionState::ejected;
}

// Postpones the recovery probe of an ejected endpoint, but by at most the longest backoff beyond this
// gateway's own backoff. The postponement comes from the gateway that checks the health of endpoints on
// behalf of all gateways. The limit is needed because the checking gateway may have lost its connection to an
// endpoint that this gateway can reach.
void OutlierDetector::postpone_recovery_probe(EndpointState& endpoint, TimePoint not_before) {
    if (endpoint.health.ejection != EjectionState::ejected) return;
    endpoint.health.next_probe_at = std::min(not_before, endpoint.health.backoff_ends_at + longest_backoff);
}

// --- responses and silence ---

void OutlierDetector::record_liveness(EndpointState& endpoint, TimePoint now) {
    EndpointHealth& health = endpoint.health;
    const Duration gap = now - silent_since(endpoint);
    health.mean_response_gap =
        health.mean_response_gap + (gap - health.mean_response_gap) * (1 / gap_averaging_responses);
    health.last_seen = now;
}

// Accrual failure detection: compares the silence with the gaps between earlier responses of this endpoint.
bool OutlierDetector::is_unresponsive(const EndpointState& endpoint, TimePoint now) const {
    if (endpoint.load.in_flight == 0) return false;
    const Duration silence = now - silent_since(endpoint);
    return silence > longest_latency_objective_ &&
           silence > endpoint.health.mean_response_gap * unresponsive_after_gaps &&
           peer_has_responded_since(endpoint);
}

// Prevents ejections because of a slow origin or a full link. In both cases no endpoint responds, and the
// ejection of one endpoint would only shift its load to the other endpoints.
bool OutlierDetector::peer_has_responded_since(const EndpointState& endpoint) const {
    const TimePoint since = silent_since(endpoint);
    const std::vector<EndpointState*>& peers = endpoints_.active(endpoint.role);
    return std::any_of(peers.begin(), peers.end(), [&](const EndpointState* peer) {
        return peer != &endpoint && !peer->health.ejected() && peer->health.last_seen > since;
    });
}

// --- errors ---

void OutlierDetector::record_success(EndpointState& endpoint) {
    EndpointHealth& health = endpoint.health;
    health.error_share += (0.0 - health.error_share) / error_averaging_results;
    if (health.error_share < ejection_error_share / error_averaging_results) health.consecutive_ejections = 0;
}

// Ejects an endpoint that fails fast, which would otherwise seem to be the least loaded. The endpoint's error
// share must be an outlier, since errors at all endpoints have a common cause.
void OutlierDetector::record_error(EndpointState& endpoint, TimePoint now) const {
    EndpointHealth& health = endpoint.health;
    health.error_share += (1.0 - health.error_share) / error_averaging_results;
    if (health.error_share < ejection_error_share) return;
    const double peer_error_share = mean_error_share_of_peers(endpoint);
    if (health.error_share > ejection_error_share + ejection_multiple_of_peers * peer_error_share)
        eject(endpoint, EjectionReason::errors, now);
}

double OutlierDetector::mean_error_share_of_peers(const EndpointState& endpoint) const {
    double sum = 0;
    double count = 0;
    for (const EndpointState* peer : endpoints_.active(endpoint.role)) {
        if (peer == &endpoint) continue;
        sum += peer->health.error_share;
        ++count;
    }
    return count > 0 ? sum / count : 0;
}

// --- lost attempts ---

bool OutlierDetector::loses_attempts(const EndpointState& endpoint, TimePoint now) {
    return now < endpoint.health.loses_attempts_until;
}

void OutlierDetector::on_late_attempt(EndpointState& cache, const Attempt& attempt, TimePoint now) const {
    if (cache.health.last_seen > attempt.started_at && !attempt.has_source()) record_lost_attempt(cache, now);
}

// If an attempt that on_late_attempt() has counted as lost gets a response after all, the attempt is no
// longer counted as lost.
void OutlierDetector::record_lost_or_answered(EndpointState& cache, const Attempt& attempt,
                                              const AttemptResult& result, TimePoint now) const {
    const bool counted_as_lost = attempt.counted_as_late && !attempt.has_source();
    const bool answered = result.outcome == Outcome::completed || result.outcome == Outcome::cache_miss ||
                          result.outcome == Outcome::errored;
    double& lost_share = cache.health.lost_share;
    if (answered)
        lost_share =
            std::max(0.0, lost_share - (lost_share + (counted_as_lost ? 1 : 0)) / gap_averaging_responses);
    else if (result.outcome == Outcome::deadline_exceeded && !counted_as_lost &&
             cache.health.last_seen > attempt.started_at)
        record_lost_attempt(cache, now);
}

// Detects a cache that responds to most attempts, and therefore is neither silent nor failing, but loses the
// other attempts. A cache with more attempts than its link carries is excluded, since it may be overloaded.
// If all caches lose attempts, the cause lies behind the caches.
void OutlierDetector::record_lost_attempt(EndpointState& cache, TimePoint now) const {
    if ((cache.load.in_flight - cache.load.late) * gateways_in_location_ > links_.endpoint(cache)) return;
    double& lost_share = cache.health.lost_share;
    lost_share += (1 - lost_share) / gap_averaging_responses;
    if (lost_share <= lost_share_limit) return;
    const std::vector<EndpointState*>& edges = endpoints_.active(EndpointRole::edge);
    const bool stands_out = std::any_of(edges.begin(), edges.end(), [&](const EndpointState* peer) {
        return peer->health.lost_share * lost_multiple_of_peer < lost_share;
    });
    if (stands_out) cache.health.loses_attempts_until = now + loses_attempts_for;
}

// --- results ---

void OutlierDetector::on_cache_result(EndpointState& cache, const Attempt& attempt,
                                      const AttemptResult& result, bool late_hit, TimePoint now) const {
    const bool bad = result.outcome == Outcome::errored || late_hit;
    if (cache_responded(result)) {
        record_liveness(cache, now);
        const bool shows_recovery =
            attempt.probes_cache || cache.load.in_flight == 0 || cache.role != EndpointRole::edge;
        if (cache.health.ejected() && shows_recovery && !bad) readmit(cache);
        if (!source_at_fault(result.cache_status)) {
            if (bad)
                record_error(cache, now);
            else
                record_success(cache);
        }
    } else if (result.outcome == Outcome::connection_refused) {
        eject(cache, EjectionReason::connection_refused, now);
    } else if (result.outcome == Outcome::connection_reset) {
        // A connection can break while the process keeps running. If the process has stopped, the next
        // connection is refused.
        record_error(cache, now);
    } else if (result.outcome == Outcome::deadline_exceeded) {
        const bool silent_since_start = cache.health.last_seen <= attempt.started_at;
        if (silent_since_start && peer_has_responded_since(cache))
            eject(cache, EjectionReason::deadline_exceeded, now);
    }
    if (attempt.probes_cache) end_recovery_probe(cache);
}

void OutlierDetector::on_source_result(EndpointState& source, const Attempt& attempt,
                                       const AttemptResult& result, TimePoint now) const {
    // If caches report no cache status, only a completed recovery probe shows that the source works.
    const bool reported = result.cache_status != CacheStatus::none || attempt.probes_source;
    if (result.outcome == Outcome::completed && !served_from_copy(result.cache_status) && reported) {
        record_liveness(source, now);
        record_success(source);
        if (source.health.ejected()) readmit(source);
    } else if (result.cache_status == CacheStatus::source_refused) {
        record_liveness(source, now);
        record_error(source, now);
    } else if (result.cache_status == CacheStatus::source_unreachable) {
        on_source_unreachable(source, attempt, result, now);
    } else if (result.cache_status == CacheStatus::origin_failed) {
        record_liveness(source, now);
    }
    if (attempt.probes_source) end_recovery_probe(source);
}

// A cache that rejects the attempt immediately has no connection to the source. A fill that broke off early
// is an error of the source. Otherwise the fill timed out. A timeout alone does not show that the source is
// at fault: if the origin is slow or a link is full, the fills of all parents time out.
void OutlierDetector::on_source_unreachable(EndpointState& source, const Attempt& attempt,
                                            const AttemptResult& result, TimePoint now) const {
    if (result.outcome == Outcome::overloaded) {
        eject(source, EjectionReason::source_unreachable, now);
    } else if (result.fill_wait < longest_latency_objective_) {
        record_error(source, now);
    } else {
        const bool silent_since_start = source.health.last_seen <= attempt.started_at;
        if (attempt.probes_source || (silent_since_start && peer_has_responded_since(source)))
            eject(source, EjectionReason::source_unreachable, now);
    }
}

}  // namespace irismux::routing
