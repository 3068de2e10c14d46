#include "fleet/garbage_collector.hpp"

namespace irismux::fleet {

DutyName garbage_collection_duty() { return DutyName{"sweep"}; }

namespace {

// Returns a comparison that holds only while the instance is not a member, or std::nullopt if the instance is
// a member according to the records received so far.
std::optional<KeyValue> absence_of(const Instance& instance, const RecordMirror& record_mirror,
                                   const Agent& agent) {
    if (agent.is_member(instance)) return std::nullopt;
    const Key member = member_key(instance.name);
    return KeyValue{member, record_mirror.at(member)};
}

}  // namespace

// Returns the write that removes the record, or std::nullopt if the record is not garbage. The write compares
// all records from which it follows that the record is garbage.
std::optional<FencedWrite> GarbageCollector::removal(const Key& key, const std::string& text,
                                                     const RecordMirror& record_mirror,
                                                     const Agent& agent) const {
    const KeyValue unchanged{key, text}, removed{key, std::nullopt};
    if (const auto duty = duty_of(key); duty && health_check_cache(*duty))
        return duty_removal(key, text, *duty, record_mirror, agent);
    if (released_duty_of(key)) {
        const auto instance = parse_release(text);
        const auto absence = instance ? absence_of(*instance, record_mirror, agent) : std::nullopt;
        if (!absence) return std::nullopt;
        return FencedWrite{{unchanged, *absence}, {removed}};
    }
    if (const auto cache = health_record_cache(key)) {
        const Key duty = duty_key(health_check_duty(*cache));
        if (record_mirror.at(duty)) return std::nullopt;
        return FencedWrite{{unchanged, {duty, std::nullopt}}, {removed}};
    }
    return std::nullopt;
}

// Returns the write that removes the duty's record if the record is garbage. The write also raises the floor
// to the token of the removed record. The next owner of the duty gets a token above the floor, so no token of
// the duty is given out twice.
std::optional<FencedWrite> GarbageCollector::duty_removal(const Key& key, const std::string& text,
                                                          const DutyName& duty,
                                                          const RecordMirror& record_mirror,
                                                          const Agent& agent) const {
    const auto record = parse_duty(text);
    if (!record || agent.duties().all().contains(duty)) return std::nullopt;
    FencedWrite write{{{key, text}, {floor_key(), agent.token_floor()}}, {{key, std::nullopt}}};
    if (!record->owner.raw().empty()) {
        const auto absence = absence_of({record->owner, record->incarnation}, record_mirror, agent);
        if (!absence) return std::nullopt;
        write.compares.push_back(*absence);
    }
    const FencingToken floor = agent.token_floor() ? parse_floor(*agent.token_floor()) : FencingToken{};
    if (record->token > floor) write.writes.emplace_back(floor_key(), serialize_floor(record->token));
    return write;
}

// Finds the records that have been garbage for the minimum age. Runs once per pass.
void GarbageCollector::scan(TimePoint now, const RecordMirror& record_mirror, const Agent& agent) {
    std::map<Key, Candidate> candidates;
    ready_removals_.clear();
    for (const auto& [key, text] : record_mirror.records()) {
        if (!removal(key, text, record_mirror, agent)) continue;
        const auto known = candidates_.find(key);
        const bool same = known != candidates_.end() && known->second.text == text;
        const TimePoint since = same ? known->second.since : now;
        candidates[key] = {text, since};
        if (now - since >= minimum_age_) ready_removals_.insert(key);
    }
    candidates_ = std::move(candidates);
    scanned_ = true;
}

std::optional<FencedWrite> GarbageCollector::next_write(TimePoint now, const RecordMirror& record_mirror,
                                                        const Agent& agent) {
    if (write_under_way_ || now < next_pass_at_) return std::nullopt;
    const RecordValue former = record_mirror.at(collection_progress_key());
    CollectionProgress progress =
        former ? parse_collection_progress(*former).value_or(CollectionProgress{}) : CollectionProgress{};
    // A new owner continues the pass whose progress it finds in the registry.
    if (!scanned_) scan(now, record_mirror, agent);
    std::optional<FencedWrite> write_request;
    Key at;
    while (!ready_removals_.empty() && !write_request) {
        at = *ready_removals_.begin();
        ready_removals_.erase(ready_removals_.begin());
        const RecordValue text = record_mirror.at(at);
        if (text && at.raw() > progress.last_key) write_request = removal(at, *text, record_mirror, agent);
    }
    write_ends_pass_ = !write_request;
    if (!write_request) write_request.emplace();
    progress.removed_records += !write_ends_pass_;
    progress.pass += write_ends_pass_;
    progress.last_key = write_ends_pass_ ? "" : at.raw();
    progress.token = agent.token_of(garbage_collection_duty());
    progress.owner = agent.self();
    write_request->writes.emplace_back(collection_progress_key(), serialize(progress));
    write_under_way_ = true;
    return write_request;
}

// A write that was refused or has an unknown outcome is not repeated. The next pass tries the removal again,
// with the records as they are then.
void GarbageCollector::on_written(TimePoint now, WriteOutcome) {
    write_under_way_ = false;
    if (!write_ends_pass_) return;
    scanned_ = false;
    next_pass_at_ = now + interval_;
}

}  // namespace irismux::fleet
