#include "net/event_time_estimator.hpp"

#include <algorithm>
#include <vector>

namespace irismux {
namespace {

// Allowed difference between timestamps that the two ends of a connection took of one event.
constexpr Duration tolerance = Duration::micros(50'000);
// Two clocks drift apart by less than the elapsed time divided by this number.
constexpr std::int64_t drift_divisor = 1'000;
// While no offset of the writers' clock has been measured, the timestamps of cache starts are read as times
// of this process's clock, but only if the previous poll was sent at most this long ago.
constexpr Duration max_unproven_age = Duration::micros(2'000'000);

}  // namespace

void EventTimeEstimator::begin_history(TimePoint known_at, TimePoint newest) {
    period_ = Period::history;
    now_ = known_at;
    earliest_ = {};
    if (newest != TimePoint{} && !clock_offset_) update_clock_offset(newest);
}

void EventTimeEstimator::begin_live(TimePoint now, TimePoint earliest) {
    period_ = Period::live;
    now_ = now;
    earliest_ = earliest;
}

Duration EventTimeEstimator::min_clock_offset() const {
    return *clock_offset_ - Duration::micros((now_ - clock_offset_seen_at_).micros() / drift_divisor);
}

void EventTimeEstimator::update_clock_offset(TimePoint timestamp) {
    const Duration offset = timestamp - now_;
    if (clock_offset_ && offset <= min_clock_offset()) return;
    clock_offset_ = offset;
    clock_offset_seen_at_ = now_;
}

TimePoint EventTimeEstimator::latest_time(TimePoint timestamp) const {
    const TimePoint by_offset = timestamp - min_clock_offset();
    const TimePoint at = period_ == Period::history ? std::max(by_offset, timestamp) : by_offset;
    return std::clamp(at, earliest_, now_);
}

TimePoint EventTimeEstimator::purge_time(TimePoint timestamp) {
    const bool stepped_back =
        clock_offset_ && period_ == Period::live && timestamp - min_clock_offset() < earliest_ - tolerance;
    if (stepped_back) clock_offset_.reset();
    update_clock_offset(timestamp);
    return latest_time(timestamp);
}

TimePoint EventTimeEstimator::historical_start(TimePoint timestamp) const {
    return clock_offset_ ? latest_time(timestamp) : now_;
}

TimePoint EventTimeEstimator::live_start(TimePoint timestamp) const {
    if (!clock_offset_ && now_ - earliest_ > max_unproven_age) return now_;
    const TimePoint at = clock_offset_ ? timestamp - min_clock_offset() : timestamp;
    const bool fits = at >= earliest_ - tolerance && at <= now_ + tolerance;
    return fits ? std::clamp(at, earliest_, now_) : now_;
}

TimePoint EventTimeEstimator::start_time(const CacheId& cache, TimePoint timestamp) {
    if (timestamp == TimePoint{}) return timestamp;
    const auto known = starts_.find(cache);
    if (known != starts_.end() && known->second.timestamp == timestamp) return known->second.at;
    if (starts_.size() >= max_starts) forget_older_half();
    const TimePoint at = period_ == Period::history ? historical_start(timestamp) : live_start(timestamp);
    starts_[cache] = {timestamp, at};
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
