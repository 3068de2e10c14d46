// One member's part in its site's word on what is in force: what its heartbeats claim, and, while it owns the
// site's duty `digest`, the digest. Between the board, the Agent and its transactions; no I/O, no clock.
//
// Call go_on() after each event that this or the Agent is told.
#pragma once

#include <string>

#include "fleet/agent.hpp"

namespace irismux::fleet {

class SiteReporter {
public:
    struct Settings {
        MemberName self;
        std::string instance_id;  // of this process
        Span term, acknowledge_every;
        double drift = 0;
    };
    // `began`: when the process did.
    SiteReporter(Settings settings, Instant began);

    // The board's polls are told here, configurations too.
    Acknowledgement& acknowledgement() { return acknowledgement_; }
    const Acknowledgement& acknowledgement() const { return acknowledgement_; }
    // Until then lookups must not be taken: a former process under this name may be counted as having in
    // force what this one does not have yet.
    bool may_serve(Instant now) const { return acknowledgement_.told_once() || now >= serves_from_; }
    Instant serves_from() const { return serves_from_; }

    // As AgentObserver is told.
    void on_heartbeat(Instant now, std::int64_t unix_ms, Instant sent, HeartbeatNumber number,
                      const std::vector<Entry>& shown, const Agent& agent);
    void on_written(const Key& key);
    void go_on(Instant now, Agent& agent);

private:
    void write_due(Instant now, Agent& agent);

    Settings settings_;
    Instant serves_from_;
    Acknowledgement acknowledgement_;
    DigestKeeper keeper_;
    std::optional<std::string> generation_shown_;
    std::int64_t generations_ = 0;  // proposed by this process
    bool digest_out_ = false, generation_out_ = false;
};

}  // namespace irismux::fleet
