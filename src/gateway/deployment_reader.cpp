#include "gateway/deployment_reader.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

// These tables map the fixed names of the settings to enumerators.
constexpr std::pair<const char*, Effect> effects[] = {
    {"repeatable", Effect::idempotent}, {"by_key", Effect::deduplicated}, {"once", Effect::non_idempotent}};
constexpr std::pair<const char*, DedupScope> dedup_scopes[] = {
    {"all", DedupScope::all}, {"zone", DedupScope::location}, {"cell", DedupScope::cell}};
constexpr std::pair<const char*, Siblings> sibling_scopes[] = {
    {"off", Siblings::none}, {"location", Siblings::location}, {"any", Siblings::any}};
constexpr std::pair<const char*, CacheStatusReporting> cache_status_reportings[] = {
    {"off", CacheStatusReporting::none},
    {"hit", CacheStatusReporting::hits},
    {"all", CacheStatusReporting::all}};

// Returns an element of the list `key`, or `default_value` if the list or the element does not exist.
template <class T>
T element_or(const json& object, const char* key, std::size_t index, T default_value) {
    const auto list = object.find(key);
    if (list == object.end() || !list->is_array() || index >= list->size()) return default_value;
    return (*list)[index].get<T>();
}

// The settings as JSON, and the objects in the settings that more than one function reads.
struct Settings {
    explicit Settings(const json& settings)
        : all(settings),
          specifics(settings.contains("specifics") ? settings.at("specifics") : none),
          limits(require(settings, "ceilings")),
          safety(require(settings, "safety")) {}

    const json none = json::object();
    const json& all;
    const json& specifics;
    const json& limits;
    const json& safety;
};

void read_locations(const Settings& settings, Deployment& deployment) {
    deployment.gateways = get_or(settings.all, "balancers", 1);
    deployment.location = LocationId{get_or<std::string>(settings.all, "zone", "")};
    const json& locations = get_array(settings.all, "dcs");
    deployment.locations = 0;
    for (std::size_t n = 0; n < locations.size(); ++n) {
        const int gateways = element_or(settings.specifics, "zoneBalancers", n, 0);
        if (gateways > 0) ++deployment.locations;
        const double link_capacity = element_or(settings.specifics, "pipeKbPerS", n, 0.0);
        deployment.total_link_capacity_kb_per_s += link_capacity;
        if (locations[n].get<std::string>() != deployment.location.raw()) continue;
        deployment.gateways_in_location = gateways;
        deployment.location_link_capacity_kb_per_s = link_capacity;
    }
}

ObjectKind read_kind(const Settings& settings, const json& kind_json, std::size_t index) {
    const json& specifics = settings.specifics;
    ObjectKind kind;
    kind.effect = parse_enum(get<std::string>(kind_json, "effect"), "effect", effects);
    kind.dedup_scope = parse_enum(get_or<std::string>(kind_json, "group", "all"), "group", dedup_scopes);
    kind.dedup_window = get_duration(kind_json, "windowS");
    kind.latency_objective = Duration::seconds(get<double>(kind_json, "aimS"));
    kind.latency_objective_stretch = get_or(kind_json, "aimStretch", 0.0);
    kind.deadline = Duration::seconds(get<double>(kind_json, "hardLimitS"));
    kind.utility = get_or(kind_json, "credit", 1.0);
    kind.late_utility_share = get_or(kind_json, "lateWorth", 0.0);
    kind.fresh_for = Duration::seconds(element_or(specifics, "goodForS", index, 0.0));
    kind.stale_if_error_for = Duration::seconds(element_or(specifics, "staleForS", index, 0.0));
    kind.stale_utility_share = element_or(specifics, "classStaleWorth", index, 1.0);
    kind.uncacheable = element_or(specifics, "neverKept", index, false);
    return kind;
}

void read_kinds(const Settings& settings, DeploymentSettings& result) {
    const json& kinds_json = get_array(settings.all, "lanes");
    for (std::size_t n = 0; n < kinds_json.size(); ++n) {
        result.deployment.kinds.push_back(read_kind(settings, kinds_json[n], n));
        result.kind_indexes.emplace(get<std::string>(kinds_json[n], "name"), ObjectKindIndex{n});
    }
}

