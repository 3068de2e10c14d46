#include "registry/endpoint_snapshot.hpp"

#include <xxhash.h>

#include <cstdint>
#include <nlohmann/json.hpp>

#include "base/json_reader.hpp"

namespace irismux::registry {
namespace {

constexpr int format = 1;
constexpr std::size_t checksum_bytes = sizeof(XXH64_canonical_t);

std::string checksum(std::string_view bytes) {
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH64(bytes.data(), bytes.size(), 0));
    return {reinterpret_cast<const char*>(canonical.digest), checksum_bytes};
}

Record parse_record(const json& fields) {
    return {RecordKey{fields.at(0).get<std::string>()}, fields.at(1).get<std::string>(),
            Revision{fields.at(2).get<std::int64_t>()}, Revision{fields.at(3).get<std::int64_t>()}};
}

std::variant<EndpointSnapshot, SnapshotError> parse_content(const json& content, const std::string& owner,
                                                            TimePoint now, Duration max_age) {
    if (get<int>(content, "format") != format) return SnapshotError::unsupported_format;
    if (get<std::string>(content, "owner") != owner) return SnapshotError::other_owner;
    EndpointSnapshot snapshot;
    snapshot.cluster = ClusterId{get<std::string>(content, "cluster")};
    snapshot.revision = Revision{get<std::int64_t>(content, "revision")};
    snapshot.as_of = TimePoint{} + Duration::micros(get<std::int64_t>(content, "as_of_us"));
    if (snapshot.as_of > now) return SnapshotError::from_future;
    if (now - snapshot.as_of > max_age) return SnapshotError::too_old;
    for (const json& fields : get_array(content, "records")) snapshot.records.push_back(parse_record(fields));
    return snapshot;
}

}  // namespace

std::string_view to_string(SnapshotError error) {
    constexpr std::string_view names[] = {
        "checksum_mismatch", "unsupported_format", "other_owner", "from_future", "too_old", "malformed"};
    return names[static_cast<std::size_t>(error)];
}

std::string serialize_snapshot(const EndpointView& view, const ClusterId& cluster, TimePoint as_of,
                               const std::string& owner) {
    json records = json::array();
    for (const auto& [key, entry] : view.entries()) {
        if (!entry.endpoint) continue;
        records.push_back({key.raw(), entry.value, entry.created.raw(), entry.modified.raw()});
    }
    const json content = {{"format", format},
                          {"owner", owner},
                          {"cluster", cluster.raw()},
                          {"revision", view.revision().raw()},
                          {"as_of_us", (as_of - TimePoint{}).micros()},
                          {"records", std::move(records)}};
    const std::vector<std::uint8_t> cbor = json::to_cbor(content);
    const std::string body(cbor.begin(), cbor.end());
    return checksum(body) + body;
}

std::variant<EndpointSnapshot, SnapshotError> parse_snapshot(std::string_view bytes, const std::string& owner,
                                                             TimePoint now, Duration max_age) {
    if (bytes.size() < checksum_bytes) return SnapshotError::checksum_mismatch;
    const std::string_view body = bytes.substr(checksum_bytes);
    if (checksum(body) != bytes.substr(0, checksum_bytes)) return SnapshotError::checksum_mismatch;
    try {
        return parse_content(json::from_cbor(body), owner, now, max_age);
    } catch (const std::exception&) {
        return SnapshotError::malformed;
    }
}

}  // namespace irismux::registry
