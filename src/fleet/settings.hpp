/// A gateway's own settings of its fleet: the table [fleet] of the parts file.
#pragma once

#include <map>
#include <string>

#include "fleet/applied_revisions.hpp"
#include "registry/settings.hpp"

namespace irismux::fleet {

struct Settings {
    SharedConfig shared_config;
    MemberName name;              ///< of this gateway as a member
    registry::Settings registry;  ///< with the fleet's own prefix
    /// Between two health checks of one cache.
    Duration health_check_interval = Duration::micros(2'000'000);
    /// Between the end of a garbage collector's pass and the next one.
    Duration collection_interval = Duration::micros(60'000'000);
    /// Of the tokens seen; empty: they are not kept over a restart.
    std::string token_store_folder;
    /// A site's members know only one another, and report what they have applied. Empty: of the whole fleet.
    SiteName site = {};
    /// The least time between two acknowledgements, and between two digests.
    Duration acknowledge_interval = Duration::micros(500'000);
    /// As its author numbers it; zero: not numbered.
    ConfigurationNumber configuration = {};
    /// Each site with the number of its gateways; for `irismux fleet in-force`.
    std::map<SiteName, std::size_t> inventory = {};
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::fleet
