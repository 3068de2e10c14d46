#include "fleet/records.hpp"

#include <nlohmann/json.hpp>

namespace irismux::fleet {
namespace {

using nlohmann::json;

constexpr std::string_view members = "member/", beats = "beat/", duties = "duty/";

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

json object_of(std::string_view bytes) {
    const json o = json::parse(bytes, nullptr, false);
    return o.is_object() ? o : json::object();
}

}  // namespace

Key about_key() { return Key{"about"}; }
Key key_of_member(const MemberName& m) { return Key{std::string(members) + m.raw()}; }
Key key_of_beat(const MemberName& m) { return Key{std::string(beats) + m.raw()}; }
Key key_of_duty(const DutyName& d) { return Key{std::string(duties) + d.raw()}; }
std::optional<MemberName> member_of(const Key& key) { return behind<MemberName>(key, members); }
std::optional<DutyName> duty_of(const Key& key) { return behind<DutyName>(key, duties); }

std::string write(const Articles& a) {
    return json{{"installation", a.installation}, {"term_us", a.term.micros()}, {"drift", a.drift}}.dump();
}

std::string write(const MemberRecord& m) {
    json o = {{"start", m.start.raw()}, {"mark", m.mark.raw()}, {"version", m.version}};
    for (const auto& [duty, epoch] : m.refuses) o["refuses"][duty.raw()] = epoch.raw();
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

std::optional<MemberRecord> read_member(std::string_view bytes) {
    const json o = object_of(bytes);
    const auto start = number(o, "start");
    const auto mark = text(o, "mark");
    if (!start || !mark) return std::nullopt;
    MemberRecord m{StartNo{*start}, Mark{*mark}, text(o, "version").value_or(""), {}};
    if (const auto it = o.find("refuses"); it != o.end() && it->is_object())
        for (const auto& [duty, epoch] : it->items())
            if (epoch.is_number_integer() && epoch >= 1 && m.refuses.size() < most_refusals)
                m.refuses[DutyName{duty}] = EpochNo{epoch.get<std::int64_t>()};
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

}  // namespace irismux::fleet
