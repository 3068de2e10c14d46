#include "fleet/digest.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace irismux::fleet {
namespace {

using nlohmann::json;

// A snapshot is taken four times per term. Three snapshots are needed to see two consecutive new heartbeats,
// and one more snapshot may be lost.
constexpr double max_unseen_share_of_term = 1.25;
// The Agent's heartbeat interval, and its longest sleep before it checks for due work again. Both must match
// the Agent.
constexpr double heartbeat_interval_share_of_term = 0.25, agent_sleep_share_of_interval = 0.25;

std::optional<std::int64_t> non_negative_integer(const json& object, const char* key) {
    const auto it = object.find(key);
    if (it == object.end() || !it->is_number_integer() || *it < 0) return std::nullopt;
    return it->get<std::int64_t>();
}

std::string string_field(const json& object, const char* key) {
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

bool bool_field(const json& object, const char* key) {
    const auto it = object.find(key);
    return it != object.end() && it->is_boolean() && it->get<bool>();
}

// Serializes the digest without the fields that change with each snapshot. A digest is written before its
// refresh interval only if this content has changed.
json content_of(const Digest& digest) {
    json object = {{"owner", digest.owner.raw()},
                   {"owner_id", digest.owner_id},
                   {"generation", digest.generation.number},
                   {"id", digest.generation.id},
                   {"known", digest.known_count},
                   {"live", digest.live_count},
                   {"lowest", digest.lowest.raw()},
                   {"highest", digest.highest.raw()},
                   {"configuration", digest.lowest_configuration.raw()},
                   {"absent_count", digest.absent_count},
                   {"behind_count", digest.lagging_count}};
    if (digest.history_lost) object["worn"] = true;
    if (digest.roster_incomplete) object["incomplete"] = true;
    for (const auto& a : digest.absent) object["absent"].push_back({a.member.raw(), a.since_ms});
    for (const auto& b : digest.lagging)
        object["behind"].push_back({b.member.raw(), b.event.raw(), b.configuration.raw()});
    for (const auto& [cache, members] : digest.ejected_caches)
        object["marks"].push_back({cache.raw(), members});
    return object;
}

// Calls `visit` with each entry of the list `key`. Each entry must be an array of one string and `numbers`
// integers. Returns false if the list is malformed or longer than `most`.
template <class Visit>
bool for_each_entry(const json& object, const char* key, std::size_t numbers, std::size_t most, Visit visit) {
    const auto it = object.find(key);
    if (it == object.end()) return true;
    if (!it->is_array() || it->size() > most) return false;
    for (const json& entry : *it) {
        if (!entry.is_array() || entry.size() != numbers + 1 || !entry[0].is_string()) return false;
        for (std::size_t n = 1; n <= numbers; ++n)
            if (!entry[n].is_number_integer()) return false;
        visit(entry);
    }
    return true;
}

// Adds to the digest the lowest event number and the lowest configuration number of the live members. Also
// adds the list of the lagging members. A live member lags if it lacks the event with the highest number in
// the site, the configuration with the highest number of a live member, or both. Members with the lowest
// event numbers come first in the list.
void add_lagging(Digest& digest, std::vector<Digest::LaggingMember> live) {
    if (live.empty()) return;
    std::sort(live.begin(), live.end(), [](const auto& a, const auto& b) {
        return std::tie(a.event, a.configuration, a.member) < std::tie(b.event, b.configuration, b.member);
    });
    ConfigurationNumber highest_configuration;
    digest.lowest = live.front().event;
    digest.lowest_configuration = live.front().configuration;
    for (const auto& member : live) {
        digest.lowest_configuration = std::min(digest.lowest_configuration, member.configuration);
        highest_configuration = std::max(highest_configuration, member.configuration);
    }
    for (const auto& member : live) {
        if (member.event == digest.highest && member.configuration == highest_configuration) continue;
        ++digest.lagging_count;
        if (digest.lagging.size() < max_named_members) digest.lagging.push_back(member);
    }
}

// Returns false if a list is malformed. A missing list counts as empty.
bool parse_lists(const json& object, Digest& digest) {
    const auto append_absent = [&](const json& entry) {
        digest.absent.push_back({MemberName{entry[0].get<std::string>()}, entry[1].get<std::int64_t>()});
    };
    const auto append_lagging = [&](const json& entry) {
        digest.lagging.push_back({MemberName{entry[0].get<std::string>()},
                                  EventNumber{entry[1].get<std::int64_t>()},
                                  ConfigurationNumber{entry[2].get<std::int64_t>()}});
    };
    const auto append_ejected = [&](const json& entry) {
        digest.ejected_caches.emplace_back(CacheId{entry[0].get<std::string>()}, entry[1].get<std::size_t>());
    };
    return for_each_entry(object, "absent", 1, max_named_members, append_absent) &&
           for_each_entry(object, "behind", 2, max_named_members, append_lagging) &&
           for_each_entry(object, "marks", 1, max_reported_caches, append_ejected);
}

}  // namespace

Key roster_key() { return Key{"roster"}; }
Key digest_key() { return Key{"digest"}; }
DutyName digest_duty() { return DutyName{"digest"}; }
Duration max_unseen_time(Duration term) { return term * max_unseen_share_of_term; }
Duration max_staleness(Duration term) { return term; }

Duration max_counted_time(Duration term, double drift) {
    return (max_unseen_time(term) + max_staleness(term)) * ((1 + drift) / (1 - drift));
}

// The result is the sum of the longest times of four steps:
//   1. The gateway reports the event in a heartbeat, which waits for the acknowledgement interval and for a
//      transaction in flight.
//   2. The digest's owner takes a snapshot. If the owner has seen no lagging member, the snapshot waits for
//      the usual heartbeat interval.
//   3. The owner writes the digest, which waits for the minimum interval between two digests, a sleep of the
//      agent and a transaction in flight.
//   4. The reader reads the digest at its next read.
Duration max_report_delay(Duration term, double drift, Duration acknowledge_interval, Duration reply_time,
                          Duration read_interval) {
    const Duration heartbeat = acknowledge_interval + reply_time * 2;
    const Duration snapshot = term * heartbeat_interval_share_of_term + reply_time * 2;
    const Duration digest = acknowledge_interval +
                            term * (heartbeat_interval_share_of_term * agent_sleep_share_of_interval) +
                            reply_time * 2;
    return (heartbeat + snapshot + digest + read_interval) * (1 + drift) + reply_time * 2;
}

std::string serialize(const SiteRoster& roster) {
    json object = {{"names", json::array()}};
    for (const MemberName& name : roster.names) object["names"].push_back(name.raw());
    if (roster.incomplete) object["incomplete"] = true;
    return object.dump();
}

std::optional<SiteRoster> parse_site_roster(std::string_view bytes) {
    const json object = json::parse(bytes, nullptr, false);
    if (!object.is_object() || !object.contains("names") || !object["names"].is_array()) return std::nullopt;
    SiteRoster roster;
    roster.incomplete = bool_field(object, "incomplete");
    for (const json& name : object["names"]) {
        if (!name.is_string()) return std::nullopt;
        if (roster.names.size() >= max_roster_names)
            roster.incomplete = true;
        else
            roster.names.emplace(name.get<std::string>());
    }
    return roster;
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

std::string serialize(const Digest& digest) {
    json object = content_of(digest);
    object["as_of"] = digest.as_of_heartbeat;
    object["as_of_ms"] = digest.as_of_unix_ms;
    return object.dump();
}

std::optional<Digest> parse_digest(std::string_view bytes) {
    const json object = json::parse(bytes, nullptr, false);
    if (!object.is_object()) return std::nullopt;
    const auto as_of = non_negative_integer(object, "as_of"),
               generation = non_negative_integer(object, "generation"),
               known = non_negative_integer(object, "known"), live = non_negative_integer(object, "live"),
               lowest = non_negative_integer(object, "lowest"),
               highest = non_negative_integer(object, "highest"),
               configuration = non_negative_integer(object, "configuration"),
               absent = non_negative_integer(object, "absent_count"),
               behind = non_negative_integer(object, "behind_count");
    if (!as_of || !generation || !known || !live || !lowest || !highest || !configuration || !absent ||
        !behind)
        return std::nullopt;
    Digest digest;
    digest.owner = MemberName{string_field(object, "owner")};
    digest.owner_id = string_field(object, "owner_id");
    digest.as_of_heartbeat = *as_of;
    digest.as_of_unix_ms = non_negative_integer(object, "as_of_ms").value_or(0);
    digest.generation = {*generation, string_field(object, "id")};
    digest.history_lost = bool_field(object, "worn");
    digest.roster_incomplete = bool_field(object, "incomplete");
    digest.known_count = static_cast<std::size_t>(*known);
    digest.live_count = static_cast<std::size_t>(*live);
    digest.lowest = EventNumber{*lowest};
    digest.highest = EventNumber{*highest};
    digest.lowest_configuration = ConfigurationNumber{*configuration};
    digest.absent_count = static_cast<std::size_t>(*absent);
    digest.lagging_count = static_cast<std::size_t>(*behind);
    // A list of members may be shorter than the corresponding count, since the length of a list is limited. A
    // list that is longer than the count is malformed.
    if (!parse_lists(object, digest) || digest.absent.size() > digest.absent_count ||
        digest.lagging.size() > digest.lagging_count)
        return std::nullopt;
    return digest;
}

// --- observations of the members' processes --------------------------------------------------------------

// A restored registry shows old heartbeats again. If old heartbeats counted, a member would count as live
// although its process has ended. Therefore a heartbeat with a lower number than an earlier heartbeat of the
// same process does not prove that the process runs.
void DigestBuilder::record_heartbeat(const MemberName& name, const std::optional<std::string>& text_shown,
                                     TimePoint requested_at) {
    const auto heartbeat = text_shown ? parse_heartbeat(*text_shown) : std::nullopt;
    const auto known = observed_heartbeats_.find(name);
    const bool first = known == observed_heartbeats_.end();
    ObservedHeartbeat next{text_shown.value_or(""),
                           heartbeat ? heartbeat->instance_id.raw() : "",
                           heartbeat ? heartbeat->number.raw() : 0,
                           requested_at,
                           {},
                           {}};
    if (!first) {
        const ObservedHeartbeat& previous = known->second;
        const bool same_text = previous.text == next.text;
        const bool follows =
            heartbeat && next.instance_id == previous.instance_id && next.number > previous.number;
        next.last_snapshot_without_text =
            same_text ? previous.last_snapshot_without_text : std::optional(previous.last_shown_at);
        next.last_snapshot_without_previous_text = same_text ? previous.last_snapshot_without_previous_text
                                                   : follows ? previous.last_snapshot_without_text
                                                             : std::nullopt;
    }
    observed_heartbeats_[name] = std::move(next);
}

// The sender of the last heartbeat ran after its previous heartbeat was committed. The previous heartbeat was
// not committed yet at `last_snapshot_without_previous_text`. Therefore the process ran after that time.
bool DigestBuilder::is_live(const MemberName& name, TimePoint received_at) const {
    const auto it = observed_heartbeats_.find(name);
    if (it == observed_heartbeats_.end() || it->second.instance_id.empty() ||
        !it->second.last_snapshot_without_previous_text)
        return false;
    return received_at - *it->second.last_snapshot_without_previous_text <= max_unseen_time(settings_.term);
}

Digest DigestBuilder::merge(const FleetSnapshot& snapshot, const std::optional<AppliedRevisions>& own) const {
    Digest digest;
    digest.owner = settings_.self;
    digest.owner_id = settings_.own_id;
    digest.as_of_heartbeat = snapshot.heartbeat_number;
    digest.as_of_unix_ms = snapshot.unix_ms;
    digest.generation = shown_generation_.value_or(Generation{});
    digest.known_count = roster_.names.size();
    digest.roster_incomplete =
        roster_.incomplete || !roster_readable_ || !roster_.names.contains(settings_.self);
    std::vector<Digest::LaggingMember> live;
    for (const MemberName& name : roster_.names) {
        const auto revisions = name == settings_.self ? own : reported_revisions(name);
        const bool counts = revisions && revisions->generation == digest.generation;
        if (counts) {
            digest.highest = std::max(digest.highest, revisions->event);
            digest.history_lost |= revisions->history_lost;
        }
        if (name != settings_.self && !is_live(name, snapshot.received_at))
            add_absent(digest, name, snapshot.unix_ms);
        else
            live.push_back({name, counts ? revisions->event : EventNumber{},
                            counts ? revisions->configuration : ConfigurationNumber{}});
    }
    digest.live_count = live.size();
    add_lagging(digest, std::move(live));
    return digest;
}

std::optional<AppliedRevisions> DigestBuilder::reported_revisions(const MemberName& name) const {
    const auto it = observed_heartbeats_.find(name);
    return it == observed_heartbeats_.end() ? std::nullopt : parse_applied_revisions(it->second.text);
}

void DigestBuilder::add_absent(Digest& digest, const MemberName& name, std::int64_t now_unix_ms) const {
    ++digest.absent_count;
    if (digest.absent.size() >= max_named_members) return;
    const auto since = absent_since_.find(name);
    digest.absent.push_back({name, since == absent_since_.end() ? now_unix_ms : since->second});
}

// A restored registry shows an old generation again. Event numbers of the old generation would then be taken
// for event numbers of the newest generation. The restore is detected if a member reports a higher
// generation, or a generation with the same number and another id.
void DigestBuilder::record_generations(const std::optional<AppliedRevisions>& own) {
    generation_ids_conflict_ = false;
    const auto record_generation = [&](const Generation& g) {
        if (shown_generation_ && g.number == shown_generation_->number && g != *shown_generation_)
            generation_ids_conflict_ = true;
        if (g.number > known_generation_.number) known_generation_ = g;
    };
    if (shown_generation_) record_generation(*shown_generation_);
    if (own) record_generation(own->generation);
    for (const auto& [name, observed] : observed_heartbeats_)
        if (const auto revisions = parse_applied_revisions(observed.text))
            record_generation(revisions->generation);
}

void DigestBuilder::on_snapshot(const FleetSnapshot& snapshot, const std::optional<AppliedRevisions>& own,
                                const std::map<CacheId, std::size_t>& ejections) {
    const auto roster = snapshot.roster ? parse_site_roster(*snapshot.roster) : std::nullopt;
    roster_readable_ = roster.has_value();
    if (roster) roster_ = *roster;
    std::erase_if(observed_heartbeats_, [&](const auto& e) { return !roster_.names.contains(e.first); });
    for (const auto& [name, text_shown] : snapshot.heartbeats)
        if (roster_.names.contains(name)) record_heartbeat(name, text_shown, snapshot.requested_at);
    shown_generation_ = snapshot.generation ? parse_generation(*snapshot.generation) : std::nullopt;
    record_generations(own);
    // The new owner takes the absence times over from the previous owner's digest.
    if (const auto previous = snapshot.former_digest ? parse_digest(*snapshot.former_digest) : std::nullopt)
        for (const auto& a : previous->absent) absent_since_.try_emplace(a.member, a.since_ms);
    Digest digest = merge(snapshot, own);
    for (const auto& a : digest.absent) absent_since_.try_emplace(a.member, a.since_ms);
    std::erase_if(absent_since_, [&](const auto& since) {
        return !roster_.names.contains(since.first) || since.first == settings_.self ||
               is_live(since.first, snapshot.received_at);
    });
    for (const auto& [cache, members] : ejections) digest.ejected_caches.emplace_back(cache, members);
    std::stable_sort(digest.ejected_caches.begin(), digest.ejected_caches.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    if (digest.ejected_caches.size() > max_reported_caches) digest.ejected_caches.resize(max_reported_caches);
    digest_ = std::move(digest);
}

std::optional<std::string> DigestBuilder::next_digest(TimePoint now) {
    if (!digest_) return std::nullopt;
    const std::string content = content_of(*digest_).dump();
    const Duration age = now - written_at_;
    if (ever_written_ &&
        age < (content == written_content_ ? settings_.refresh_interval : settings_.min_write_interval))
        return std::nullopt;
    ever_written_ = true;
    written_content_ = content;
    written_at_ = now;
    return serialize(*digest_);
}

std::optional<Generation> DigestBuilder::next_generation(const std::string& new_id) const {
    if (!digest_) return std::nullopt;
    return fleet::next_generation(shown_generation_, known_generation_,
                                  digest_->history_lost || generation_ids_conflict_, new_id);
}

}  // namespace irismux::fleet
