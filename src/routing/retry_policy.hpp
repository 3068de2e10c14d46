// Whether a request gets another attempt, and when a rejected client may come again.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"
#include "routing/random_fraction.hpp"

namespace irismux::routing {

enum class NextStep {
    none,        ///< the request is finished
    try_again,   ///< one more attempt, if the policies further down allow it
    end_request  ///< reject it, or fail it where that is not safe
};

class RetryPolicy {
public:
    RetryPolicy(const Deployment& deployment, RandomFraction& random);

    /// Request going down, before each attempt: time and attempts are left. The first attempt of each request
    /// adds to the retry budget, on which next_step draws.
    [[nodiscard]] bool may_attempt(const PendingRequest& request, TimePoint now);
    /// Result coming up. Retries draw on the budget that may_attempt has filled.
    [[nodiscard]] NextStep next_step(const PendingRequest& request, const AttemptResult& result);

    /// How long a rejected client should stay away; spread, so that rejected clients don't return together.
    [[nodiscard]] Duration retry_after();

private:
    RandomFraction& random_;
    Duration timer_resolution_;
    int max_attempts_;
    bool retry_after_is_sent_;
    Duration max_retry_after_;
    double max_retry_budget_;
    double retry_budget_;  // in attempts
};

}  // namespace irismux::routing
