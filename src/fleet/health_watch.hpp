// The health watch over caches that several gateways have marked: the owner of its duty probes such a cache
// on behalf of all and publishes the result; the others put their own trials off meanwhile. No I/O.
//
// A cache is watched from when two members mark it until none does. A published result only moves the time of
// a gateway's own trial: later, by a bounded time (the Router sees to that), while the cache does not answer;
// at once, one gateway after the other, after two answers in a row. A probe shows only that the process runs;
// the trial decides whether the mark ends.
//
// Premises: a probe is harmless at any time, also a late one from an owner that had been stopped. A result
// counts for two and a half probe intervals after it was received, by the receiver's clock; then trials go on
// as they would without it.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

// What a HealthWatch needs of its carrier.
class ProbePort {
public:
    virtual ~ProbePort() = default;
    // The outcome comes back through on_probe_done().
    virtual void send_probe(const CacheId&) = 0;
    // The gateway's own next trial of the marked cache is due at that instant of the watch's clock.
    virtual void trial_from(const CacheId&, Instant) = 0;
};

class HealthWatch {
public:
    HealthWatch(ProbePort& port, Span look_every, Span round)
        : port_(port), look_every_(look_every), round_(round) {}

    // The own Router has begun or ended to pass over that cache.
    void marked(const CacheId&, bool);
    const std::set<CacheId>& marks() const { return marks_; }
    // Updates and returns the caches to be watched, by the marks that the members publish.
    const std::set<CacheId>& watched(const Agent& agent);
    // A result that the owner of a watch has published.
    void on_probe_result(Instant now, const CacheId&, const ProbeResult&, const Agent& agent);
    // The outcome of an own probe.
    void on_probe_done(Instant now, const CacheId&, bool well, Agent& agent);
    // Whether a probe that was asked for may still be sent.
    bool may_probe(Instant now, const CacheId&, const Agent& agent) const;
    // Probes of that cache are not permitted: the gateway's own trial takes their place.
    void not_permitted(Instant now, const CacheId&, Agent& agent);
    // Sends the probes that are due. One without an outcome by its next time was not answered.
    void tick(Instant now, Agent& agent);
    // When tick() has something to do again.
    Instant due() const { return due_; }

private:
    struct Probe {
        Instant next;
        bool under_way = false;
        ProbeResult last;
    };

    ProbePort& port_;
    Span look_every_, round_;
    std::set<CacheId> marks_;
    std::set<CacheId> watched_;
    std::map<CacheId, Probe> probes_;  // of watches that this member owns
    std::set<CacheId> well_;           // marked here, published as well, and the Router was told
    Instant due_;
};

}  // namespace irismux::fleet
