// Selects the cache of this location that serves a request.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/congestion.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/slow_start.hpp"

namespace irismux::routing {

class EdgeSelection {
public:
    EdgeSelection(const Deployment& deployment, const EndpointSet& endpoints,
                  const ObjectStatistics& statistics, const Congestion& congestion,
                  const SlowStartPolicy& slow_start, const OutlierDetector& outliers);

    /// Sets the cache of the request's plan, and for a direct attempt also the source. Skips the endpoints
    /// that on_result() has added to the request's list of avoided endpoints.
    /// @return false if no cache may serve the request or all caches are overloaded
    [[nodiscard]] bool select(PendingRequest& request, TimePoint now) const;
    /// Decides from an attempt's result whether the request avoids the cache from now on. Must be called
    /// after the health of the cache has been updated.
    static void on_result(PendingRequest& request, const Attempt& attempt, const AttemptResult& result,
                          const EndpointState& cache);

private:
    struct Candidates {
        // First cache in the object's order of preference whose load is below the spill load
        // (Congestion::spill_load()).
        EndpointState* below_spill_load = nullptr;
        // Cache with the lowest load among the caches whose load is not below the spill load.
        EndpointState* least_loaded = nullptr;
        // Cache with the earliest next_probe_at among the caches that OutlierDetector::may_choose() excludes.
        EndpointState* last_resort = nullptr;
    };
    [[nodiscard]] Candidates candidates(const PendingRequest& request, double spill_load,
                                        TimePoint now) const;
    [[nodiscard]] bool select_direct(PendingRequest& request) const;

    const EndpointSet& endpoints_;
    const ObjectStatistics& statistics_;
    const Congestion& congestion_;
    const SlowStartPolicy& slow_start_;
    const OutlierDetector& outliers_;
    bool direct_attempts_;
};

}  // namespace irismux::routing
