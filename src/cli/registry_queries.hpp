// Functions with which the command line reads a registry.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cli/registry_session.hpp"
#include "registry/record.hpp"

namespace irismux::cli {

using ValuesByKey = std::map<std::string, std::string>;

/// Calls `visit` with each record under a prefix, ordered by key, all at one revision. Returns that revision.
/// If an error is returned, `visit` may have been called for some of the records.
[[nodiscard]] registry::etcd::ReadResult<registry::Revision> visit_records(
    RegistrySession& session, const registry::Settings& settings, const std::string& prefix,
    const std::function<void(const registry::Record&)>& visit);

/// Returns all records under a prefix at one revision. The returned keys do not include the prefix.
[[nodiscard]] registry::etcd::ReadResult<ValuesByKey> read_all(RegistrySession& session,
                                                               const registry::Settings& settings,
                                                               const std::string& prefix);

/// Returns the records of `keys` that exist. Neither `keys` nor the returned keys include the prefix of the
/// settings. Each group of up to 120 keys is read at one revision. Throws RegistryError.
[[nodiscard]] ValuesByKey read_keys(RegistrySession& session, const registry::Settings& settings,
                                    const std::vector<std::string>& keys);

/// Returns the record of a key, which is given without the prefix. If there is no such record, returns a
/// record that was created at revision zero.
[[nodiscard]] registry::etcd::ReadResult<registry::Record> read_record(RegistrySession& session,
                                                                       const registry::Settings& settings,
                                                                       const std::string& key);

}  // namespace irismux::cli
