// A connection to one process of a cache, with the attempts that are queued for it or in flight on it, and
// health checks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/cache_protocol.hpp"
#include "endpoint/endpoint_table.hpp"
#include "net/attempt_observer.hpp"
#include "net/connection.hpp"
#include "net/outstanding_responses.hpp"
#include "net/unwritten_cancellations.hpp"
#include "request/active_request.hpp"

namespace irismux {

struct CacheConnectionLimits {
    std::size_t connections = 0;  ///< maximum number of connections to all caches together
    std::size_t streams = 1;      ///< maximum number of attempts in flight on one connection
    /// Maximum time for establishing a connection, and also for receiving the rest of a partial response.
    Duration connect_timeout;
    Duration idle_timeout;  ///< an idle connection is closed after this time
    /// Delay between the end of an attempt and the next attempt of the same request, if the cache may detect
    /// the end of the first attempt late.
    Duration reuse_delay;
    /// Time after the response to an attempt in which a copy of this response may arrive.
    Duration response_copy_window;
};

/// Called for a deferred health check when its connection is open. Returns whether the health check is still
/// to be sent.
using StillWanted = std::function<bool()>;

class CacheConnection;

/// The interface of the pool for the connections that it owns.
class CacheConnectionOwner {
public:
    virtual ~CacheConnectionOwner() = default;
    /// Called if the connection broke before the attempt was fully written. Starts the attempt on another
    /// connection.
    virtual void restart_attempt(ActiveRequest&, std::size_t attempt) = 0;
    /// Called when a response has arrived, which shows that the cache is alive.
    virtual void on_response_received(CacheConnection&) = 0;
    virtual void on_connection_lost(CacheConnection&) = 0;
};

/// The state that the connections of a pool share. Owned by the pool; must outlive the connections.
struct CacheConnectionContext {
    EventLoop& event_loop;
    EndpointTable& endpoints;
    AttemptObserver& observer;
    CacheConnectionOwner& owner;
    CacheConnectionLimits limits;

    /// Whether the attempt's cache and its fill source, if any, are active in the endpoint list.
    [[nodiscard]] bool endpoints_active(const Attempt& attempt) const;
};

class CacheConnection final : public Connection {
public:
    using Connection::ConnectResult;

    /// @param number identifies the connection; never reused.
    CacheConnection(CacheConnectionContext& context, const Endpoint& endpoint, std::uint64_t number);

    [[nodiscard]] ConnectResult start();
    /// Closes the connection at once. Queued and in-flight attempts end as if the connection had broken.
    void disconnect();

    [[nodiscard]] const CacheId& cache() const { return cache_; }
    [[nodiscard]] std::uint64_t number() const { return number_; }
    /// The number of attempts that are queued or in flight.
    [[nodiscard]] std::size_t load() const { return in_flight_.size() + queued_.size(); }
    /// Whether a write has failed. If so, on_closed() will be called.
    [[nodiscard]] bool write_failed() const { return state() == ConnectionState::open && !writable(); }
    /// Whether the socket had no room for an earlier write. A queued attempt has to wait until it has.
    [[nodiscard]] bool blocked() const { return waits_for_room(); }
    /// Whether the connection leads to the address and the process that `endpoint` names. A cache may come
    /// back under the same id at another address or as a new process.
    [[nodiscard]] bool connects_to(const Endpoint& endpoint) const;
    /// Whether attempts may use the connection, now or later.
    [[nodiscard]] bool needed() const;
    /// Whether a response that may still arrive could be mistaken for the response to a new attempt of this
    /// request.
    [[nodiscard]] ResponseConflict response_conflict(const ActiveRequest& request) const;
    /// Ends the use of the connection: it carries no attempt in addition to its present ones and closes when
    /// they have ended.
    void retire();
    [[nodiscard]] bool retired() const { return retired_; }

    /// Stops or resumes receiving responses. Responses that are not received wait in the system's buffer.
    void set_receiving(bool receiving);

    /// Queues an attempt and keeps its request alive until the attempt has ended.
    void enqueue(std::shared_ptr<ActiveRequest> request, std::size_t attempt);
    /// Removes a queued attempt, or sends a cancellation for an attempt in flight. The end of the attempt is
    /// not reported.
    void cancel(const ActiveRequest& request, std::size_t attempt);
    /// Moves the queued attempts to `other`, except attempts that `other` may not carry.
    void move_queued_to(CacheConnection& other);
    /// @param tag unique among health checks.
    void start_health_check(const std::string& tag, StillWanted still_wanted);

protected:
    void on_open() override;
    void on_data() override;
    void on_write_ready() override;
    void on_closed() override;

private:
    struct CarriedAttempt {
        std::shared_ptr<ActiveRequest> request;
        std::size_t index = 0;
        std::uint64_t sequence = 0;  // position among the attempts written to this connection; zero if queued

        Attempt& attempt() const { return request->attempt(index); }
        AttemptId id() const { return {request->id(), index}; }
        bool is(const ActiveRequest& other, std::size_t other_index) const {
            return request.get() == &other && index == other_index;
        }
    };
    // Attempts in flight, keyed by the id that their responses contain.
    using InFlight = std::map<ClientRequestId, CarriedAttempt>;
    // The position of an attempt in the stream of all bytes written to the connection.
    struct WriteRange {
        ClientRequestId id;
        std::uint64_t sequence = 0;
        std::uint64_t begin = 0, end = 0;
    };

    [[nodiscard]] bool connects_to_listed_process() const;
    void cancel_in_flight(InFlight::iterator it);
    void limit_cancellation_wait();
    bool write_queued();
    [[nodiscard]] bool begin_response(const CarriedAttempt& carried);
    void write_attempt(CarriedAttempt carried);
    [[nodiscard]] cache_protocol::AttemptOptions options_for(const CarriedAttempt& carried) const;
    [[nodiscard]] CarriedAttempt* find_in_flight(const WriteRange& range);
    void record_progress(const WriteRange& range, TransmitProgress progress);
    void update_progress();
    void take_back_last_written();
    void end_attempt(const CarriedAttempt& carried, Outcome outcome);
    void end_in_flight(const CarriedAttempt& carried);
    void restart_or_end(const CarriedAttempt& carried);
    [[nodiscard]] bool on_message(const cache_protocol::Message& message);
    [[nodiscard]] bool on_response(InFlight::iterator it, const cache_protocol::Message& message);
    void on_health_check_reply(const std::string& tag, const cache_protocol::Message& message);
    void close_on_error(std::string_view reason);
    void limit_partial_response();
    void start_idle_timer();

    CacheConnectionContext& context_;
    std::uint64_t number_;
    CacheId cache_;
    std::string address_;
    // Start time of the process, from the endpoint list at the time at which the connection was created.
    TimePoint process_started_at_;
    bool was_connected_ = false;
    bool receiving_ = true;
    bool retired_ = false;
    std::deque<CarriedAttempt> queued_;
    InFlight in_flight_;
    OutstandingResponses responses_;
    std::uint64_t last_sequence_ = 0;
    std::deque<WriteRange> unwritten_;                // attempts that are not fully written to the socket
    std::map<std::string, TimePoint> health_checks_;  // start time of each health check, by tag
    // Health checks to be sent as soon as the connection is open.
    std::vector<std::pair<std::string, StillWanted>> deferred_health_checks_;
    ScopedTimer connect_or_idle_timer_;
    ScopedTimer partial_response_timer_;
    UnwrittenCancellations unwritten_cancellations_;
    ScopedTimer cancellation_timer_;  // pending while a cancellation is unwritten
};

}  // namespace irismux
