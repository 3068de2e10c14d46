// What the router asks of the process around it.
#pragma once

#include "irismux/attempt.hpp"
#include "irismux/endpoint.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Carries out the router's decisions. A callback must not call the router before the call that it was made
/// from has returned.
class RouterCallbacks {
public:
    virtual ~RouterCallbacks() = default;

    /// Begins an attempt straight at the origin, without cache options.
    /// @param timeout zero: until the request's deadline.
    virtual void start_direct_attempt(const RequestId& request, const CacheId& origin, Duration timeout) = 0;
    /// Begins an attempt at a cache.
    virtual void start_attempt(const RequestId& request, const AttemptPlan& plan) = 0;
    /// Takes an attempt back. Its result is still reported.
    virtual void cancel_attempt(const RequestId& request, AttemptIndex attempt) = 0;

    /// Final response: the request is refused and has had no effect.
    /// @param retry_after when the client may come again; zero: not said.
    virtual void reject(const RequestId& request, Duration retry_after) = 0;
    /// Final response: the request has failed and may have had an effect.
    virtual void fail(const RequestId& request) = 0;

    /// Has Router::on_timer called with that id at that time. Timers are never cancelled; at most one of
    /// each id is pending.
    virtual void set_timer(TimerId timer, TimePoint due) = 0;
    /// Asks service discovery for the endpoint list and its changes.
    virtual void subscribe_to_endpoints() = 0;
    /// The endpoint is passed over from now on, but for recovery probes.
    virtual void on_endpoint_ejected(const CacheId& /*cache*/, EjectionReason /*reason*/) {}
    /// An ejected endpoint is chosen again like any other.
    virtual void on_endpoint_readmitted(const CacheId& /*cache*/) {}
};

}  // namespace irismux
