// One lookup from its last byte to its answer: the client's side, the sends, and nothing else. The server
// and the client component know this object and not each other.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "irismux/router.hpp"

namespace irismux {

// Where an answer goes: a request of a client's connection. Its number there is the client's choice and is
// used again; what tells it from all others is the place at which it began.
struct ClientStream {
    std::uint64_t connection = 0;
    std::uint16_t fastcgi_request = 0;
    std::uint64_t sequence = 0;  // counted on the connection
    auto operator<=>(const ClientStream&) const = default;
};

// What a client asks.
struct ClientRequest {
    Request request;                    // the host gives it its identity
    ClientRequestId client_request_id;  // the client's name for it, which the caches are told
    std::string kind_name;              // its name
    std::string object_part;            // of the object
    std::string client_etag;            // the tag of the client's copy
    std::string idempotency_key;  // by which whoever runs a deduplicated lookup knows a repeat; may be absent
    std::string body;
};

// The server component, as an exchange sees it.
class ResponseSender {
public:
    virtual ~ResponseSender() = default;
    virtual void send_response(const ClientStream&, std::string_view body, bool client_copy_holds) = 0;
    virtual void send_rejection(const ClientStream&, Duration come_back_in) = 0;
    virtual void send_failure(const ClientStream&) = 0;
};

// How far a send came. Only what never came whole to a cache is known not to have run.
enum class TransmitProgress { not_connected, not_written, partially_written, fully_written, response_begun };

struct Attempt {
    CacheId cache;
    std::optional<AttemptPlan> plan;  // none: asks only for what the cache holds
    TimePoint decided_at;
    TransmitProgress progress = TransmitProgress::not_connected;
    std::uint64_t connection = 0;            // the connection that carries it
    bool retried_on_new_connection = false;  // its connection broke before it was out, and it has got another
    bool ended = false;
    bool router_notified = false;  // the Router knows that it has ended

    bool has_fill_source() const { return plan && plan->source != plan->cache; }
};

// How a send ended.
struct AttemptEnd {
    Outcome outcome = Outcome::completed;
    CacheStatus cache_status = CacheStatus::none;
    Duration fill_wait{};
    bool not_modified = false;
    std::string_view body{};
};

class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    ActiveRequest(ResponseSender& clients, ClientStream caller, ClientRequest asked);

    RequestId id() const { return client_request_.request.id; }
    const ClientRequestId& client_request_id() const { return client_request_.client_request_id; }
    const ClientStream& client_stream() const { return client_stream_; }
    const ClientRequest& client_request() const { return client_request_; }
    TimePoint deadline() const { return client_request_.request.deadline; }

    Attempt& attempt(std::size_t n) { return attempts_[n]; }
    const Attempt& attempt(std::size_t n) const { return attempts_[n]; }
    std::size_t attempt_count() const { return attempts_.size(); }
    std::size_t add_attempt(Attempt send);
    // Whether one of its sends has been given to that connection.
    bool has_used_connection(std::uint64_t link) const;

    // The one final answer; false if there has been one.
    bool respond(const AttemptEnd& end);
    bool reject(Duration come_back_in);
    bool fail();
    void on_client_closed() { answered_ = true; }
    // It is to be over sooner.
    void shorten_deadline(TimePoint t) {
        client_request_.request.deadline = std::min(client_request_.request.deadline, t);
    }

    // A cache that is to give a send up, or to find its connection closed, may read that later than another
    // one reads the next send: until then the two would be out at once.
    void delay_reuse_until(TimePoint t) { reuse_delayed_until_ = std::max(reuse_delayed_until_, t); }
    TimePoint reuse_delayed_until() const { return reuse_delayed_until_; }

    bool answered() const { return answered_; }
    bool finished() const;
    // Whether a send has ended of which the Router has not been told yet.
    bool has_unreported_result() const;

private:
    ResponseSender& response_sender_;
    ClientStream client_stream_;
    ClientRequest client_request_;
    std::deque<Attempt> attempts_;
    bool answered_ = false;
    TimePoint reuse_delayed_until_{};
};

}  // namespace irismux
