// The table of the purges in effect, by object and by group.
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
    /// @param reaches_all_copies_after time after a purge at which no copy older than the purge is left
    /// anywhere. Purges are kept for twice as long.
    explicit PurgeTable(Duration reaches_all_copies_after)
        : retention_(reaches_all_copies_after + reaches_all_copies_after) {}

    /// Maximum number of purges of objects, and also the maximum number of purges of groups. If more are
    /// added, the older half is merged into one purge that applies to all objects and has the time of the
    /// newest purge of this half. A purged copy is never served after such a merge, but some valid copies are
    /// not served either, which costs additional fills.
    static constexpr std::size_t max_purges = 16'384;

    void add(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    /// @return time of the newest purge that applies to the object, which belongs to the group, or
    /// std::nullopt if no purge applies
    [[nodiscard]] std::optional<TimePoint> newest(const ObjectName& object, PurgeGroupId group,
                                                  TimePoint now) const;
    std::size_t size() const { return objects_.size() + groups_.size(); }

private:
    bool expired(TimePoint at, TimePoint now) const { return now > at + retention_; }
    void erase_expired(TimePoint now);
    template <class Table>
    void merge_older_half(Table& purges);

    Duration retention_;
    TimePoint next_erase_at_;
    std::optional<TimePoint> purge_of_everything_;
    // Keyed by the hash of the object name. A purge of one object also applies to other objects whose names
    // have the same hash, which costs additional fills.
    std::unordered_map<std::size_t, TimePoint> objects_;
    std::unordered_map<std::int64_t, TimePoint> groups_;
};

}  // namespace irismux
