#include "fleet/lease.hpp"

namespace irismux::fleet {

std::string_view to_string(LeaseState t) {
    constexpr std::string_view words[] = {"idle", "seeking", "owning", "resting", "lost"};
    return words[static_cast<std::size_t>(t)];
}

LeaseState Lease::enter(const LeaseConditions& g) {
    const bool had = state_ == LeaseState::owning || state_ == LeaseState::released;
    if (g.named && g.in_term)
        state_ = g.near_end ? LeaseState::released : LeaseState::owning;
    else if (had || (g.named && state_ == LeaseState::lost))
        state_ = LeaseState::lost;
    else
        state_ = g.wanted && g.in_term ? LeaseState::seeking : LeaseState::idle;
    return state_;
}

}  // namespace irismux::fleet
