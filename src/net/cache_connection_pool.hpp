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

// Who hears how sends and probes end.
class Ends {
public:
    virtual ~Ends() = default;
    virtual void ended(Exchange&, std::size_t n, const End&) = 0;
    virtual void probed(const ProbeAnswer&) = 0;
    // Asked right before its first byte: whether it may still go.
    virtual bool may_begin(Exchange&, std::size_t n) = 0;
    // It did not begin: each connection that may carry it has carried its request's name for another lookup.
    virtual void name_in_use(Exchange&, std::size_t n) = 0;
};

struct CacheLimits {
    std::size_t links = 0;    // connections to all caches together
    std::size_t streams = 1;  // sends that one connection carries at once
    Span connect_time_out;
    Span idle;          // a connection without a send is closed after this
    Span rest;          // between the end of a send that the cache has yet to hear of and the next one
    Span late_answers;  // behind an answer, or the end of a lookup's time, one more may come for so long
};

class Caches {
public:
    Caches(Loop& loop, Roster& roster, Ends& ends, const Deployment& deployment, CacheLimits limits);
    ~Caches();

    void pull(Exchange& x, std::size_t n);
    // The send is given up: taken back where it is not out yet, else the cache is told.
    void give_up(Exchange& x, std::size_t n);
    // Its client has left: what has not begun does not begin any more. How far each send came is in the
    // exchange; whoever calls ends those that have not begun.
    void withdraw(Exchange& x);
    // Where a connection has to come up first, it goes only if it still may by then.
    using Still = std::function<bool()>;
    void probe(const CacheId& cache, Still still);
    void close_all();
    // After each change of the list.
    void close_unlisted();

private:
    friend class CacheLink;
    struct Choice {
        std::shared_ptr<CacheLink> link;  // none: there is none for now
        bool name_in_use = false;         // and would be, but for the request's name
        bool unreachable = false;         // the system knows no way there, twice in a row
    };
    Choice link_for(Peer& peer, const Exchange* x);
    Choice new_link(Peer& peer);
    void wait_for_link(Exchange& x, std::size_t n);
    void rest(Exchange& x, std::size_t n);
    std::size_t most_links_each() const;
    bool may_go(const Send& s);
    std::string fields_of(Exchange& x, const Send& s, Instant now) const;
    void broke(CacheLink& link);
    void answered(CacheLink& link);
    bool close_one_idle();

    Loop& loop_;
    Roster& roster_;
    Ends& ends_;
    LocationId here_;
    CacheLimits limits_;
    std::size_t links_ = 0;
    std::uint64_t next_link_ = 1;
    // Sends that wait for a connection, or for the end of the one before, by lookup and number.
    std::map<std::pair<LookupId, std::size_t>, Loop::Alarm> resting_;
    std::uint64_t next_probe_ = 1;
};

}  // namespace irismux
