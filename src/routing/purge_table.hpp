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
    /// @param reaches_all_copies_after time after which no older copy is left anywhere; purges are kept for
    /// twice as long
    explicit PurgeTable(Duration reaches_all_copies_after)
        : retention_(reaches_all_copies_after + reaches_all_copies_after) {}

    /// Maximum number of purges of objects and of purges of groups. Beyond it, the older half is merged into
    /// one purge of everything, dated to the newest purge of that half. No purged copy is served (rule 5), at
    /// the cost of additional fills.
    static constexpr std::size_t max_purges = 16'384;

    void add(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    /// @return time of the newest purge that applies to the object of that group, or std::nullopt if there is
    /// none
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
    // Keyed by the hash of the object name. A purge also applies to other names with the same hash, which
    // costs additional fills.
    std::unordered_map<std::size_t, TimePoint> objects_;
    std::unordered_map<std::int64_t, TimePoint> groups_;
};

}  // namespace irismux
