// The client side: sends to caches, in RESP. Knows nothing of web servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "endpoint/endpoint_table.hpp"
#include "net/event_loop.hpp"
#include "request/active_request.hpp"

namespace irismux {

struct HealthCheckResult {
    CacheId cache;
    Outcome outcome = Outcome::completed;
    Duration elapsed;
};

// Who hears how sends and probes end.
class AttemptObserver {
public:
    virtual ~AttemptObserver() = default;
    virtual void on_attempt_ended(ActiveRequest&, std::size_t n, const AttemptEnd&) = 0;
    virtual void on_health_check_result(const HealthCheckResult&) = 0;
    // Asked right before its first byte: whether it may still go.
    virtual bool may_begin_attempt(ActiveRequest&, std::size_t n) = 0;
    // It did not begin: each connection that may carry it has carried its request's name for another lookup.
    virtual void on_request_id_in_use(ActiveRequest&, std::size_t n) = 0;
};

struct CacheConnectionLimits {
    std::size_t connections = 0;  // connections to all caches together
    std::size_t streams = 1;      // sends that one connection carries at once
    Duration connect_timeout;
    Duration idle_timeout;  // a connection without a send is closed after this
    Duration reuse_delay;   // between the end of a send that the cache has yet to hear of and the next one
    Duration late_response_window;  // behind an answer, or the end of a lookup's time, one more may come for
                                    // so long
};

class CacheConnectionPool {
public:
    CacheConnectionPool(EventLoop& loop, EndpointTable& roster, AttemptObserver& ends,
                        const Deployment& deployment, CacheConnectionLimits limits);
    ~CacheConnectionPool();

    void start_attempt(ActiveRequest& x, std::size_t n);
    // The send is given up: taken back where it is not out yet, else the cache is told.
    void cancel_attempt(ActiveRequest& x, std::size_t n);
    // Its client has left: what has not begun does not begin any more. How far each send came is in the
    // exchange; whoever calls ends those that have not begun.
    void withdraw_unstarted_attempts(ActiveRequest& x);
    // Where a connection has to come up first, it goes only if it still may by then.
    using StillWanted = std::function<bool()>;
    void start_health_check(const CacheId& cache, StillWanted still);
    void close_all();
    // After each change of the list.
    void close_unlisted();

private:
    friend class CacheConnection;
    struct Choice {
        std::shared_ptr<CacheConnection> connection;  // none: there is none for now
        bool request_id_in_use = false;               // and would be, but for the request's name
        bool unreachable = false;                     // the system knows no way there, twice in a row
    };
    Choice select_connection(Endpoint& peer, const ActiveRequest* x);
    Choice open_connection(Endpoint& peer);
    void wait_for_connection(ActiveRequest& x, std::size_t n);
    void delay_reuse(ActiveRequest& x, std::size_t n);
    std::size_t max_connections_per_cache() const;
    bool may_transmit(const Attempt& s);
    std::string fields_of(ActiveRequest& x, const Attempt& s, TimePoint now) const;
    void on_connection_lost(CacheConnection& link);
    void on_response(CacheConnection& link);
    bool close_one_idle();

    EventLoop& event_loop_;
    EndpointTable& endpoints_;
    AttemptObserver& observer_;
    LocationId location_;
    CacheConnectionLimits limits_;
    std::size_t connection_count_ = 0;
    std::uint64_t next_connection_ = 1;
    // Sends that wait for a connection, or for the end of the one before, by lookup and number.
    std::map<std::pair<RequestId, std::size_t>, ScopedTimer> delayed_attempts_;
    std::uint64_t next_health_check_ = 1;
};

}  // namespace irismux
