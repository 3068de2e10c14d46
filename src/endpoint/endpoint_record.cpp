#include "endpoint/endpoint_record.hpp"

#include <algorithm>
#include <limits>

#include "base/reading.hpp"

namespace irismux {
namespace {

constexpr std::pair<const char*, Phase> phases[] = {
    {"Ready", Phase::in_service}, {"Terminating", Phase::draining}, {"Gone", Phase::gone}};

}  // namespace

Instant unix_ms(std::int64_t ms) {
    // Far beyond any clock, and far from where differences overflow.
    constexpr std::int64_t most_ms = std::numeric_limits<std::int64_t>::max() / 4000;
    return Instant{} + Span::micros(std::clamp(ms, -most_ms, most_ms) * 1000);
}

ListLine read_list_line(const json& e) {
    Listing l;
    l.cache = CacheId{get<std::string>(e, "id")};
    l.location = LocationId{get_or<std::string>(e, "zone", "")};
    l.machine = MachineId{get_or<std::string>(e, "kind", "")};
    l.cell = CellNo{get_or<std::int64_t>(e, "cell", 0)};
    l.weight = get_or(e, "weight", 1.0);
    l.phase = word(get<std::string>(e, "state"), "state", phases);
    l.started = unix_ms(get_or<std::int64_t>(e, "started_ms", 0));
    return {l, get_or<std::string>(e, "addr", "")};
}

}  // namespace irismux
