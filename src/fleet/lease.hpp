/// A member's own lease of one duty. Only Lease::update() changes the state of the lease; docs/fleet.md has
/// the state table. Does no I/O.
#pragma once

#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

enum class LeaseState {
    idle,      ///< another member owns the duty, or should own it
    seeking,   ///< this member should own the duty: a claim is due or in flight
    owning,    ///< the record names this member, and its term has not ended
    expiring,  ///< like owning, but too near the end of the term to begin new work
    /// This member owned the duty, and either the term has ended or the record names another instance. Acting
    /// is forbidden.
    lost,
};
/// Returns the state's name in the log.
std::string_view to_string(LeaseState);

/// The conditions that determine the state, all at one time of the member's own clock.
struct LeaseConditions {
    bool record_names_us = false;  ///< the newest record known names this exact instance
    bool in_term = false;          ///< a heartbeat was committed so recently that this member may act
    bool near_term_end = false;    ///< the term of that heartbeat ends soon
    bool should_claim = false;     ///< the duty is unowned, and this member is the first in its order
};

class Lease {
public:
    [[nodiscard]] LeaseState state() const { return state_; }
    /// Returns the new state.
    LeaseState update(const LeaseConditions& conditions);

private:
    LeaseState state_ = LeaseState::idle;
};

}  // namespace irismux::fleet
