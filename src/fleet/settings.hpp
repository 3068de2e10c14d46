/// A gateway's own settings of its fleet: the table [fleet] of the parts file.
#pragma once

#include <map>
#include <string>

#include "fleet/applied_revisions.hpp"
#include "registry/settings.hpp"

namespace irismux::fleet {

struct Settings {
    SharedConfig shared_config;
    MemberName name;                                               ///< of this gateway as a member
    registry::Settings registry;                                   ///< with the fleet's own prefix
    Duration health_check_interval = Duration::micros(2'000'000);  ///< between probes of one cache
    Duration collection_interval =
        Duration::micros(60'000'000);  ///< between two passes of the garbage collector
    std::string token_store_folder;    ///< folder of the store of tokens seen; empty: they are not kept
    /// Of a site: its members know only one another, and say what they have in force. Empty: of the whole
    /// fleet.
    SiteName site = {};
    Duration acknowledge_interval =
        Duration::micros(500'000);                   ///< pace of acknowledgements and digests under way
    ConfigurationNumber configuration = {};          ///< as its author numbers it; zero: not said
    std::map<SiteName, std::size_t> inventory = {};  ///< each site with its number of gateways; for who asks
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::fleet
