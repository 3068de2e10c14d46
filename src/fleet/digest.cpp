#include "fleet/digest.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace irismux::fleet {
namespace {

using nlohmann::json;

// Looks come once a quarter of a term, and it takes three of them until two heartbeats in a row have been
// seen to come; one more may be lost.
constexpr double unseen_of_term = 1.25;
// As the Agent's: heartbeats at rest, and its look between them for what has become due.
constexpr double round_of_term = 0.25, look_round_of_round = 0.25;

std::optional<std::int64_t> count(const json& o, const char* key) {
    const auto it = o.find(key);
    if (it == o.end() || !it->is_number_integer() || *it < 0) return std::nullopt;
    return it->get<std::int64_t>();
}

std::string text(const json& o, const char* key) {
    const auto it = o.find(key);
    return it != o.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool flag(const json& o, const char* key) {
    const auto it = o.find(key);
    return it != o.end() && it->is_boolean() && it->get<bool>();
}

// What changes with each look is left out: whether there is news is judged by the rest.
json content(const Digest& d) {
    json o = {{"owner", d.owner.raw()},
              {"owner_id", d.owner_id},
              {"generation", d.generation.number},
              {"id", d.generation.id},
              {"known", d.known_count},
              {"live", d.live_count},
              {"lowest", d.lowest.raw()},
              {"highest", d.highest.raw()},
              {"configuration", d.lowest_configuration.raw()},
              {"absent_count", d.absent_count},
              {"behind_count", d.lagging_count}};
    if (d.history_lost) o["worn"] = true;
    if (d.roster_incomplete) o["incomplete"] = true;
    for (const auto& a : d.absent) o["absent"].push_back({a.member.raw(), a.since_ms});
    for (const auto& b : d.lagging)
        o["behind"].push_back({b.member.raw(), b.event.raw(), b.configuration.raw()});
    for (const auto& [cache, members] : d.ejected_caches) o["marks"].push_back({cache.raw(), members});
    return o;
}

// Calls `take` with each entry of a list whose first part is text and whose others are numbers.
template <class Take>
bool each(const json& o, const char* key, std::size_t numbers, std::size_t most, Take take) {
    const auto it = o.find(key);
    if (it == o.end()) return true;
    if (!it->is_array() || it->size() > most) return false;
    for (const json& entry : *it) {
        if (!entry.is_array() || entry.size() != numbers + 1 || !entry[0].is_string()) return false;
        for (std::size_t n = 1; n <= numbers; ++n)
            if (!entry[n].is_number_integer()) return false;
        take(entry);
    }
    return true;
}

}  // namespace

Key roster_key() { return Key{"roster"}; }
Key digest_key() { return Key{"digest"}; }
DutyName digest_duty() { return DutyName{"digest"}; }
Duration max_unseen_time(Duration term) { return term * unseen_of_term; }
Duration max_staleness(Duration term) { return term; }

Duration max_counted_time(Duration term, double drift) {
    return (max_unseen_time(term) + max_staleness(term)) * ((1 + drift) / (1 - drift));
}

// Its heartbeat, behind a transaction that may be out; the owner's look, at its usual pace if it had seen
// nobody behind; the digest, at its pace and behind another transaction; the reading, which may just have
// been missed.
Duration max_report_delay(Duration term, double drift, Duration acknowledge_every, Duration answer,
                          Duration read_every) {
    const Duration heartbeat = acknowledge_every + answer * 2;
    const Duration look = term * round_of_term + answer * 2;
    const Duration digest = acknowledge_every + term * (round_of_term * look_round_of_round) + answer * 2;
    return (heartbeat + look + digest + read_every) * (1 + drift) + answer * 2;
}

std::string serialize(const SiteRoster& r) {
    json o = {{"names", json::array()}};
    for (const MemberName& name : r.names) o["names"].push_back(name.raw());
    if (r.incomplete) o["incomplete"] = true;
    return o.dump();
}

std::optional<SiteRoster> parse_site_roster(std::string_view bytes) {
    const json o = json::parse(bytes, nullptr, false);
    if (!o.is_object() || !o.contains("names") || !o["names"].is_array()) return std::nullopt;
    SiteRoster r;
    r.incomplete = flag(o, "incomplete");
    for (const json& name : o["names"]) {
        if (!name.is_string()) return std::nullopt;
        if (r.names.size() >= max_roster_names)
            r.incomplete = true;
        else
            r.names.emplace(name.get<std::string>());
    }
    return r;
}

std::optional<SiteRoster> add_to_roster(const SiteRoster& roster, const MemberName& name) {
    if (roster.names.contains(name)) return std::nullopt;
    SiteRoster next = roster;
    if (next.names.size() < max_roster_names)
        next.names.insert(name);
    else if (std::exchange(next.incomplete, true))
        return std::nullopt;
    return next;
}

std::string serialize(const Digest& d) {
    json o = content(d);
    o["as_of"] = d.as_of_heartbeat;
    o["as_of_ms"] = d.as_of_unix_ms;
    return o.dump();
}

std::optional<Digest> parse_digest(std::string_view bytes) {
    const json o = json::parse(bytes, nullptr, false);
    if (!o.is_object()) return std::nullopt;
    const auto as_of = count(o, "as_of"), generation = count(o, "generation"), known = count(o, "known"),
               live = count(o, "live"), lowest = count(o, "lowest"), highest = count(o, "highest"),
               configuration = count(o, "configuration"), absent = count(o, "absent_count"),
               behind = count(o, "behind_count");
    if (!as_of || !generation || !known || !live || !lowest || !highest || !configuration || !absent ||
        !behind)
        return std::nullopt;
    Digest d;
    d.owner = MemberName{text(o, "owner")};
    d.owner_id = text(o, "owner_id");
    d.as_of_heartbeat = *as_of;
    d.as_of_unix_ms = count(o, "as_of_ms").value_or(0);
    d.generation = {*generation, text(o, "id")};
    d.history_lost = flag(o, "worn");
    d.roster_incomplete = flag(o, "incomplete");
    d.known_count = static_cast<std::size_t>(*known);
    d.live_count = static_cast<std::size_t>(*live);
    d.lowest = EventNumber{*lowest};
    d.highest = EventNumber{*highest};
    d.lowest_configuration = ConfigurationNumber{*configuration};
    d.absent_count = static_cast<std::size_t>(*absent);
    d.lagging_count = static_cast<std::size_t>(*behind);
    const bool lists_read =
        each(o, "absent", 1, max_named_members,
             [&](const json& e) {
                 d.absent.push_back({MemberName{e[0].get<std::string>()}, e[1].get<std::int64_t>()});
             }) &&
        each(o, "behind", 2, max_named_members,
             [&](const json& e) {
                 d.lagging.push_back({MemberName{e[0].get<std::string>()},
                                      EventNumber{e[1].get<std::int64_t>()},
                                      ConfigurationNumber{e[2].get<std::int64_t>()}});
             }) &&
        each(o, "marks", 1, max_reported_caches, [&](const json& e) {
            d.ejected_caches.emplace_back(CacheId{e[0].get<std::string>()}, e[1].get<std::size_t>());
        });
    // Lists that are shorter than their counts are cut; longer ones can't be.
    if (!lists_read || d.absent.size() > d.absent_count || d.lagging.size() > d.lagging_count)
        return std::nullopt;
    return d;
}

// --- what is known of the members' processes -------------------------------------------------------------

// Guards against a registry that has gone back: an older heartbeat that comes after a newer one shows nothing
// of its sender.
void DigestBuilder::record_heartbeat(const MemberName& name, const std::optional<std::string>& text_shown,
                                     TimePoint asked) {
    const auto heartbeat = text_shown ? parse_heartbeat(*text_shown) : std::nullopt;
    const auto known = evidence_.find(name);
    const bool first = known == evidence_.end();
    Evidence next{text_shown.value_or(""),
                  heartbeat ? heartbeat->instance_id.raw() : "",
                  heartbeat ? heartbeat->number.raw() : 0,
                  asked,
                  {},
                  {}};
    if (!first) {
        const Evidence& former = known->second;
        const bool same_text = former.text == next.text;
        const bool follows =
            heartbeat && next.instance_id == former.instance_id && next.number > former.number;
        next.text_not_shown_at = same_text ? former.text_not_shown_at : std::optional(former.last_shown_at);
        next.previous_text_not_shown_at = same_text ? former.previous_text_not_shown_at
                                          : follows ? former.text_not_shown_at
                                                    : std::nullopt;
    }
    evidence_[name] = std::move(next);
}

// The sender of the heartbeat shown ran after the one before had landed, and that had not when
// `before_previous` was asked.
bool DigestBuilder::is_live(const MemberName& name, TimePoint answered) const {
    const auto it = evidence_.find(name);
    if (it == evidence_.end() || it->second.instance_id.empty() || !it->second.previous_text_not_shown_at)
        return false;
    return answered - *it->second.previous_text_not_shown_at <= max_unseen_time(settings_.term);
}

Digest DigestBuilder::merge(const FleetSnapshot& look, const std::optional<AppliedRevisions>& own) const {
    Digest d;
    d.owner = settings_.self;
    d.owner_id = settings_.own_id;
    d.as_of_heartbeat = look.heartbeat_number;
    d.as_of_unix_ms = look.unix_ms;
    d.generation = shown_generation_.value_or(Generation{});
    d.known_count = roster_.names.size();
    d.roster_incomplete = roster_.incomplete || !roster_readable_ || !roster_.names.contains(settings_.self);
    std::vector<Digest::LaggingMember> live_ones;
    for (const MemberName& name : roster_.names) {
        const bool self = name == settings_.self;
        const auto it = evidence_.find(name);
        const auto claim = self                    ? own
                           : it == evidence_.end() ? std::nullopt
                                                   : parse_applied_revisions(it->second.text);
        const bool counts = claim && claim->generation == d.generation;
        if (claim && claim->generation == d.generation) {
            d.highest = std::max(d.highest, claim->event);
            d.history_lost |= claim->history_lost;
        }
        if (!self && !is_live(name, look.received_at)) {
            ++d.absent_count;
            const auto since = absent_since_.find(name);
            if (d.absent.size() < max_named_members)
                d.absent.push_back({name, since == absent_since_.end() ? look.unix_ms : since->second});
            continue;
        }
        ++d.live_count;
        live_ones.push_back({name, counts ? claim->event : EventNumber{},
                             counts ? claim->configuration : ConfigurationNumber{}});
    }
    std::sort(live_ones.begin(), live_ones.end(), [](const auto& a, const auto& b) {
        return std::tie(a.event, a.configuration, a.member) < std::tie(b.event, b.configuration, b.member);
    });
    if (live_ones.empty()) return d;
    ConfigurationNumber highest_configuration;
    d.lowest = live_ones.front().event;
    d.lowest_configuration = live_ones.front().configuration;
    for (const auto& m : live_ones) {
        d.lowest_configuration = std::min(d.lowest_configuration, m.configuration);
        highest_configuration = std::max(highest_configuration, m.configuration);
    }
    for (const auto& m : live_ones) {
        if (m.event == d.highest && m.configuration == highest_configuration) continue;
        ++d.lagging_count;
        if (d.lagging.size() < max_named_members) d.lagging.push_back(m);
    }
    return d;
}

// Guards against a registry that has gone back: who has taken a higher generation, or another under the same
// number, takes the one shown for none.
void DigestBuilder::record_generations(const std::optional<AppliedRevisions>& own) {
    generation_ids_conflict_ = false;
    const auto take = [&](const Generation& g) {
        if (shown_generation_ && g.number == shown_generation_->number && g != *shown_generation_)
            generation_ids_conflict_ = true;
        if (g.number > known_generation_.number) known_generation_ = g;
    };
    if (shown_generation_) take(*shown_generation_);
    if (own) take(own->generation);
    for (const auto& [name, e] : evidence_)
        if (const auto claim = parse_applied_revisions(e.text)) take(claim->generation);
}

void DigestBuilder::on_snapshot(const FleetSnapshot& look, const std::optional<AppliedRevisions>& own,
                                const std::map<CacheId, std::size_t>& marks) {
    const auto roster = look.roster ? parse_site_roster(*look.roster) : std::nullopt;
    roster_readable_ = roster.has_value();
    if (roster) roster_ = *roster;
    std::erase_if(evidence_, [&](const auto& e) { return !roster_.names.contains(e.first); });
    for (const auto& [name, text_shown] : look.heartbeats)
        if (roster_.names.contains(name)) record_heartbeat(name, text_shown, look.requested_at);
    shown_generation_ = look.generation ? parse_generation(*look.generation) : std::nullopt;
    record_generations(own);
    // Since when somebody has been absent goes from owner to owner.
    if (const auto former = look.former_digest ? parse_digest(*look.former_digest) : std::nullopt)
        for (const auto& a : former->absent) absent_since_.try_emplace(a.member, a.since_ms);
    Digest d = merge(look, own);
    for (const auto& a : d.absent) absent_since_.try_emplace(a.member, a.since_ms);
    std::erase_if(absent_since_, [&](const auto& since) {
        return !roster_.names.contains(since.first) || since.first == settings_.self ||
               is_live(since.first, look.received_at);
    });
    for (const auto& [cache, members] : marks) d.ejected_caches.emplace_back(cache, members);
    std::stable_sort(d.ejected_caches.begin(), d.ejected_caches.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    if (d.ejected_caches.size() > max_reported_caches) d.ejected_caches.resize(max_reported_caches);
    digest_ = std::move(d);
}

std::optional<std::string> DigestBuilder::next_digest(TimePoint now) {
    if (!digest_) return std::nullopt;
    const std::string is = content(*digest_).dump();
    const Duration since = now - written_at_;
    if (ever_written_ && since < (is == written_content_ ? settings_.refresh : settings_.pace))
        return std::nullopt;
    ever_written_ = true;
    written_content_ = is;
    written_at_ = now;
    return serialize(*digest_);
}

std::optional<Generation> DigestBuilder::next_generation(const std::string& new_id) const {
    if (!digest_) return std::nullopt;
    return fleet::next_generation(shown_generation_, known_generation_,
                                  digest_->history_lost || generation_ids_conflict_, new_id);
}

}  // namespace irismux::fleet
