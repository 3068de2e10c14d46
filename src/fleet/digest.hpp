/// One record a site: what all of its members have in force, folded out of their heartbeats by the owner of a
/// duty of the site. No I/O, no clock.
///
///   roster    the names that have ever joined the site and that no operator has had forgotten; written in
///   the
///             transaction of a name's first join, so that nobody who may be serving is missing from it
///   digest    written by the duty's owner, as of one heartbeat of its own: the transaction of that heartbeat
///             showed it the roster and all heartbeats at one revision
///
/// A member counts as live only while it is shown to be a running process: a heartbeat compares the one
/// before, so its sender ran after that one had landed. Whoever does not count is absent, since when is said,
/// and it stays so until it counts again or is forgotten.
///
/// Guarantee: a digest's `lowest` is in force at each live member, and each live member's process ran at some
/// instant no earlier than `longest_unseen` before the heartbeat that the digest is as of.
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

/// Beyond it the roster is marked as incomplete; a transaction of a registry may have 128 reads.
constexpr std::size_t max_roster_names = 96;
constexpr std::size_t max_named_members = 16;    ///< of each list of a digest; the counts go on
constexpr std::size_t max_reported_caches = 32;  ///< marked ones in a digest, the most marked first

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
    bool history_lost = false;    ///< as one of them claims
    std::size_t known_count = 0;  ///< names in the roster
    std::size_t live_count = 0;
    EventNumber lowest, highest;  ///< of live members; the highest also of those that are not
    ConfigurationNumber lowest_configuration;
    std::vector<AbsentMember> absent;
    std::size_t absent_count = 0;
    std::vector<LaggingMember>
        lagging;  ///< live, and below the site's highest event or configuration; the lowest first
    std::size_t lagging_count = 0;
    bool roster_incomplete = false;                               ///< the roster is
    std::vector<std::pair<CacheId, std::size_t>> ejected_caches;  ///< how many members pass that cache over
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

/// For how long a member counts as live after the last instant at which its process is known to have run.
Duration max_unseen_time(Duration term);
/// For how long a reader takes a digest for fresh, by its own clock.
Duration max_staleness(Duration term);
/// For how long after its last sign of life a process may still be counted, by a clock at either end of what
/// is allowed. A new process that the board has not answered must not act until so long after its start.
Duration max_counted_time(Duration term, double drift);
/// How late a reader that reads each `read_every` says that an event is in force everywhere, after it has
/// been in force at the last gateway for the first time: all members live, the registry answering within
/// `answer`, the duty owned.
Duration max_report_delay(Duration term, double drift, Duration acknowledge_every, Duration answer,
                          Duration read_every);

/// What the transaction of a heartbeat showed.
struct FleetSnapshot {
    TimePoint requested_at, received_at;  ///< by the owner's clock
    std::int64_t heartbeat_number = 0;    ///< of that heartbeat, its own
    std::int64_t unix_ms = 0;
    std::optional<std::string> roster, former_digest, generation;
    std::map<MemberName, std::optional<std::string>> heartbeats;  ///< of others that were asked for
};

class DigestBuilder {
public:
    struct Settings {
        MemberName self;
        std::string own_id;
        Duration term;
        Duration pace;     ///< between two digests, at least
        Duration refresh;  ///< a digest is written anew after so long, also if nothing has changed
    };
    explicit DigestBuilder(Settings settings) : settings_(std::move(settings)) {}

    /// Whose heartbeats the next look must show.
    const std::set<MemberName>& member_names() const { return roster_.names; }
    /// Each look, whether or not this member owns the duty; `own` is what this member has in force.
    void on_snapshot(const FleetSnapshot& look, const std::optional<AppliedRevisions>& own,
                     const std::map<CacheId, std::size_t>& marks);
    /// The digest to be written now, by the duty's owner. It is taken as written from here on; if it was not,
    /// a later one is.
    std::optional<std::string> next_digest(TimePoint now);
    /// The duty is another's: what was seen so far is no digest any more.
    void reset() { digest_.reset(); }
    /// Whether one that is live lacks what another has: looks should be frequent.
    bool has_lagging_members() const { return digest_ && digest_->lagging_count > 0; }
    const std::optional<Digest>& digest() const { return digest_; }
    /// A generation to be written in place of the one shown, if that can't stand.
    std::optional<Generation> next_generation(const std::string& new_id) const;

private:
    // What is known of one member's process.
    struct Evidence {
        std::string text, instance_id;  // of the heartbeat last shown, and of its sender's process
        std::int64_t number = 0;
        TimePoint last_shown_at;  // the last look that showed it, whatever it showed
        // Asked at that instant, a look did not yet show this text; and so of the text before, of the same
        // process.
        std::optional<TimePoint> text_not_shown_at, previous_text_not_shown_at;
    };

    void record_heartbeat(const MemberName& name, const std::optional<std::string>& text, TimePoint asked);
    void record_generations(const std::optional<AppliedRevisions>& own);
    bool is_live(const MemberName& name, TimePoint answered) const;
    Digest merge(const FleetSnapshot& look, const std::optional<AppliedRevisions>& own) const;

    Settings settings_;
    SiteRoster roster_;
    bool roster_readable_ = false;
    std::map<MemberName, Evidence> evidence_;  // of names in the roster
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
