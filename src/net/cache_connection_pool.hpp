// Connections to all caches: which connection an attempt goes out on, and attempts that wait for one.
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
    /// @param endpoints holds the connections of each cache; must outlive the pool, as `observer` must.
    CacheConnectionPool(EventLoop& loop, EndpointTable& endpoints, AttemptObserver& observer,
                        const Deployment& deployment, CacheConnectionLimits limits);
    ~CacheConnectionPool() override;
    CacheConnectionPool(const CacheConnectionPool&) = delete;
    CacheConnectionPool& operator=(const CacheConnectionPool&) = delete;

    /// Begins an attempt as soon as a connection can carry it. Its end is reported to the observer.
    void start_attempt(ActiveRequest& request, std::size_t attempt);
    /// Takes an attempt back, or tells the cache if it may have arrived there. It is not reported.
    void cancel_attempt(ActiveRequest& request, std::size_t attempt);
    /// The client has gone: attempts that have not begun do not begin any more. The caller ends those whose
    /// progress is TransmitProgress::not_connected afterwards.
    void withdraw_unstarted_attempts(ActiveRequest& request);

    /// Does nothing if the cache is not active or no connection can be had.
    /// @param still_wanted asked if the connection has to come up first.
    void start_health_check(const CacheId& cache, StillWanted still_wanted);

    void close_all();
    /// Closes idle connections that the endpoint list does not name any more. To be called after each change
    /// of the list.
    void close_unlisted();

private:
    using ConnectionPtr = std::shared_ptr<CacheConnection>;
    enum class SelectionStatus {
        selected,
        none_available,     // for now
        request_id_in_use,  // the request's id may be confused on every connection that could carry it
        unreachable         // there is no route, twice in a row
    };
    struct Selection {
        SelectionStatus status = SelectionStatus::none_available;
        ConnectionPtr connection;  // set if selected
    };
    // The least loaded connections to an endpoint's present process.
    struct Candidates {
        ConnectionPtr unused;    // that have not carried the request before
        ConnectionPtr used;      // that have
        bool id_in_use = false;  // others were left out, as they may confuse the request's id
    };
    using AttemptKey = std::pair<RequestId, std::size_t>;

    void restart_attempt(ActiveRequest& request, std::size_t attempt) override;
    void on_response_received(CacheConnection& connection) override;
    void on_connection_lost(CacheConnection& connection) override;

    Selection select_connection(Endpoint& endpoint, const ActiveRequest* request);
    static Candidates find_candidates(const Endpoint& endpoint, const ActiveRequest* request);
    Selection open_connection(Endpoint& endpoint);
    [[nodiscard]] std::size_t max_connections_per_cache() const;
    [[nodiscard]] bool at_connection_limit() const;
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
    std::size_t connection_count_ = 0;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_health_check_ = 1;
    // Attempts that wait for a connection, or for the reuse delay of their request.
    std::map<AttemptKey, ScopedTimer> delayed_attempts_;
};

}  // namespace irismux
