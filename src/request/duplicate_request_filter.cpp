#include "request/duplicate_request_filter.hpp"

#include <functional>

namespace irismux {

DuplicateRequestFilter::Key DuplicateRequestFilter::key_of(const RequestFingerprint& fingerprint) {
    constexpr char separator = '\0';
    const std::string rest = fingerprint.kind + separator + fingerprint.object + separator +
                             fingerprint.object_part + separator + fingerprint.body;
    return {fingerprint.id, std::hash<std::string>{}(rest)};
}

bool DuplicateRequestFilter::accept(const RequestFingerprint& fingerprint, RequestId request, TimePoint until,
                                    TimePoint now) {
    erase_expired(now);
    const Key key = key_of(fingerprint);
    const bool is_new = entries_.try_emplace(key, RememberedRequest{request, until}).second;
    if (!is_new) return false;
    by_request_[request] = key;
    by_expiry_.emplace(until, request);
    return true;
}

void DuplicateRequestFilter::forget_request(RequestId request) {
    const auto key = by_request_.find(request);
    if (key != by_request_.end()) erase(entries_.find(key->second));
}

void DuplicateRequestFilter::erase(Entries::iterator entry) {
    const auto [first, last] = by_expiry_.equal_range(entry->second.until);
    for (auto expiry = first; expiry != last; ++expiry) {
        if (expiry->second != entry->second.request) continue;
        by_expiry_.erase(expiry);
        break;
    }
    by_request_.erase(entry->second.request);
    entries_.erase(entry);
}

void DuplicateRequestFilter::erase_expired(TimePoint now) {
    while (!by_expiry_.empty() && (by_expiry_.begin()->first <= now || entries_.size() >= max_entries))
        erase(entries_.find(by_request_.at(by_expiry_.begin()->second)));
}

}  // namespace irismux
