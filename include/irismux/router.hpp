// The router decides for each request which cache serves it, which source fills a miss, whether an attempt is
// retried, and whether the request is rejected or failed.
//
// A process creates one Router and calls it for each event, in order, with the current time. The router
// issues its decisions through RouterCallbacks before the call returns. It has no clock, threads or I/O, and
// its random choices derive from the seed, so the same sequence of calls gives the same decisions.
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
    /// @param callbacks must outlive the router
    Router(RouterCallbacks& callbacks, const Deployment& deployment, std::uint64_t seed, TimePoint now);
    ~Router();
    Router(Router&&) noexcept;

    /// Applies changes of the endpoint list.
    /// @param complete the updates are the whole list, so endpoints missing from it are removed
    void on_endpoint_updates(TimePoint now, const std::vector<EndpointUpdate>& updates, bool complete);
    /// Handles the loss of service discovery. The last endpoint list stays in use, and the router subscribes
    /// again after a backoff.
    void on_endpoint_updates_lost(TimePoint now);

    /// Starts the first attempt of a new request, or rejects the request, before the call returns.
    void on_request(TimePoint now, const Request& request);
    /// Processes the result of an attempt. Results of unknown requests and of ended attempts are ignored.
    void on_attempt_result(TimePoint now, const AttemptResult& result);
    /// Ends a request whose client has disconnected or has received a final response that the router did not
    /// decide on. No further attempt is started.
    void on_client_closed(TimePoint now, const RequestId& request);
    /// Checks an attempt again right before its first byte is written, since the attempt may have waited for
    /// a connection.
    /// @return false if the attempt must not begin; the caller then reports it as Outcome::overloaded
    [[nodiscard]] bool may_begin_attempt(TimePoint now, const RequestId& request, AttemptIndex attempt);

    /// Applies a purge. A copy of a purged object must not be served if the copy is older than `age`. If
    /// `object` is set, only that object is purged; otherwise all objects of the group are purged.
    void on_purge(TimePoint now, Duration age, PurgeGroupId group, const std::optional<ObjectName>& object);
    /// Postpones the recovery probe of an ejected endpoint to `not_before`, because another gateway checks
    /// the health of the endpoint on behalf of all gateways. The probe is postponed by at most the longest
    /// backoff beyond this gateway's own backoff. The call has no effect on an endpoint that is not ejected.
    void postpone_recovery_probe(TimePoint now, const CacheId& cache, TimePoint not_before);
    void on_timer(TimePoint now, TimerId timer);
    /// Starts the shutdown of the process: every request gets its final response by `deadline`.
    void on_drain(TimePoint now, TimePoint deadline);

private:
    class Core;
    std::unique_ptr<Core> core_;
};

}  // namespace irismux
