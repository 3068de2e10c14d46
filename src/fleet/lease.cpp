#include "fleet/lease.hpp"

namespace irismux::fleet {

std::string_view to_string(LeaseState state) {
    constexpr std::string_view names[] = {"idle", "seeking", "owning", "expiring", "lost"};
    return names[static_cast<std::size_t>(state)];
}

LeaseState Lease::update(const LeaseConditions& conditions) {
    const bool was_owned = state_ == LeaseState::owning || state_ == LeaseState::expiring;
    if (conditions.record_names_us && conditions.in_term)
        state_ = conditions.near_term_end ? LeaseState::expiring : LeaseState::owning;
    else if (was_owned || (conditions.record_names_us && state_ == LeaseState::lost))
        state_ = LeaseState::lost;
    else
        state_ = conditions.should_claim && conditions.in_term ? LeaseState::seeking : LeaseState::idle;
    return state_;
}

}  // namespace irismux::fleet
