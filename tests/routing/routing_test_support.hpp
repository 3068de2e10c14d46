// Support for tests of single routing policies: builds endpoint sets, pending requests, attempts and results.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "../router_test_support.hpp"
#include "routing/endpoint_set.hpp"
#include "routing/pending_request.hpp"

namespace irismux::testing {

inline const Duration one_second = Duration::seconds(1);

/// @return an endpoint set to which `list` was applied at `now`
inline routing::EndpointSet endpoint_set(const Deployment& deployment, TimePoint now,
                                         const std::vector<EndpointUpdate>& list = usual_endpoints()) {
    routing::EndpointSet endpoints{deployment};
    for (const EndpointUpdate& update : list) endpoints.apply(update, now);
    endpoints.finish_updates(now);
    return endpoints;
}

/// @param kind must outlive the result
inline routing::PendingRequest pending_request(const ObjectKind& kind, TimePoint deadline,
                                               double size_kb = 500) {
    routing::PendingRequest pending;
    pending.request.id = RequestId{1};
    pending.request.kind = ObjectKindIndex{0};
    pending.request.object = ObjectName{"object"};
    pending.request.deadline = deadline;
    pending.request.size_kb = size_kb;
    pending.kind = &kind;
    return pending;
}

inline routing::Attempt attempt_at(const std::string& cache, TimePoint started_at) {
    routing::Attempt attempt;
    attempt.cache = CacheId{cache};
    attempt.source = attempt.cache;
    attempt.started_at = started_at;
    attempt.slow_start_checked_at = started_at;
    return attempt;
}

inline AttemptResult result_of(Outcome outcome, CacheStatus status = CacheStatus::none) {
    AttemptResult result;
    result.outcome = outcome;
    result.cache_status = status;
    return result;
}

}  // namespace irismux::testing
