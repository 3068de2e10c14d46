#include "routing/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace irismux::routing {
namespace {

// The budget of an endpoint that is warming up grows at `rate_per_capacity` times the endpoint's current
// capacity. This multiple is limited to `rate_share_of_overload` times the overload multiple.
constexpr double rate_per_capacity = 1.2;
constexpr double rate_share_of_overload = 0.5;
// Maximum unused budget that is kept, as a share of the budget that accrues in one overload window.
constexpr double burst_share_of_window = 0.15;
// A load above the overload multiple of the endpoint's current capacity stops the endpoint. The budgets of
// all gateways together grow at rate_multiple() times this capacity, and this growth permits a lower load.
// The headroom is the difference between the two loads in one overload window. Idle gateways keep unused
// budget. All gateways together may keep unused budget up to this share of the headroom.
constexpr double headroom_share = 0.7;
// Limit on the sum of the transfer times of all requests that this gateway sends to an endpoint within one
// overload window. The limit is a multiple of the endpoint's budget that this gateway accrues in the same
// time.
constexpr double max_sent_per_window = 1.3;

double rate_multiple(const SlowStart& settings) {
    return std::min(rate_per_capacity, settings.overload_multiple * rate_share_of_overload);
}

// Returns the budget that accrues per second at the given time, in seconds of transfer time.
double rate_at(TimePoint time, TimePoint since, double full_capacity, const SlowStart& settings) {
    const double age = std::max(0.0, (time - since) / settings.window);
    return full_capacity * rate_multiple(settings) *
           (settings.initial_capacity_share + (1 - settings.initial_capacity_share) * age);
}

}  // namespace

SlowStartPolicy::SlowStartPolicy(const Deployment& deployment, const LinkCapacity& links,
                                 RandomFraction& random)
    : links_(links),
      random_(random),
      edge_(deployment.edge_slow_start),
      parent_(deployment.parent_slow_start),
      gateways_(std::max(1, deployment.gateways)),
      gateways_in_location_(std::max(1, deployment.gateways_in_location)),
      has_parents_(deployment.parent_machine.has_value()),
      overload_window_(deployment.overload_window) {}

// All gateways detect the start of an endpoint's process at the same time. If the budget of each gateway is
// less than the transfer time of one request, all gateways would also have the budget for their first request
// at the same time. To spread the first requests, each gateway chooses a random share, and the gateway's
// budget needs to cover only this share of the transfer time.
void SlowStartPolicy::begin(EndpointState& endpoint, TimePoint since, TimePoint now) const {
    EndpointWarmUp& warm_up = endpoint.warm_up;
    warm_up.refused_while_idle = false;
    warm_up.warming_up_since = since;
    warm_up.required_share = random_.next();
    warm_up.budget = 0;
    warm_up.accrued_until = now;
    warm_up.start_detected_at = now;
}

bool SlowStartPolicy::has_budget(EndpointState& endpoint, double transfer_seconds, TimePoint now) const {
    if (endpoint.role == EndpointRole::origin) return origin_has_budget(endpoint, transfer_seconds, now);
    std::optional<TimePoint>& since = endpoint.warm_up.warming_up_since;
    if (since && now - *since >= settings_of(endpoint).window) since.reset();
    return !since || warming_has_budget(endpoint, transfer_seconds, now);
}

