/// The live members as one member sees them: its own term, and the heartbeats of the others. Does no I/O. All
/// times are times of this member's steady clock, which must also count the time during which the machine is
/// suspended.
///
/// Guarantee: while in_term() holds at a member, no other member evicts it. Premises: no clock's rate is off
/// by more than `drift`; a heartbeat is confirmed only once the registry has committed it, and counts from
/// the time at which it was sent; an eviction is a transaction that compares the heartbeat that was found
/// unchanged.
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

/// The status of a member as another member sees it.
enum class MemberStatus {
    joined,
    suspected,  ///< its heartbeat is overdue
    removed,
    rejoined,  ///< it was removed, has joined again and is not settled yet
};

class Membership {
public:
    Membership(const SharedConfig& shared_config, MemberName self);

    // --- this member's own term
    void on_heartbeat_sent(TimePoint now, HeartbeatNumber heartbeat);
    /// Called when the registry has committed the heartbeat. If the term had ended before the heartbeat was
    /// sent, the new term begins with a grace period of one eviction timeout, during which this member owns
    /// nothing. When the grace period ends, all terms that were granted by a former state of the registry
    /// (such as the state before a restore) have ended.
    void on_heartbeat_confirmed(TimePoint now, HeartbeatNumber heartbeat);
    void on_removed() { joined_ = false; }
    bool joined() const { return joined_; }
    bool in_term(TimePoint now) const { return joined_ && now < term_end_; }
    bool in_grace_period(TimePoint now) const { return now < grace_period_end_; }
    bool near_term_end(TimePoint now) const { return now + renewal_margin_ >= term_end_; }
    TimePoint term_end() const { return term_end_; }
    TimePoint grace_period_end() const { return grace_period_end_; }
    HeartbeatNumber last_confirmed() const { return last_confirmed_; }

    // --- the other members
    /// Applies a member's record with its value at revision `at`; `text` is empty if there is no record. A
    /// record at an older revision than the known record is ignored.
    /// @return true if the member is new, has another instance, or is removed.
    bool on_member_record(TimePoint now, registry::Revision at, const MemberName&,
                          const std::optional<std::string>& text);
    /// Must be called before all records are delivered again, possibly with their values at a lower revision.
    /// Removes the members that are not in `listed`.
    void on_full_list(TimePoint now, const std::set<MemberName>& listed);
    /// Applies a member's heartbeat as the registry shows it. An unchanged heartbeat counts towards the
    /// eviction timeout. A new heartbeat restarts the timeout if `keep_observing` is true. Otherwise a new
    /// heartbeat cancels the timeout, and the next call for this member starts a new timeout.
    void on_heartbeat(TimePoint now, const MemberName&, const std::optional<std::string>& text,
                      bool keep_observing);
    /// Called after this member has left the fleet or was removed, for example because the registry was
    /// restored. Heartbeats that were observed before the call no longer count towards an eviction.
    void restart_observations();

    /// Another member of the fleet, according to the records that this member has received.
    struct Member {
        std::string text;  ///< value of the member's record
        /// False if the member's record can't be parsed, for example because a newer version wrote it. The
        /// member is live nevertheless and keeps its duties.
        bool readable = true;
        MemberRecord member;    ///< the member's parsed record
        TimePoint first_seen;   ///< first seen with this incarnation
        bool returned = false;  ///< the name was a member before this incarnation
        bool observed = false;  ///< its heartbeats are being observed
        std::optional<std::string> heartbeat_text;
        TimePoint unchanged_since;    ///< when that heartbeat was first read
        TimePoint last_seen;          ///< when that heartbeat was last read
        registry::Revision revision;  ///< revision of the member's record
    };
    const std::map<MemberName, Member>& members() const { return members_; }
    MemberStatus status_of(TimePoint now, const MemberName&) const;
    /// Returns whether the member's heartbeat was unchanged for the whole eviction timeout.
    bool evictable(const Member& member) const {
        return member.observed && member.last_seen - member.unchanged_since >= eviction_timeout_;
    }
    bool suspected(const Member& member) const;
    /// Returns whether the member has been in the fleet for long enough to be handed a duty.
    bool settled(TimePoint now, const Member& member) const {
        return now - member.first_seen >= eviction_timeout_ + eviction_timeout_;
    }

    /// Returns the time between two heartbeats.
    Duration heartbeat_interval() const { return heartbeat_interval_; }
    /// Returns how long a heartbeat must have been unchanged before an eviction.
    Duration eviction_timeout() const { return eviction_timeout_; }

private:
    // Maximum number of heartbeats without a reply whose sending times are stored. Beyond this number the
    // oldest sending time is dropped.
    static constexpr std::size_t max_unconfirmed = 16;
    static constexpr std::size_t max_members = 1024;

    MemberName self_;
    Duration term_less_drift_, eviction_timeout_, heartbeat_interval_, renewal_margin_;
    bool joined_ = false;
    std::map<HeartbeatNumber, TimePoint> unconfirmed_;
    HeartbeatNumber last_confirmed_;
    TimePoint term_end_, grace_period_end_;
    std::map<MemberName, Member> members_;
    // Removed members with the revision of the removal. All entries are dropped when there would be more than
    // max_members.
    std::map<MemberName, registry::Revision> removed_;
};

}  // namespace irismux::fleet
