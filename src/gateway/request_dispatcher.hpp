// Passes each client request to the router and carries out the router's decisions: attempts, their timeouts,
// the deadline and the final response. Only this class calls the router.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gateway/request_admission.hpp"
#include "irismux/router.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"
#include "request/active_request.hpp"

namespace irismux {

/// Receives events about the health of caches.
class EndpointHealthObserver {
public:
    virtual ~EndpointHealthObserver() = default;
    /// The router has ejected the endpoint, or readmitted it.
    virtual void on_ejection_changed(const CacheId& cache, bool ejected) = 0;
    /// A health check of the cache connection pool has ended.
    virtual void on_health_check_done(const CacheId& cache, bool passed) = 0;
};

class RequestDispatcher final : public RequestHandler, public AttemptObserver, private RouterCallbacks {
public:
    /// All references must outlive the dispatcher. The server and the pool are not used before the first
    /// request, so they may be constructed after the dispatcher.
    RequestDispatcher(EventLoop& loop, FastCgiServer& server, CacheConnectionPool& cache_connections,
                      EndpointHealthObserver& health_observer, const Deployment& deployment,
                      std::uint64_t seed);

    // Events from other components of the gateway, passed on to the router.
    void on_endpoint_updates(const std::vector<EndpointUpdate>& updates, bool complete);
    void on_endpoint_updates_lost(TimePoint now);
    void on_purge(TimePoint now, Duration age, PurgeGroupId group, const std::optional<ObjectName>& object);
    void postpone_recovery_probe(const CacheId& cache, TimePoint not_before);

    /// Shortens the deadline of every pending request and of every later request to `deadline`.
    void begin_drain(TimePoint deadline);
    [[nodiscard]] std::size_t pending_request_count() const { return pending_requests_.size(); }
    /// Returns whether any client still waits for its final response. Attempts may be in flight even if no
    /// client waits.
    [[nodiscard]] bool has_unanswered_request() const;

    // Functions of RequestHandler:
    Admission on_client_request(const ClientStream& stream, ClientRequest client_request) override;
    void on_client_closed(const ClientStream& stream) override;
    void pause_responses() override { cache_connections_.set_receiving(false); }
    void resume_responses() override { cache_connections_.set_receiving(true); }
    // Functions of AttemptObserver:
    void on_attempt_ended(ActiveRequest& request, std::size_t attempt, const AttemptEnd& end) override;
    void on_request_id_in_use(ActiveRequest& request, std::size_t attempt) override;
    void on_health_check_result(const HealthCheckResult& result) override;
    bool may_begin_attempt(ActiveRequest& request, std::size_t attempt) override;

private:
    // Functions of RouterCallbacks:
    void start_direct_attempt(const RequestId& id, const CacheId& origin, Duration timeout) override;
    void start_attempt(const RequestId& id, const AttemptPlan& plan) override;
    void cancel_attempt(const RequestId& id, AttemptIndex attempt) override;
    void reject(const RequestId& id, Duration retry_after) override;
    void fail(const RequestId& id) override;
    void set_timer(TimerId timer, TimePoint due) override;
    void subscribe_to_endpoints() override {}  // updates are delivered without a subscription
    void on_endpoint_ejected(const CacheId& cache, EjectionReason reason) override;
    void on_endpoint_readmitted(const CacheId& cache) override;

    struct PendingRequest {
        std::shared_ptr<ActiveRequest> active;  // shared with the connections that carry its attempts
        ScopedTimer deadline_timer;
        std::map<std::size_t, ScopedTimer> attempt_timers;  // by attempt index, for attempts in flight
    };
    // Returns null if the request has been erased.
    PendingRequest* find(const RequestId& id);

    template <class Event, class... Arguments>
    void call_router(TimePoint now, Event event, const Arguments&... arguments);

    void begin_attempt(const RequestId& id, Attempt attempt);
    void on_attempt_timeout(const RequestId& id, std::size_t attempt);
    // Does not erase the request if it is finished, because callers continue to use it.
    void end_attempt(ActiveRequest& request, std::size_t attempt, const AttemptEnd& end);
    void end_all_attempts(ActiveRequest& request, Outcome outcome);
    void report_to_router(const AttemptResult& result);
    void on_deadline(const RequestId& id);
    void shorten_deadline(const RequestId& id, PendingRequest& pending, TimePoint deadline);
    void release(const ActiveRequest& request, bool without_effect);
    void erase_if_finished(const RequestId& id);

    EventLoop& event_loop_;
    FastCgiServer& server_;
    CacheConnectionPool& cache_connections_;
    EndpointHealthObserver& health_observer_;
    std::size_t max_pending_requests_;  // 0: no limit
    RequestAdmission admission_;
    Router router_;
    bool in_router_call_ = false;
    std::uint64_t last_request_id_ = 0;
    std::map<RequestId, PendingRequest> pending_requests_;
    std::map<ClientStream, RequestId> by_client_stream_;
    std::optional<TimePoint> drain_deadline_;
};

}  // namespace irismux
