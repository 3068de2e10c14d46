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

// Twice the time after which no older copy is left anywhere.
bool Roster::purge_over(Instant at, Instant now) const { return now > at + purge_done_ + purge_done_; }

void Roster::purged(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now) {
    if (purge_over(at, now)) return;
    forget_purges(now);
    Instant& kept = object ? purged_objects_[*object] : purged_groups_[group];
    kept = std::max(kept, at);
    if (purged_objects_.size() > most_purges) merge_older_half(purged_objects_);
    if (purged_groups_.size() > most_purges) merge_older_half(purged_groups_);
}

// Guards long runs of purges: looking through all that are kept at each of them would take the square of
// their number.
void Roster::forget_purges(Instant now) {
    if (now < forget_purges_at_) return;
    forget_purges_at_ = now + purge_done_ * 0.1;
    const auto over = [&](const auto& purge) { return purge_over(purge.second, now); };
    std::erase_if(purged_objects_, over);
    std::erase_if(purged_groups_, over);
}

template <class Purges>
void Roster::merge_older_half(Purges& purges) {
    std::vector<Instant> times;
    times.reserve(purges.size());
    for (const auto& purge : purges) times.push_back(purge.second);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const Instant newest_merged = *middle;
    purged_all_ = std::max(purged_all_.value_or(newest_merged), newest_merged);
    std::erase_if(purges, [&](const auto& purge) { return purge.second <= newest_merged; });
}

std::optional<Span> Roster::purge_bound(const Arrival& lk, Instant now) const {
    std::optional<Instant> at = purged_all_;
    const auto count = [&](Instant purge) { at = std::max(at.value_or(purge), purge); };
    if (const auto o = purged_objects_.find(lk.object); o != purged_objects_.end()) count(o->second);
    if (const auto g = purged_groups_.find(lk.group); g != purged_groups_.end()) count(g->second);
    if (!at || purge_over(*at, now)) return std::nullopt;
    // Guards against a purge of this very instant, or of a clock that is ahead: none at all would bind there.
    return std::max(now - *at, Span::micros(1));
}

}  // namespace irismux
