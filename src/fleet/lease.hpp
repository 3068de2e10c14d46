// One duty as one member sees itself: whether it owns it, and for how long yet. No I/O.
//
//   idle      another owns it, or is to have it
//   seeking   it should be this member's, and a claim is due or out
//   owning    the record names this member, and its term runs
//   resting   as owning, but too close to the end of the term to begin anything
//   lost      it was owned, and the term has ended or the record names another: nothing may be done
//
// `enter` is the one function that moves between them; docs/fleet.md has the table.
#pragma once

#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

enum class LeaseState { idle, seeking, owning, resting, lost };
std::string_view word_of(LeaseState);

// What decides, all at one instant of the member's own clock.
struct LeaseConditions {
    bool named = false;  // the newest record known names this very instance
    bool in_term = false;
    bool near_end = false;
    bool wanted = false;  // by the order of the members
};

class Lease {
public:
    LeaseState state() const { return state_; }
    LeaseState enter(const LeaseConditions& lease_conditions);

private:
    LeaseState state_ = LeaseState::idle;
};

}  // namespace irismux::fleet
