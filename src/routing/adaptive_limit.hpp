// The share of traffic that an endpoint may be given.
#pragma once

#include "irismux/time.hpp"

namespace irismux::routing {

/// Bad results cut the share; it comes back with time alone, since few results would otherwise keep it low.
/// Cuts go by the time since the last one, so that gateways with many and with few results follow alike.
class AdaptiveLimit {
public:
    /// The time in which a cut share doubles.
    static constexpr Duration default_doubling_time = Duration::micros(2'000'000);

    explicit AdaptiveLimit(Duration doubling_time = default_doubling_time) : doubling_time_(doubling_time) {}

    /// Between 0 and 1.
    [[nodiscard]] double share(TimePoint now) const;
    void record(bool bad, TimePoint now);

private:
    Duration doubling_time_;
    double share_after_cut_ = 1;
    TimePoint cut_at_;
};

}  // namespace irismux::routing
