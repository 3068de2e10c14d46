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
struct Caller {
    std::uint64_t link = 0;
    std::uint16_t request = 0;
    std::uint64_t begun = 0;  // counted on the connection
    auto operator<=>(const Caller&) const = default;
};

// What a client asks.
struct Asked {
    Arrival arrival;              // the host gives it its identity
    RequestId request;            // the client's name for it, which the caches are told
    std::string kind;             // its name
    std::string part;             // of the object
    std::string known;            // the tag of the client's copy
    std::string idempotency_key;  // by which whoever runs a deduplicated lookup knows a repeat; may be absent
    std::string body;
};

// The server component, as an exchange sees it.
class Clients {
public:
    virtual ~Clients() = default;
    virtual void satisfied(const Caller&, std::string_view body, bool client_copy_holds) = 0;
    virtual void nacked(const Caller&, Span come_back_in) = 0;
    virtual void failed(const Caller&) = 0;
};

// How far a send came. Only what never came whole to a cache is known not to have run.
enum class Reach { unconnected, unwritten, partly, whole, begun };

struct Send {
    CacheId cache;
    std::optional<Fill> fill;  // none: asks only for what the cache holds
    Instant decided;
    Reach reach = Reach::unconnected;
    std::uint64_t link = 0;  // the connection that carries it
    bool moved = false;      // its connection broke before it was out, and it has got another
    bool ended = false;
    bool told = false;  // the Router knows that it has ended

    bool names_source() const { return fill && fill->source != fill->cache; }
};

// How a send ended.
struct End {
    Outcome outcome = Outcome::completed;
    Note note = Note::none;
    Span lag{};
    bool client_copy_holds = false;
    std::string_view body{};
};

class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(Clients& clients, Caller caller, Asked asked);

    LookupId id() const { return asked_.arrival.id; }
    const RequestId& request() const { return asked_.request; }
    const Caller& caller() const { return caller_; }
    const Asked& asked() const { return asked_; }
    Instant expires() const { return asked_.arrival.expires; }

    Send& send(std::size_t n) { return sends_[n]; }
    std::size_t sends() const { return sends_.size(); }
    std::size_t add(Send send);
    // Whether one of its sends has been given to that connection.
    bool has_used(std::uint64_t link) const;

    // The one final answer; false if there has been one.
    bool satisfy(const End& end);
    bool nack(Span come_back_in);
    bool fail();
    void client_left() { answered_ = true; }
    // It is to be over sooner.
    void expire_by(Instant t) { asked_.arrival.expires = std::min(asked_.arrival.expires, t); }

    // A cache that is to give a send up, or to find its connection closed, may read that later than another
    // one reads the next send: until then the two would be out at once.
    void rest_until(Instant t) { rests_until_ = std::max(rests_until_, t); }
    Instant rests_until() const { return rests_until_; }

    bool answered() const { return answered_; }
    bool over() const;
    // Whether a send has ended of which the Router has not been told yet.
    bool owes_word() const;

private:
    Clients& clients_;
    Caller caller_;
    Asked asked_;
    std::deque<Send> sends_;
    bool answered_ = false;
    Instant rests_until_{};
};

}  // namespace irismux
