// Rule 2: no request takes effect twice. What its attempts may have done bounds further attempts, and whether
// it may be rejected.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/endpoint_state.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

class IdempotencyPolicy {
public:
    explicit IdempotencyPolicy(const Deployment& deployment)
        : timer_resolution_(deployment.timer_resolution) {}

    /// Request going down, and again at the first byte of an attempt that has waited: whether one more
    /// attempt may begin beside those that may have run. Uses what record_result has found.
    /// @param except the attempt that waits; null before it is made.
    [[nodiscard]] bool may_attempt(const PendingRequest& request, const Attempt* except, TimePoint now) const;
    /// Request going down: a key that is known in one cell only keeps the request in that cell.
    [[nodiscard]] static bool may_use_cell(const PendingRequest& request, CellId cell);
    /// Whether the client may safely send the request again.
    [[nodiscard]] static bool may_reject(const PendingRequest& request);

    /// Result coming up: whether the attempt may have run.
    static void record_result(Attempt& attempt, const AttemptResult& result);

private:
    Duration timer_resolution_;
};

}  // namespace irismux::routing
