// Ensures that a non-idempotent request is never run twice, and that repeated attempts of a request with an
// idempotency key have no further effect. The possible effects of earlier attempts determine whether further
// attempts are allowed and whether the request may be rejected.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/endpoint_state.hpp"
#include "routing/pending_request.hpp"

namespace irismux::routing {

class IdempotencyPolicy {
public:
    explicit IdempotencyPolicy(const Deployment& deployment)
        : timer_resolution_(deployment.timer_resolution) {}

    /// Checks whether one more attempt is allowed. This depends on the earlier attempts that have possibly
    /// run; record_result() records these attempts. Called when an attempt is planned. Called again for an
    /// attempt that has waited, before its first byte is written.
    /// @param except the waiting attempt, which is not counted; null while the attempt is planned
    [[nodiscard]] bool may_attempt(const PendingRequest& request, const Attempt* except, TimePoint now) const;
    /// Checks whether an attempt may go to the cell. If idempotency keys are shared only within a cell, a
    /// request that may already have run stays in the cell that may have stored its key.
    [[nodiscard]] static bool may_use_cell(const PendingRequest& request, CellId cell);
    /// Checks whether a rejection of the request is allowed: after a rejection, the client must be able to
    /// send the request again safely.
    [[nodiscard]] static bool may_reject(const PendingRequest& request);

    /// Derives from the result of an attempt whether the attempt may have run, and records this in the
    /// attempt.
    static void record_result(Attempt& attempt, const AttemptResult& result);

private:
    Duration timer_resolution_;
};

}  // namespace irismux::routing
