/// The lease of one duty as one member sees its own. Lease::update() is the one function that changes its
/// state; docs/fleet.md has the table. No I/O.
#pragma once

#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

enum class LeaseState {
    idle,      ///< another member owns the duty, or is to have it
    seeking,   ///< this member should own it: a claim is due or under way
    owning,    ///< the record names this member, and its term runs
    expiring,  ///< as owning, but too near the end of the term to begin anything
    lost,      ///< it was owned, and the term has ended or the record names another: nothing may be done
};
/// As the log names it.
std::string_view to_string(LeaseState);

/// What decides the state, all at one time of the member's own clock.
struct LeaseConditions {
    bool record_names_us = false;  ///< the newest record known names this very instance
    bool in_term = false;          ///< a heartbeat has landed so recently that this member may act
    bool near_term_end = false;    ///< of that term
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
