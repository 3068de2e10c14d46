/// Where each record of a fleet lies in the registry. Pure functions.
///
///   PREFIX roll/KEY               records that every member watches
///   PREFIX beat/NAME              heartbeats, outside of what is watched, so that not every member gets each
///   PREFIX site/SITE/...          both of these for the members of one site
///   PREFIX digest/SITE            the digests of all sites
///   PREFIX generation             of the notice board, for all sites
#pragma once

#include <string>

#include "fleet/applied_revisions.hpp"

namespace irismux::fleet {

/// Path of a record behind the fleet's prefix; with a site that is not empty, of a record of that site.
[[nodiscard]] std::string path_of(const Key& key);
[[nodiscard]] std::string path_of(const Key& key, const SiteName& site);
/// The key of a record by its path behind the fleet's or the site's prefix.
[[nodiscard]] Key key_at(const std::string& path);
/// The prefix of what members watch, behind a fleet's or a site's prefix.
[[nodiscard]] std::string watched_prefix(const std::string& prefix);
/// The prefix of a site's records; without a site, the fleet's own.
[[nodiscard]] std::string site_prefix(const std::string& prefix, const SiteName& site);
/// The prefix of the digests of all sites.
[[nodiscard]] std::string digest_prefix(const std::string& prefix);

}  // namespace irismux::fleet
