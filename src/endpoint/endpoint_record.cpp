#include "endpoint/endpoint_record.hpp"

#include <algorithm>
#include <limits>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr std::pair<const char*, EndpointStatus> statuses[] = {{"Ready", EndpointStatus::active},
                                                               {"Terminating", EndpointStatus::draining},
                                                               {"Gone", EndpointStatus::removed}};

}  // namespace

TimePoint time_from_unix_ms(std::int64_t ms) {
    // This limit is beyond any clock value, and differences of limited values in microseconds do not
    // overflow.
    constexpr std::int64_t max_ms = std::numeric_limits<std::int64_t>::max() / 4000;
    return TimePoint{} + Duration::micros(std::clamp(ms, -max_ms, max_ms) * 1000);
}

EndpointRecord parse_endpoint_record(const json& record) {
    EndpointUpdate update;
    update.cache = CacheId{get<std::string>(record, "id")};
    update.location = LocationId{get_or<std::string>(record, "zone", "")};
    update.machine_type = MachineType{get_or<std::string>(record, "kind", "")};
    update.cell = CellId{get_or<std::int64_t>(record, "cell", 0)};
    update.weight = get_or(record, "weight", 1.0);
    update.status = parse_enum(get<std::string>(record, "state"), "state", statuses);
    update.started_at = time_from_unix_ms(get_or<std::int64_t>(record, "started_ms", 0));
    return {update, get_or<std::string>(record, "addr", "")};
}

}  // namespace irismux
