#include "routing/retry_policy.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

// Retries of gateways, caches and clients multiply the load during a fault. The retry budget therefore gains
// `retries_per_request` retries for each request. It holds at most `reserve_per_max_attempt` retries for each
// attempt that a request may have.
constexpr double retries_per_request = 0.25;
constexpr double reserve_per_max_attempt = 5;
// Minimum retry-after time, as a share of the longest retry-after time that clients honour.
constexpr double min_retry_after_share = 0.1;

}  // namespace

RetryPolicy::RetryPolicy(const Deployment& deployment, RandomFraction& random)
    : random_(random),
      timer_resolution_(deployment.timer_resolution),
      max_attempts_(deployment.capabilities.max_attempts),
      retry_after_is_sent_(deployment.capabilities.retry_after),
      max_retry_after_(deployment.capabilities.max_retry_after),
      max_retry_budget_(reserve_per_max_attempt * max_attempts_),
      retry_budget_(max_retry_budget_) {}

bool RetryPolicy::may_attempt(const PendingRequest& request, TimePoint now) {
    if (now + timer_resolution_ >= request.request.deadline) return false;
    if (static_cast<int>(request.attempts.size()) >= max_attempts_) return false;
    if (request.attempts.empty())
        retry_budget_ = std::min(max_retry_budget_, retry_budget_ + retries_per_request);
    return true;
}

NextStep RetryPolicy::next_step(const PendingRequest& request, const AttemptResult& result) {
    if (request.finished) return NextStep::none;
    const bool missed = result.outcome == Outcome::cache_miss;
    if (missed && request.on_miss == MissHandling::fill_next_time) return NextStep::try_again;
    if (missed && request.on_miss == MissHandling::reject) return NextStep::end_request;
    if (result.outcome == Outcome::superseded) return NextStep::end_request;
    // An attempt whose connection was refused cost nothing, so its retry is not charged to the budget.
    if (result.outcome == Outcome::connection_refused) return NextStep::try_again;
    if (retry_budget_ < 1) return NextStep::end_request;
    retry_budget_ -= 1;
    return NextStep::try_again;
}

// Draws a random fraction even if no retry-after time is sent, so that equal seeds always give equal
// decisions.
Duration RetryPolicy::retry_after() {
    const Duration wait =
        max_retry_after_ * (min_retry_after_share + (1 - min_retry_after_share) * random_.next());
    return retry_after_is_sent_ ? wait : Duration{};
}

}  // namespace irismux::routing
