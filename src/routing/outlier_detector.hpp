// Ejects endpoints that fail and decides when they are probed again.
//
// An endpoint is ejected if it refuses a connection, if its error share is an outlier among its peers, or if
// it does not respond while its peers do. The backoff doubles with each consecutive ejection. When the
// backoff ends, one idempotent request is used as the recovery probe. Errors and silence count only in
// comparison with the peers, since a failure of all endpoints has a common cause. A refused connection ejects
// the endpoint immediately.
#pragma once

#include "irismux/deployment.hpp"
#include "irismux/router_callbacks.hpp"
#include "routing/link_capacity.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

class OutlierDetector {
public:
    OutlierDetector(const Deployment& deployment, const EndpointSet& endpoints, const LinkCapacity& links,
                    RouterCallbacks& callbacks);

    /// Checks whether the endpoint may be chosen for the request. An ejected endpoint may be chosen only for
    /// its recovery probe, which must be an idempotent request because it may have to be sent again.
    [[nodiscard]] bool may_choose(const EndpointState& endpoint, const PendingRequest& request,
                                  TimePoint now) const;
    [[nodiscard]] static bool recovery_probe_is_due(const EndpointState& endpoint, TimePoint now);
    static void begin_recovery_probe(EndpointState& endpoint);

    /// Updates the health of the fill source from an attempt's result. Called before on_cache_result().
    void on_source_result(EndpointState& source, const Attempt& attempt, const AttemptResult& result,
                          TimePoint now) const;
    /// Updates the health of the cache from an attempt's result.
    /// @param late_hit the cache served its own copy after the latency limit. A late hit counts as an error,
    /// since a cache may become slow without ever failing.
    void on_cache_result(EndpointState& cache, const Attempt& attempt, const AttemptResult& result,
                         bool late_hit, TimePoint now) const;
    /// Updates the share of lost attempts from an attempt's result. An attempt is lost if it has no response
    /// although the cache has responded since the attempt started; see on_late_attempt(). Must be called
    /// while the attempt still counts as in flight.
    void record_lost_or_answered(EndpointState& cache, const Attempt& attempt, const AttemptResult& result,
                                 TimePoint now) const;
    /// Counts an attempt that has passed its latency limit as lost if it has no fill and the cache has
    /// responded since the attempt started.
    void on_late_attempt(EndpointState& cache, const Attempt& attempt, TimePoint now) const;

    void eject(EndpointState& endpoint, EjectionReason reason, TimePoint now) const;
    void readmit(EndpointState& endpoint) const;
    /// Clears the ejection state of the endpoint's previous process.
    void on_restart(EndpointState& endpoint) const;
    static void postpone_recovery_probe(EndpointState& endpoint, TimePoint not_before);

    /// @return true if the endpoint has not responded for unusually long although a peer has responded in the
    /// meantime
    [[nodiscard]] bool is_unresponsive(const EndpointState& endpoint, TimePoint now) const;
    /// @return true if the endpoint responds to most attempts but loses some
    [[nodiscard]] static bool loses_attempts(const EndpointState& endpoint, TimePoint now);

private:
    static void record_liveness(EndpointState& endpoint, TimePoint now);
    static void end_recovery_probe(EndpointState& endpoint);
    void record_error(EndpointState& endpoint, TimePoint now) const;
    static void record_success(EndpointState& endpoint);
    void on_source_unreachable(EndpointState& source, const Attempt& attempt, const AttemptResult& result,
                               TimePoint now) const;
    void record_lost_attempt(EndpointState& cache, TimePoint now) const;
    [[nodiscard]] bool peer_has_responded_since(const EndpointState& endpoint) const;
    [[nodiscard]] double mean_error_share_of_peers(const EndpointState& endpoint) const;

    const EndpointSet& endpoints_;
    const LinkCapacity& links_;
    RouterCallbacks& callbacks_;
    int gateways_in_location_;
    Duration longest_latency_objective_;
};

}  // namespace irismux::routing
