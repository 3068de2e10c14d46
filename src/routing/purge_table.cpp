#include "routing/purge_table.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace irismux {
namespace {

// What is over is looked for this often, as a share of the time for which a purge is in force.
constexpr double forget_every = 0.05;

std::size_t hash_of(const ObjectName& object) { return std::hash<std::string>{}(object.raw()); }

}  // namespace

void Purges::add(Instant at, GroupNo group, const std::optional<ObjectName>& object, Instant now) {
    if (over(at, now)) return;
    forget(now);
    Instant& kept = object ? objects_[hash_of(*object)] : groups_[group.raw()];
    kept = std::max(kept, at);
    if (objects_.size() > most_purges) merge_older_half(objects_);
    if (groups_.size() > most_purges) merge_older_half(groups_);
}

std::optional<Instant> Purges::newest(const ObjectName& object, GroupNo group, Instant now) const {
    std::optional<Instant> at = everything_;
    const auto count = [&](Instant purge) { at = std::max(at.value_or(purge), purge); };
    if (const auto o = objects_.find(hash_of(object)); o != objects_.end()) count(o->second);
    if (const auto g = groups_.find(group.raw()); g != groups_.end()) count(g->second);
    return at && over(*at, now) ? std::nullopt : at;
}

// Guards long runs of purges: looking through all that are kept at each of them would take the square of
// their number.
void Purges::forget(Instant now) {
    if (now < forget_at_) return;
    forget_at_ = now + in_force_ * forget_every;
    const auto is_over = [&](const auto& purge) { return over(purge.second, now); };
    std::erase_if(objects_, is_over);
    std::erase_if(groups_, is_over);
}

template <class Table>
void Purges::merge_older_half(Table& purges) {
    std::vector<Instant> times;
    times.reserve(purges.size());
    for (const auto& purge : purges) times.push_back(purge.second);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const Instant newest_merged = *middle;
    everything_ = std::max(everything_.value_or(newest_merged), newest_merged);
    std::erase_if(purges, [&](const auto& purge) { return purge.second <= newest_merged; });
}

}  // namespace irismux
