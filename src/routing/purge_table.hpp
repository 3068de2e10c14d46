// The purges in force, of objects and of groups: how new a copy has to be. Without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class Purges {
public:
    // A purge is heeded for twice this long: until no older copy is left anywhere, and as long again.
    explicit Purges(Span purge_done) : in_force_(purge_done + purge_done) {}

    // More purges than this, of objects or of groups, are not kept one by one: the older half counts as one
    // purge of everything, at the time of its newest. That keeps old copies out (rule 5) and costs refills.
    static constexpr std::size_t most_purges = 16'384;

    void add(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now);
    // The newest purge that binds an object of that group; none: none is in force.
    std::optional<Instant> newest(const ObjectName& object, GroupNo group, Instant now) const;
    std::size_t kept() const { return objects_.size() + groups_.size(); }

private:
    bool over(Instant at, Instant now) const { return now > at + in_force_; }
    void forget(Instant now);
    template <class Table>
    void merge_older_half(Table& purges);

    Span in_force_;
    Instant forget_at_;
    std::optional<Instant> everything_;
    // By the hash of a name: two names of one hash are bound by each other's purges, which costs refills.
    std::unordered_map<std::size_t, Instant> objects_;
    std::unordered_map<std::int64_t, Instant> groups_;
};

}  // namespace irismux
