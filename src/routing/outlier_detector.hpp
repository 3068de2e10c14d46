// Which endpoints are passed over because they fail, and when they are tried again.
//
// An endpoint is ejected for refused connections, for errors that stand out among its peers, and for silence
// while its peers respond. The backoff doubles with each ejection in a row; when it ends, one idempotent
// request is the recovery probe. Errors and
// silence count only against peers, since what all show has a common cause; a refused connection ejects at
// once.
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

    /// Request going down: whether the endpoint may be chosen for it. An ejected one may for its recovery
    /// probe, which must be a request that can be sent again.
    [[nodiscard]] bool may_choose(const EndpointState& endpoint, const PendingRequest& request,
                                  TimePoint now) const;
    [[nodiscard]] static bool recovery_probe_is_due(const EndpointState& endpoint, TimePoint now);
    static void begin_recovery_probe(EndpointState& endpoint);

    /// Result coming up, for the fill source and then for the cache of the attempt.
    void on_source_result(EndpointState& source, const Attempt& attempt, const AttemptResult& result,
                          TimePoint now) const;
    /// @param late_hit a copy of its own came past the latency limit: like an error, since a cache may grow
    /// slower and never fail.
    void on_cache_result(EndpointState& cache, const Attempt& attempt, const AttemptResult& result,
                         bool late_hit, TimePoint now) const;
    /// Result coming up, while the attempt still counts as in flight: whether later attempts were answered
    /// before this one. See on_late_attempt.
    void record_lost_or_answered(EndpointState& cache, const Attempt& attempt, const AttemptResult& result,
                                 TimePoint now) const;
    /// An attempt has passed its latency limit.
    void on_late_attempt(EndpointState& cache, const Attempt& attempt, TimePoint now) const;

    void eject(EndpointState& endpoint, EjectionReason reason, TimePoint now) const;
    void readmit(EndpointState& endpoint) const;
    /// What was held against the process before this one is void.
    void on_restart(EndpointState& endpoint) const;
    static void postpone_recovery_probe(EndpointState& endpoint, TimePoint not_before);

    /// Its silence is unusual, and a peer has responded since.
    [[nodiscard]] bool is_unresponsive(const EndpointState& endpoint, TimePoint now) const;
    /// It answers most attempts and leaves some without an answer.
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
    int gateways_here_;
    Duration longest_latency_objective_;
};

}  // namespace irismux::routing
