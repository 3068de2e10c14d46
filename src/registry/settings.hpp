// Where a registry's records lie, who may read them, and at what pace it is asked.
#pragma once

#include <string>
#include <vector>

#include "registry/watch.hpp"

namespace irismux::registry {

// Where the list lies and who may read it.
struct Settings {
    std::vector<std::string>
        members;         // address and port of each; names are not looked up: that would hold the loop
    std::string prefix;  // of the keys; what follows it is a cache's id
    std::string user, password;   // empty: without
    std::size_t page_size = 500;  // records a page of a full read
    std::string snapshot_folder;  // folder of the store that keeps the list for the next start; empty: none
    Duration snapshot_max_age = Duration::micros(3'600'000'000);  // an older one is no start
    PollPolicy poll_policy;
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::registry
