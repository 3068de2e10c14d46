// `irismux registry ...`: what an operator asks of the key-value registry by hand.
#pragma once

#include <string>

#include "registry/registry_client.hpp"

namespace irismux::cli {

// Each returns the exit code: 0, or 1 with one plain line on standard error.
int registry_dump(
    const registry::Settings& settings);  // each record of the list, a line each, at one revision
int registry_watch(
    const registry::Settings& settings);  // the list, then each change as a gateway would be told it
// A record as it stands in `line` (JSON), whose "id" names it.
int registry_put(const registry::Settings& settings, const std::string& line);
// Marks a cache as draining, or, with `state`, as something else; never a record that changes meanwhile.
int registry_state(const registry::Settings& settings, const std::string& id, const std::string& state);

}  // namespace irismux::cli
