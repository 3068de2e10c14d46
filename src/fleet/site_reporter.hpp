/// One member's part in its site's digest: the applied revisions that its heartbeats report and, while it
/// owns the site's duty `digest`, the digest itself. No I/O, no clock.
#pragma once

#include <string>

#include "fleet/agent.hpp"

namespace irismux::fleet {

/// advance() must be called after each call that changes it or the Agent.
class SiteReporter {
public:
    struct Settings {
        MemberName self;
        std::string instance_id;  ///< of this process
        Duration term, acknowledge_interval;
        double drift = 0;
    };
    /// `process_start`: by the agent's clock.
    SiteReporter(Settings settings, TimePoint process_start);

    /// To be told of the notice board's polls and of configurations.
    AppliedRevisionTracker& applied() { return applied_; }
    const AppliedRevisionTracker& applied() const { return applied_; }
    /// Until then requests must not be taken: digests may still count a former process under this name as
    /// having applied what this one has not.
    bool may_serve(TimePoint now) const { return applied_.has_full_history() || now >= serving_allowed_at_; }
    TimePoint serving_allowed_at() const { return serving_allowed_at_; }

    /// As AgentObserver::on_heartbeat_result().
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
    std::int64_t proposed_generations_ = 0;  // by this process
    bool digest_write_pending_ = false;
    bool generation_write_pending_ = false;
};

}  // namespace irismux::fleet
