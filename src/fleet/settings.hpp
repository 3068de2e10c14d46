/// A gateway's settings for its fleet: the table [fleet] of the parts file.
#pragma once

#include <map>
#include <string>

#include "fleet/applied_revisions.hpp"
#include "registry/settings.hpp"

namespace irismux::fleet {

struct Settings {
    SharedConfig shared_config;
    MemberName name;              ///< name of this gateway as a member
    registry::Settings registry;  ///< the registry's settings, with the fleet's own prefix
    /// Time between two health checks of one cache.
    Duration health_check_interval = Duration::micros(2'000'000);
    /// Time between the end of a garbage collector's pass and the start of the next one.
    Duration collection_interval = Duration::micros(60'000'000);
    /// Folder in which the fencing tokens that the gateway has seen are stored. If the folder is empty, the
    /// tokens are not kept over a restart.
    std::string token_store_folder;
    /// Site of the gateway. Members of a site watch only one another, and report their applied revisions.
    /// Empty for a member of the whole fleet.
    SiteName site = {};
    /// Minimum time between two acknowledgements, and between two digests.
    Duration acknowledge_interval = Duration::micros(500'000);
    /// Number that the author of the gateway's configuration assigned to the configuration; zero if it has no
    /// number.
    ConfigurationNumber configuration = {};
    /// Number of gateways of each site, which `irismux fleet in-force` needs.
    std::map<SiteName, std::size_t> inventory = {};
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::fleet