bool SlowStartPolicy::warming_has_budget(EndpointState& endpoint, double transfer_seconds,
                                         TimePoint now) const {
    EndpointWarmUp& warm_up = endpoint.warm_up;
    const SlowStart& settings = settings_of(endpoint);
    const TimePoint since = *warm_up.warming_up_since;
    const double full_capacity = even_share_of_capacity(endpoint);
    const double multiple = rate_multiple(settings);
    const double rate = rate_at(now, since, full_capacity, settings);
    const double headroom = rate * overload_window_.seconds() *
                            std::max(0.0, settings.overload_multiple / multiple - 1) * headroom_share;
    const double budget_per_window = rate * overload_window_.seconds();
    const double max_budget = std::max(budget_per_window * burst_share_of_window, transfer_seconds);
    const double elapsed = (now - warm_up.accrued_until).seconds();

    // The rate has risen linearly since the budget was last accrued, so the mean of the old and the new rate
    // applies.
    warm_up.budget += (rate_at(warm_up.accrued_until, since, full_capacity, settings) - rate) / 2 * elapsed;
    warm_up.budget += rate * elapsed;
    warm_up.accrued_until = now;
    // Discards accumulated budget above this gateway's share of the headroom. All gateways accumulate budget
    // while they are idle. If each gateway could accumulate enough for a request, all gateways could send a
    // request to the warming endpoint at the same time and overload the endpoint.
    const double excess = warm_up.budget - transfer_seconds * warm_up.required_share - headroom;
    if (headroom < transfer_seconds && excess > 0)
        warm_up.budget -= std::ceil(excess / transfer_seconds) * transfer_seconds;
    warm_up.budget = std::min(max_budget, warm_up.budget);
    // The sum includes requests that were sent before the router detected the start of the endpoint. It also
    // includes the actual transfer time of objects that are larger than estimated.
    if (warm_up.sent_transfer_time.since(since, now, overload_window_) >
        budget_per_window * max_sent_per_window)
        return false;
    return warm_up.budget >= transfer_seconds * warm_up.required_share;
}

bool SlowStartPolicy::origin_has_budget(EndpointState& origin, double transfer_seconds, TimePoint now) const {
    EndpointWarmUp& warm_up = origin.warm_up;
    const double rate = even_share_of_capacity(origin);
    const double budget_per_window = rate * overload_window_.seconds();
    const double max_budget = std::max(budget_per_window * burst_share_of_window, transfer_seconds);
    warm_up.budget += rate * (now - warm_up.accrued_until).seconds();
    warm_up.accrued_until = now;
    warm_up.budget = std::min(max_budget, warm_up.budget);
    return warm_up.budget >= transfer_seconds * warm_up.required_share;
}

void SlowStartPolicy::charge(EndpointState& endpoint, double transfer_seconds, TimePoint now) const {
    endpoint.warm_up.sent_transfer_time.add(transfer_seconds, now, overload_window_);
    const bool in_place_of_parents = endpoint.role == EndpointRole::origin && has_parents_;
    if (endpoint.warm_up.warming_up_since || in_place_of_parents) endpoint.warm_up.budget -= transfer_seconds;
}

bool SlowStartPolicy::recheck(EndpointState& endpoint, const Attempt& attempt, TimePoint now) const {
    if (endpoint.warm_up.start_detected_at <= attempt.slow_start_checked_at) return true;
    if (!has_budget(endpoint, attempt.transfer_seconds, now)) return false;
    endpoint.warm_up.budget -= attempt.transfer_seconds;
    return true;
}

// Detects a restart before the endpoint list names the new process. When a whole rack restarts, its caches
// respond again before the list names their new processes, and full traffic would overload these caches. A
// cache with a full connection table also refuses connections, but then attempts are in flight at this cache.
void SlowStartPolicy::on_cache_result(EndpointState& cache, const AttemptResult& result,
                                      TimePoint now) const {
    EndpointWarmUp& warm_up = cache.warm_up;
    if (result.outcome == Outcome::connection_refused && cache.load.in_flight == 0)
        warm_up.refused_while_idle = true;
    if (cache_responded(result) && warm_up.refused_while_idle && cache.role == EndpointRole::edge)
        begin(cache, now, now);
}

const SlowStart& SlowStartPolicy::settings_of(const EndpointState& endpoint) const {
    return endpoint.role == EndpointRole::parent ? parent_ : edge_;
}

double SlowStartPolicy::even_share_of_capacity(const EndpointState& endpoint) const {
    return links_.endpoint(endpoint) /
           (endpoint.role == EndpointRole::edge ? gateways_in_location_ : gateways_);
}

}  // namespace irismux::routing
