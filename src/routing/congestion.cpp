#include "routing/congestion.hpp"

#include <algorithm>
#include <cmath>

#include "routing/latency.hpp"
#include "routing/outlier_detector.hpp"

namespace irismux::routing {
namespace {

// Limits are for each transfer that fits the link in question.
constexpr double congested_late_attempts = 0.2;
constexpr double exhausted_fills = 1;
constexpr double spill_transfers = 2;
constexpr double shedding_transfers = 2;
// Limits are scaled by how much smaller than the mean a request is, within these bounds.
constexpr double min_size_allowance = 0.65;
constexpr double max_size_allowance = 4;
constexpr double min_transfer_seconds = 1e-6;
constexpr double min_capacity_transfers = 0.1;
// What hits have shown of a load fades over this many of the longest latency objective.
constexpr double observed_load_fades_over_objectives = 4;

// Begins a spell without a break if nothing was in flight.
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
      gateways_here_(std::max(1, deployment.gateways_in_location)),
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
    return late_attempts_ * gateways_here_ >
           congested_late_attempts * links_.location_link() * size_allowance(transfer_seconds);
}

bool Congestion::fills_exhausted(double transfer_seconds) const {
    return fills_congested(transfer_seconds) &&
           (late_attempts_ + known_fills_) * gateways_here_ >=
               exhausted_fills * links_.location_link() * size_allowance(transfer_seconds);
}

// The attempts of one gateway tell little of a cache that many share: what its hits show stands for the
// others.
double Congestion::load(const EndpointState& cache, TimePoint now) const {
    // Attempts that a cache has lost put no load on it.
    const int lost = OutlierDetector::loses_attempts(cache, now) ? cache.load.late : 0;
    const double own = (cache.load.in_flight - lost) * gateways_here_ /
                       std::max(min_capacity_transfers, links_.endpoint(cache));
    if (cache.load.observed_at == TimePoint{}) return own;
    const double fade = std::exp(-((now - cache.load.observed_at) /
                                   (longest_latency_objective_ * observed_load_fades_over_objectives)));
    return (own + (gateways_here_ - 1) * (1 + (cache.load.observed_load - 1) * fade)) / gateways_here_;
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

// While fills are congested, a request that spilled to another cache would only miss there.
double Congestion::spill_load(double transfer_seconds) const {
    const double shedding = shedding_load(transfer_seconds);
    return fills_congested(transfer_seconds) ? std::max(spill_transfers, shedding)
                                             : std::min(spill_transfers, shedding);
}

double Congestion::shedding_load(double transfer_seconds) const {
    return shedding_transfers * size_allowance(transfer_seconds);
}

// Capacity goes to the requests that bring most for each second of link: the small ones.
double Congestion::size_allowance(double transfer_seconds) const {
    return std::clamp(statistics_.mean_transfer_seconds() / std::max(transfer_seconds, min_transfer_seconds),
                      min_size_allowance, max_size_allowance);
}

}  // namespace irismux::routing
