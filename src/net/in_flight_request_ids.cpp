#include "net/in_flight_request_ids.hpp"

#include <algorithm>
#include <vector>

namespace irismux {

void InFlightRequestIds::add(const ClientRequestId& name, RequestId lookup, TimePoint until, TimePoint now) {
    if (entries_.size() >= erase_threshold_) erase_expired(now);
    entries_[name] = {lookup, until};
}

bool InFlightRequestIds::used_by_another(const ClientRequestId& name, RequestId lookup, TimePoint now) const {
    const auto it = entries_.find(name);
    return it != entries_.end() && it->second.request != lookup && now < it->second.until;
}

void InFlightRequestIds::erase_expired(TimePoint now) {
    constexpr std::size_t least = 64;
    std::erase_if(entries_, [&](const auto& name) { return now >= name.second.until; });
    if (entries_.size() >= max_entries) {
        std::vector<TimePoint> ends;
        ends.reserve(entries_.size());
        for (const auto& [name, carried] : entries_) ends.push_back(carried.until);
        const auto middle = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
        std::nth_element(ends.begin(), middle, ends.end());
        std::erase_if(entries_, [&](const auto& name) { return name.second.until <= *middle; });
    }
    erase_threshold_ = std::clamp(entries_.size() * 2, least, max_entries);
}

}  // namespace irismux
