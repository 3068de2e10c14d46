#include "fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace irismux::fleet {
namespace {

using nlohmann::json;

constexpr std::string_view member_part = "member/";
constexpr std::string_view heartbeat_part = "beat/";
constexpr std::string_view duty_part = "duty/";
constexpr std::string_view release_part = "aside/";
constexpr std::string_view health_record_part = "seen/";
constexpr std::string_view health_check_duty_part = "watch/";  // of a duty's name

template <class Name>
std::optional<Name> name_after(std::string_view part, const Key& key) {
    const std::string& all = key.raw();
    if (all.size() <= part.size() || all.compare(0, part.size(), part) != 0) return std::nullopt;
    return Name{all.substr(part.size())};
}

// A number of at least one; none: the field is missing or something else.
std::optional<std::int64_t> number(const json& o, const char* key) {
    const auto it = o.find(key);
    if (it == o.end() || !it->is_number_integer() || *it < 1) return std::nullopt;
    return it->get<std::int64_t>();
}

std::optional<std::string> text(const json& o, const char* key) {
    const auto it = o.find(key);
    if (it == o.end() || !it->is_string()) return std::nullopt;
    return it->get<std::string>();
}

std::int64_t number_or_zero(const json& o, const char* key) { return number(o, key).value_or(0); }

void add_instance(json& o, const Instance& instance) {
    o["owner"] = instance.name.raw();
    o["start"] = instance.incarnation.raw();
}

std::optional<Instance> instance(const json& o) {
    const auto owner = text(o, "owner");
    const auto start = number(o, "start");
    if (!owner || owner->empty() || !start) return std::nullopt;
    return Instance{MemberName{*owner}, Incarnation{*start}};
}

json object_of(std::string_view bytes) {
    const json o = json::parse(bytes, nullptr, false);
    return o.is_object() ? o : json::object();
}

}  // namespace

Key shared_config_key() { return Key{"about"}; }
Key member_key(const MemberName& m) { return Key{std::string(member_part) + m.raw()}; }
Key heartbeat_key(const MemberName& m) { return Key{std::string(heartbeat_part) + m.raw()}; }
Key duty_key(const DutyName& d) { return Key{std::string(duty_part) + d.raw()}; }
Key floor_key() { return Key{"floor"}; }
Key collection_progress_key() { return Key{"swept"}; }
Key release_key(const DutyName& d) { return Key{std::string(release_part) + d.raw()}; }
Key health_record_key(const CacheId& c) { return Key{std::string(health_record_part) + c.raw()}; }
std::optional<DutyName> released_duty_of(const Key& key) { return name_after<DutyName>(release_part, key); }
std::optional<CacheId> health_record_cache(const Key& key) {
    return name_after<CacheId>(health_record_part, key);
}
DutyName health_check_duty(const CacheId& c) {
    return DutyName{std::string(health_check_duty_part) + c.raw()};
}
std::optional<CacheId> health_check_cache(const DutyName& d) {
    return name_after<CacheId>(health_check_duty_part, Key{d.raw()});
}
std::optional<MemberName> member_of(const Key& key) { return name_after<MemberName>(member_part, key); }
std::optional<MemberName> heartbeat_owner(const Key& key) {
    return name_after<MemberName>(heartbeat_part, key);
}
std::optional<DutyName> duty_of(const Key& key) { return name_after<DutyName>(duty_part, key); }

std::string serialize(const SharedConfig& config) {
    return json{
        {"installation", config.installation}, {"term_us", config.term.micros()}, {"drift", config.drift}}
        .dump();
}

std::string serialize(const MemberRecord& m) {
    json o = {{"start", m.incarnation.raw()}, {"mark", m.instance_id.raw()}, {"version", m.version}};
    for (const auto& [duty, token] : m.refused_tokens) o["refuses"][duty.raw()] = token.raw();
    for (const CacheId& c : m.ejected_caches) o["marks"].push_back(c.raw());
    return o.dump();
}

std::string serialize(const HeartbeatRecord& b) {
    return json{{"start", b.incarnation.raw()}, {"mark", b.instance_id.raw()}, {"beat", b.number.raw()}}
        .dump();
}

std::string serialize(const DutyRecord& d) {
    json o = {{"epoch", d.token.raw()}, {"owner", d.owner.raw()}};
    if (!d.owner.raw().empty()) o["start"] = d.incarnation.raw();
    return o.dump();
}

std::string serialize(const Instance& instance) {
    json o;
    add_instance(o, instance);
    return o.dump();
}

std::string serialize(const HealthRecord& f) {
    json o = {{"epoch", f.token.raw()}, {"well", f.healthy}, {"looks", f.streak}};
    add_instance(o, f.owner);
    return o.dump();
}

std::string serialize(const CollectionProgress& s) {
    json o = {
        {"epoch", s.token.raw()}, {"pass", s.pass}, {"taken", s.removed_records}, {"behind", s.last_key}};
    add_instance(o, s.owner);
    return o.dump();
}

std::string serialize_floor(FencingToken e) { return json{{"epoch", e.raw()}}.dump(); }

std::optional<MemberRecord> parse_member(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto start = number(o, "start");
    const auto mark = text(o, "mark");
    if (!start || !mark) return std::nullopt;
    MemberRecord m{Incarnation{*start}, InstanceId{*mark}, text(o, "version").value_or(""), {}, {}};
    if (const auto it = o.find("refuses"); it != o.end() && it->is_object())
        for (const auto& [duty, token] : it->items())
            if (token.is_number_integer() && token >= 1 && m.refused_tokens.size() < max_published_refusals)
                m.refused_tokens[DutyName{duty}] = FencingToken{token.get<std::int64_t>()};
    if (const auto it = o.find("marks"); it != o.end() && it->is_array())
        for (const json& c : *it)
            if (c.is_string() && m.ejected_caches.size() < max_published_ejections)
                m.ejected_caches.emplace(c.get<std::string>());
    return m;
}

std::optional<HeartbeatRecord> parse_heartbeat(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto start = number(o, "start"), heartbeat = number(o, "beat");
    const auto mark = text(o, "mark");
    if (!start || !heartbeat || !mark) return std::nullopt;
    return HeartbeatRecord{Incarnation{*start}, InstanceId{*mark}, HeartbeatNumber{*heartbeat}};
}

std::optional<DutyRecord> parse_duty(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto token = number(o, "epoch"), start = number(o, "start");
    const auto owner = text(o, "owner");
    if (!token || !owner || (!owner->empty() && !start)) return std::nullopt;
    return DutyRecord{FencingToken{*token}, MemberName{*owner}, Incarnation{start.value_or(0)}};
}

std::optional<Instance> parse_release(std::string_view bytes) { return instance(object_of(bytes)); }

std::optional<HealthRecord> parse_health_record(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto token = number(o, "epoch");
    const auto by = instance(o);
    const auto well = o.find("well");
    if (!token || !by || well == o.end() || !well->is_boolean()) return std::nullopt;
    return HealthRecord{FencingToken{*token}, *by, well->get<bool>(), number_or_zero(o, "looks")};
}

std::optional<CollectionProgress> parse_collection_progress(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto token = number(o, "epoch");
    const auto by = instance(o);
    if (!token || !by) return std::nullopt;
    return CollectionProgress{FencingToken{*token}, *by, number_or_zero(o, "pass"),
                              number_or_zero(o, "taken"), text(o, "behind").value_or("")};
}

FencingToken parse_floor(std::string_view bytes) {
    return FencingToken{number_or_zero(object_of(bytes), "epoch")};
}

}  // namespace irismux::fleet
