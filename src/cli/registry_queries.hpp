// Reads of a registry by the command line.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cli/registry_session.hpp"
#include "registry/record.hpp"

namespace irismux::cli {

/// Values by key.
using ValuesByKey = std::map<std::string, std::string>;

/// Calls `visit` with each record under a prefix, by key, all at one revision. Returns that revision. On an
/// error some records may have been visited.
[[nodiscard]] registry::etcd::ReadResult<registry::Revision> visit_records(
    RegistrySession& session, const registry::Settings& settings, const std::string& prefix,
    const std::function<void(const registry::Record&)>& visit);

/// All records under a prefix, at one revision; the keys without the prefix.
[[nodiscard]] registry::etcd::ReadResult<ValuesByKey> read_all(RegistrySession& session,
                                                               const registry::Settings& settings,
                                                               const std::string& prefix);

/// Those records that exist, up to 120 of them at one revision; the keys without the settings' prefix.
/// Throws RegistryError.
[[nodiscard]] ValuesByKey read_keys(RegistrySession& session, const registry::Settings& settings,
                                    const std::vector<std::string>& keys);

/// The record of a key without the prefix; one created at revision zero if there is none.
[[nodiscard]] registry::etcd::ReadResult<registry::Record> read_record(RegistrySession& session,
                                                                       const registry::Settings& settings,
                                                                       const std::string& key);

}  // namespace irismux::cli
