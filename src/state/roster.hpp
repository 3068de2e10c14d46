// The list of caches, parents and origin as last told, and the purges: what a send is checked against when
// its first byte goes out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "irismux/rules.hpp"

namespace irismux {

class CacheLink;

// The one record a cache.
struct Peer {
    Listing listing;
    std::string address;
    std::vector<std::shared_ptr<CacheLink>> links;
};

class Roster {
public:
    explicit Roster(Span purge_done) : purge_done_(purge_done) {}

    void told(const std::vector<std::pair<Listing, std::string>>& lines, bool complete);
    Peer* find(const CacheId& id);
    bool in_service(const CacheId& id) const;
    void each(const std::function<void(Peer&)>& visit);
    std::size_t listed_at(const LocationId& location) const;
    // Forgets a cache that is gone once nothing is connected to it.
    void drop_if_gone(const CacheId& id);

    // More purges than this, of objects or of groups, are not kept one by one: the older half counts as one
    // purge of everything, at the time of its newest. That keeps old copies out (rule 5) and costs refills.
    static constexpr std::size_t most_purges = 16'384;

    void purged(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now);
    std::size_t purges_kept() const { return purged_objects_.size() + purged_groups_.size(); }
    // The age that a copy may have at most after the purges so far; none if no purge binds.
    std::optional<Span> purge_bound(const Arrival& lk, Instant now) const;

private:
    bool purge_over(Instant at, Instant now) const;
    void forget_purges(Instant now);
    template <class Purges>
    void merge_older_half(Purges& purges);

    std::map<CacheId, Peer> peers_;
    Span purge_done_;
    Instant forget_purges_at_;
    std::optional<Instant> purged_all_;  // of everything
    std::map<ObjectName, Instant> purged_objects_;
    std::map<GroupNo, Instant> purged_groups_;
};

}  // namespace irismux
