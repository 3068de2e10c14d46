#include "fleet/fleet_status.hpp"

#include <algorithm>

namespace irismux::fleet {

std::map<SiteName, MemberName> FleetStatus::owners() const {
    std::map<SiteName, MemberName> all;
    for (const auto& [site, digest] : digests_) all[site] = digest.owner;
    return all;
}

void FleetStatus::on_reading(const RegistryReading& reading) {
    newest_event_.reset();
    generation_ = reading.generation ? parse_generation(*reading.generation) : std::nullopt;
    members_outside_sites_ = reading.members_outside_sites;
    digests_.clear();
    unreadable_.clear();
    for (const auto& [site, text] : reading.digests) {
        if (auto digest = parse_digest(text))
            digests_[site] = std::move(*digest);
        else
            unreadable_.insert(site);
    }
    for (const auto& [site, text] : reading.owner_heartbeats) {
        const auto heartbeat = parse_heartbeat(text);
        if (!heartbeat) continue;
        auto& shown = heartbeat_readings_[site];
        shown.push_back({reading.requested_at, heartbeat->instance_id.raw(), heartbeat->number.raw()});
        if (shown.size() > max_readings) shown.pop_front();
    }
}

// Returns whether the site has a fresh digest. Each digest is based on one heartbeat of its owner. The digest
// is fresh if a recent reading still showed a heartbeat of the owner with a lower number. In this case the
// registry committed the digest's heartbeat after that reading was requested.
bool FleetStatus::fresh(TimePoint now, const SiteName& site) const {
    const auto digest = digests_.find(site);
    const auto shown = heartbeat_readings_.find(site);
    if (digest == digests_.end() || shown == heartbeat_readings_.end()) return false;
    return std::any_of(shown->second.begin(), shown->second.end(), [&](const HeartbeatReading& s) {
        return s.owner_id == digest->second.owner_id && s.number < digest->second.as_of_heartbeat &&
               now - s.requested_at <= max_staleness(term_);
    });
}

EventNumber FleetStatus::highest_claimed_event() const {
    EventNumber all;
    for (const auto& [site, digest] : digests_) all = std::max(all, digest.highest);
    return all;
}

void FleetStatus::judge_site(TimePoint now, const Query& query, const SiteName& site, const Digest& digest,
                             std::vector<Missing>& missing) const {
    if (!fresh(now, site))
        return missing.push_back({MissingReason::stale_digest, site, {}, digest.as_of_unix_ms});
    if (!generation_ || digest.generation != *generation_ || digest.history_lost)
        return missing.push_back({MissingReason::other_generation, site, {}, digest.as_of_unix_ms});
    const auto expected = inventory_.find(site);
    if (expected == inventory_.end() || digest.known_count < expected->second)
        missing.push_back({MissingReason::too_few_members, site, {}, 0});
    if (digest.roster_incomplete || digest.absent_count > digest.absent.size())
        missing.push_back({MissingReason::too_many_members, site, {}, 0});
    for (const auto& member : digest.absent)
        missing.push_back({MissingReason::absent, site, member.member, member.since_ms});
    if (digest.lowest >= query.event && digest.lowest_configuration >= query.configuration) return;
    bool named = false;
    for (const auto& lagging : digest.lagging)
        if (lagging.event < query.event || lagging.configuration < query.configuration) {
            missing.push_back({MissingReason::lagging, site, lagging.member, 0});
            named = true;
        }
    // Adds an entry without a member name in two cases: the digest names no lagging member, because all
    // members of the site lag equally, or the digest names only some of the lagging members.
    if (!named || digest.lagging_count > digest.lagging.size())
        missing.push_back({MissingReason::lagging, site, {}, 0});
}

FleetStatus::Verdict FleetStatus::judge(TimePoint now, const Query& query) const {
    Verdict verdict;
    if (inventory_.empty()) verdict.missing.push_back({MissingReason::no_inventory, {}, {}, 0});
    // After a restore of the notice board, members still report event numbers of the board's former history,
    // and the queried event would count as applied by mistake. In this case the board's newest event number
    // is lower than a number that a member reports.
    if (query.event > EventNumber{} &&
        (!newest_event_ || *newest_event_ < query.event || *newest_event_ < highest_claimed_event()))
        verdict.missing.push_back({MissingReason::newest_event_unknown, {}, {}, 0});
    for (const MemberName& name : members_outside_sites_)
        verdict.missing.push_back({MissingReason::outside_all_sites, {}, name, 0});
    for (const auto& [site, count] : inventory_)
        if (count > 0 && !digests_.contains(site))
            verdict.missing.push_back({MissingReason::never_reported, site, {}, 0});
    for (const SiteName& site : unreadable_)
        verdict.missing.push_back({MissingReason::never_reported, site, {}, 0});
    for (const auto& [site, digest] : digests_) judge_site(now, query, site, digest, verdict.missing);
    const bool only_silent =
        std::all_of(verdict.missing.begin(), verdict.missing.end(), [](const Missing& m) {
            return m.reason == MissingReason::absent || m.reason == MissingReason::stale_digest;
        });
    verdict.reach = only_silent ? Reach::all_but : Reach::not_yet;
    if (verdict.missing.empty()) verdict.reach = Reach::everywhere;
    return verdict;
}

}  // namespace irismux::fleet
