// The settings of one registry connection: members, keys, credentials, limits.
#pragma once

#include <string>
#include <vector>

#include "registry/poll_policy.hpp"

namespace irismux::registry {

struct Settings {
    /// Address and port of each registry member. The addresses are numeric, since the lookup of a host name
    /// would block the event loop.
    std::vector<std::string> members;
    std::string prefix;           ///< prefix of all keys; the rest of a key is the record's id
    std::string user, password;   ///< empty: no authentication
    std::size_t page_size = 500;  ///< records per page of a full read
    std::string snapshot_folder;  ///< folder of the store for the EndpointSnapshot; empty: none
    Duration snapshot_max_age = Duration::micros(3'600'000'000);  ///< an older snapshot is not used
    PollPolicy poll_policy;
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::registry
