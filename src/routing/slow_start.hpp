// Ensures that a starting cache or parent (an endpoint that is warming up) is not overloaded by all gateways
// together.
//
// Each gateway limits the requests that it sends to such an endpoint: the sum of their transfer times is
// limited by the gateway's even share of a budget. The rate at which this budget grows is based on the
// slowest warm-up that the settings allow. Requests that go to the origin in place of parents are limited by
// a budget of the same form.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/link_capacity.hpp"
#include "routing/pending_request.hpp"
#include "routing/random_fraction.hpp"

namespace irismux::routing {

class SlowStartPolicy {
public:
    SlowStartPolicy(const Deployment& deployment, const LinkCapacity& links, RandomFraction& random);

    /// Begins the slow start of an endpoint.
    /// @param since start time of the endpoint's process
    void begin(EndpointState& endpoint, TimePoint since, TimePoint now) const;

    /// Checks whether a request with this transfer time may be sent to the endpoint. Always true for edge
    /// caches and parents that have warmed up. Accrues the budget, but does not charge it.
    [[nodiscard]] bool has_budget(EndpointState& endpoint, double transfer_seconds, TimePoint now) const;
    /// Counts the transfer time of a request that is sent to the endpoint, even if the router has not
    /// detected that the endpoint is warming up. If the endpoint has a budget, the transfer time is charged
    /// to the budget.
    void charge(EndpointState& endpoint, double transfer_seconds, TimePoint now) const;
    /// Rechecks an attempt that has waited, right before its first byte is written. If the router has
    /// detected a start of the endpoint since the last check, the attempt must fit the new budget and is
    /// charged to it.
    /// @return false if the attempt does not fit the new budget
    [[nodiscard]] bool recheck(EndpointState& endpoint, const Attempt& attempt, TimePoint now) const;

    /// Detects from attempt results that a cache's process has stopped. Begins the cache's slow start with
    /// the first response of the new process, before the endpoint list names this process.
    void on_cache_result(EndpointState& cache, const AttemptResult& result, TimePoint now) const;

private:
    [[nodiscard]] const SlowStart& settings_of(const EndpointState& endpoint) const;
    [[nodiscard]] double even_share_of_capacity(const EndpointState& endpoint) const;
    [[nodiscard]] bool warming_has_budget(EndpointState& endpoint, double transfer_seconds,
                                          TimePoint now) const;
    [[nodiscard]] bool origin_has_budget(EndpointState& origin, double transfer_seconds, TimePoint now) const;

    const LinkCapacity& links_;
    RandomFraction& random_;
    SlowStart edge_, parent_;
    int gateways_, gateways_in_location_;
    bool has_parents_;
    Duration overload_window_;
};

}  // namespace irismux::routing
