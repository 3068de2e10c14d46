#include "state/roster.hpp"

#include <algorithm>

namespace irismux {

void Roster::told(const std::vector<std::pair<Listing, std::string>>& lines, bool complete) {
    if (complete)
        for (auto& [id, p] : peers_) p.listing.phase = Phase::gone;
    for (const auto& [listing, address] : lines) {
        Peer& p = peers_[listing.cache];
        p.listing = listing;
        if (!address.empty()) p.address = address;
    }
    for (auto it = peers_.begin(); it != peers_.end();) {
        const Peer& p = it->second;
        it = p.listing.phase == Phase::gone && p.links.empty() ? peers_.erase(it) : std::next(it);
    }
}

Peer* Roster::find(const CacheId& id) {
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : &it->second;
}

bool Roster::in_service(const CacheId& id) const {
    const auto it = peers_.find(id);
    return it != peers_.end() && it->second.listing.phase == Phase::in_service;
}

void Roster::each(const std::function<void(Peer&)>& visit) {
    for (auto& [id, p] : peers_) visit(p);
}

std::size_t Roster::listed_at(const LocationId& location) const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
        return p.second.listing.location == location && p.second.listing.phase != Phase::gone;
    }));
}

void Roster::drop_if_gone(const CacheId& id) {
    const auto it = peers_.find(id);
    if (it == peers_.end() || it->second.listing.phase != Phase::gone || !it->second.links.empty()) return;
    peers_.erase(it);
}

void Roster::purged(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now) {
    Instant& kept = object ? purged_objects_[*object] : purged_groups_[group];
    kept = std::max(kept, at);
    // Twice the time after which no older copy is left anywhere.
    const auto over = [&](const auto& p) { return now > p.second + purge_done_ + purge_done_; };
    std::erase_if(purged_objects_, over);
    std::erase_if(purged_groups_, over);
}

std::optional<Span> Roster::purge_bound(const Arrival& lk, Instant now) const {
    std::optional<Instant> at;
    if (const auto o = purged_objects_.find(lk.object); o != purged_objects_.end()) at = o->second;
    if (const auto g = purged_groups_.find(lk.group); g != purged_groups_.end())
        at = std::max(at.value_or(g->second), g->second);
    if (!at || now > *at + purge_done_ + purge_done_) return std::nullopt;
    return now - *at;
}

}  // namespace irismux
