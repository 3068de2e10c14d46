#include "registry/endpoint_view.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace irismux::registry {
namespace {

constexpr std::size_t most_left = 1024;

bool same(const ListLine& a, const ListLine& b) {
    const Listing &x = a.first, &y = b.first;
    return a.second == b.second && x.location == y.location && x.machine == y.machine && x.cell == y.cell &&
           x.weight == y.weight && x.phase == y.phase && x.started == y.started;
}

}  // namespace

std::optional<ListLine> line_of(const Record& record) {
    const nlohmann::json told = nlohmann::json::parse(record.value, nullptr, false);
    if (!told.is_object()) return std::nullopt;
    try {
        ListLine line = read_list_line(told);
        if (line.first.cache.raw() != record.key.raw()) return std::nullopt;
        return line;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

// A record created anew is another process, whatever it says: one that names no start, or that of its
// predecessor, has started now. Of the first list nothing is known to be new.
void View::put(const Record& record, Instant now, std::vector<ListLine>& told) {
    auto it = entries_.find(record.key);
    if (it != entries_.end() && it->second.created != record.created) {
        take_away(it, told);
        it = entries_.end();
    }
    if (it == entries_.end()) it = entries_.emplace(record.key, Entry{}).first;
    Entry& e = it->second;
    std::optional<ListLine> line = line_of(record);
    unreadable_ += !line;
    unreadable_ -= e.unreadable;
    e.unreadable = !line;
    e.created = record.created;
    e.modified = record.modified;
    if (!line) return;
    if (in_force_ && !e.line) {
        const auto former = left_.find(record.key);
        const Instant old = former == left_.end() ? Instant{} : former->second;
        if (line->first.started <= old) line->first.started = now;
        if (former != left_.end()) left_.erase(former);
    }
    // The start that it was given when it came anew stays with it.
    if (e.line && line->first.started < e.line->first.started) line->first.started = e.line->first.started;
    e.value = record.value;
    if (e.line && same(*e.line, *line)) return;
    e.line = line;
    told.push_back(*line);
}

void View::take_away(std::map<RecordKey, Entry>::iterator it, std::vector<ListLine>& told) {
    unreadable_ -= it->second.unreadable;
    if (it->second.line) {
        ListLine gone = *it->second.line;
        gone.first.phase = Phase::gone;
        told.push_back(gone);
        if (left_.size() >= most_left) left_.clear();
        left_[it->first] = gone.first.started;
    }
    entries_.erase(it);
}

std::vector<ListLine> View::replace(Revision at, const std::vector<Record>& records, Instant now) {
    std::vector<ListLine> told;
    std::set<RecordKey> present;
    for (const Record& r : records) present.insert(r.key);
    for (auto it = entries_.begin(); it != entries_.end();)
        if (const auto gone = it++; !present.contains(gone->first)) take_away(gone, told);
    for (const Record& r : records) put(r, now, told);
    revision_ = at;
    in_force_ = true;
    return told;
}

std::vector<ListLine> View::apply(Revision upto, const std::vector<Change>& changes, Instant now) {
    std::vector<ListLine> told;
    for (const Change& c : changes) {
        if (c.record.modified <= revision_) continue;
        if (!c.deleted)
            put(c.record, now, told);
        else if (const auto it = entries_.find(c.record.key); it != entries_.end())
            take_away(it, told);
    }
    for (const Change& c : changes) revision_ = std::max(revision_, c.record.modified);
    revision_ = std::max(revision_, upto);
    return told;
}

}  // namespace irismux::registry
