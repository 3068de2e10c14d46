#include "registry/endpoint_view.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace irismux::registry {
namespace {

bool is_same(const EndpointRecord& a, const EndpointRecord& b) {
    const EndpointUpdate& x = a.first;
    const EndpointUpdate& y = b.first;
    return a.second == b.second && x.location == y.location && x.machine_type == y.machine_type &&
           x.cell == y.cell && x.weight == y.weight && x.status == y.status && x.started_at == y.started_at;
}

}  // namespace

std::optional<EndpointRecord> parse_endpoint(const Record& record) {
    const nlohmann::json value = nlohmann::json::parse(record.value, nullptr, false);
    if (!value.is_object()) return std::nullopt;
    try {
        EndpointRecord endpoint = parse_endpoint_record(value);
        if (endpoint.first.cache.raw() != record.key.raw()) return std::nullopt;
        return endpoint;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

void EndpointView::upsert(const Record& record, TimePoint now, std::vector<EndpointRecord>& updates) {
    auto it = entries_.find(record.key);
    if (it != entries_.end() && it->second.created != record.created) {
        remove(it, updates);
        it = entries_.end();
    }
    if (it == entries_.end()) it = entries_.emplace(record.key, Entry{}).first;
    Entry& entry = it->second;
    std::optional<EndpointRecord> endpoint = parse_endpoint(record);
    if (entry.unreadable) --unreadable_;
    entry.unreadable = !endpoint;
    if (entry.unreadable) ++unreadable_;
    entry.created = record.created;
    entry.modified = record.modified;
    if (endpoint) update_endpoint(entry, record, std::move(*endpoint), now, updates);
}

void EndpointView::update_endpoint(Entry& entry, const Record& record, EndpointRecord endpoint, TimePoint now,
                                   std::vector<EndpointRecord>& updates) {
    // Keeps the start times of endpoints in the first list, since it is unknown whether these endpoints are
    // new.
    if (complete_ && !entry.endpoint) set_start_of_new_endpoint(record.key, endpoint.first, now);
    // A later value of the record does not undo the start time set by set_start_of_new_endpoint().
    if (entry.endpoint)
        endpoint.first.started_at = std::max(endpoint.first.started_at, entry.endpoint->first.started_at);
    entry.value = record.value;
    if (entry.endpoint && is_same(*entry.endpoint, endpoint)) return;
    entry.endpoint = endpoint;
    updates.push_back(std::move(endpoint));
}

// A record that was created again describes another process. If the record has no start time, or a start time
// that is not later than that of the removed record, the process counts as started now and therefore as cold.
void EndpointView::set_start_of_new_endpoint(const RecordKey& key, EndpointUpdate& update, TimePoint now) {
    const auto predecessor = started_at_of_removed_.find(key);
    if (predecessor == started_at_of_removed_.end()) {
        if (update.started_at <= TimePoint{}) update.started_at = now;
        return;
    }
    if (update.started_at <= predecessor->second) update.started_at = now;
    started_at_of_removed_.erase(predecessor);
}

void EndpointView::remove(Entries::iterator it, std::vector<EndpointRecord>& updates) {
    constexpr std::size_t max_removed = 1024;
    const Entry& entry = it->second;
    if (entry.unreadable) --unreadable_;
    if (entry.endpoint) {
        EndpointRecord removed = *entry.endpoint;
        removed.first.status = EndpointStatus::removed;
        updates.push_back(removed);
        if (started_at_of_removed_.size() >= max_removed) started_at_of_removed_.clear();
        started_at_of_removed_[it->first] = removed.first.started_at;
    }
    entries_.erase(it);
}

std::vector<EndpointRecord> EndpointView::replace(Revision at, const std::vector<Record>& records,
                                                  TimePoint now) {
    std::vector<EndpointRecord> updates;
    std::set<RecordKey> present;
    for (const Record& record : records) present.insert(record.key);
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (!present.contains(current->first)) remove(current, updates);
    }
    for (const Record& record : records) upsert(record, now, updates);
    revision_ = at;
    complete_ = true;
    return updates;
}

std::vector<EndpointRecord> EndpointView::apply(Revision covered, const std::vector<Change>& changes,
                                                TimePoint now) {
    std::vector<EndpointRecord> updates;
    for (const Change& change : changes) {
        if (change.record.modified <= revision_) continue;
        const auto it = entries_.find(change.record.key);
        if (!change.deleted)
            upsert(change.record, now, updates);
        else if (it != entries_.end())
            remove(it, updates);
    }
    for (const Change& change : changes) revision_ = std::max(revision_, change.record.modified);
    revision_ = std::max(revision_, covered);
    return updates;
}

}  // namespace irismux::registry
