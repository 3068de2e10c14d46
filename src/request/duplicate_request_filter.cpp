#include "request/duplicate_request_filter.hpp"

#include <functional>
#include <utility>

namespace irismux {

DuplicateRequestFilter::Key DuplicateRequestFilter::key_of(const RequestFingerprint& words) {
    constexpr char separator = '\0';
    const std::string all =
        words.kind + separator + words.object + separator + words.object_part + separator + words.body;
    return {words.id, std::hash<std::string>{}(all)};
}

bool DuplicateRequestFilter::accept(const RequestFingerprint& words, RequestId lookup, TimePoint until,
                                    TimePoint now) {
    erase_expired(now);
    const Key key = key_of(words);
    if (!entries_.try_emplace(key, Entry{lookup, until}).second) return false;
    by_request_[lookup] = key;
    expiries_.emplace(until, lookup);
    return true;
}

void DuplicateRequestFilter::forget_request(RequestId lookup) {
    const auto known = by_request_.find(lookup);
    if (known != by_request_.end()) erase(entries_.find(known->second));
}

void DuplicateRequestFilter::erase(std::map<Key, Entry>::iterator entry) {
    const auto [first, last] = expiries_.equal_range(entry->second.until);
    for (auto end = first; end != last; ++end) {
        if (end->second != entry->second.request) continue;
        expiries_.erase(end);
        break;
    }
    by_request_.erase(entry->second.request);
    entries_.erase(entry);
}

void DuplicateRequestFilter::erase_expired(TimePoint now) {
    while (!expiries_.empty() && (expiries_.begin()->first <= now || entries_.size() >= max_entries))
        erase(entries_.find(by_request_.at(expiries_.begin()->second)));
}

}  // namespace irismux
