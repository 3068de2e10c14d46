// The list of caches, parents and origin as last told, and the purges: what a send is checked against when
// its first byte goes out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "irismux/router.hpp"
#include "routing/purge_table.hpp"

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
    explicit Roster(Span purge_done) : purges_(purge_done) {}

    void told(const std::vector<std::pair<Listing, std::string>>& lines, bool complete);
    Peer* find(const CacheId& id);
    bool in_service(const CacheId& id) const;
    void each(const std::function<void(Peer&)>& visit);
    std::size_t listed_at(const LocationId& location) const;
    // Forgets a cache that is gone once nothing is connected to it.
    void drop_if_gone(const CacheId& id);

    static constexpr std::size_t most_purges = Purges::most_purges;

    void purged(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now);
    std::size_t purges_kept() const { return purges_.kept(); }
    // The age that a copy may have at most after the purges so far; none if no purge binds.
    std::optional<Span> purge_bound(const Arrival& lk, Instant now) const;

private:
    std::map<CacheId, Peer> peers_;
    Purges purges_;
};

}  // namespace irismux
