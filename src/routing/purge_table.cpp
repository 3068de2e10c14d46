#include "routing/purge_table.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace irismux {
namespace {

// Interval at which expired purges are erased, as a share of the time for which purges are kept.
constexpr double erase_interval_share = 0.05;

std::size_t hash_of(const ObjectName& object) { return std::hash<std::string>{}(object.raw()); }

}  // namespace

void PurgeTable::add(TimePoint at, PurgeGroupId group, const std::optional<ObjectName>& object,
                     TimePoint now) {
    if (expired(at, now)) return;
    erase_expired(now);
    TimePoint& kept = object ? objects_[hash_of(*object)] : groups_[group.raw()];
    kept = std::max(kept, at);
    if (objects_.size() > max_purges) merge_older_half(objects_);
    if (groups_.size() > max_purges) merge_older_half(groups_);
}

std::optional<TimePoint> PurgeTable::newest(const ObjectName& object, PurgeGroupId group,
                                            TimePoint now) const {
    std::optional<TimePoint> at = purge_of_everything_;
    const auto take_newer = [&](TimePoint purge) { at = std::max(at.value_or(purge), purge); };
    if (const auto o = objects_.find(hash_of(object)); o != objects_.end()) take_newer(o->second);
    if (const auto g = groups_.find(group.raw()); g != groups_.end()) take_newer(g->second);
    return at && expired(*at, now) ? std::nullopt : at;
}

// Erases expired purges at intervals. Scanning the table on each addition would take quadratic time when many
// purges arrive in a row.
void PurgeTable::erase_expired(TimePoint now) {
    if (now < next_erase_at_) return;
    next_erase_at_ = now + retention_ * erase_interval_share;
    const auto is_expired = [&](const auto& purge) { return expired(purge.second, now); };
    std::erase_if(objects_, is_expired);
    std::erase_if(groups_, is_expired);
}

template <class Table>
void PurgeTable::merge_older_half(Table& purges) {
    std::vector<TimePoint> times;
    times.reserve(purges.size());
    for (const auto& purge : purges) times.push_back(purge.second);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const TimePoint newest_merged = *middle;
    purge_of_everything_ = std::max(purge_of_everything_.value_or(newest_merged), newest_merged);
    std::erase_if(purges, [&](const auto& purge) { return purge.second <= newest_merged; });
}

}  // namespace irismux
