// The router: decides for each request which cache serves it, where a miss is filled from, when an attempt is
// retried, and when the request is rejected or failed.
//
// A process builds one Router and calls it for each event, in order, with the present time; decisions leave
// through RouterCallbacks before the call returns. The router has no clock, thread or I/O; its random choices
// come from the seed, so equal calls give equal decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "irismux/attempt.hpp"
#include "irismux/deployment.hpp"
#include "irismux/endpoint.hpp"
#include "irismux/ids.hpp"
#include "irismux/request.hpp"
#include "irismux/router_callbacks.hpp"
#include "irismux/time.hpp"

namespace irismux {

class Router {
public:
    /// @param callbacks must outlive the router.
    Router(RouterCallbacks& callbacks, const Deployment& deployment, std::uint64_t seed, TimePoint now);
    ~Router();
    Router(Router&&) noexcept;

    /// The endpoint list has changed.
    /// @param complete the updates are the whole list: endpoints that are not named are removed.
    void on_endpoint_updates(TimePoint now, const std::vector<EndpointUpdate>& updates, bool complete);
    /// Service discovery was lost. The list known stays in force; a new subscription follows after a backoff.
    void on_endpoint_updates_lost(TimePoint now);

    /// A request has come. Its first attempt is begun, or it is rejected, before this returns.
    void on_request(TimePoint now, const Request& request);
    /// An attempt has ended. Unknown requests and attempts that have ended before are ignored.
    void on_attempt_result(TimePoint now, const AttemptResult& result);
    /// The client has gone, or has its final response from elsewhere: nothing more is begun for it.
    void on_client_closed(TimePoint now, const RequestId& request);
    /// Asked right before the first byte of an attempt is written, which may have waited for a connection.
    /// @return false: the attempt must not begin; report it as Outcome::overloaded.
    [[nodiscard]] bool may_begin_attempt(TimePoint now, const RequestId& request, AttemptIndex attempt);

    /// Copies of an object, or of all objects of a group, that are older than `age` must not be served.
    void on_purge(TimePoint now, Duration age, PurgeGroupId group, const std::optional<ObjectName>& object);
    /// Another gateway checks the health of an ejected endpoint on behalf of all: its recovery probe here
    /// waits until `not_before`, at most one longest backoff beyond its own time. Ignored for endpoints that
    /// are not ejected.
    void postpone_recovery_probe(TimePoint now, const CacheId& cache, TimePoint not_before);
    void on_timer(TimePoint now, TimerId timer);
    /// The process shuts down: all requests get their final response by `deadline`.
    void on_drain(TimePoint now, TimePoint deadline);

private:
    class Core;
    std::unique_ptr<Core> core_;
};

}  // namespace irismux
