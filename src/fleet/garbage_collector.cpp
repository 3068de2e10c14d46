#include "fleet/garbage_collector.hpp"

namespace irismux::fleet {

DutyName garbage_collection_duty() { return DutyName{"sweep"}; }

// What takes that record away if it is litter, and what must still be so when it lands.
std::optional<FencedWrite> GarbageCollector::removal(const Key& key, const std::string& text,
                                                     const RecordMirror& record_mirror,
                                                     const Agent& agent) const {
    const Entry as_is{key, text}, away{key, std::nullopt};
    const auto gone = [&](const Instance& who) -> std::optional<Entry> {
        if (agent.is_member(who)) return std::nullopt;
        const Key member = member_key(who.name);
        return Entry{member, record_mirror.at(member)};
    };
    if (const auto duty = duty_of(key); duty && watched_cache_of(*duty)) {
        const auto record = read_duty(text);
        if (!record || agent.duties().all().contains(*duty)) return std::nullopt;
        FencedWrite c{{as_is, {floor_key(), agent.floor()}}, {away}};
        if (!record->owner.raw().empty()) {
            const auto owner = gone({record->owner, record->start});
            if (!owner) return std::nullopt;
            c.compares.push_back(*owner);
        }
        const FencingToken floor = agent.floor() ? read_floor(*agent.floor()) : FencingToken{};
        if (record->token > floor) c.writes.emplace_back(floor_key(), serialize_floor(record->token));
        return c;
    }
    if (released_duty_of(key)) {
        const auto who = read_release(text);
        if (!who) return std::nullopt;
        const auto member = gone(*who);
        return member ? std::optional(FencedWrite{{as_is, *member}, {away}}) : std::nullopt;
    }
    if (const auto cache = probed_cache_of(key)) {
        const Key duty = duty_key(health_watch_duty(*cache));
        if (record_mirror.at(duty)) return std::nullopt;
        return FencedWrite{{as_is, {duty, std::nullopt}}, {away}};
    }
    return std::nullopt;
}

// Once a pass: what has lain there for long enough.
void GarbageCollector::look_over(Instant now, const RecordMirror& record_mirror, const Agent& agent) {
    std::map<Key, Lying> lying;
    ready_.clear();
    for (const auto& [key, text] : record_mirror.records()) {
        if (!removal(key, text, record_mirror, agent)) continue;
        const auto known = litter_.find(key);
        const bool same = known != litter_.end() && known->second.text == text;
        const Instant since = same ? known->second.since : now;
        lying[key] = {text, since};
        if (now - since >= rests_) ready_.insert(key);
    }
    litter_ = std::move(lying);
    looked_over_ = true;
}

std::optional<FencedWrite> GarbageCollector::next(Instant now, const RecordMirror& record_mirror,
                                                  const Agent& agent) {
    if (out_ || now < next_) return std::nullopt;
    const Text former = record_mirror.at(collection_progress_key());
    CollectionProgress place =
        former ? read_collection_progress(*former).value_or(CollectionProgress{}) : CollectionProgress{};
    // A successor goes on with the pass that it finds; what the one before has dealt with is not there any
    // more.
    if (!looked_over_) look_over(now, record_mirror, agent);
    std::optional<FencedWrite> write_request;
    Key at;
    while (!ready_.empty() && !write_request) {
        at = *ready_.begin();
        ready_.erase(ready_.begin());
        const Text text = record_mirror.at(at);
        if (text && at.raw() > place.behind) write_request = removal(at, *text, record_mirror, agent);
    }
    ends_pass_ = !write_request;
    if (!write_request) write_request.emplace();
    place.taken += !ends_pass_;
    place.pass += ends_pass_;
    place.behind = ends_pass_ ? "" : at.raw();
    place.token = agent.token_of(garbage_collection_duty());
    place.by = agent.self();
    write_request->writes.emplace_back(collection_progress_key(), serialize(place));
    out_ = true;
    return write_request;
}

// What was refused or may not have landed is looked for again in the next pass, from the records as they are
// then.
void GarbageCollector::told(Instant now, WriteOutcome) {
    out_ = false;
    if (!ends_pass_) return;
    looked_over_ = false;
    next_ = now + every_;
}

}  // namespace irismux::fleet
