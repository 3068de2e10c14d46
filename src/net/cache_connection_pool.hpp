// The connections to all caches. Selects a connection for each attempt and delays attempts for which no
// connection is available yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "endpoint/endpoint_table.hpp"
#include "irismux/deployment.hpp"
#include "net/attempt_observer.hpp"
#include "net/cache_connection.hpp"
#include "net/event_loop.hpp"
#include "request/active_request.hpp"

namespace irismux {

class CacheConnectionPool final : private CacheConnectionOwner {
public:
    /// @param endpoints holds the connections of each cache. Both `endpoints` and `observer` must outlive the
    /// pool.
    CacheConnectionPool(EventLoop& loop, EndpointTable& endpoints, AttemptObserver& observer,
                        const Deployment& deployment, CacheConnectionLimits limits);
    ~CacheConnectionPool() override;
    CacheConnectionPool(const CacheConnectionPool&) = delete;
    CacheConnectionPool& operator=(const CacheConnectionPool&) = delete;

    /// Starts an attempt as soon as a connection can carry it. The end of the attempt is reported to the
    /// observer.
    void start_attempt(ActiveRequest& request, std::size_t attempt);
    /// Removes a queued or delayed attempt, or sends a cancellation for an attempt in flight. The end of the
    /// attempt is not reported.
    void cancel_attempt(ActiveRequest& request, std::size_t attempt);
    /// Withdraws a request whose client has disconnected: attempts of the request that have not been started
    /// are not started any more. The caller then has to end each attempt whose progress is
    /// TransmitProgress::not_connected.
    void withdraw_unstarted_attempts(ActiveRequest& request);

    /// Sends a health check to the cache. Does nothing if the cache is not active or no connection is
    /// available.
    /// @param still_wanted called when the connection is open, if the connection has to be established first.
    void start_health_check(const CacheId& cache, StillWanted still_wanted);

    /// Stops or resumes receiving responses on all connections, present and future ones.
    void set_receiving(bool receiving);

    void close_all();
    /// Closes idle connections to processes that the endpoint list no longer names. Must be called after each
    /// change of the list.
    void close_unlisted();

private:
    using ConnectionPtr = std::shared_ptr<CacheConnection>;
    enum class SelectionStatus {
        selected,
        none_available,     // no connection is available at present
        request_id_in_use,  // a response could be mistaken on every connection that could be used
        unreachable         // two consecutive tries to connect found no route
    };
    struct Selection {
        SelectionStatus status = SelectionStatus::none_available;
        ConnectionPtr connection;  // set if the status is `selected`
    };
    // The connections to an endpoint's current process, in groups by what a response that may still arrive on
    // them could be mistaken for. Each pointer is the least loaded connection of its group. Connections whose
    // sockets have room come before all others.
    struct Candidates {
        ConnectionPtr usable;         // ResponseConflict::none
        ConnectionPtr same_request;   // ResponseConflict::same_request
        ConnectionPtr other_request;  // ResponseConflict::other_request
        std::size_t count = 0;        // all connections that are not retired
    };
    using AttemptKey = std::pair<RequestId, std::size_t>;

    void restart_attempt(ActiveRequest& request, std::size_t attempt) override;
    void on_response_received(CacheConnection& connection) override;
    void on_connection_lost(CacheConnection& connection) override;

    Selection select_connection(Endpoint& endpoint, const ActiveRequest* request);
    static Candidates find_candidates(const Endpoint& endpoint, const ActiveRequest* request);
    [[nodiscard]] std::size_t max_connections_despite_conflict(const Candidates& candidates) const;
    Selection replace_conflicting(Endpoint& endpoint, const Candidates& candidates);
    [[nodiscard]] bool may_retire(const Candidates& candidates) const;
    Selection open_connection(Endpoint& endpoint);
    // Opens a connection, for which an idle connection is closed if there are too many.
    Selection open_within_limit(Endpoint& endpoint);
    [[nodiscard]] std::size_t max_connections_per_cache() const;
    [[nodiscard]] bool at_connection_limit() const;
    [[nodiscard]] std::size_t retired_count() const;
    [[nodiscard]] std::vector<ConnectionPtr> connections_to(const CacheId& cache);
    bool close_one_idle();
    void wait_for_connection(ActiveRequest& request, std::size_t attempt);
    void start_after_reuse_delay(ActiveRequest& request, std::size_t attempt);
    void withdraw_partially_written(const Attempt& attempt);

    EventLoop& event_loop_;
    EndpointTable& endpoints_;
    AttemptObserver& observer_;
    LocationId location_;
    CacheConnectionLimits limits_;
    CacheConnectionContext context_;
    bool receiving_ = true;
    std::size_t connection_count_ = 0;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_health_check_ = 1;
    // Time of the last retirement of a connection because of a response to another request.
    TimePoint retired_for_other_request_at_{};
    // Attempts that wait for a connection or for the reuse delay of their request.
    std::map<AttemptKey, ScopedTimer> delayed_attempts_;
};

}  // namespace irismux
