/// One member's part in its site's word on what is in force: what its heartbeats claim, and, while it owns
/// the site's duty `digest`, the digest. Between the board, the Agent and its transactions; no I/O, no clock.
///
/// Call go_on() after each event that this or the Agent is told.
#pragma once

#include <string>

#include "fleet/agent.hpp"

namespace irismux::fleet {

class SiteReporter {
public:
    struct Settings {
        MemberName self;
        std::string instance_id;  ///< of this process
        Duration term, acknowledge_interval;
        double drift = 0;
    };
    /// `began`: when the process did.
    SiteReporter(Settings settings, TimePoint began);

    /// The board's polls are told here, configurations too.
    AppliedRevisionTracker& applied() { return applied_; }
    const AppliedRevisionTracker& applied() const { return applied_; }
    /// Until then lookups must not be taken: a former process under this name may be counted as having in
    /// force what this one does not have yet.
    bool may_serve(TimePoint now) const { return applied_.has_full_history() || now >= serving_allowed_at_; }
    TimePoint serving_allowed_at() const { return serving_allowed_at_; }

    /// As AgentObserver is told.
    void on_heartbeat(TimePoint now, std::int64_t unix_ms, TimePoint sent, HeartbeatNumber number,
                      const std::vector<Entry>& shown, const Agent& agent);
    void on_written(const Key& key);
    void advance(TimePoint now, Agent& agent);

private:
    void write_due(TimePoint now, Agent& agent);

    Settings settings_;
    TimePoint serving_allowed_at_;
    AppliedRevisionTracker applied_;
    DigestBuilder digest_builder_;
    std::optional<std::string> shown_generation_text_;
    std::int64_t proposed_generations_ = 0;  // proposed by this process
    bool digest_write_pending_ = false, generation_write_pending_ = false;
};

}  // namespace irismux::fleet
