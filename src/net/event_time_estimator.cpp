#include "net/event_time_estimator.hpp"

#include <algorithm>
#include <vector>

namespace irismux {
namespace {

// Of what is read at two ends of a connection.
constexpr Duration tolerance = Duration::micros(50'000);
// Two clocks drift apart by less than one part in so many of the time that passes.
constexpr std::int64_t drift_part = 1'000;
// Before anything was seen of the writers' clock the own one is believed within so much.
constexpr Duration unproven = Duration::micros(2'000'000);

}  // namespace

void EventTimeEstimator::begin_history(TimePoint known_at, TimePoint newest) {
    history_ = true;
    now_ = known_at;
    earliest_ = {};
    if (newest != TimePoint{} && !ahead_) learn(newest);
}

void EventTimeEstimator::begin_news(TimePoint now, TimePoint earliest) {
    history_ = false;
    now_ = now;
    earliest_ = earliest;
}

Duration EventTimeEstimator::least_ahead() const {
    return *ahead_ - Duration::micros((now_ - ahead_seen_).micros() / drift_part);
}

void EventTimeEstimator::learn(TimePoint stamp) {
    const Duration at_least = stamp - now_;
    if (ahead_ && at_least <= least_ahead()) return;
    ahead_ = at_least;
    ahead_seen_ = now_;
}

// As late as it can have been.
TimePoint EventTimeEstimator::dated(TimePoint stamp) const {
    const TimePoint at = stamp - least_ahead();
    return std::clamp(history_ ? std::max(at, stamp) : at, earliest_, now_);
}

TimePoint EventTimeEstimator::purge(TimePoint stamp) {
    const bool stepped_back = ahead_ && !history_ && stamp - least_ahead() < earliest_ - tolerance;
    if (stepped_back) ahead_.reset();
    learn(stamp);
    return dated(stamp);
}

TimePoint EventTimeEstimator::start_in_news(TimePoint stamp) const {
    if (!ahead_ && now_ - earliest_ > unproven) return now_;
    const TimePoint at = ahead_ ? stamp - least_ahead() : stamp;
    const bool fits = at >= earliest_ - tolerance && at <= now_ + tolerance;
    return fits ? std::clamp(at, earliest_, now_) : now_;
}

TimePoint EventTimeEstimator::start(const CacheId& cache, TimePoint stamp) {
    if (stamp == TimePoint{}) return stamp;
    const auto known = starts_.find(cache);
    if (known != starts_.end() && known->second.stamp == stamp) return known->second.at;
    if (starts_.size() >= max_starts) forget_older_half();
    const TimePoint at = !history_ ? start_in_news(stamp) : ahead_ ? dated(stamp) : now_;
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
