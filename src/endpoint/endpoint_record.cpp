#include "endpoint/endpoint_record.hpp"

#include <algorithm>
#include <limits>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr std::pair<const char*, EndpointStatus> phases[] = {{"Ready", EndpointStatus::active},
                                                             {"Terminating", EndpointStatus::draining},
                                                             {"Gone", EndpointStatus::removed}};

}  // namespace

TimePoint time_from_unix_ms(std::int64_t ms) {
    // Far beyond any clock, and far from where differences overflow.
    constexpr std::int64_t most_ms = std::numeric_limits<std::int64_t>::max() / 4000;
    return TimePoint{} + Duration::micros(std::clamp(ms, -most_ms, most_ms) * 1000);
}

EndpointRecord parse_endpoint_record(const json& e) {
    EndpointUpdate l;
    l.cache = CacheId{get<std::string>(e, "id")};
    l.location = LocationId{get_or<std::string>(e, "zone", "")};
    l.machine_type = MachineType{get_or<std::string>(e, "kind", "")};
    l.cell = CellId{get_or<std::int64_t>(e, "cell", 0)};
    l.weight = get_or(e, "weight", 1.0);
    l.status = word(get<std::string>(e, "state"), "state", phases);
    l.started_at = time_from_unix_ms(get_or<std::int64_t>(e, "started_ms", 0));
    return {l, get_or<std::string>(e, "addr", "")};
}

}  // namespace irismux
