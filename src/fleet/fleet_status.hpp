/// Determines whether an event or a configuration is in force everywhere, at all gateways except some, or not
/// yet. The result is a verdict, which names the excepted gateways. The verdict is based on the digests of
/// all sites, the inventory of sites, and the notice board's newest event. Does no I/O and reads no clock.
///
/// A digest counts only while it is fresh: no longer than max_staleness() ago, the reader itself has seen a
/// heartbeat of the owner with a lower number than the heartbeat on which the digest is based. Therefore
/// several reads are needed before any verdict is possible, and neither a stopped owner nor a late message
/// can make an old digest count as new.
///
/// Guarantee: when judge() returns `everywhere`, no gateway acts without the event. Premises: those of
/// AppliedRevisionTracker and DigestBuilder; the inventory names every site with the number of its gateways;
/// no clock's rate is off by more than `drift`; a process without a reply from the notice board does not
/// serve for max_counted_time() after its start; no two processes use the same member name at one time.
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
    enum class Reach {
        everywhere,
        all_but,  ///< only absent members and sites with stale digests are missing, and all of them are named
        not_yet,
    };
    enum class MissingReason {
        absent,                ///< a member whose heartbeats do not show that it runs: cut off, dead or left
        stale_digest,          ///< the site has no fresh digest
        lagging,               ///< a live member that has not applied the event or configuration
        never_reported,        ///< an expected site without a digest
        too_few_members,       ///< fewer names than in the inventory
        too_many_members,      ///< more members than a digest or a roster can name
        other_generation,      ///< the site's numbers are of another generation of the notice board
        outside_all_sites,     ///< a gateway outside of all sites, which reports no revisions
        no_inventory,          ///< the settings name no sites
        newest_event_unknown,  ///< the newest event number is unknown, or below the queried or a reported one
    };
    struct Missing {
        MissingReason reason;
        SiteName site;      ///< may be empty
        MemberName member;  ///< empty for the whole site
        std::int64_t since_ms = 0;
        bool operator==(const Missing&) const = default;
    };
    struct Verdict {
        Reach reach = Reach::not_yet;
        /// The list contains only members that digests name. If further members are missing, `reach` is
        /// `not_yet`.
        std::vector<Missing> missing;
    };
    struct Query {
        EventNumber event;                  ///< zero if the query has no event
        ConfigurationNumber configuration;  ///< zero if the query has no configuration
    };
    /// The records that one reading of the registry has returned. A reading may consist of several requests,
    /// so different kinds of records may be at different revisions. `requested_at` must be the time before
    /// the first request. The generation must not be read before the digests: otherwise a generation that
    /// begins between the two reads would not be noticed.
    struct RegistryReading {
        TimePoint requested_at;
        std::optional<std::string> generation;
        std::map<SiteName, std::string> digests;
        std::map<SiteName, std::string> owner_heartbeats;  ///< of the members that owners() returned
        std::set<MemberName> members_outside_sites;
    };

    /// `inventory` has the minimum number of gateways of each site.
    FleetStatus(Duration term, std::map<SiteName, std::size_t> inventory)
        : term_(term), inventory_(std::move(inventory)) {}

    /// Returns the digest owners, whose heartbeats the next reading must contain.
    std::map<SiteName, MemberName> owners() const;
    void on_reading(const RegistryReading&);
    /// Sets the notice board's newest event, which must have been requested after the last reading.
    void on_newest_event(EventNumber newest) { newest_event_ = newest; }

    [[nodiscard]] Verdict judge(TimePoint now, const Query&) const;
    [[nodiscard]] bool fresh(TimePoint now, const SiteName&) const;
    const std::map<SiteName, Digest>& digests() const { return digests_; }

private:
    static constexpr std::size_t max_readings = 256;  // per site; beyond this the oldest is dropped

    struct HeartbeatReading {
        TimePoint requested_at;
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
    std::map<SiteName, std::deque<HeartbeatReading>> heartbeat_readings_;  // for each digest's owner
    std::set<MemberName> members_outside_sites_;
    std::optional<EventNumber> newest_event_;
};

}  // namespace irismux::fleet
