#include "routing/edge_selection.hpp"

#include <algorithm>

#include "routing/idempotency.hpp"

namespace irismux::routing {
namespace {

// Maximum number of attempts of a request at one cache if transfers from this cache break. The network may be
// at fault, and this cache may have a copy of the object.
constexpr std::ptrdiff_t attempts_after_broken_transfer = 2;

}  // namespace

EdgeSelection::EdgeSelection(const Deployment& deployment, const EndpointSet& endpoints,
                             const ObjectStatistics& statistics, const Congestion& congestion,
                             const SlowStartPolicy& slow_start, const OutlierDetector& outliers)
    : endpoints_(endpoints),
      statistics_(statistics),
      congestion_(congestion),
      slow_start_(slow_start),
      outliers_(outliers),
      direct_attempts_(deployment.capabilities.direct_attempts) {}

bool EdgeSelection::select(PendingRequest& request, TimePoint now) const {
    request.on_miss = MissHandling::fill;
    request.probes_cache = false;
    request.probes_source = false;
    if (select_direct(request)) return true;

    const double transfer_seconds = statistics_.transfer_seconds(request.request);
    const Candidates found = candidates(request, congestion_.spill_load(transfer_seconds), now);
    EndpointState* selected = found.below_spill_load;
    if (!selected && found.least_loaded) {
        const double load = congestion_.load(*found.least_loaded, now);
        if (load >= congestion_.shedding_load(transfer_seconds)) return false;
        selected = found.least_loaded;
    }
    if (!selected) selected = found.last_resort;
    if (!selected) return false;
    request.plan.cache = selected->id;
    if (OutlierDetector::recovery_probe_is_due(*selected, now)) {
        OutlierDetector::begin_recovery_probe(*selected);
        request.probes_cache = true;
    }
    return true;
}

EdgeSelection::Candidates EdgeSelection::candidates(const PendingRequest& request, double spill_load,
                                                    TimePoint now) const {
    const double mean_seconds = statistics_.mean_transfer_seconds(request.request.kind);
    Candidates found;
    for (EndpointState* cache : endpoints_.ranked(request.request.object, EndpointRole::edge)) {
        if (!IdempotencyPolicy::may_use_cell(request, cache->cell)) continue;
        if (!slow_start_.has_budget(*cache, mean_seconds, now)) continue;
        if (!outliers_.may_choose(*cache, request, now)) {
            const EndpointState* best = found.last_resort;
            if (!best || cache->health.next_probe_at < best->health.next_probe_at) found.last_resort = cache;
            continue;
        }
        const double load = congestion_.load(*cache, now);
        if (load < spill_load) {
            found.below_spill_load = cache;
            break;
        }
        if (!found.least_loaded || load < congestion_.load(*found.least_loaded, now))
            found.least_loaded = cache;
    }
    return found;
}

// Plans a direct attempt for an uncacheable request if the deployment allows direct attempts. If there are
// several origins, the last origin in the object's order of preference is used.
bool EdgeSelection::select_direct(PendingRequest& request) const {
    if (!request.kind->uncacheable || !direct_attempts_) return false;
    const auto origins = endpoints_.ranked(request.request.object, EndpointRole::origin);
    if (origins.empty()) return false;
    request.plan.cache = origins.back()->id;
    request.plan.source = origins.back()->id;
    return true;
}

void EdgeSelection::on_result(PendingRequest& request, const Attempt& attempt, const AttemptResult& result,
                              const EndpointState& cache) {
    if (result.outcome == Outcome::completed || source_at_fault(result.cache_status)) return;
    const bool next_may_fill =
        result.outcome == Outcome::cache_miss && request.on_miss == MissHandling::fill_next_time;
    if (next_may_fill) return;
    const bool responds_to_others = cache.health.last_seen > attempt.started_at;
    const bool broken_transfer = result.outcome == Outcome::connection_reset ||
                                 result.outcome == Outcome::errored ||
                                 (result.outcome == Outcome::deadline_exceeded && responds_to_others);
    const auto attempts_at_cache = std::count_if(request.attempts.begin(), request.attempts.end(),
                                                 [&](const Attempt& a) { return a.cache == attempt.cache; });
    if (broken_transfer && attempts_at_cache < attempts_after_broken_transfer && !cache.health.ejected())
        return;
    request.avoided.push_back(attempt.cache);
}

}  // namespace irismux::routing
