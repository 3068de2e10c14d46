#include "fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace irismux::fleet {
namespace {

using nlohmann::json;

constexpr std::string_view member_prefix = "member/";
constexpr std::string_view heartbeat_prefix = "beat/";
constexpr std::string_view duty_prefix = "duty/";
constexpr std::string_view release_prefix = "aside/";
constexpr std::string_view health_record_prefix = "seen/";
constexpr std::string_view health_check_duty_prefix = "watch/";  // prefix of a duty's name, not of a key

template <class Name>
std::optional<Name> name_after(std::string_view prefix, const Key& key) {
    const std::string& all = key.raw();
    if (all.size() <= prefix.size() || all.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
    return Name{all.substr(prefix.size())};
}

// Returns std::nullopt if the field is missing or is not an integer of at least one.
std::optional<std::int64_t> positive_integer(const json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number_integer() || *it < 1) return std::nullopt;
    return it->get<std::int64_t>();
}

std::optional<std::string> string_field(const json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_string()) return std::nullopt;
    return it->get<std::string>();
}

std::int64_t positive_integer_or_zero(const json& object, const char* key) {
    return positive_integer(object, key).value_or(0);
}

void add_instance(json& object, const Instance& instance) {
    object["owner"] = instance.name.raw();
    object["start"] = instance.incarnation.raw();
}

std::optional<Instance> instance(const json& object) {
    const auto owner = string_field(object, "owner");
    const auto incarnation = positive_integer(object, "start");
    if (!owner || owner->empty() || !incarnation) return std::nullopt;
    return Instance{MemberName{*owner}, Incarnation{*incarnation}};
}

json object_of(std::string_view bytes) {
    const json object = json::parse(bytes, nullptr, false);
    return object.is_object() ? object : json::object();
}

}  // namespace

Key shared_config_key() { return Key{"about"}; }
Key member_key(const MemberName& m) { return Key{std::string(member_prefix) + m.raw()}; }
Key heartbeat_key(const MemberName& m) { return Key{std::string(heartbeat_prefix) + m.raw()}; }
Key duty_key(const DutyName& d) { return Key{std::string(duty_prefix) + d.raw()}; }
Key floor_key() { return Key{"floor"}; }
Key collection_progress_key() { return Key{"swept"}; }
Key release_key(const DutyName& d) { return Key{std::string(release_prefix) + d.raw()}; }
Key health_record_key(const CacheId& c) { return Key{std::string(health_record_prefix) + c.raw()}; }
std::optional<DutyName> released_duty_of(const Key& key) { return name_after<DutyName>(release_prefix, key); }
std::optional<CacheId> health_record_cache(const Key& key) {
    return name_after<CacheId>(health_record_prefix, key);
}
DutyName health_check_duty(const CacheId& c) {
    return DutyName{std::string(health_check_duty_prefix) + c.raw()};
}
std::optional<CacheId> health_check_cache(const DutyName& d) {
    return name_after<CacheId>(health_check_duty_prefix, Key{d.raw()});
}
std::optional<MemberName> member_of(const Key& key) { return name_after<MemberName>(member_prefix, key); }
std::optional<MemberName> heartbeat_owner(const Key& key) {
    return name_after<MemberName>(heartbeat_prefix, key);
}
std::optional<DutyName> duty_of(const Key& key) { return name_after<DutyName>(duty_prefix, key); }

std::string serialize(const SharedConfig& config) {
    return json{
        {"installation", config.installation}, {"term_us", config.term.micros()}, {"drift", config.drift}}
        .dump();
}

std::string serialize(const MemberRecord& record) {
    json object = {
        {"start", record.incarnation.raw()}, {"mark", record.instance_id.raw()}, {"version", record.version}};
    for (const auto& [duty, token] : record.refused_tokens) object["refuses"][duty.raw()] = token.raw();
    for (const CacheId& c : record.ejected_caches) object["marks"].push_back(c.raw());
    return object.dump();
}

std::string serialize(const HeartbeatRecord& record) {
    return json{{"start", record.incarnation.raw()},
                {"mark", record.instance_id.raw()},
                {"beat", record.number.raw()}}
        .dump();
}

