/// Shared health checks of caches that several gateways have ejected: the owner of a cache's duty checks it
/// on behalf of all and publishes the result; the others postpone their own recovery probes meanwhile. No
/// I/O.
///
/// A cache is monitored from when two members have ejected it until none has. A published result only moves
/// the time of a gateway's own recovery probe: later, by a time that the router bounds, while the cache does
/// not answer; at once, one gateway after the other, after two answers in a row. A check shows only that the
/// process runs; the recovery probe decides whether the cache is readmitted.
///
/// Premises: a check is harmless at any time, also a late one from an owner that had been stopped. A result
/// counts for two and a half check intervals after it was received, by the receiver's clock; then recovery
/// probes go on as they would without it.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

/// What a HealthMonitor needs of the fleet client.
class HealthCheckCallbacks {
public:
    virtual ~HealthCheckCallbacks() = default;
    /// The outcome is passed to on_health_check_done().
    virtual void start_health_check(const CacheId&) = 0;
    /// The gateway's own recovery probe of the ejected cache is due at that time of the monitor's clock.
    virtual void postpone_recovery_probe(const CacheId&, TimePoint) = 0;
};

class HealthMonitor {
public:
    /// `interval`: between two checks of one cache; `idle_interval`: the longest until next_check_at().
    HealthMonitor(HealthCheckCallbacks& callbacks, Duration interval, Duration idle_interval)
        : callbacks_(callbacks), interval_(interval), idle_interval_(idle_interval) {}

    /// The gateway's own router has ejected or readmitted that cache.
    void on_ejection_changed(const CacheId&, bool ejected);
    const std::set<CacheId>& ejected_caches() const { return ejected_caches_; }
    /// Updates and returns the caches to be monitored, by the ejections that the members publish.
    const std::set<CacheId>& update_monitored(const Agent& agent);
    /// A result that the owner of a cache's duty has published.
    void on_published_result(TimePoint now, const CacheId&, const HealthRecord&, const Agent& agent);
    /// The outcome of this member's own check; ignored if none is under way.
    void on_health_check_done(TimePoint now, const CacheId&, bool healthy, Agent& agent);
    /// Whether a check that was started may still be sent.
    bool may_check(TimePoint now, const CacheId&, const Agent& agent) const;
    /// Checks of that cache are not permitted: the gateway's own recovery probe takes their place.
    void on_check_not_permitted(TimePoint now, const CacheId&, Agent& agent);
    /// Starts the checks that are due. One without an outcome by its next time was not answered.
    void run_due_checks(TimePoint now, Agent& agent);
    /// When run_due_checks() is to be called again.
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
    std::map<CacheId, HealthCheck> checks_;  // of duties that this member owns
    std::set<CacheId> healthy_;  // ejected here, published as healthy, and the own probe was moved
    TimePoint next_check_at_;
};

}  // namespace irismux::fleet
