#include "fleet/lease.hpp"

namespace irismux::fleet {

std::string_view to_string(LeaseState t) {
    constexpr std::string_view words[] = {"idle", "seeking", "owning", "expiring", "lost"};
    return words[static_cast<std::size_t>(t)];
}

LeaseState Lease::update(const LeaseConditions& g) {
    const bool had = state_ == LeaseState::owning || state_ == LeaseState::expiring;
    if (g.record_names_us && g.in_term)
        state_ = g.near_term_end ? LeaseState::expiring : LeaseState::owning;
    else if (had || (g.record_names_us && state_ == LeaseState::lost))
        state_ = LeaseState::lost;
    else
        state_ = g.should_claim && g.in_term ? LeaseState::seeking : LeaseState::idle;
    return state_;
}

}  // namespace irismux::fleet
