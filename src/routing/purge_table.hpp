// The purges in force, of objects and of groups: how new a copy has to be. Without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class PurgeTable {
public:
    // A purge is heeded for twice this long: until no older copy is left anywhere, and as long again.
    explicit PurgeTable(Duration purge_done) : retention_(purge_done + purge_done) {}

    // More purges than this, of objects or of groups, are not kept one by one: the older half counts as one
    // purge of everything, at the time of its newest. That keeps old copies out (rule 5) and costs refills.
    static constexpr std::size_t max_purges = 16'384;

    void add(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    // The newest purge that binds an object of that group; none: none is in force.
    std::optional<TimePoint> newest(const ObjectName& object, PurgeGroupId group, TimePoint now) const;
    std::size_t size() const { return objects_.size() + groups_.size(); }

private:
    bool expired(TimePoint at, TimePoint now) const { return now > at + retention_; }
    void erase_expired(TimePoint now);
    template <class Table>
    void merge_older_half(Table& purges);

    Duration retention_;
    TimePoint next_erase_at_;
    std::optional<TimePoint> everything_;
    // By the hash of a name: two names of one hash are bound by each other's purges, which costs refills.
    std::unordered_map<std::size_t, TimePoint> objects_;
    std::unordered_map<std::int64_t, TimePoint> groups_;
};

}  // namespace irismux
