/// The health watch over caches that several gateways have marked: the owner of its duty probes such a cache
/// on behalf of all and publishes the result; the others put their own trials off meanwhile. No I/O.
///
/// A cache is watched from when two members mark it until none does. A published result only moves the time
/// of a gateway's own trial: later, by a bounded time (the Router sees to that), while the cache does not
/// answer; at once, one gateway after the other, after two answers in a row. A probe shows only that the
/// process runs; the trial decides whether the mark ends.
///
/// Premises: a probe is harmless at any time, also a late one from an owner that had been stopped. A result
/// counts for two and a half probe intervals after it was received, by the receiver's clock; then trials go
/// on as they would without it.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

/// What a HealthWatch needs of its carrier.
class HealthCheckCallbacks {
public:
    virtual ~HealthCheckCallbacks() = default;
    /// The outcome comes back through on_probe_done().
    virtual void start_health_check(const CacheId&) = 0;
    /// The gateway's own next trial of the marked cache is due at that instant of the watch's clock.
    virtual void postpone_recovery_probe(const CacheId&, TimePoint) = 0;
};

class HealthMonitor {
public:
    HealthMonitor(HealthCheckCallbacks& port, Duration look_every, Duration round)
        : callbacks_(port), interval_(look_every), idle_interval_(round) {}

    /// The own Router has begun or ended to pass over that cache.
    void on_ejection_changed(const CacheId&, bool);
    const std::set<CacheId>& ejected_caches() const { return ejected_caches_; }
    /// Updates and returns the caches to be watched, by the marks that the members publish.
    const std::set<CacheId>& update_monitored(const Agent& agent);
    /// A result that the owner of a watch has published.
    void on_probe_result(TimePoint now, const CacheId&, const HealthRecord&, const Agent& agent);
    /// The outcome of an own probe.
    void on_health_check_done(TimePoint now, const CacheId&, bool well, Agent& agent);
    /// Whether a probe that was asked for may still be sent.
    bool may_check(TimePoint now, const CacheId&, const Agent& agent) const;
    /// Probes of that cache are not permitted: the gateway's own trial takes their place.
    void on_check_not_permitted(TimePoint now, const CacheId&, Agent& agent);
    /// Sends the probes that are due. One without an outcome by its next time was not answered.
    void run_due_checks(TimePoint now, Agent& agent);
    /// When tick() has something to do again.
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
    std::map<CacheId, HealthCheck> checks_;  // of watches that this member owns
    std::set<CacheId> healthy_;              // marked here, published as well, and the Router was told
    TimePoint next_check_at_;
};

}  // namespace irismux::fleet
