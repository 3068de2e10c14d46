// One request from its admission until it has its final response and all its attempts have ended: the
// client's side and the attempts, and nothing of either's connections.
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

/// How far an attempt has come on its connection. Only one that was never fully written to a cache is known
/// not to have run.
enum class TransmitProgress { not_connected, not_written, partially_written, fully_written, response_begun };

/// What the router knows of an attempt. The states follow each other in this order.
enum class AttemptState {
    in_flight,
    ended,    ///< its result is still to be reported to the router
    reported  ///< the router knows its result
};

struct Attempt {
    CacheId cache;
    std::optional<AttemptPlan> plan;
    TimePoint decided_at;
    AttemptState state = AttemptState::in_flight;
    TransmitProgress progress = TransmitProgress::not_connected;
    std::uint64_t connection = 0;            ///< that carries it; 0: none yet
    bool retried_on_new_connection = false;  ///< its first connection broke before it was fully written

    [[nodiscard]] bool ended() const { return state != AttemptState::in_flight; }
    /// Whether a miss is filled from another endpoint.
    [[nodiscard]] bool has_fill_source() const { return plan && plan->source != plan->cache; }
};

/// How an attempt ended at its cache.
struct AttemptEnd {
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration fill_wait{};       ///< how long the cache waited for the fill's first byte
    bool not_modified = false;  ///< the client's copy is still valid
    std::string_view body{};    ///< valid during the call that it is passed to
};

/// Shared between the dispatcher and the connections that carry its attempts.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    /// @param response_sender must outlive the request.
    ActiveRequest(ResponseSender& response_sender, ClientStream stream, ClientRequest client_request);

    [[nodiscard]] RequestId id() const { return client_request_.request.id; }
    [[nodiscard]] const ClientRequestId& client_request_id() const {
        return client_request_.client_request_id;
    }
    [[nodiscard]] const ClientStream& client_stream() const { return client_stream_; }
    [[nodiscard]] const ClientRequest& client_request() const { return client_request_; }
    [[nodiscard]] TimePoint deadline() const { return client_request_.request.deadline; }
    /// Later deadlines are ignored.
    void shorten_deadline(TimePoint deadline);

    [[nodiscard]] Attempt& attempt(std::size_t index) { return attempts_[index]; }
    [[nodiscard]] const Attempt& attempt(std::size_t index) const { return attempts_[index]; }
    [[nodiscard]] std::size_t attempt_count() const { return attempts_.size(); }
    /// Returns its index.
    std::size_t add_attempt(Attempt attempt);
    /// Whether the connection has carried one of the attempts.
    [[nodiscard]] bool has_used_connection(std::uint64_t connection) const;

    // The final response. Each returns false, and sends nothing, if there has been one or the client is gone.
    [[nodiscard]] bool respond(const AttemptEnd& end);
    [[nodiscard]] bool reject(Duration retry_after);
    [[nodiscard]] bool fail();
    void on_client_closed() { answered_ = true; }

    /// Failure: a cache reads a cancellation later than another one reads the next attempt, and both run the
    /// request at once. So the next attempt waits until the cancellation has arrived.
    void delay_reuse_until(TimePoint time);
    [[nodiscard]] TimePoint reuse_delayed_until() const { return reuse_delayed_until_; }

    /// Whether the client has its final response or is gone.
    [[nodiscard]] bool answered() const { return answered_; }
    /// Whether it is answered and every attempt is reported: nothing more happens to it.
    [[nodiscard]] bool finished() const;
    /// Whether an attempt has ended whose result is still to be reported to the router.
    [[nodiscard]] bool has_unreported_result() const;

private:
    // Whether the caller is to send the final response.
    [[nodiscard]] bool claim_final_response();

    ResponseSender& response_sender_;
    ClientStream client_stream_;
    ClientRequest client_request_;
    std::deque<Attempt> attempts_;
    bool answered_ = false;
    TimePoint reuse_delayed_until_{};
};

}  // namespace irismux
