// A limit on the share of traffic that is sent to an endpoint.
#pragma once

#include "irismux/time.hpp"

namespace irismux::routing {

/// Bad results cut the share of the traffic that the endpoint may get. The share recovers with time alone,
/// since otherwise an endpoint that gets few requests would have too few results to recover. The size of a
/// cut depends on the time since the last cut, so that gateways with many results and gateways with few
/// results reduce their shares equally.
class AdaptiveLimit {
public:
    /// The time in which the share doubles after a cut.
    static constexpr Duration default_doubling_time = Duration::micros(2'000'000);

    explicit AdaptiveLimit(Duration doubling_time = default_doubling_time) : doubling_time_(doubling_time) {}

    /// @return the allowed share, between 0 and 1
    [[nodiscard]] double share(TimePoint now) const;
    void record(bool bad, TimePoint now);

private:
    Duration doubling_time_;
    double share_after_cut_ = 1;
    TimePoint cut_at_;
};

}  // namespace irismux::routing
