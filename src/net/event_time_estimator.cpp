#include "net/event_time_estimator.hpp"

#include <algorithm>
#include <vector>

namespace irismux {
namespace {

// Of times that were read at the two ends of a connection.
constexpr Duration tolerance = Duration::micros(50'000);
// Two clocks drift apart by less than one part in so many of the time that passes.
constexpr std::int64_t drift_divisor = 1'000;
// Before anything was seen of the writers' clock this one is believed for so long.
constexpr Duration max_unproven_age = Duration::micros(2'000'000);

}  // namespace

void EventTimeEstimator::begin_history(TimePoint known_at, TimePoint newest) {
    period_ = Period::history;
    now_ = known_at;
    earliest_ = {};
    if (newest != TimePoint{} && !lead_) learn_lead(newest);
}

void EventTimeEstimator::begin_news(TimePoint now, TimePoint earliest) {
    period_ = Period::news;
    now_ = now;
    earliest_ = earliest;
}

Duration EventTimeEstimator::min_lead() const {
    return *lead_ - Duration::micros((now_ - lead_seen_at_).micros() / drift_divisor);
}

void EventTimeEstimator::learn_lead(TimePoint stamp) {
    const Duration lead = stamp - now_;
    if (lead_ && lead <= min_lead()) return;
    lead_ = lead;
    lead_seen_at_ = now_;
}

TimePoint EventTimeEstimator::latest_time(TimePoint stamp) const {
    const TimePoint by_lead = stamp - min_lead();
    const TimePoint at = period_ == Period::history ? std::max(by_lead, stamp) : by_lead;
    return std::clamp(at, earliest_, now_);
}

TimePoint EventTimeEstimator::purge(TimePoint stamp) {
    const bool stepped_back = lead_ && period_ == Period::news && stamp - min_lead() < earliest_ - tolerance;
    if (stepped_back) lead_.reset();
    learn_lead(stamp);
    return latest_time(stamp);
}

TimePoint EventTimeEstimator::start_in_history(TimePoint stamp) const {
    return lead_ ? latest_time(stamp) : now_;
}

TimePoint EventTimeEstimator::start_in_news(TimePoint stamp) const {
    if (!lead_ && now_ - earliest_ > max_unproven_age) return now_;
    const TimePoint at = lead_ ? stamp - min_lead() : stamp;
    const bool fits = at >= earliest_ - tolerance && at <= now_ + tolerance;
    return fits ? std::clamp(at, earliest_, now_) : now_;
}

TimePoint EventTimeEstimator::start(const CacheId& cache, TimePoint stamp) {
    if (stamp == TimePoint{}) return stamp;
    const auto known = starts_.find(cache);
    if (known != starts_.end() && known->second.stamp == stamp) return known->second.at;
    if (starts_.size() >= max_starts) forget_older_half();
    const TimePoint at = period_ == Period::history ? start_in_history(stamp) : start_in_news(stamp);
    starts_[cache] = {stamp, at};
    return at;
}

void EventTimeEstimator::forget_older_half() {
    std::vector<TimePoint> times;
    times.reserve(starts_.size());
    for (const auto& [cache, start] : starts_) times.push_back(start.at);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(starts_, [&](const auto& entry) { return entry.second.at <= *middle; });
}

}  // namespace irismux
