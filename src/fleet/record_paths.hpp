/// The path of each record of a fleet in the registry. All functions of this file are pure.
///
///   PREFIX roll/KEY               records that every member watches
///   PREFIX beat/NAME              heartbeats; not watched, so that the watch does not deliver each heartbeat
///                                 to every member
///   PREFIX site/SITE/...          roll/KEY and beat/NAME for the members of one site
///   PREFIX digest/SITE            the digests of all sites
///   PREFIX generation             the generation of the notice board, for all sites
#pragma once

#include <string>

#include "fleet/applied_revisions.hpp"

namespace irismux::fleet {

/// Returns the path of a record relative to the fleet's prefix. If `site` is not empty, the record belongs to
/// that site.
[[nodiscard]] std::string path_of(const Key& key);
[[nodiscard]] std::string path_of(const Key& key, const SiteName& site);
/// Returns the key of a record from its path relative to the fleet's or the site's prefix.
[[nodiscard]] Key key_at(const std::string& path);
/// Returns the prefix of the watched records for a fleet's or a site's prefix.
[[nodiscard]] std::string watched_prefix(const std::string& prefix);
/// Returns the prefix of a site's records, or the fleet's own prefix if `site` is empty.
[[nodiscard]] std::string site_prefix(const std::string& prefix, const SiteName& site);
/// Returns the prefix of the digests of all sites.
[[nodiscard]] std::string digest_prefix(const std::string& prefix);

}  // namespace irismux::fleet
