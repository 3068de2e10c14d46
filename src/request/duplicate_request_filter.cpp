#include "request/duplicate_request_filter.hpp"

#include <functional>
#include <utility>

namespace irismux {

RequestLog::Key RequestLog::key_of(const RequestWords& words) {
    constexpr char separator = '\0';
    const std::string all =
        words.kind + separator + words.object + separator + words.part + separator + words.body;
    return {words.id, std::hash<std::string>{}(all)};
}

bool RequestLog::take(const RequestWords& words, LookupId lookup, Instant until, Instant now) {
    forget(now);
    const Key key = key_of(words);
    if (!entries_.try_emplace(key, Entry{lookup, until}).second) return false;
    by_lookup_[lookup] = key;
    ends_.emplace(until, lookup);
    return true;
}

void RequestLog::forget_lookup(LookupId lookup) {
    const auto known = by_lookup_.find(lookup);
    if (known != by_lookup_.end()) erase(entries_.find(known->second));
}

void RequestLog::erase(std::map<Key, Entry>::iterator entry) {
    const auto [first, last] = ends_.equal_range(entry->second.until);
    for (auto end = first; end != last; ++end) {
        if (end->second != entry->second.lookup) continue;
        ends_.erase(end);
        break;
    }
    by_lookup_.erase(entry->second.lookup);
    entries_.erase(entry);
}

void RequestLog::forget(Instant now) {
    while (!ends_.empty() && (ends_.begin()->first <= now || entries_.size() >= most_entries))
        erase(entries_.find(by_lookup_.at(ends_.begin()->second)));
}

}  // namespace irismux
