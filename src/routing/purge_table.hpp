// The purges in force, of objects and of groups.
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
    /// @param reaches_all_copies_after no older copy is left anywhere by then; purges are kept for twice as
    /// long
    explicit PurgeTable(Duration reaches_all_copies_after)
        : retention_(reaches_all_copies_after + reaches_all_copies_after) {}

    /// Of more purges than this, of objects or of groups, the older half counts as one purge of everything,
    /// at the time of its newest: that keeps old copies out (rule 5) and costs refills.
    static constexpr std::size_t max_purges = 16'384;

    void add(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);
    /// The newest purge in force that binds an object of that group.
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
    // By the hash of a name: names of equal hash are bound by each other's purges, which costs refills.
    std::unordered_map<std::size_t, TimePoint> objects_;
    std::unordered_map<std::int64_t, TimePoint> groups_;
};

}  // namespace irismux
