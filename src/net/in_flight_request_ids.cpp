#include "net/in_flight_request_ids.hpp"

#include <algorithm>
#include <vector>

namespace irismux {

void CarriedNames::carry(const RequestId& name, LookupId lookup, Instant until, Instant now) {
    if (names_.size() >= forget_above_) forget(now);
    names_[name] = {lookup, until};
}

bool CarriedNames::belongs_to_other(const RequestId& name, LookupId lookup, Instant now) const {
    const auto it = names_.find(name);
    return it != names_.end() && it->second.lookup != lookup && now < it->second.until;
}

void CarriedNames::forget(Instant now) {
    constexpr std::size_t least = 64;
    std::erase_if(names_, [&](const auto& name) { return now >= name.second.until; });
    if (names_.size() >= most_names) {
        std::vector<Instant> ends;
        ends.reserve(names_.size());
        for (const auto& [name, carried] : names_) ends.push_back(carried.until);
        const auto middle = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
        std::nth_element(ends.begin(), middle, ends.end());
        std::erase_if(names_, [&](const auto& name) { return name.second.until <= *middle; });
    }
    forget_above_ = std::clamp(names_.size() * 2, least, most_names);
}

}  // namespace irismux
