/// The digest of a site: one record of the revisions that the site's members have applied. The owner of the
/// site's duty `digest` computes it from their heartbeats. Does no I/O and reads no clock.
///
///   roster    the names that have ever joined the site, until an operator removes them. The transaction of a
///             name's first join adds it, so that the roster lacks no member that may be serving.
///   digest    computed and written by the duty's owner after one of its own heartbeats. That heartbeat's
///             transaction read the roster and all heartbeats at one revision; the digest is based on them.
///
/// A member counts as live only while its heartbeats prove that its process runs: the transaction of a
/// heartbeat compares the sender's previous heartbeat, so the sender ran after the previous heartbeat was
/// committed. A member that is not live is listed as absent, with the time since which it has been absent,
/// until the member is live again or is removed from the roster.
///
/// Guarantee: each live member has applied a digest's `lowest` event. The member's process ran at some time
/// no earlier than max_unseen_time() before the owner's heartbeat on which the digest is based.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/applied_revisions.hpp"

namespace irismux::fleet {

/// Maximum number of names in a site's roster. The roster of a site with more members is incomplete. The
/// limit exists because a transaction of the registry may have at most 128 reads.
constexpr std::size_t max_roster_names = 96;
/// Maximum length of each list of members in a digest. The counts in the digest include members that are not
/// listed.
constexpr std::size_t max_named_members = 16;
/// Maximum number of ejected caches in a digest. Caches that more members have ejected come first.
constexpr std::size_t max_reported_caches = 32;

struct SiteRoster {
    std::set<MemberName> names;
    /// True if a name did not fit into the roster. Until an operator has repaired the roster, not all members
    /// of the site are known.
    bool incomplete = false;
    bool operator==(const SiteRoster&) const = default;
};

struct Digest {
    struct AbsentMember {
        MemberName member;
        std::int64_t since_ms = 0;  ///< Unix time by the clock of the owner that saw it first; for display
        bool operator==(const AbsentMember&) const = default;
    };
    struct LaggingMember {
        MemberName member;
        EventNumber event;
        ConfigurationNumber configuration;
        bool operator==(const LaggingMember&) const = default;
    };

    MemberName owner;
    std::string owner_id;              ///< instance id of the owner's process
    std::int64_t as_of_heartbeat = 0;  ///< the owner's heartbeat whose transaction read the members' state
    std::int64_t as_of_unix_ms = 0;    ///< Unix time by the owner's clock; for display
    Generation generation;
    bool history_lost = false;    ///< a member reports that history was lost
    std::size_t known_count = 0;  ///< number of names in the roster
    std::size_t live_count = 0;
    EventNumber lowest, highest;  ///< lowest of the live members, highest of all members
    ConfigurationNumber lowest_configuration;
    std::vector<AbsentMember> absent;
    std::size_t absent_count = 0;
    /// Live members that lack the event with the highest number in the site, the configuration with the
    /// highest number of a live member, or both. Members with the lowest event numbers come first.
    std::vector<LaggingMember> lagging;
    std::size_t lagging_count = 0;
    bool roster_incomplete = false;
    /// Each ejected cache with the number of members that have ejected it.
    std::vector<std::pair<CacheId, std::size_t>> ejected_caches;
};

Key roster_key();
Key digest_key();
DutyName digest_duty();
std::string serialize(const SiteRoster&);
std::string serialize(const Digest&);
std::optional<SiteRoster> parse_site_roster(std::string_view);
std::optional<Digest> parse_digest(std::string_view);
/// Returns the roster with the name added.
/// @return std::nullopt if nothing changes: the name is in the roster, or the roster is full and already
/// marked incomplete.
std::optional<SiteRoster> add_to_roster(const SiteRoster&, const MemberName&);

/// Returns how long a member counts as live after the last time at which its process is known to have run.
Duration max_unseen_time(Duration term);
/// Returns how long a reader regards a digest as fresh, by the reader's own clock.
Duration max_staleness(Duration term);
/// Returns the longest time for which a process is still counted as live after it last ran. The result allows
/// for clock rates that are wrong by `drift` in either direction. A new process that has no reply from the
/// notice board must not serve for this time after its start.
Duration max_counted_time(Duration term, double drift);
/// Returns the longest time from when the last gateway has applied an event until a reader that reads every
/// `read_interval` reports the event as applied everywhere. Premises: all members are live, the registry
/// replies within `reply_time`, and a member owns the duty `digest`.
Duration max_report_delay(Duration term, double drift, Duration acknowledge_interval, Duration reply_time,
                          Duration read_interval);

/// The records that one heartbeat transaction of the digest's owner has read.
struct FleetSnapshot {
    TimePoint requested_at, received_at;  ///< by the owner's clock
    std::int64_t heartbeat_number = 0;    ///< number of the owner's heartbeat
    std::int64_t unix_ms = 0;
    std::optional<std::string> roster, former_digest, generation;
    std::map<MemberName, std::optional<std::string>> heartbeats;  ///< heartbeats of other members
};

class DigestBuilder {
public:
    struct Settings {
        MemberName self;
        std::string own_id;
        Duration term;
        Duration min_write_interval;  ///< minimum time between two digests
        Duration refresh_interval;    ///< after this time an unchanged digest is written again
    };
    explicit DigestBuilder(Settings settings) : settings_(std::move(settings)) {}

