// One request from its admission until its final response is sent and all its attempts have ended. An
// ActiveRequest holds the state of the client side and of the attempts, but not the state of the connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "irismux/attempt.hpp"
#include "request/client_request.hpp"

namespace irismux {

/// How far an attempt has been transmitted on its connection. An attempt is certain not to have run only if
/// it was never fully written to a cache.
enum class TransmitProgress { not_connected, not_written, partially_written, fully_written, response_begun };

/// State of an attempt with respect to the router. The states follow each other in this order.
enum class AttemptState {
    in_flight,
    ended,    ///< the result has not been reported to the router yet
    reported  ///< the result has been reported to the router
};

struct Attempt {
    CacheId cache;
    std::optional<AttemptPlan> plan;
    TimePoint decided_at;
    AttemptState state = AttemptState::in_flight;
    TransmitProgress progress = TransmitProgress::not_connected;
    std::uint64_t connection = 0;  ///< the connection that carries the attempt; 0: no connection yet
    /// The first connection broke before the attempt was fully written.
    bool retried_on_new_connection = false;

    [[nodiscard]] bool ended() const { return state != AttemptState::in_flight; }
    /// @return true if a miss is filled from another endpoint
    [[nodiscard]] bool has_fill_source() const { return plan && plan->source != plan->cache; }
};

/// How an attempt ended at its cache.
struct AttemptEnd {
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration fill_wait{};       ///< how long the cache waited for the fill's first byte
    bool not_modified = false;  ///< the client's copy is still valid
    std::string_view body{};    ///< valid only during the call that receives this struct
};

/// A request that is being processed. The dispatcher and the connections that carry its attempts share it.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    /// @param response_sender must outlive the request
    ActiveRequest(ResponseSender& response_sender, ClientStream stream, ClientRequest client_request);

    [[nodiscard]] RequestId id() const { return client_request_.request.id; }
    [[nodiscard]] const ClientRequestId& client_request_id() const {
        return client_request_.client_request_id;
    }
    [[nodiscard]] const ClientStream& client_stream() const { return client_stream_; }
    [[nodiscard]] const ClientRequest& client_request() const { return client_request_; }
    [[nodiscard]] TimePoint deadline() const { return client_request_.request.deadline; }
    /// Sets the deadline if `deadline` is earlier than the current deadline.
    void shorten_deadline(TimePoint deadline);

    [[nodiscard]] Attempt& attempt(std::size_t index) { return attempts_[index]; }
    [[nodiscard]] const Attempt& attempt(std::size_t index) const { return attempts_[index]; }
    [[nodiscard]] std::size_t attempt_count() const { return attempts_.size(); }
    /// @return index of the attempt
    std::size_t add_attempt(Attempt attempt);

    // respond(), reject() and fail() send the final response. They return false and send nothing if a final
    // response has already been sent or the client has disconnected.
    [[nodiscard]] bool respond(const AttemptEnd& end);
    [[nodiscard]] bool reject(Duration retry_after);
    [[nodiscard]] bool fail();
    void on_client_closed() { answered_ = true; }

    /// Delays the next attempt until the cancellation of the previous attempt has arrived at its cache.
    /// Otherwise one cache could read the cancellation later than another cache reads the next attempt, and
    /// both caches would run the request at the same time.
    void delay_reuse_until(TimePoint time);
    [[nodiscard]] TimePoint reuse_delayed_until() const { return reuse_delayed_until_; }

    /// @return true if the final response has been sent or the client has disconnected
    [[nodiscard]] bool answered() const { return answered_; }
    /// @return true if the request is answered and every attempt is reported, so that nothing more happens to
    /// the request
    [[nodiscard]] bool finished() const;
    /// @return true if an attempt has ended whose result has not been reported to the router yet
    [[nodiscard]] bool has_unreported_result() const;

private:
    // Marks the request as answered. Returns true if the caller must send the final response, false if the
    // request was already answered.
    [[nodiscard]] bool claim_final_response();

    ResponseSender& response_sender_;
    ClientStream client_stream_;
    ClientRequest client_request_;
    std::deque<Attempt> attempts_;
    bool answered_ = false;
    TimePoint reuse_delayed_until_{};
};

}  // namespace irismux
