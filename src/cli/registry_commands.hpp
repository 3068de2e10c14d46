// The sub-commands of `irismux registry`, with which an operator shows and changes the endpoint records.
#pragma once

#include <string>

#include "registry/settings.hpp"

namespace irismux::cli {

// Each function returns the exit code: 0, or 1 after printing one line on standard error.

/// Prints each endpoint record, one per line, all at one revision.
int registry_dump(const registry::Settings& settings);
/// Prints the endpoint list and its changes as a gateway receives them, until the process is ended.
int registry_watch(const registry::Settings& settings);
/// Writes the record in `line`, a JSON object with an "id".
int registry_put(const registry::Settings& settings, const std::string& line);
/// Sets the "state" of an endpoint's record, unless another writer changes the record meanwhile.
int registry_state(const registry::Settings& settings, const std::string& id, const std::string& state);

}  // namespace irismux::cli
