// Rule 4: an endpoint that is warming up is not pushed over.
//
// Each gateway keeps to its even share of a budget of transfer time, which grows with the slowest warm-up
// that the settings allow. The origin in place of parents is held to a budget of the same form.
#pragma once

#include "irismux/deployment.hpp"
#include "routing/link_capacity.hpp"
#include "routing/pending_request.hpp"
#include "routing/random_fraction.hpp"

namespace irismux::routing {

class SlowStartPolicy {
public:
    SlowStartPolicy(const Deployment& deployment, const LinkCapacity& links, RandomFraction& random);

    /// @param since start of its process
    void begin(EndpointState& endpoint, TimePoint since, TimePoint now) const;

    /// Request going down: whether the endpoint may be sent this much transfer time. Always true for
    /// endpoints that have warmed up. Accrues the budget, but does not charge it.
    [[nodiscard]] bool has_budget(EndpointState& endpoint, double transfer_seconds, TimePoint now) const;
    /// Request going down: counts what is sent, also to endpoints that are not known to be warming up.
    void charge(EndpointState& endpoint, double transfer_seconds, TimePoint now) const;
    /// First byte of an attempt that has waited: whether it still fits, if the router learnt of the
    /// endpoint's start after the attempt was judged last. Charges the new budget.
    [[nodiscard]] bool recheck(EndpointState& endpoint, const Attempt& attempt, TimePoint now) const;

    /// Result coming up: notices a stop and the first response of the new process before the endpoint list
    /// tells of it.
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
    int gateways_, gateways_here_;
    bool has_parents_;
    Duration overload_window_;
};

}  // namespace irismux::routing
