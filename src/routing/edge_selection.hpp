// Which cache of the location serves a request.
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

    /// Request going down: sets the plan's cache, and for a direct attempt its source. Passes over what
    /// on_result has put on the request's list of avoided endpoints.
    /// @return false: no cache may serve it, or all are overloaded.
    [[nodiscard]] bool select(PendingRequest& request, TimePoint now) const;
    /// Result coming up, after the health of the cache has been judged: whether the request avoids it.
    static void on_result(PendingRequest& request, const Attempt& attempt, const AttemptResult& result,
                          const EndpointState& cache);

private:
    struct Candidates {
        EndpointState* below_spill_load = nullptr;  // first in the object's order
        EndpointState* least_loaded = nullptr;      // of those above the spill load
        EndpointState* next_to_probe = nullptr;     // of those that may not be chosen
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