// Returns the machine type at a position of the settings' list, or std::nullopt if the position is out of
// range.
std::optional<MachineType> machine_type_at(const json& machine_types, std::int64_t position) {
    if (position < 0 || position >= static_cast<std::int64_t>(machine_types.size())) return std::nullopt;
    return MachineType{machine_types[static_cast<std::size_t>(position)].get<std::string>()};
}

void read_machine_types(const Settings& settings, Deployment& deployment) {
    const json& machine_types = get_array(settings.all, "kinds");
    deployment.parent_machine =
        machine_type_at(machine_types, get_or<std::int64_t>(settings.specifics, "secondTierKind", -1));
    deployment.origin_machine =
        machine_type_at(machine_types, get_or<std::int64_t>(settings.specifics, "originKind", -1));
}

void read_capabilities(const Settings& settings, Capabilities& capabilities) {
    const json& limits = settings.limits;
    const json& specifics = settings.specifics;
    capabilities.cancellation = get_or(limits, "cancel", false);
    capabilities.probes = get_or(limits, "probes", false);
    capabilities.retry_after = get_or(limits, "retryAfter", false);
    capabilities.hedged_requests = get_or(limits, "parallelTries", false);
    capabilities.direct_attempts = get_or(specifics, "passThroughOk", false);
    capabilities.coalescing = get_or(specifics, "canJoin", false);
    capabilities.siblings =
        parse_enum(get_or<std::string>(specifics, "neighbours", "off"), "neighbours", sibling_scopes);
    capabilities.cache_status =
        parse_enum(get_or<std::string>(specifics, "says", "off"), "says", cache_status_reportings);
    capabilities.max_attempts = get_or(limits, "attemptsCap", 1);
    capabilities.max_retry_after = get_duration(limits, "maxRetryAfterS");
}

void read_overload_protection(const Settings& settings, Deployment& deployment) {
    const json& safety = settings.safety;
    const json& specifics = settings.specifics;
    deployment.edge_slow_start = {get_or(safety, "coldFrom", 1.0), get_duration(safety, "coldS"),
                                  get_or(safety, "fallMultiple", 1.0)};
    deployment.parent_slow_start = {get_or(specifics, "parentFloor", 1.0),
                                    get_duration(specifics, "upperColdS"),
                                    get_or(specifics, "parentBreaksAt", 1.0)};
    deployment.origin_stops_when_overloaded = get_or(specifics, "rootFallMultiple", 0.0) > 0;
    deployment.overload_window = get_duration(safety, "fallS");
}

void read_times_and_limits(const Settings& settings, Deployment& deployment) {
    const json& limits = settings.limits;
    deployment.drain_grace_period = get_duration(settings.safety, "drainGraceS");
    deployment.purge_grace_period = get_duration(settings.specifics, "purgeGraceS");
    deployment.purge_retention = get_duration(settings.specifics, "purgeDoneS");
    deployment.timer_resolution = get_duration(settings.all, "tickS");
    deployment.connections = {get_duration(limits, "connectTimeoutS"), get_duration(limits, "connIdleS"),
                              std::max(1, get_or(limits, "streamsPerConn", 1))};
    deployment.max_pending_requests = get_or(limits, "maxOpen", 0);
    deployment.transfer_rate_kb_per_s = get_or(settings.specifics, "oneFlowKbPerS", 0.0);
}

}  // namespace

DeploymentSettings read_deployment(const json& settings_json) {
    const Settings settings(settings_json);
    DeploymentSettings result;
    Deployment& deployment = result.deployment;
    read_locations(settings, deployment);
    read_kinds(settings, result);
    read_machine_types(settings, deployment);
    read_capabilities(settings, deployment.capabilities);
    deployment.subscribe_to_endpoints =
        get_or<std::string>(settings.all, "discovery", "pushed") == "on_request";
    deployment.weights_known = get_or<std::string>(settings.all, "weightSource", "off") != "off";
    read_overload_protection(settings, deployment);
    read_times_and_limits(settings, deployment);
    return result;
}

}  // namespace irismux
