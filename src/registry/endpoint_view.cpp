#include "registry/endpoint_view.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace irismux::registry {
namespace {

constexpr std::size_t most_left = 1024;

bool same(const EndpointRecord& a, const EndpointRecord& b) {
    const EndpointUpdate &x = a.first, &y = b.first;
    return a.second == b.second && x.location == y.location && x.machine_type == y.machine_type &&
           x.cell == y.cell && x.weight == y.weight && x.status == y.status && x.started_at == y.started_at;
}

}  // namespace

std::optional<EndpointRecord> parse_endpoint(const Record& record) {
    const nlohmann::json told = nlohmann::json::parse(record.value, nullptr, false);
    if (!told.is_object()) return std::nullopt;
    try {
        EndpointRecord line = parse_endpoint_record(told);
        if (line.first.cache.raw() != record.key.raw()) return std::nullopt;
        return line;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

// A record created anew is another process, whatever it says: one that names no start, or that of its
// predecessor, has started now. Of the first list nothing is known to be new.
void EndpointView::put(const Record& record, TimePoint now, std::vector<EndpointRecord>& told) {
    auto it = entries_.find(record.key);
    if (it != entries_.end() && it->second.created != record.created) {
        remove(it, told);
        it = entries_.end();
    }
    if (it == entries_.end()) it = entries_.emplace(record.key, Entry{}).first;
    Entry& e = it->second;
    std::optional<EndpointRecord> line = parse_endpoint(record);
    unreadable_ += !line;
    unreadable_ -= e.unreadable;
    e.unreadable = !line;
    e.created = record.created;
    e.modified = record.modified;
    if (!line) return;
    if (complete_ && !e.endpoint) {
        const auto former = removed_since_.find(record.key);
        const TimePoint old = former == removed_since_.end() ? TimePoint{} : former->second;
        if (line->first.started_at <= old) line->first.started_at = now;
        if (former != removed_since_.end()) removed_since_.erase(former);
    }
    // The start that it was given when it came anew stays with it.
    if (e.endpoint && line->first.started_at < e.endpoint->first.started_at)
        line->first.started_at = e.endpoint->first.started_at;
    e.value = record.value;
    if (e.endpoint && same(*e.endpoint, *line)) return;
    e.endpoint = line;
    told.push_back(*line);
}

void EndpointView::remove(std::map<RecordKey, Entry>::iterator it, std::vector<EndpointRecord>& told) {
    unreadable_ -= it->second.unreadable;
    if (it->second.endpoint) {
        EndpointRecord gone = *it->second.endpoint;
        gone.first.status = EndpointStatus::removed;
        told.push_back(gone);
        if (removed_since_.size() >= most_left) removed_since_.clear();
        removed_since_[it->first] = gone.first.started_at;
    }
    entries_.erase(it);
}

std::vector<EndpointRecord> EndpointView::replace(Revision at, const std::vector<Record>& records,
                                                  TimePoint now) {
    std::vector<EndpointRecord> told;
    std::set<RecordKey> present;
    for (const Record& r : records) present.insert(r.key);
    for (auto it = entries_.begin(); it != entries_.end();)
        if (const auto gone = it++; !present.contains(gone->first)) remove(gone, told);
    for (const Record& r : records) put(r, now, told);
    revision_ = at;
    complete_ = true;
    return told;
}

std::vector<EndpointRecord> EndpointView::apply(Revision upto, const std::vector<Change>& changes,
                                                TimePoint now) {
    std::vector<EndpointRecord> told;
    for (const Change& c : changes) {
        if (c.record.modified <= revision_) continue;
        if (!c.deleted)
            put(c.record, now, told);
        else if (const auto it = entries_.find(c.record.key); it != entries_.end())
            remove(it, told);
    }
    for (const Change& c : changes) revision_ = std::max(revision_, c.record.modified);
    revision_ = std::max(revision_, upto);
    return told;
}

}  // namespace irismux::registry
