// Who lives, as one member sees it: its own term, and the signs of life of the others. No I/O; the instant is
// that of this member's own steady clock, which must count time during which the machine sleeps.
//
// Guarantee: while in_term() holds at one member, no other finds it evictable() and evicts it. Premises: no
// clock's rate is off by more than `drift`; a sign of life is confirmed only when the registry holds it, and
// counts from the instant at which it was sent; an eviction is a transaction that compares the very sign of
// life that was seen unchanged.
//
//   own term    sent + term * (1 - drift)       waits of others    seen first + term * (1 + drift)
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"
#include "registry/record.hpp"

namespace irismux::fleet {

// Of a member, as another sees it: back is one that was gone and has joined anew.
enum class MemberStatus { joined, suspected, gone, back };

class Membership {
public:
    Membership(const SharedConfig& shared_config, MemberName self);

    // --- this member's own term
    void sent(Instant now, HeartbeatNumber heartbeat);
    // The registry holds that sign of life. A term that had lapsed before it was sent begins with listening:
    // for a wait nothing is owned, since whatever was done by a registry's former self must have ended by
    // then.
    void confirmed(Instant now, HeartbeatNumber heartbeat);
    void out() { in_ = false; }
    bool in() const { return in_; }
    bool in_term(Instant now) const { return in_ && now < end_; }
    bool listening(Instant now) const { return now < listen_until_; }
    bool near_end(Instant now) const { return now + rest_ >= end_; }
    Instant end() const { return end_; }
    Instant listens_until() const { return listen_until_; }
    HeartbeatNumber last() const { return confirmed_; }

    // --- the others
    // Their records, whatever showed them, as they were at that revision; what is older than known is
    // dropped. Whether it was news; `text` none: there is none.
    bool record(Instant now, registry::Revision at, const MemberName&,
                const std::optional<std::string>& text);
    // A whole list follows: older revisions count again, and who is not in it is gone.
    void on_full_list(Instant now, const std::set<MemberName>& listed);
    // A sign of life as the registry showed it. The same one again leaves the wait running; a new one begins
    // it anew, or, unless it is to be held, ends it.
    void on_heartbeat(Instant now, const MemberName&, const std::optional<std::string>& text, bool hold);
    void forget_waits();  // the registry has gone back: what was seen before says nothing

    struct Peer {
        std::string text;
        bool readable = true;  // false: a newer form; it lives, and what it owns is left to it
        MemberRecord member;
        Instant since;  // first seen with this start
        bool returned = false;
        bool observed = false;  // a sign of life has been looked for
        std::optional<std::string> heartbeat_text;
        Instant unchanged_since, last_seen;  // first and last time that it was shown
        registry::Revision at;
    };
    const std::map<MemberName, Peer>& peers() const { return peers_; }
    MemberStatus status_of(Instant now, const MemberName&) const;
    bool evictable(const Peer& o) const { return o.observed && o.last_seen - o.unchanged_since >= wait_; }
    bool suspected(const Peer& o) const;
    bool settled(Instant now, const Peer& o) const { return now - o.since >= wait_ + wait_; }

    Span round() const { return round_; }
    Span wait() const { return wait_; }

private:
    static constexpr std::size_t most_sent =
        16;  // signs of life without an answer; beyond, the oldest is forgotten
    static constexpr std::size_t most_peers = 1024;

    MemberName self_;
    Span term_, wait_, round_, rest_;
    bool in_ = false;
    std::map<HeartbeatNumber, Instant> sent_;
    HeartbeatNumber confirmed_;
    Instant end_, listen_until_;
    std::map<MemberName, Peer> peers_;
    std::map<MemberName, registry::Revision> gone_;  // 1,024 at most, then all are forgotten
};

}  // namespace irismux::fleet
