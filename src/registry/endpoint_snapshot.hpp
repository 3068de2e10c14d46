// Stored form of the endpoint list, for the next start of the process. The stored form has a checksum, and is
// used whole or not at all.
//
// Format: 8 bytes of XXH64 over the rest, then CBOR (RFC 8949) of an object with "format" 1, "owner",
// "cluster", "revision", "as_of_us" (Unix clock, microseconds) and "records", each [key, value, created,
// modified].
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "irismux/time.hpp"
#include "registry/endpoint_view.hpp"

namespace irismux::registry {

struct EndpointSnapshot {
    ClusterId cluster;
    Revision revision;
    TimePoint as_of;  ///< when the list was known to be complete
    std::vector<Record> records;
};

/// The reason why a snapshot cannot be used.
enum class SnapshotError {
    checksum_mismatch,
    unsupported_format,
    other_owner,  ///< the snapshot is from another deployment or prefix
    from_future,  ///< `as_of` is later than the current time
    too_old,
    malformed  ///< the checksum matches, but the content does not have the format above
};

/// Returns the error in snake_case, for the log.
std::string_view to_string(SnapshotError error);

/// Serializes the view without the records that have never been readable.
/// @param owner the deployment's location and the prefix of the keys.
[[nodiscard]] std::string serialize_snapshot(const EndpointView& view, const ClusterId& cluster,
                                             TimePoint as_of, const std::string& owner);

[[nodiscard]] std::variant<EndpointSnapshot, SnapshotError> parse_snapshot(std::string_view bytes,
                                                                           const std::string& owner,
                                                                           TimePoint now, Duration max_age);

}  // namespace irismux::registry
