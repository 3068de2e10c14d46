#include "routing/congestion.hpp"

#include <algorithm>
#include <cmath>

#include "routing/latency.hpp"
#include "routing/outlier_detector.hpp"

namespace irismux::routing {
namespace {

// The following four limits are multiples of the number of concurrent transfers that a link carries. For late
// attempts and fills, this is the link into the location; for spilling and shedding, the link of the cache.
constexpr double congested_late_attempts = 0.2;
constexpr double exhausted_fills = 1;
constexpr double spill_transfers = 2;
constexpr double shedding_transfers = 2;
// Limits are scaled by the ratio of the mean transfer time to the transfer time of the request. The ratio is
// kept within these bounds.
constexpr double min_size_allowance = 0.65;
constexpr double max_size_allowance = 4;
constexpr double min_transfer_seconds = 1e-6;
constexpr double min_capacity_transfers = 0.1;
// Time constant with which an observed load decays, as a multiple of the longest latency objective.
constexpr double observed_load_decay_objectives = 4;

// Counts an attempt in flight. If no other attempt is in flight, also records that a busy period of the
// endpoint begins.
void add_in_flight(EndpointState& endpoint, TimePoint now) {
    if (endpoint.load.in_flight == 0) endpoint.load.busy_since = now;
    ++endpoint.load.in_flight;
}

}  // namespace

Congestion::Congestion(const Deployment& deployment, const EndpointSet& endpoints, const LinkCapacity& links,
                       const ObjectStatistics& statistics)
    : endpoints_(endpoints),
      links_(links),
      statistics_(statistics),
      gateways_in_location_(std::max(1, deployment.gateways_in_location)),
      longest_latency_objective_(longest_latency_objective(deployment)) {}

void Congestion::on_attempt_started(const Attempt& attempt, EndpointState& cache, EndpointState* source,
                                    TimePoint now) {
    if (attempt.is_known_fill) ++known_fills_;
    add_in_flight(cache, now);
    if (source) add_in_flight(*source, now);
}

void Congestion::on_attempt_ended(Attempt& attempt, EndpointState& cache, EndpointState* source) {
    stop_counting_as_late(attempt, cache);
    if (attempt.is_known_fill) --known_fills_;
    --cache.load.in_flight;
    if (source) --source->load.in_flight;
}

void Congestion::count_as_late(Attempt& attempt, EndpointState& cache) {
    attempt.counted_as_late = true;
    ++cache.load.late;
}

void Congestion::stop_counting_as_late(Attempt& attempt, EndpointState& cache) {
    if (attempt.counted_as_late) --cache.load.late;
    attempt.counted_as_late = false;
}

void Congestion::recount_late_attempts(TimePoint now) {
    late_attempts_ = 0;
    for (const EndpointState* edge : endpoints_.active(EndpointRole::edge)) {
        const bool responds = now - edge->health.last_seen < longest_latency_objective_;
        if (responds && !OutlierDetector::loses_attempts(*edge, now)) late_attempts_ += edge->load.late;
    }
}

bool Congestion::fills_congested(double transfer_seconds) const {
    return late_attempts_ * gateways_in_location_ >
           congested_late_attempts * links_.location_link() * size_allowance(transfer_seconds);
}

bool Congestion::fills_exhausted(double transfer_seconds) const {
    return fills_congested(transfer_seconds) &&
           (late_attempts_ + known_fills_) * gateways_in_location_ >=
               exhausted_fills * links_.location_link() * size_allowance(transfer_seconds);
}

// The attempts of this gateway alone say little about a cache that many gateways share. The load observed
// from the latency of the cache's hits stands for the attempts of the other gateways.
double Congestion::load(const EndpointState& cache, TimePoint now) const {
    // Lost attempts put no load on the cache.
    const int lost = OutlierDetector::loses_attempts(cache, now) ? cache.load.late : 0;
    const double own_load = (cache.load.in_flight - lost) * gateways_in_location_ /
                            std::max(min_capacity_transfers, links_.endpoint(cache));
    if (cache.load.observed_at == TimePoint{}) return own_load;
    const double decay = std::exp(
        -((now - cache.load.observed_at) / (longest_latency_objective_ * observed_load_decay_objectives)));
    return (own_load + (gateways_in_location_ - 1) * (1 + (cache.load.observed_load - 1) * decay)) /
           gateways_in_location_;
}

void Congestion::on_cache_result(EndpointState& cache, const PendingRequest& request, const Attempt& attempt,
                                 const AttemptResult& result, TimePoint now) const {
    if (result.outcome != Outcome::completed || result.cache_status != CacheStatus::hit) return;
    const double transfer = statistics_.known_transfer_seconds(request.request, attempt);
    if (transfer <= 0) return;
    const double observed = 1 + std::max(0.0, result.elapsed.seconds() - transfer) /
                                    std::max(transfer, statistics_.mean_transfer_seconds());
    EndpointLoad& load = cache.load;
    const double weight = 1 - std::exp(-((now - load.observed_at) / longest_latency_objective_));
    load.observed_load += (observed - load.observed_load) * weight;
    load.observed_at = now;
}

// Uses the higher limit while fills are congested, because a request that spills to another cache would only
// miss there.
double Congestion::spill_load(double transfer_seconds) const {
    const double shedding = shedding_load(transfer_seconds);
    return fills_congested(transfer_seconds) ? std::max(spill_transfers, shedding)
                                             : std::min(spill_transfers, shedding);
}

double Congestion::shedding_load(double transfer_seconds) const {
    return shedding_transfers * size_allowance(transfer_seconds);
}

// Prefers requests for small objects, which yield the most utility for each second of link time.
double Congestion::size_allowance(double transfer_seconds) const {
    return std::clamp(statistics_.mean_transfer_seconds() / std::max(transfer_seconds, min_transfer_seconds),
                      min_size_allowance, max_size_allowance);
}

}  // namespace irismux::routing
