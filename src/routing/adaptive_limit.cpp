#include "routing/adaptive_limit.hpp"

#include <algorithm>
#include <cmath>

namespace irismux::routing {
namespace {

// Time in which the share falls by a factor of e while all results are bad.
constexpr Duration cut_time = Duration::micros(800'000);
// The cut by a single bad result grows with the time since the last cut, but only up to this time.
constexpr Duration longest_time_per_cut = Duration::micros(1'000'000);
// Lower bound of the share. This bound limits the time until the share is full again, however long the bad
// results lasted.
constexpr double min_share_after_cut = 0.05;

}  // namespace

double AdaptiveLimit::share(TimePoint now) const {
    return std::min(1.0, share_after_cut_ * std::exp2((now - cut_at_) / doubling_time_));
}

void AdaptiveLimit::record(bool bad, TimePoint now) {
    if (!bad) return;
    const Duration since_cut = std::min(now - cut_at_, longest_time_per_cut);
    share_after_cut_ = std::max(min_share_after_cut, share(now) * std::exp(-(since_cut / cut_time)));
    cut_at_ = now;
}

}  // namespace irismux::routing
