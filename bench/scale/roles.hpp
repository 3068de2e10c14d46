// What the processes of the rig are, besides gateways of the real program: the registry's members, the notice
// board, relays, and groups of hollow gateways. Each is told what to do over a control channel and ends with
// it.
#pragma once

#include <string>

namespace irismux::scale {

// Runs a role until its control channel ends; the exit code. `number` tells it apart from the others.
int run_role(const std::string& role, const std::string& control, std::size_t number);

}  // namespace irismux::scale
