// Decides whether a request gets another attempt and when a rejected client may retry.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"
#include "routing/random_fraction.hpp"

namespace irismux::routing {

enum class NextStep {
    none,        ///< the request is finished
    try_again,   ///< start another attempt if the other policies allow it
    end_request  ///< reject the request, or fail it if a rejection is not safe
};

class RetryPolicy {
public:
    RetryPolicy(const Deployment& deployment, RandomFraction& random);

    /// Checks before each attempt whether the request has time and attempts left. The first attempt of each
    /// request adds to the retry budget, which next_step() consumes.
    [[nodiscard]] bool may_attempt(const PendingRequest& request, TimePoint now);
    /// Decides how a request continues after the result of an attempt. Retries are charged to the budget that
    /// may_attempt() fills.
    [[nodiscard]] NextStep next_step(const PendingRequest& request, const AttemptResult& result);

    /// @return how long a rejected client should wait before it retries. The time is random, so that rejected
    /// clients don't retry at the same moment.
    [[nodiscard]] Duration retry_after();

private:
    RandomFraction& random_;
    Duration timer_resolution_;
    int max_attempts_;
    bool retry_after_is_sent_;
    Duration max_retry_after_;
    double max_retry_budget_;
    double retry_budget_;  // number of retries that may be started
};

}  // namespace irismux::routing
