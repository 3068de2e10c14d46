#include "endpoint/endpoint_table.hpp"

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
    purges_.add(at, group, object, now);
}

std::optional<Span> Roster::purge_bound(const Arrival& lk, Instant now) const {
    const std::optional<Instant> at = purges_.newest(lk.object, lk.group, now);
    if (!at) return std::nullopt;
    // Guards against a purge of this very instant, or of a clock that is ahead: none at all would bind there.
    return std::max(now - *at, Span::micros(1));
}

}  // namespace irismux
