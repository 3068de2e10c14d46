// The list that somebody holds who has been told all its lines, in order.
#pragma once

#include <map>
#include <vector>

#include "endpoint/endpoint_record.hpp"

namespace irismux::lab {

using KnownList = std::map<CacheId, Listing>;

inline void hear(KnownList& list, const std::vector<ListLine>& lines, bool complete) {
    if (complete) list.clear();
    for (const auto& [l, address] : lines) {
        if (l.phase == Phase::gone)
            list.erase(l.cache);
        else
            list[l.cache] = l;
    }
}

}  // namespace irismux::lab
