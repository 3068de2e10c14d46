// A view as it is kept for the next start: written whole, with a checksum, and believed whole or not at all.
//
// Form: 8 bytes of XXH64 over the rest, then CBOR (RFC 8949) of an object with "format" 1, "owner",
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

struct Snapshot {
    ClusterId cluster;
    Revision revision;
    TimePoint as_of;
    std::vector<Record> records;
};

// What can be read of a view, for the owner named (a deployment's place and the prefix of the keys).
std::string serialize_snapshot(const EndpointView& view, const ClusterId& cluster, TimePoint as_of,
                               const std::string& owner);

// The snapshot, or one plain line: damaged, of another owner, older than `oldest`, or from the future.
std::variant<Snapshot, std::string> parse_snapshot(std::string_view bytes, const std::string& owner,
                                                   TimePoint now, Duration oldest);

}  // namespace irismux::registry