std::string serialize(const DutyRecord& record) {
    json object = {{"epoch", record.token.raw()}, {"owner", record.owner.raw()}};
    if (!record.owner.raw().empty()) object["start"] = record.incarnation.raw();
    return object.dump();
}

std::string serialize(const Instance& instance) {
    json object;
    add_instance(object, instance);
    return object.dump();
}

std::string serialize(const HealthRecord& record) {
    json object = {{"epoch", record.token.raw()}, {"well", record.healthy}, {"looks", record.streak}};
    add_instance(object, record.owner);
    return object.dump();
}

std::string serialize(const CollectionProgress& progress) {
    json object = {{"epoch", progress.token.raw()},
                   {"pass", progress.pass},
                   {"taken", progress.removed_records},
                   {"behind", progress.last_key}};
    add_instance(object, progress.owner);
    return object.dump();
}

std::string serialize_floor(FencingToken token) { return json{{"epoch", token.raw()}}.dump(); }

std::optional<MemberRecord> parse_member(std::string_view bytes) {
    const json object = object_of(bytes);
    const auto incarnation = positive_integer(object, "start");
    const auto instance_id = string_field(object, "mark");
    if (!incarnation || !instance_id) return std::nullopt;
    MemberRecord record{Incarnation{*incarnation},
                        InstanceId{*instance_id},
                        string_field(object, "version").value_or(""),
                        {},
                        {}};
    if (const auto it = object.find("refuses"); it != object.end() && it->is_object())
        for (const auto& [duty, token] : it->items())
            if (token.is_number_integer() && token >= 1 &&
                record.refused_tokens.size() < max_published_refusals)
                record.refused_tokens[DutyName{duty}] = FencingToken{token.get<std::int64_t>()};
    if (const auto it = object.find("marks"); it != object.end() && it->is_array())
        for (const json& c : *it)
            if (c.is_string() && record.ejected_caches.size() < max_published_ejections)
                record.ejected_caches.emplace(c.get<std::string>());
    return record;
}

std::optional<HeartbeatRecord> parse_heartbeat(std::string_view bytes) {
    const json object = object_of(bytes);
    const auto incarnation = positive_integer(object, "start"), heartbeat = positive_integer(object, "beat");
    const auto instance_id = string_field(object, "mark");
    if (!incarnation || !heartbeat || !instance_id) return std::nullopt;
    return HeartbeatRecord{Incarnation{*incarnation}, InstanceId{*instance_id}, HeartbeatNumber{*heartbeat}};
}

std::optional<DutyRecord> parse_duty(std::string_view bytes) {
    const json object = object_of(bytes);
    const auto token = positive_integer(object, "epoch"), incarnation = positive_integer(object, "start");
    const auto owner = string_field(object, "owner");
    if (!token || !owner || (!owner->empty() && !incarnation)) return std::nullopt;
    return DutyRecord{FencingToken{*token}, MemberName{*owner}, Incarnation{incarnation.value_or(0)}};
}

std::optional<Instance> parse_release(std::string_view bytes) { return instance(object_of(bytes)); }

std::optional<HealthRecord> parse_health_record(std::string_view bytes) {
    const json object = object_of(bytes);
    const auto token = positive_integer(object, "epoch");
    const auto owner = instance(object);
    const auto healthy = object.find("well");
    if (!token || !owner || healthy == object.end() || !healthy->is_boolean()) return std::nullopt;
    return HealthRecord{FencingToken{*token}, *owner, healthy->get<bool>(),
                        positive_integer_or_zero(object, "looks")};
}

std::optional<CollectionProgress> parse_collection_progress(std::string_view bytes) {
    const json object = object_of(bytes);
    const auto token = positive_integer(object, "epoch");
    const auto owner = instance(object);
    if (!token || !owner) return std::nullopt;
    return CollectionProgress{FencingToken{*token}, *owner, positive_integer_or_zero(object, "pass"),
                              positive_integer_or_zero(object, "taken"),
                              string_field(object, "behind").value_or("")};
}

FencingToken parse_floor(std::string_view bytes) {
    return FencingToken{positive_integer_or_zero(object_of(bytes), "epoch")};
}

}  // namespace irismux::fleet
