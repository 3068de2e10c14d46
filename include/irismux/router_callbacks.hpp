// The interface through which the router's decisions are carried out.
#pragma once

#include "irismux/attempt.hpp"
#include "irismux/endpoint.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Carries out the router's decisions. A callback must not call back into the router: the router call that
/// invoked it has to return first.
class RouterCallbacks {
public:
    virtual ~RouterCallbacks() = default;

    /// Starts an attempt directly at the origin, without cache options.
    /// @param timeout zero if only the request's deadline applies
    virtual void start_direct_attempt(const RequestId& request, const CacheId& origin, Duration timeout) = 0;
    /// Starts an attempt at a cache.
    virtual void start_attempt(const RequestId& request, const AttemptPlan& plan) = 0;
    /// Cancels an attempt. The result of the attempt must still be reported to the router.
    virtual void cancel_attempt(const RequestId& request, AttemptIndex attempt) = 0;

    /// Sends the final response that rejects the request. The request has had no effect, or the client can
    /// safely repeat it.
    /// @param retry_after how long the client should wait before it retries; zero if not specified
    virtual void reject(const RequestId& request, Duration retry_after) = 0;
    /// Sends the final response that reports the failure of the request. It is unknown whether the request
    /// has had an effect.
    virtual void fail(const RequestId& request) = 0;

    /// Schedules a call of Router::on_timer with this id at this time. Timers are never cancelled, and at
    /// most one timer of each id is pending.
    virtual void set_timer(TimerId timer, TimePoint due) = 0;
    /// Requests the endpoint list and its changes from service discovery.
    virtual void subscribe_to_endpoints() = 0;
    /// Called when an endpoint is ejected. An ejected endpoint receives only recovery probes.
    virtual void on_endpoint_ejected(const CacheId& /*cache*/, EjectionReason /*reason*/) {}
    /// Called when an ejected endpoint is readmitted to normal selection.
    virtual void on_endpoint_readmitted(const CacheId& /*cache*/) {}
};

}  // namespace irismux
