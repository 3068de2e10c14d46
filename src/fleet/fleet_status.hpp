/// Answers, for whoever asks: is event N in force everywhere, at all gateways but these, or not yet? From the
/// digests of all sites, the inventory of sites, and the board's newest number. No I/O, no clock.
///
/// A digest counts only while it is fresh: the reader has itself seen its owner's heartbeat stand below the
/// one that the digest is as of, no longer ago than `longest_stale`. So it takes several reads until anything
/// can be said, and neither a stopped owner nor a message that was long under way can pass an old digest off
/// as new.
///
/// Guarantee: at the instant at which judge() says `everywhere`, no gateway acts without the event. Premises:
/// those of Acknowledgement and DigestKeeper; the inventory names every site with the number of its gateways;
/// no clock's rate is off by more than `drift`; a process that has not yet been told by the board does not
/// act for `longest_counted` after its start; one process a name.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/digest.hpp"

namespace irismux::fleet {

class FleetStatus {
public:
    enum class Reach { everywhere, all_but, not_yet };
    enum class MissingReason {
        absent,            ///< a member that no heartbeat shows to run: cut off, dead or left
        site_silent,       ///< nothing fresh from that site
        behind,            ///< live, and without the event
        never_reported,    ///< an expected site without a digest
        too_few,           ///< fewer names than the inventory has
        too_many,          ///< more than a digest or a roster can name
        other_generation,  ///< the site's numbers are of another history of the board
        old_form,          ///< a gateway that says nothing of what it has in force
        no_inventory,      ///< nothing is known of what should be there
        board_unknown,     ///< the board's newest number is not known, or is lower than what is claimed
    };
    struct Missing {
        MissingReason reason;
        SiteName site;      ///< may be empty
        MemberName member;  ///< empty: the whole site
        std::int64_t since_ms = 0;
        bool operator==(const Missing&) const = default;
    };
    struct Verdict {
        Reach reach = Reach::not_yet;
        std::vector<Missing>
            missing;  ///< at most so many as digests name; if more are known of, it is not yet
    };
    struct Query {
        EventNumber event;                  ///< zero: not asked
        ConfigurationNumber configuration;  ///< zero: not asked
    };
    /// What one reading of the registry showed, all at one revision.
    struct RegistryReading {
        TimePoint requested_at;
        std::optional<std::string> generation;
        std::map<SiteName, std::string> digests;
        std::map<SiteName, std::string> owner_heartbeats;  ///< of those that owners() named
        std::set<MemberName> old_form;                     ///< members outside of all sites
    };

    /// The inventory: each site with the number of its gateways, at least.
    FleetStatus(Duration term, std::map<SiteName, std::size_t> inventory)
        : term_(term), inventory_(std::move(inventory)) {}

    /// Whose heartbeats the next reading must show.
    std::map<SiteName, MemberName> owners() const;
    void on_reading(const RegistryReading&);
    /// What the board answered to a question that was asked after the last reading.
    void on_newest_event(EventNumber newest) { newest_event_ = newest; }

    Verdict judge(TimePoint now, const Query&) const;
    bool fresh(TimePoint now, const SiteName&) const;
    const std::map<SiteName, Digest>& digests() const { return digests_; }

private:
    static constexpr std::size_t max_readings = 256;  // remembered of a site; beyond, the oldest goes

    struct HeartbeatReading {
        TimePoint asked;
        std::string owner_id;
        std::int64_t number = 0;
    };
    void judge_site(TimePoint now, const Query&, const SiteName&, const Digest&, std::vector<Missing>&) const;
    EventNumber highest_claimed_event() const;

    Duration term_;
    std::map<SiteName, std::size_t> inventory_;
    std::optional<Generation> generation_;
    std::map<SiteName, Digest> digests_;
    std::set<SiteName> unreadable_;
    std::map<SiteName, std::deque<HeartbeatReading>>
        heartbeat_readings_;  // heartbeats of owners, by the reading that showed them
    std::set<MemberName> legacy_members_;
    std::optional<EventNumber> newest_event_;
};

}  // namespace irismux::fleet
