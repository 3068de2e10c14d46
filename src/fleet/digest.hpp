/// One record a site: what its members have applied, computed from their heartbeats by the owner of the
/// site's duty `digest`. No I/O, no clock.
///
///   roster    the names that have ever joined the site, until an operator removes them. A name's first join
///             writes it in its own transaction, so that no member that may be serving is missing from it.
///   digest    written by the duty's owner as of one heartbeat of its own, whose transaction read the roster
///             and all heartbeats at one revision.
///
/// A member counts as live only while its process is shown to run: a heartbeat compares the one before, so
/// its sender ran after that one had landed. A member that does not count is absent, with the time since
/// when, until it counts again or is removed from the roster.
///
/// Guarantee: each live member has applied a digest's `lowest` event, and its process ran at some time no
/// earlier than max_unseen_time() before the heartbeat that the digest is as of.
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

/// With more names the roster is incomplete; a transaction of a registry may have 128 reads.
constexpr std::size_t max_roster_names = 96;
constexpr std::size_t max_named_members = 16;    ///< in each list of a digest; the counts include the others
constexpr std::size_t max_reported_caches = 32;  ///< ejected ones in a digest, by falling number of members

struct SiteRoster {
    std::set<MemberName> names;
    bool incomplete =
        false;  ///< a name found no room: the site is never wholly known again until an operator
                /// has mended it
    bool operator==(const SiteRoster&) const = default;
};

struct Digest {
    struct AbsentMember {
        MemberName member;
        std::int64_t since_ms = 0;  ///< Unix time by the clock of the owner that saw it first; for people
        bool operator==(const AbsentMember&) const = default;
    };
    struct LaggingMember {
        MemberName member;
        EventNumber event;
        ConfigurationNumber configuration;
        bool operator==(const LaggingMember&) const = default;
    };

    MemberName owner;
    std::string owner_id;              ///< of the owner's process
    std::int64_t as_of_heartbeat = 0;  ///< the owner's heartbeat that showed it all this
    std::int64_t as_of_unix_ms = 0;    ///< Unix time by the owner's clock; for people
    Generation generation;
    bool history_lost = false;    ///< as a member reports
    std::size_t known_count = 0;  ///< names in the roster
    std::size_t live_count = 0;
    EventNumber lowest, highest;  ///< of live members; the highest also of those that are not
    ConfigurationNumber lowest_configuration;
    std::vector<AbsentMember> absent;
    std::size_t absent_count = 0;
    std::vector<LaggingMember>
        lagging;  ///< live, and below the site's highest event or configuration; the lowest first
    std::size_t lagging_count = 0;
    bool roster_incomplete = false;  ///< the roster is
    std::vector<std::pair<CacheId, std::size_t>>
        ejected_caches;  ///< with the number of members that eject it
};

Key roster_key();
Key digest_key();
DutyName digest_duty();
std::string serialize(const SiteRoster&);
std::string serialize(const Digest&);
std::optional<SiteRoster> parse_site_roster(std::string_view);
std::optional<Digest> parse_digest(std::string_view);
/// With that name in it. None: it is there already.
std::optional<SiteRoster> add_to_roster(const SiteRoster&, const MemberName&);

/// How long a member counts as live after the last time at which its process is known to have run.
Duration max_unseen_time(Duration term);
/// How long a reader takes a digest for fresh, by its own clock.
Duration max_staleness(Duration term);
/// How long a process may still be counted after it last ran, with clocks off by `drift` either way. A new
/// process whom the notice board has not answered must not serve until so long after its start.
Duration max_counted_time(Duration term, double drift);
/// How late a reader that reads each `read_interval` may report an event as applied everywhere, after the
/// last gateway has applied it: all members live, the registry answering within `reply_time`, the duty owned.
Duration max_report_delay(Duration term, double drift, Duration acknowledge_interval, Duration reply_time,
                          Duration read_interval);

/// What the transaction of one of the owner's heartbeats read.
struct FleetSnapshot {
    TimePoint requested_at, received_at;  ///< by the owner's clock
    std::int64_t heartbeat_number = 0;    ///< of that heartbeat, its own
    std::int64_t unix_ms = 0;
    std::optional<std::string> roster, former_digest, generation;
    std::map<MemberName, std::optional<std::string>> heartbeats;  ///< of other members
};

class DigestBuilder {
public:
    struct Settings {
        MemberName self;
        std::string own_id;
        Duration term;
        Duration min_write_interval;  ///< between two digests, at least
        Duration refresh_interval;    ///< a digest is written anew after so long, also if nothing has changed
    };
    explicit DigestBuilder(Settings settings) : settings_(std::move(settings)) {}

    /// Whose heartbeats the next snapshot must contain.
    const std::set<MemberName>& member_names() const { return roster_.names; }
    /// Each snapshot, whether or not this member owns the duty; `own` is what this member has applied.
    void on_snapshot(const FleetSnapshot& snapshot, const std::optional<AppliedRevisions>& own,
                     const std::map<CacheId, std::size_t>& ejections);
    /// The digest to be written now, by the duty's owner. It is taken as written from here on; if it was not,
    /// a later one is.
    std::optional<std::string> next_digest(TimePoint now);
    /// Another member owns the duty: the digest so far is dropped.
    void reset() { digest_.reset(); }
    /// Whether a live member lacks what another has: snapshots should be frequent.
    bool has_lagging_members() const { return digest_ && digest_->lagging_count > 0; }
    const std::optional<Digest>& digest() const { return digest_; }
    /// The generation to be written in place of the registry's; none: that one may stay.
    std::optional<Generation> next_generation(const std::string& new_id) const;

private:
    // What is known of one member's process.
    struct ObservedHeartbeat {
        std::string text, instance_id;  // of the heartbeat last shown, and of its sender's process
        std::int64_t number = 0;
        TimePoint last_shown_at;  // request time of the last snapshot with this member
        // A snapshot requested then did not have this text yet; and so for the text before, of the same
        // process.
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
    std::map<MemberName, ObservedHeartbeat> observed_heartbeats_;  // of names in the roster
    std::map<MemberName, std::int64_t> absent_since_;
    std::optional<Generation> shown_generation_;
    Generation known_generation_;  // the highest that anybody was seen to have taken
    bool generation_ids_conflict_ = false;
    std::optional<Digest> digest_;
    std::string written_content_;  // the last one's content, without when and by whom
    TimePoint written_at_;
    bool ever_written_ = false;
};

}  // namespace irismux::fleet
