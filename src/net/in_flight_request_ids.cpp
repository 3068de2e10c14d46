#include "net/in_flight_request_ids.hpp"

#include <algorithm>
#include <vector>

namespace irismux {

void InFlightRequestIds::add(const ClientRequestId& id, RequestId request, TimePoint until, TimePoint now) {
    if (entries_.size() >= erase_threshold_) erase_expired(now);
    entries_[id] = {request, until};
}

bool InFlightRequestIds::used_by_another(const ClientRequestId& id, RequestId request, TimePoint now) const {
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.request != request && now < it->second.until;
}

void InFlightRequestIds::erase_expired(TimePoint now) {
    std::erase_if(entries_, [&](const auto& entry) { return now >= entry.second.until; });
    if (entries_.size() >= max_entries) erase_half();
    erase_threshold_ = std::clamp(entries_.size() * 2, min_erase_threshold, max_entries);
}

// Erases the half of the entries that expires first.
void InFlightRequestIds::erase_half() {
    std::vector<TimePoint> expiries;
    expiries.reserve(entries_.size());
    for (const auto& [id, entry] : entries_) expiries.push_back(entry.until);
    const auto middle = expiries.begin() + static_cast<std::ptrdiff_t>(expiries.size() / 2);
    std::nth_element(expiries.begin(), middle, expiries.end());
    std::erase_if(entries_, [&](const auto& entry) { return entry.second.until <= *middle; });
}

}  // namespace irismux
