// Roles of the rig's processes other than real gateways: the registry members, the notice board, relays,
// groups of stub gateways, and the clients and caches of the real gateways. Each process receives orders over
// a control channel and exits when the channel closes.
#pragma once

#include <string>

namespace irismux::scale {

// Runs a role until its control channel closes and returns the exit code. `number` identifies the process
// among those of the same role.
int run_role(const std::string& role, const std::string& control, std::size_t number);

}  // namespace irismux::scale
