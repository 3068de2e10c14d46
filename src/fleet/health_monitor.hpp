/// Shared health checks of caches that several gateways have ejected: the owner of a cache's duty checks the
/// cache on behalf of all members and publishes the result. Meanwhile the other members postpone their own
/// recovery probes. Does no I/O.
///
/// Monitoring of a cache begins when two members have ejected the cache, and ends when no member ejects the
/// cache any more. A published result only moves the time of a gateway's own recovery probe. While the cache
/// does not answer, the recovery probe is postponed by a time that the router bounds. After two consecutive
/// passed checks the gateways send their recovery probes one after the other within one check interval. A
/// check shows only that the process runs; the recovery probe decides whether the cache is readmitted.
///
/// Premise: a check is harmless at any time, even a late check by an owner whose process had been suspended.
/// A result is valid for two and a half check intervals after its receipt, by the receiver's clock. After
/// that time recovery probes continue as if there had been no result.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

/// Functions of the fleet client that a HealthMonitor calls.
class HealthCheckCallbacks {
public:
    virtual ~HealthCheckCallbacks() = default;
    /// Starts a health check. The outcome of the check is passed to HealthMonitor::on_health_check_done().
    virtual void start_health_check(const CacheId&) = 0;
    /// Moves the gateway's own recovery probe of the ejected cache to the given time of the monitor's clock.
    virtual void postpone_recovery_probe(const CacheId&, TimePoint) = 0;
};

class HealthMonitor {
public:
    /// `interval` is the time between two checks of one cache, `idle_interval` the longest time until
    /// next_check_at().
    HealthMonitor(HealthCheckCallbacks& callbacks, Duration interval, Duration idle_interval)
        : callbacks_(callbacks), interval_(interval), idle_interval_(idle_interval) {}

    /// Called when the gateway's own router has ejected or readmitted the cache.
    void on_ejection_changed(const CacheId&, bool ejected);
    const std::set<CacheId>& ejected_caches() const { return ejected_caches_; }
    /// Updates the set of monitored caches from the ejections that the members publish, and returns the set.
    const std::set<CacheId>& update_monitored(const Agent& agent);
    /// Applies a result that the owner of a cache's duty has published.
    void on_published_result(TimePoint now, const CacheId&, const HealthRecord&, const Agent& agent);
    /// Called with the outcome of this member's own check. The call is ignored if no check is in flight.
    void on_health_check_done(TimePoint now, const CacheId&, bool healthy, Agent& agent);
    /// Returns whether a check that was started may still be sent.
    bool may_check(TimePoint now, const CacheId&, const Agent& agent) const;
    /// Called if checks of the cache are not permitted; the gateway's own recovery probe replaces the check.
    void on_check_not_permitted(TimePoint now, const CacheId&, Agent& agent);
    /// Starts the checks that are due. A check that has no outcome when the next check of the cache is due
    /// counts as not answered.
    void run_due_checks(TimePoint now, Agent& agent);
    /// Returns when run_due_checks() must be called again.
    TimePoint next_check_at() const { return next_check_at_; }

private:
    struct HealthCheck {
        TimePoint next;
        bool under_way = false;
        HealthRecord last;
    };

    HealthCheckCallbacks& callbacks_;
    Duration interval_, idle_interval_;
    std::set<CacheId> ejected_caches_;
    std::set<CacheId> monitored_;
    std::map<CacheId, HealthCheck> checks_;  // the checks whose duties this member owns
    // Caches that this gateway ejects and that the owner of the health check has published as healthy. This
    // gateway's recovery probe of such a cache has already been moved to this gateway's turn.
    std::set<CacheId> healthy_;
    TimePoint next_check_at_;
};

}  // namespace irismux::fleet
