#include "routing/fill_source.hpp"

#include <algorithm>

#include "routing/latency.hpp"

namespace irismux::routing {
namespace {

// An origin that stops when it is overloaded needs longer to recover than other origins, so its fetch limit
// recovers more slowly.
constexpr Duration stopping_origin_doubling_time = Duration::micros(6'000'000);
// A fetch that waits longer than this multiple of the mean wait indicates that the origin is close to
// overload.
constexpr double unusual_wait_multiple = 2;
// The mean wait covers approximately this many of the latest fetches.
constexpr double mean_over_fetches = 256;
// A cache-only attempt at a cache that loses attempts times out after `lost_after_transfer_times` times the
// object's transfer time under the current load of the cache, plus `lost_after_objective_share` times the
// latency objective.
constexpr double lost_after_transfer_times = 1.2;
constexpr double lost_after_objective_share = 0.2;

}  // namespace

FillSourceSelection::FillSourceSelection(const Deployment& deployment,
                                         const FillSourceDependencies& dependencies)
    : dependencies_(dependencies),
      has_parents_(deployment.parent_machine.has_value()),
      longest_latency_objective_(longest_latency_objective(deployment)),
      fetch_limit_(deployment.origin_stops_when_overloaded ? stopping_origin_doubling_time
                                                           : AdaptiveLimit::default_doubling_time) {}

// --- planning an attempt ---

bool FillSourceSelection::select(PendingRequest& request, const EndpointState& cache, TimePoint now) {
    if (request.plan.source != CacheId{}) return true;  // a direct attempt
    const ObjectName& object = request.request.object;
    const Endpoints origins = dependencies_.endpoints.ranked(object, EndpointRole::origin);
    EndpointState* origin = origins.empty() ? nullptr : origins.front();
    if (request.kind->uncacheable && origin) {
        request.plan.source = origin->id;
        return true;
    }
    const double transfer_seconds = dependencies_.statistics.transfer_seconds(request.request);
    const Endpoints parents = dependencies_.endpoints.ranked(object, EndpointRole::parent);
    if (should_try_cache_only(request, cache, parents, transfer_seconds, now)) {
        plan_cache_only(request, MissHandling::fill_next_time, now);
        request.plan.timeout = lost_attempt_timeout(request, cache, now);
        return true;
    }
    EndpointState* parent = parent_with_budget(request, parents, transfer_seconds, now);
    // If the object's preferred parent cannot be used now, stale copies are allowed from the next attempt on.
    if (!parent || parent != parents.front()) request.allow_stale = true;
    const bool exhausted = dependencies_.congestion.fills_exhausted(transfer_seconds);
    if (origin_takes_parents_fill(parent, origin, exhausted, transfer_seconds, now)) {
        request.plan.source = origin->id;
        return true;
    }
    if (exhausted) return false;
    if (parent)
        plan_fill(request, *parent, now);
    else if (origin_replaces_parents(request, origin, transfer_seconds, now))
        plan_fill(request, *origin, now);
    else
        plan_cache_only(request, MissHandling::reject, now);
    return true;
}

// While fills are congested, or if the fill would be charged to a budget, only a known miss justifies a fill.
// A cache-only attempt therefore comes first. If fills are not congested, a cache that is warming up gets no
// cache-only attempt, since each attempt is charged to the cache's own budget.
bool FillSourceSelection::should_try_cache_only(const PendingRequest& request, const EndpointState& cache,
                                                const Endpoints& parents, double transfer_seconds,
                                                TimePoint now) const {
    if (request.known_miss) return false;
    if (dependencies_.congestion.fills_congested(transfer_seconds)) return true;
    if (cache.warm_up.warming_up_since) return false;
    const auto usable = std::find_if(parents.begin(), parents.end(), [&](const EndpointState* parent) {
        return dependencies_.outliers.may_choose(*parent, request, now);
    });
    const bool fill_is_budgeted = usable == parents.end() || (*usable)->warm_up.warming_up_since;
    return fill_is_budgeted || OutlierDetector::loses_attempts(cache, now);
}

EndpointState* FillSourceSelection::parent_with_budget(const PendingRequest& request,
                                                       const Endpoints& parents, double transfer_seconds,
                                                       TimePoint now) const {
    const auto found = std::find_if(parents.begin(), parents.end(), [&](EndpointState* parent) {
        return dependencies_.outliers.may_choose(*parent, request, now) &&
               dependencies_.slow_start.has_budget(*parent, transfer_seconds, now);
    });
    return found == parents.end() ? nullptr : *found;
}

// Checks whether the origin takes a fill that parents cannot complete in time. The origin must have budget
// for this fill, and the recent fills from the origin must have been in time.
bool FillSourceSelection::origin_takes_parents_fill(const EndpointState* parent, EndpointState* origin,
                                                    bool fills_exhausted, double transfer_seconds,
                                                    TimePoint now) const {
    const bool wanted =
        fills_exhausted || (parent && dependencies_.random.next() > parent->fill_limit.share(now));
    if (!wanted || !origin || !has_parents_) return false;
    const double share = origin->fill_limit.share(now) * fetch_limit_.share(now);
    return dependencies_.random.next() < share &&
           dependencies_.slow_start.has_budget(*origin, transfer_seconds, now);
}

// Checks whether the origin may be the fill source in place of the parents. Called if no parent is available
// or no parent has budget left.
bool FillSourceSelection::origin_replaces_parents(const PendingRequest& request, EndpointState* origin,
                                                  double transfer_seconds, TimePoint now) const {
    if (!origin || request.avoids(origin->id)) return false;
    return !has_parents_ || dependencies_.slow_start.has_budget(*origin, transfer_seconds, now);
}

void FillSourceSelection::plan_cache_only(PendingRequest& request, MissHandling on_miss,
                                          TimePoint now) const {
    request.on_miss = on_miss;
    request.plan.source = request.plan.cache;
    request.plan.only_if_cached = true;
    request.plan.max_age = dependencies_.freshness.max_age(request, true, now);
}

// Returns a timeout after which the attempt is treated as lost, or zero if only the request's deadline
// applies. With the timeout, a lost attempt is soon repeated. The repetition goes to the same cache, because
// this cache has the object.
Duration FillSourceSelection::lost_attempt_timeout(const PendingRequest& request, const EndpointState& cache,
                                                   TimePoint now) const {
    const bool transfer_time_known =
        dependencies_.statistics.shortest_transfer_seconds(request.request.object) > 0;
    if (!transfer_time_known || !OutlierDetector::loses_attempts(cache, now)) return Duration{};
    const double transfer_seconds = dependencies_.statistics.transfer_seconds(request.request);
    return Duration::seconds(transfer_seconds * lost_after_transfer_times *
                             std::max(1.0, dependencies_.congestion.load(cache, now))) +
           request.kind->latency_objective * lost_after_objective_share;
}

void FillSourceSelection::plan_fill(PendingRequest& request, EndpointState& source, TimePoint now) const {
    request.plan.source = source.id;
    if (source.health.ejected()) {
        OutlierDetector::begin_recovery_probe(source);
        request.probes_source = true;
    }
    // Protects a slow origin from overload. Fetches from a slow origin also occupy fill slots of caches and
    // parents.
    const double fetch_share = fetch_limit_.share(now);
    if (fetch_share >= 1 || dependencies_.random.next() <= fetch_share) return;
    if (source.role == EndpointRole::origin) return plan_cache_only(request, MissHandling::reject, now);
    request.on_miss = MissHandling::reject;
    request.plan.only_if_cached = true;  // the parent must not fetch from the origin either
    request.plan.max_age = dependencies_.freshness.max_age(request, true, now);
}

// --- processing a result ---

void FillSourceSelection::on_result(PendingRequest& request, const Attempt& attempt,
                                    const AttemptResult& result, EndpointState* source, TimePoint now) {
    if (request.on_miss == MissHandling::fill_next_time && result.outcome == Outcome::cache_miss)
        request.known_miss = true;
    if (!source) return;
    record_fetch(result, *source, now);
    if (has_parents_) {
        record_fill(request, attempt, result, *source, now);
        record_origin_wait(result, now);
    }
    const bool source_failed = result.cache_status == CacheStatus::source_refused ||
                               result.cache_status == CacheStatus::source_unreachable ||
                               result.cache_status == CacheStatus::origin_failed;
    if (source_failed && result.outcome != Outcome::completed) request.avoided.push_back(attempt.source);
}

void FillSourceSelection::on_late_attempt(EndpointState& source, TimePoint now) const {
    // While fetches from the origin are limited, a late fill is caused by the origin and not by the fill
    // source.
    source.fill_limit.record(fetch_limit_.share(now) >= 1, now);
}

void FillSourceSelection::record_fetch(const AttemptResult& result, const EndpointState& source,
                                       TimePoint now) {
    const bool origin_was_source = source.role == EndpointRole::origin;
    if (result.cache_status == CacheStatus::via_origin)
        fetch_limit_.record(result.fill_wait > longest_latency_objective_, now);
    else if (result.cache_status == CacheStatus::origin_failed ||
             (origin_was_source && source_at_fault(result.cache_status)))
        fetch_limit_.record(true, now);
}

void FillSourceSelection::record_fill(const PendingRequest& request, const Attempt& attempt,
                                      const AttemptResult& result, EndpointState& source,
                                      TimePoint now) const {
    if (served_from_copy(result.cache_status)) return;
    if (result.outcome == Outcome::completed) {
        // The time that a parent waited for the origin is not attributed to the parent.
        const bool origin_behind_parent =
            source.role == EndpointRole::parent && result.cache_status == CacheStatus::via_origin;
        const Duration source_time =
            origin_behind_parent ? result.elapsed - result.fill_wait : result.elapsed;
        const bool late = source_time > latency_limit(*request.kind, attempt.transfer_seconds);
        source.fill_limit.record(late, now);
    } else if (result.cache_status != CacheStatus::origin_failed && result.outcome != Outcome::cache_miss) {
        source.fill_limit.record(fetch_limit_.share(now) >= 1, now);
    }
}

// Detects a slow origin when caches and parents wait unusually long for it. If the router waited until fills
// are late, the origin would already be overloaded.
void FillSourceSelection::record_origin_wait(const AttemptResult& result, TimePoint now) {
    if (result.cache_status != CacheStatus::via_origin) return;
    const double wait = result.fill_wait.seconds();
    const bool has_mean = mean_origin_wait_seconds_ > 0;
    if (has_mean && wait > mean_origin_wait_seconds_ * unusual_wait_multiple)
        for (EndpointState* origin : dependencies_.endpoints.active(EndpointRole::origin))
            origin->fill_limit.record(true, now);
    mean_origin_wait_seconds_ += (wait - mean_origin_wait_seconds_) / (has_mean ? mean_over_fetches : 1);
}

}  // namespace irismux::routing
