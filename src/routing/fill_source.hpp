// Selects the source from which a cache fills a miss: the object's parent, the origin in place of the parent,
// or no source. Without a source, the cache may serve only its own copies (a cache-only attempt).
#pragma once

#include "irismux/deployment.hpp"
#include "routing/congestion.hpp"
#include "routing/freshness.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/random_fraction.hpp"
#include "routing/slow_start.hpp"

namespace irismux::routing {

/// The objects that FillSourceSelection uses. All must outlive it.
struct FillSourceDependencies {
    const EndpointSet& endpoints;
    const ObjectStatistics& statistics;
    const Congestion& congestion;
    const SlowStartPolicy& slow_start;
    const OutlierDetector& outliers;
    const FreshnessPolicy& freshness;
    RandomFraction& random;
};

class FillSourceSelection {
public:
    FillSourceSelection(const Deployment& deployment, const FillSourceDependencies& dependencies);

    /// Sets the fill source of the request's plan for the cache that has been selected.
    /// @return false if an earlier attempt found no copy and the miss cannot be filled now
    [[nodiscard]] bool select(PendingRequest& request, const EndpointState& cache, TimePoint now);
    /// Updates the limit on fills from the source and the limit on fetches from the origin; select() reads
    /// both limits. Also decides whether the request avoids the source from now on.
    /// @param source null for attempts without a fill source
    void on_result(PendingRequest& request, const Attempt& attempt, const AttemptResult& result,
                   EndpointState* source, TimePoint now);
    /// Updates the limit on fills from the source as soon as a fill from this source is late, before the
    /// result of the late attempt arrives.
    void on_late_attempt(EndpointState& source, TimePoint now) const;

private:
    using Endpoints = std::vector<EndpointState*>;

    [[nodiscard]] bool should_try_cache_only(const PendingRequest& request, const EndpointState& cache,
                                             const Endpoints& parents, double transfer_seconds,
                                             TimePoint now) const;
    [[nodiscard]] EndpointState* parent_with_budget(const PendingRequest& request, const Endpoints& parents,
                                                    double transfer_seconds, TimePoint now) const;
    [[nodiscard]] bool origin_takes_parents_fill(const EndpointState* parent, EndpointState* origin,
                                                 bool fills_exhausted, double transfer_seconds,
                                                 TimePoint now) const;
    [[nodiscard]] bool origin_replaces_parents(const PendingRequest& request, EndpointState* origin,
                                               double transfer_seconds, TimePoint now) const;
    void plan_cache_only(PendingRequest& request, MissHandling on_miss, TimePoint now) const;
    [[nodiscard]] Duration lost_attempt_timeout(const PendingRequest& request, const EndpointState& cache,
                                                TimePoint now) const;
    void plan_fill(PendingRequest& request, EndpointState& source, TimePoint now) const;
    void record_fetch(const AttemptResult& result, const EndpointState& source, TimePoint now);
    void record_fill(const PendingRequest& request, const Attempt& attempt, const AttemptResult& result,
                     EndpointState& source, TimePoint now) const;
    void record_origin_wait(const AttemptResult& result, TimePoint now);

    FillSourceDependencies dependencies_;
    bool has_parents_;
    Duration longest_latency_objective_;
    AdaptiveLimit fetch_limit_;            // limit of fetches from the origin by caches and parents
    double mean_origin_wait_seconds_ = 0;  // mean over fetches by parents and by caches; 0: no fetch yet
};

}  // namespace irismux::routing
