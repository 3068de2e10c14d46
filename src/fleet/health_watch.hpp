// The watch over caches that several gateways hold marked: one of them looks on behalf of all, and says what
// it saw; the others keep their trials back meanwhile. No I/O.
//
// A cache is watched over from when two members mark it until none does. What the watch's owner says only
// moves the instant of a gateway's own trial: later, by a bounded time (the Router sees to that), while it
// does not answer; at once, one gateway after the other, when it has answered twice in a row. A look shows no
// more than that the process runs: whether the mark ends is settled by the trial.
//
// Premises: a look is harmless at any time, also one that an owner sends which has been stopped for long.
// What is said counts for two and a half looks after it was heard, by the hearer's clock; then trials go as
// they would without it.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

class ProbePort {
public:
    virtual ~ProbePort() = default;
    virtual void send_probe(
        const CacheId&) = 0;  // asks the cache for a sign of life; the end is told by looked()
    virtual void trial_from(const CacheId&, Instant) = 0;  // by the watch's clock
};

class HealthWatch {
public:
    HealthWatch(ProbePort& port, Span look_every, Span round)
        : port_(port), look_every_(look_every), round_(round) {}

    // The own Router's marks.
    void marked(const CacheId&, bool);
    const std::set<CacheId>& marks() const { return marks_; }
    // The caches to be watched over, by what the members publish.
    const std::set<CacheId>& watched(const Agent& agent);
    // A finding that the watch shows, as soon as it does.
    void on_probe_result(Instant now, const CacheId&, const ProbeResult&, const Agent& agent);
    void on_probe_done(Instant now, const CacheId&, bool well, Agent& agent);
    // Whether a look that was asked for may still go out.
    bool may_probe(Instant now, const CacheId&, const Agent& agent) const;
    // Looks are not permitted there: the gateway's own lookups are the look.
    void not_permitted(Instant now, const CacheId&, Agent& agent);
    // Sends the looks that are due; one whose end has not been told by then was not answered.
    void tick(Instant now, Agent& agent);
    Instant due() const { return due_; }

private:
    struct Probe {
        Instant next;
        bool out = false;
        ProbeResult last;
    };

    ProbePort& port_;
    Span look_every_, round_;
    std::set<CacheId> marks_;
    std::set<CacheId> watched_;        // as many as members may mark
    std::map<CacheId, Probe> probes_;  // of the watches that are ours
    std::set<CacheId> well_;           // said to be well, and that was told to the Router
    Instant due_;
};

}  // namespace irismux::fleet
