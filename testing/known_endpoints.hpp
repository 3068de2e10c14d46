// The endpoint list that results when all endpoint updates are applied in order.
#pragma once

#include <map>
#include <vector>

#include "endpoint/endpoint_record.hpp"

namespace irismux::test_support {

using KnownEndpoints = std::map<CacheId, EndpointUpdate>;

inline void apply(KnownEndpoints& list, const std::vector<EndpointRecord>& lines, bool complete) {
    if (complete) list.clear();
    for (const auto& [l, address] : lines) {
        if (l.status == EndpointStatus::removed)
            list.erase(l.cache);
        else
            list[l.cache] = l;
    }
}

}  // namespace irismux::test_support
