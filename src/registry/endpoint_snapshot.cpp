#include "registry/endpoint_snapshot.hpp"

#include <xxhash.h>

#include <cstring>
#include <nlohmann/json.hpp>

#include "base/json_reader.hpp"

namespace irismux::registry {
namespace {

constexpr int format = 1;
constexpr std::size_t sum_size = sizeof(XXH64_canonical_t);

std::string sum_of(std::string_view bytes) {
    XXH64_canonical_t sum;
    XXH64_canonicalFromHash(&sum, XXH64(bytes.data(), bytes.size(), 0));
    return {reinterpret_cast<const char*>(sum.digest), sum_size};
}

}  // namespace

std::string serialize_snapshot(const EndpointView& view, const ClusterId& cluster, TimePoint as_of,
                               const std::string& owner) {
    json records = json::array();
    for (const auto& [key, e] : view.entries())
        if (e.endpoint) records.push_back({key.raw(), e.value, e.created.raw(), e.modified.raw()});
    const json all = {{"format", format},
                      {"owner", owner},
                      {"cluster", cluster.raw()},
                      {"revision", view.revision().raw()},
                      {"as_of_us", (as_of - TimePoint{}).micros()},
                      {"records", std::move(records)}};
    const std::vector<std::uint8_t> coded = json::to_cbor(all);
    const std::string body(coded.begin(), coded.end());
    return sum_of(body) + body;
}

std::variant<Snapshot, std::string> parse_snapshot(std::string_view bytes, const std::string& owner,
                                                   TimePoint now, Duration oldest) {
    if (bytes.size() < sum_size || sum_of(bytes.substr(sum_size)) != bytes.substr(0, sum_size))
        return "the kept list is damaged";
    try {
        const json all = json::from_cbor(bytes.substr(sum_size));
        if (get<int>(all, "format") != format) return "the kept list is of another version";
        if (get<std::string>(all, "owner") != owner) return "the kept list is another deployment's";
        Snapshot s;
        s.cluster = ClusterId{get<std::string>(all, "cluster")};
        s.revision = Revision{get<std::int64_t>(all, "revision")};
        s.as_of = TimePoint{} + Duration::micros(get<std::int64_t>(all, "as_of_us"));
        if (s.as_of > now) return "the kept list is from the future";
        if (now - s.as_of > oldest) return "the kept list is too old";
        for (const json& r : list_of(all, "records"))
            s.records.push_back({RecordKey{r.at(0).get<std::string>()}, r.at(1).get<std::string>(),
                                 Revision{r.at(2).get<std::int64_t>()},
                                 Revision{r.at(3).get<std::int64_t>()}});
        return s;
    } catch (const std::exception&) {
        return "the kept list can't be read";
    }
}

}  // namespace irismux::registry