    /// Returns the members whose heartbeats the next snapshot must contain.
    const std::set<MemberName>& member_names() const { return roster_.names; }
    /// Must be called with each snapshot, whether or not this member owns the duty. `own` are the revisions
    /// that this member has applied.
    void on_snapshot(const FleetSnapshot& snapshot, const std::optional<AppliedRevisions>& own,
                     const std::map<CacheId, std::size_t>& ejections);
    /// Returns the digest that the duty's owner must write now, if any. The builder assumes that the caller
    /// writes the returned digest. If the write fails, a later digest replaces the returned one.
    std::optional<std::string> next_digest(TimePoint now);
    /// Drops the current digest because another member owns the duty.
    void reset() { digest_.reset(); }
    /// Returns whether a live member lacks a revision that another member has applied. If there is such a
    /// member, snapshots should be frequent.
    bool has_lagging_members() const { return digest_ && digest_->lagging_count > 0; }
    const std::optional<Digest>& digest() const { return digest_; }
    /// Returns the generation that must replace the one in the registry, or std::nullopt if the registry's
    /// generation may stay.
    std::optional<Generation> next_generation(const std::string& new_id) const;

private:
    // The observations of one member's heartbeats, which show at which times the member's process has run.
    struct ObservedHeartbeat {
        std::string text, instance_id;  // of the heartbeat last shown, and of its sender's process
        std::int64_t number = 0;
        TimePoint last_shown_at;  // request time of the last snapshot with this member
        // Request time of the last snapshot that did not have this text yet, and request time of the last
        // snapshot that did not have the previous text of the same process yet.
        std::optional<TimePoint> last_snapshot_without_text, last_snapshot_without_previous_text;
    };

    void record_heartbeat(const MemberName& name, const std::optional<std::string>& text,
                          TimePoint requested_at);
    void record_generations(const std::optional<AppliedRevisions>& own);
    bool is_live(const MemberName& name, TimePoint received_at) const;
    std::optional<AppliedRevisions> reported_revisions(const MemberName& name) const;
    void add_absent(Digest& digest, const MemberName& name, std::int64_t now_unix_ms) const;
    Digest merge(const FleetSnapshot& snapshot, const std::optional<AppliedRevisions>& own) const;

    Settings settings_;
    SiteRoster roster_;
    bool roster_readable_ = false;
    std::map<MemberName, ObservedHeartbeat> observed_heartbeats_;  // heartbeats of the members in the roster
    std::map<MemberName, std::int64_t> absent_since_;
    std::optional<Generation> shown_generation_;
    Generation known_generation_;  // the highest in the registry's record or in any member's heartbeat
    bool generation_ids_conflict_ = false;
    std::optional<Digest> digest_;
    std::string written_content_;  // the last written digest without the fields that each snapshot changes
    TimePoint written_at_;
    bool ever_written_ = false;
};

}  // namespace irismux::fleet
