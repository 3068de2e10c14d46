// Periodically checks the attempts in flight. Detects attempts that have passed their latency limit and
// endpoints that have stopped responding.
#pragma once

#include "irismux/deployment.hpp"
#include "irismux/router_callbacks.hpp"
#include "routing/congestion.hpp"
#include "routing/fill_source.hpp"
#include "routing/late_attempts.hpp"
#include "routing/outlier_detector.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

/// The objects that AttemptMonitor reads and updates. All must outlive it.
struct AttemptMonitorDependencies {
    EndpointSet& endpoints;
    Congestion& congestion;
    const OutlierDetector& outliers;
    const FillSourceSelection& fill_source_selection;
    RouterCallbacks& callbacks;
};

class AttemptMonitor {
public:
    static inline const TimerId timer_id{0};

    AttemptMonitor(const Deployment& deployment, const AttemptMonitorDependencies& dependencies);

    /// Starts to watch an attempt that has been started.
    void on_attempt_started(const RequestId& request, AttemptIndex index, const Attempt& attempt,
                            TimePoint now);
    /// Stops watching an attempt whose result has arrived.
    void on_attempt_ended(const RequestId& request, AttemptIndex index, const Attempt& attempt);
    void on_timer(PendingRequests& requests, TimePoint now);

private:
    void set_timer(TimePoint now);
    void count_late_attempts(PendingRequests& requests, TimePoint now);
    void eject_unresponsive_endpoints(PendingRequests& requests, TimePoint now) const;
    void cancel_attempts_at(const EndpointState& endpoint, PendingRequests& requests) const;

    AttemptMonitorDependencies dependencies_;
    bool can_cancel_;
    Duration interval_;
    bool timer_is_set_ = false;
    LateAttemptQueue late_attempts_;
};

}  // namespace irismux::routing
