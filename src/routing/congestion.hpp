// Detects whether the fills behind this location's caches are overloaded, and whether a single cache is
// overloaded.
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

    /// Counts an attempt that starts.
    /// @param source null for attempts without a fill
    void on_attempt_started(const Attempt& attempt, EndpointState& cache, EndpointState* source,
                            TimePoint now);
    /// Removes an attempt that has ended from the counts.
    /// @param source the source that was passed to on_attempt_started()
    void on_attempt_ended(Attempt& attempt, EndpointState& cache, EndpointState* source);
    /// Estimates the load of a cache from the difference between the time that a hit took and the object's
    /// transfer time. A result is ignored if the transfer time of its object is unknown.
    void on_cache_result(EndpointState& cache, const PendingRequest& request, const Attempt& attempt,
                         const AttemptResult& result, TimePoint now) const;
    /// Counts an attempt that has passed its latency limit as late.
    static void count_as_late(Attempt& attempt, EndpointState& cache);
    /// Stops counting an attempt as late after the attempt or its request has ended.
    static void stop_counting_as_late(Attempt& attempt, EndpointState& cache);
    /// Sums the late attempts at the caches that have responded recently and don't lose attempts. At other
    /// caches, attempts can be late even if no fill is slow, so these late attempts are not counted.
    void recount_late_attempts(TimePoint now);

    /// @return true if the fills behind the caches neither complete nor fail, whatever the cause. Further
    /// fills would slow down the fills in progress, while hits still work. The router therefore requests a
    /// cached copy first.
    [[nodiscard]] bool fills_congested(double transfer_seconds) const;
    /// @return true if even a known miss should not be filled
    [[nodiscard]] bool fills_exhausted(double transfer_seconds) const;

    /// @return estimated number of transfers of all gateways at a cache, divided by the number of transfers
    /// that the cache's link carries
    [[nodiscard]] double load(const EndpointState& cache, TimePoint now) const;
    /// @return lowest load at which a cache is skipped while another cache has capacity
    [[nodiscard]] double spill_load(double transfer_seconds) const;
    /// @return load that the least loaded cache must reach before requests are rejected
    [[nodiscard]] double shedding_load(double transfer_seconds) const;

private:
    [[nodiscard]] double size_allowance(double transfer_seconds) const;

    const EndpointSet& endpoints_;
    const LinkCapacity& links_;
    const ObjectStatistics& statistics_;
    int gateways_in_location_;
    Duration longest_latency_objective_;
    int late_attempts_ = 0;  // late attempts counted by the last recount_late_attempts()
    int known_fills_ = 0;    // attempts in flight that fill a known miss
};

}  // namespace irismux::routing
