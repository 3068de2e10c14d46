/// Maintains the applied revisions that a member's heartbeats report and, while the member owns the site's
/// duty `digest`, the site's digest. Does no I/O and reads no clock.
#pragma once

#include <string>

#include "fleet/agent.hpp"

namespace irismux::fleet {

/// advance() must be called after each call that changes the reporter or the Agent.
class SiteReporter {
public:
    struct Settings {
        MemberName self;
        std::string instance_id;  ///< instance id of this process
        Duration term, acknowledge_interval;
        double drift = 0;
    };
    /// `process_start` is the time at which this process started, by the agent's clock.
    SiteReporter(Settings settings, TimePoint process_start);

    /// The caller must report the notice board's polls and new configurations to the tracker.
    AppliedRevisionTracker& applied() { return applied_; }
    const AppliedRevisionTracker& applied() const { return applied_; }
    /// Returns whether the gateway may accept requests. While the function returns false, a digest may still
    /// count a former process with this gateway's name as live, and the former process may have applied
    /// events that this process has not applied.
    bool may_serve(TimePoint now) const { return applied_.has_full_history() || now >= serving_allowed_at_; }
    TimePoint serving_allowed_at() const { return serving_allowed_at_; }

    /// Must be called for each AgentObserver::on_heartbeat_result().
    void on_heartbeat(TimePoint now, std::int64_t unix_ms, TimePoint sent, HeartbeatNumber number,
                      const std::vector<KeyValue>& shown, const Agent& agent);
    void on_written(const Key& key);
    void advance(TimePoint now, Agent& agent);

private:
    void write_due_records(TimePoint now, Agent& agent);

    Settings settings_;
    TimePoint serving_allowed_at_;
    AppliedRevisionTracker applied_;
    DigestBuilder digest_builder_;
    std::optional<std::string> shown_generation_text_;
    std::int64_t proposed_generations_ = 0;  // number of generations that this process has proposed
    bool digest_write_pending_ = false;
    bool generation_write_pending_ = false;
};

}  // namespace irismux::fleet
