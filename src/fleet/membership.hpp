/// Who is alive, as one member sees it: its own term, and the heartbeats of the others. No I/O. Times are of
/// this member's steady clock, which must also count the time during which the machine is suspended.
///
/// Guarantee: while in_term() holds at a member, no other evicts it. Premises: no clock's rate is off by more
/// than `drift`; a heartbeat is confirmed only once the registry has it, and counts from the time at which it
/// was sent; an eviction is a transaction that compares the very heartbeat that was found unchanged.
///
///   own term: sent + term * (1 - drift)       eviction timeout: first shown + term * (1 + drift)
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"
#include "registry/record.hpp"

namespace irismux::fleet {

/// A member as another sees it.
enum class MemberStatus {
    joined,
    suspected,  ///< its heartbeat is overdue
    removed,
    rejoined,  ///< it was removed, has joined anew and is not settled yet
};

class Membership {
public:
    Membership(const SharedConfig& shared_config, MemberName self);

    // --- this member's own term
    void on_heartbeat_sent(TimePoint now, HeartbeatNumber heartbeat);
    /// The registry has that heartbeat. If the term had ended before it was sent, the new one begins with a
    /// grace period of one eviction timeout in which nothing is owned: until then all terms that the
    /// registry's former state granted have ended.
    void on_heartbeat_confirmed(TimePoint now, HeartbeatNumber heartbeat);
    void on_removed() { joined_ = false; }
    bool joined() const { return joined_; }
    bool in_term(TimePoint now) const { return joined_ && now < term_end_; }
    bool in_grace_period(TimePoint now) const { return now < grace_period_end_; }
    bool near_term_end(TimePoint now) const { return now + renewal_margin_ >= term_end_; }
    TimePoint term_end() const { return term_end_; }
    TimePoint grace_period_end() const { return grace_period_end_; }
    HeartbeatNumber last_confirmed() const { return last_confirmed_; }

    // --- the others
    /// A member's record as of that revision; no text: there is none. Older revisions than known are ignored.
    /// True: the member is new, has another instance, or is removed.
    bool on_member_record(TimePoint now, registry::Revision at, const MemberName&,
                          const std::optional<std::string>& text);
    /// All records follow, of a possibly lower revision; members that are not listed are removed.
    void on_full_list(TimePoint now, const std::set<MemberName>& listed);
    /// A heartbeat as the registry shows it. The same one again counts towards the eviction timeout; a new
    /// one restarts it or, unless `keep_observing`, ends it until that member is observed anew.
    void on_heartbeat(TimePoint now, const MemberName&, const std::optional<std::string>& text,
                      bool keep_observing);
    /// The registry was restored: heartbeats observed before do not count.
    void restart_observations();

    /// Another member.
    struct Member {
        std::string text;       ///< of its record
        bool readable = true;   ///< false: a newer form; the member counts, and keeps what it owns
        MemberRecord member;    ///< its record
        TimePoint first_seen;   ///< first seen with this incarnation
        bool returned = false;  ///< it was a member before
        bool observed = false;  ///< its heartbeats are being observed
        std::optional<std::string> heartbeat_text;
        TimePoint unchanged_since;    ///< that heartbeat was first shown
        TimePoint last_seen;          ///< that heartbeat was last shown
        registry::Revision revision;  ///< of its record
    };
    const std::map<MemberName, Member>& members() const { return members_; }
    MemberStatus status_of(TimePoint now, const MemberName&) const;
    /// Its heartbeat was unchanged for the whole eviction timeout.
    bool evictable(const Member& member) const {
        return member.observed && member.last_seen - member.unchanged_since >= eviction_timeout_;
    }
    bool suspected(const Member& member) const;
    /// It has been a member for long enough to be handed a duty.
    bool settled(TimePoint now, const Member& member) const {
        return now - member.first_seen >= eviction_timeout_ + eviction_timeout_;
    }

    /// The time between two heartbeats.
    Duration heartbeat_interval() const { return heartbeat_interval_; }
    /// How long a heartbeat must have been unchanged before an eviction.
    Duration eviction_timeout() const { return eviction_timeout_; }

private:
    // Heartbeats without an answer that are remembered; beyond, the oldest is forgotten.
    static constexpr std::size_t max_unconfirmed = 16;
    static constexpr std::size_t max_members = 1024;

    MemberName self_;
    Duration term_less_drift_, eviction_timeout_, heartbeat_interval_, renewal_margin_;
    bool joined_ = false;
    std::map<HeartbeatNumber, TimePoint> unconfirmed_;
    HeartbeatNumber last_confirmed_;
    TimePoint term_end_, grace_period_end_;
    std::map<MemberName, Member> members_;
    std::map<MemberName, registry::Revision>
        removed_;  // with the revision; max_members at most, then all are forgotten
};

}  // namespace irismux::fleet
