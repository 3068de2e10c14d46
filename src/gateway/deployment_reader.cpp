#include "gateway/deployment_reader.hpp"

#include <algorithm>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr std::pair<const char*, Effect> effects[] = {
    {"repeatable", Effect::idempotent}, {"by_key", Effect::deduplicated}, {"once", Effect::non_idempotent}};
constexpr std::pair<const char*, DedupScope> groups[] = {
    {"all", DedupScope::all}, {"zone", DedupScope::location}, {"cell", DedupScope::cell}};
constexpr std::pair<const char*, Siblings> sibling_words[] = {
    {"off", Siblings::none}, {"location", Siblings::location}, {"any", Siblings::any}};
constexpr std::pair<const char*, CacheStatusReporting> note_words[] = {{"off", CacheStatusReporting::none},
                                                                       {"hit", CacheStatusReporting::hits},
                                                                       {"all", CacheStatusReporting::all}};

std::optional<MachineType> machine_at(const json& names, std::int64_t place) {
    if (place < 0 || place >= static_cast<std::int64_t>(names.size())) return std::nullopt;
    return MachineType{names[static_cast<std::size_t>(place)].get<std::string>()};
}

template <class T>
T nth_or(const json& o, const char* key, std::size_t n, T other) {
    const auto it = o.find(key);
    return it == o.end() || !it->is_array() || n >= it->size() ? other : (*it)[n].get<T>();
}

}  // namespace

DeploymentSettings read_deployment(const json& s) {
    DeploymentSettings r;
    Deployment& d = r.deployment;
    const json none = json::object();
    const json& special = s.contains("specifics") ? s.at("specifics") : none;
    const json& limits = need(s, "ceilings");
    const json& safety = need(s, "safety");
    d.gateways = get_or(s, "balancers", 1);
    d.location = LocationId{get_or<std::string>(s, "zone", "")};
    const json& zones = list_of(s, "dcs");
    d.locations = 0;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        const int here = nth_or(special, "zoneBalancers", z, 0);
        d.locations += here > 0;
        const double pipe = nth_or(special, "pipeKbPerS", z, 0.0);
        d.total_link_capacity_kb_per_s += pipe;
        if (zones[z].get<std::string>() != d.location.raw()) continue;
        d.gateways_in_location = here;
        d.location_link_capacity_kb_per_s = pipe;
    }
    const json& lanes = list_of(s, "lanes");
    for (std::size_t n = 0; n < lanes.size(); ++n) {
        const json& lane = lanes[n];
        ObjectKind k;
        k.effect = word(get<std::string>(lane, "effect"), "effect", effects);
        k.dedup_scope = word(get_or<std::string>(lane, "group", "all"), "group", groups);
        k.dedup_window = span_of(lane, "windowS");
        k.latency_objective = Duration::seconds(get<double>(lane, "aimS"));
        k.latency_objective_stretch = get_or(lane, "aimStretch", 0.0);
        k.deadline = Duration::seconds(get<double>(lane, "hardLimitS"));
        k.utility = get_or(lane, "credit", 1.0);
        k.late_utility_share = get_or(lane, "lateWorth", 0.0);
        k.fresh_for = Duration::seconds(nth_or(special, "goodForS", n, 0.0));
        k.stale_if_error_for = Duration::seconds(nth_or(special, "staleForS", n, 0.0));
        k.stale_utility_share = nth_or(special, "classStaleWorth", n, 1.0);
        k.uncacheable = nth_or(special, "neverKept", n, false);
        d.kinds.push_back(k);
        r.kind_indexes.emplace(get<std::string>(lane, "name"), ObjectKindIndex{n});
    }
    const json& machines = list_of(s, "kinds");
    d.parent_machine = machine_at(machines, get_or<std::int64_t>(special, "secondTierKind", -1));
    d.origin_machine = machine_at(machines, get_or<std::int64_t>(special, "originKind", -1));
    d.capabilities.cancellation = get_or(limits, "cancel", false);
    d.capabilities.probes = get_or(limits, "probes", false);
    d.capabilities.retry_after = get_or(limits, "retryAfter", false);
    d.capabilities.hedged_requests = get_or(limits, "parallelTries", false);
    d.capabilities.direct_attempts = get_or(special, "passThroughOk", false);
    d.capabilities.coalescing = get_or(special, "canJoin", false);
    d.capabilities.siblings =
        word(get_or<std::string>(special, "neighbours", "off"), "neighbours", sibling_words);
    d.capabilities.cache_status = word(get_or<std::string>(special, "says", "off"), "says", note_words);
    d.capabilities.max_attempts = get_or(limits, "attemptsCap", 1);
    d.capabilities.max_retry_after = span_of(limits, "maxRetryAfterS");
    d.subscribe_to_endpoints = get_or<std::string>(s, "discovery", "pushed") == "on_request";
    d.weights_known = get_or<std::string>(s, "weightSource", "off") != "off";
    d.edge_slow_start = {get_or(safety, "coldFrom", 1.0), span_of(safety, "coldS"),
                         get_or(safety, "fallMultiple", 1.0)};
    d.parent_slow_start = {get_or(special, "parentFloor", 1.0), span_of(special, "upperColdS"),
                           get_or(special, "parentBreaksAt", 1.0)};
    d.origin_stops_when_overloaded = get_or(special, "rootFallMultiple", 0.0) > 0;
    d.overload_window = span_of(safety, "fallS");
    d.drain_grace_period = span_of(safety, "drainGraceS");
    d.purge_grace_period = span_of(special, "purgeGraceS");
    d.purge_retention = span_of(special, "purgeDoneS");
    d.timer_resolution = span_of(s, "tickS");
    d.connections = {span_of(limits, "connectTimeoutS"), span_of(limits, "connIdleS"),
                     std::max(1, get_or(limits, "streamsPerConn", 1))};
    d.max_pending_requests = get_or(limits, "maxOpen", 0);
    d.transfer_rate_kb_per_s = get_or(special, "oneFlowKbPerS", 0.0);
    return r;
}

}  // namespace irismux
