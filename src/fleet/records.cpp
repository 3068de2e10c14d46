#include "fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace irismux::fleet {
namespace {

using nlohmann::json;

constexpr std::string_view members = "member/", beats = "beat/", duties = "duty/", asides = "aside/",
                           findings = "seen/";
constexpr std::string_view watches = "watch/";  // of duties

template <class Name>
std::optional<Name> behind(const Key& key, std::string_view part) {
    const std::string& all = key.raw();
    if (all.size() <= part.size() || all.compare(0, part.size(), part) != 0) return std::nullopt;
    return Name{all.substr(part.size())};
}

// A number at least one; none else.
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

std::int64_t number_or_none(const json& o, const char* key) { return number(o, key).value_or(0); }

void put(json& o, const Instance& who) {
    o["owner"] = who.name.raw();
    o["start"] = who.start.raw();
}

std::optional<Instance> instance(const json& o) {
    const auto owner = text(o, "owner");
    const auto start = number(o, "start");
    if (!owner || owner->empty() || !start) return std::nullopt;
    return Instance{MemberName{*owner}, StartNo{*start}};
}

json object_of(std::string_view bytes) {
    const json o = json::parse(bytes, nullptr, false);
    return o.is_object() ? o : json::object();
}

}  // namespace

Key about_key() { return Key{"about"}; }
Key key_of_member(const MemberName& m) { return Key{std::string(members) + m.raw()}; }
Key key_of_beat(const MemberName& m) { return Key{std::string(beats) + m.raw()}; }
Key key_of_duty(const DutyName& d) { return Key{std::string(duties) + d.raw()}; }
Key floor_key() { return Key{"floor"}; }
Key collection_progress_key() { return Key{"swept"}; }
Key key_of_aside(const DutyName& d) { return Key{std::string(asides) + d.raw()}; }
Key key_of_finding(const CacheId& c) { return Key{std::string(findings) + c.raw()}; }
std::optional<DutyName> aside_of(const Key& key) { return behind<DutyName>(key, asides); }
std::optional<CacheId> finding_of(const Key& key) { return behind<CacheId>(key, findings); }
DutyName watch_over(const CacheId& c) { return DutyName{std::string(watches) + c.raw()}; }
std::optional<CacheId> watched_by(const DutyName& d) { return behind<CacheId>(Key{d.raw()}, watches); }
std::optional<MemberName> member_of(const Key& key) { return behind<MemberName>(key, members); }
std::optional<MemberName> beat_of(const Key& key) { return behind<MemberName>(key, beats); }
std::optional<DutyName> duty_of(const Key& key) { return behind<DutyName>(key, duties); }

std::string write(const Articles& a) {
    return json{{"installation", a.installation}, {"term_us", a.term.micros()}, {"drift", a.drift}}.dump();
}

std::string write(const MemberRecord& m) {
    json o = {{"start", m.start.raw()}, {"mark", m.mark.raw()}, {"version", m.version}};
    for (const auto& [duty, epoch] : m.refuses) o["refuses"][duty.raw()] = epoch.raw();
    for (const CacheId& c : m.marks) o["marks"].push_back(c.raw());
    return o.dump();
}

std::string write(const BeatRecord& b) {
    return json{{"start", b.start.raw()}, {"mark", b.mark.raw()}, {"beat", b.beat.raw()}}.dump();
}

std::string write(const DutyRecord& d) {
    json o = {{"epoch", d.epoch.raw()}, {"owner", d.owner.raw()}};
    if (!d.owner.raw().empty()) o["start"] = d.start.raw();
    return o.dump();
}

std::string write(const Instance& who) {
    json o;
    put(o, who);
    return o.dump();
}

std::string write(const Finding& f) {
    json o = {{"epoch", f.epoch.raw()}, {"well", f.well}, {"looks", f.looks}};
    put(o, f.by);
    return o.dump();
}

std::string write(const CollectionProgress& s) {
    json o = {{"epoch", s.epoch.raw()}, {"pass", s.pass}, {"taken", s.taken}, {"behind", s.behind}};
    put(o, s.by);
    return o.dump();
}

std::string write_floor(EpochNo e) { return json{{"epoch", e.raw()}}.dump(); }

std::optional<MemberRecord> read_member(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto start = number(o, "start");
    const auto mark = text(o, "mark");
    if (!start || !mark) return std::nullopt;
    MemberRecord m{StartNo{*start}, Mark{*mark}, text(o, "version").value_or(""), {}, {}};
    if (const auto it = o.find("refuses"); it != o.end() && it->is_object())
        for (const auto& [duty, epoch] : it->items())
            if (epoch.is_number_integer() && epoch >= 1 && m.refuses.size() < most_refusals)
                m.refuses[DutyName{duty}] = EpochNo{epoch.get<std::int64_t>()};
    if (const auto it = o.find("marks"); it != o.end() && it->is_array())
        for (const json& c : *it)
            if (c.is_string() && m.marks.size() < most_marks) m.marks.emplace(c.get<std::string>());
    return m;
}

std::optional<BeatRecord> read_beat(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto start = number(o, "start"), beat = number(o, "beat");
    const auto mark = text(o, "mark");
    if (!start || !beat || !mark) return std::nullopt;
    return BeatRecord{StartNo{*start}, Mark{*mark}, BeatNo{*beat}};
}

std::optional<DutyRecord> read_duty(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto epoch = number(o, "epoch"), start = number(o, "start");
    const auto owner = text(o, "owner");
    if (!epoch || !owner || (!owner->empty() && !start)) return std::nullopt;
    return DutyRecord{EpochNo{*epoch}, MemberName{*owner}, StartNo{start.value_or(0)}};
}

std::optional<Instance> read_aside(std::string_view bytes) { return instance(object_of(bytes)); }

std::optional<Finding> read_finding(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto epoch = number(o, "epoch");
    const auto by = instance(o);
    const auto well = o.find("well");
    if (!epoch || !by || well == o.end() || !well->is_boolean()) return std::nullopt;
    return Finding{EpochNo{*epoch}, *by, well->get<bool>(), number_or_none(o, "looks")};
}

std::optional<CollectionProgress> read_collection_progress(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto epoch = number(o, "epoch");
    const auto by = instance(o);
    if (!epoch || !by) return std::nullopt;
    return CollectionProgress{EpochNo{*epoch}, *by, number_or_none(o, "pass"), number_or_none(o, "taken"),
                              text(o, "behind").value_or("")};
}

EpochNo read_floor(std::string_view bytes) { return EpochNo{number_or_none(object_of(bytes), "epoch")}; }

}  // namespace irismux::fleet
