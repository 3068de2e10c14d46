// Overload: of the fills behind this location's caches, and of one cache.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/link_capacity.hpp"
#include "routing/object_statistics.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

class Congestion {
public:
    Congestion(const Deployment& deployment, const EndpointSet& endpoints, const LinkCapacity& links,
               const ObjectStatistics& statistics);

    /// Request going down: an attempt begins. `source` is null for attempts without a fill.
    void on_attempt_started(const Attempt& attempt, EndpointState& cache, EndpointState* source,
                            TimePoint now);
    /// Result coming up; `source` as when it began.
    void on_attempt_ended(Attempt& attempt, EndpointState& cache, EndpointState* source);
    /// A hit shows the load of its cache by how much longer it took than the transfer alone. Nothing is
    /// learnt where the transfer time of the object is unknown.
    void on_cache_result(EndpointState& cache, const PendingRequest& request, const Attempt& attempt,
                         const AttemptResult& result, TimePoint now) const;
    /// An attempt has passed its latency limit.
    static void count_as_late(Attempt& attempt, EndpointState& cache);
    /// It has ended, or its request has.
    static void stop_counting_as_late(Attempt& attempt, EndpointState& cache);
    /// Sums the late attempts at caches that respond and don't lose attempts: others tell nothing of fills.
    void recount_late_attempts(TimePoint now);

    /// Fills behind the caches neither end nor fail, from whatever cause: more of them would slow those under
    /// way, while hits still work. Ask for cached copies first.
    [[nodiscard]] bool fills_congested(double transfer_seconds) const;
    /// Even a known miss should not be filled.
    [[nodiscard]] bool fills_exhausted(double transfer_seconds) const;

    /// Transfers at a cache, of all gateways, for each that fits its link.
    [[nodiscard]] double load(const EndpointState& cache, TimePoint now) const;
    /// From this load on a cache is passed over while another has capacity.
    [[nodiscard]] double spill_load(double transfer_seconds) const;
    /// Requests are rejected when even the least loaded cache has this load.
    [[nodiscard]] double shedding_load(double transfer_seconds) const;

private:
    [[nodiscard]] double size_allowance(double transfer_seconds) const;

    const EndpointSet& endpoints_;
    const LinkCapacity& links_;
    const ObjectStatistics& statistics_;
    int gateways_here_;
    Duration longest_latency_objective_;
    int late_attempts_ = 0;  // as counted last
    int known_fills_ = 0;    // in flight
};

}  // namespace irismux::routing
