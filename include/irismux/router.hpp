// The one way into the decisions (Router) and the one way out of them (Port).
//
// A host builds one Router a gateway, calls it for each thing that happens, in order, with the present
// instant, and carries out what comes through the Port. The Router has no clock, no threads and no I/O. A
// Port must not call the Router before the call that it serves has returned.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "irismux/deployment.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

enum class Phase { in_service, draining, gone };
enum class Outcome {
    completed,
    errored,
    saturated,
    overdue,
    refused_conn,
    severed,
    recalled,
    superseded,
    lookup_miss
};
enum class Note {
    none,
    hit,
    filled,
    via_origin,
    joined,
    stale,
    source_refused,
    source_lost,
    source_lacks,
    no_fill_place,
    origin_failed
};

// One line of the list of caches.
struct Listing {
    CacheId cache;
    LocationId location;
    MachineId machine;
    CellNo cell;
    double weight = 1;
    Phase phase = Phase::in_service;
    Instant started;  // zero: long ago
};

struct Arrival {
    LookupId id;
    KindNo kind;
    ObjectName object;
    GroupNo group;
    Instant expires;
    double kbytes = 0;  // 0: not told
    bool repeated = false;
    bool write = false;
};

// What a cache says of its load; absent where not told.
struct LoadReport {
    std::optional<double> held;  // lookups in work
    std::optional<double> waiting;
    std::optional<double> busy;  // share of its processor
    std::optional<double> link;  // a cache: fill of its location's link; a parent: fetches out
    std::optional<double> hit_share;
};

struct Answer {
    LookupId id;
    SendNo send;
    CacheId cache;
    Outcome outcome = Outcome::completed;
    Note note = Note::none;
    Span took;
    Span fill_wait;
    bool last = false;  // the lookup has ended
    std::optional<LoadReport> load;
};

struct ProbeAnswer {
    CacheId cache;
    Outcome outcome = Outcome::completed;
    Span took;
    std::optional<LoadReport> load;
};

struct Fill {
    CacheId cache;
    CacheId source;  // the cache itself: fill nothing
    int rank = 0;    // 0: keep nothing
    Span oldest;     // zero: the kind's fresh time
    bool join = false;
    bool renew = false;
    bool held_only = false;    // the source gives only what it holds
    bool pass_parent = false;  // the parent keeps no copy
    Span time_out;             // zero: until the client gives up
};

class Port {
public:
    virtual ~Port() = default;
    virtual void send(const LookupId&, const CacheId&, Span time_out) = 0;
    virtual void fill(const LookupId&, const Fill&) = 0;
    virtual void cancel(const LookupId&, SendNo) = 0;
    virtual void nack(const LookupId&, Span come_back_in) = 0;
    virtual void fail(const LookupId&) = 0;
    virtual void probe(const CacheId&) = 0;
    virtual void alarm(AlarmNo, Instant) = 0;
    virtual void watch_list() = 0;  // ask for the list's changes
    virtual void note_down(std::string_view) = 0;
    // It is passed over from now on, or no more.
    virtual void marked(const CacheId&, bool) {}
};

class Router {
public:
    Router(Port&, const Deployment&, std::uint64_t seed, Instant now);
    ~Router();
    Router(Router&&) noexcept;

    void on_list(Instant now, const std::vector<Listing>&, bool complete);
    void on_list_lost(Instant now);
    void on_lookup(Instant now, const Arrival&);
    void on_answer(Instant now, const Answer&);
    void on_opened(Instant now, const LookupId&, SendNo);
    void on_client_gone(Instant now, const LookupId&);
    void on_purge(Instant now, Span age, GroupNo, const std::optional<ObjectName>&);
    void on_probe(Instant now, const ProbeAnswer&);
    // Another gateway looks at a marked cache on behalf of all: the trial that ends the mark is worth its
    // while from then on. Puts it off by one longest back-off at most; of caches that are not marked nothing
    // is kept.
    void on_trial_from(Instant now, const CacheId&, Instant from);
    void on_alarm(Instant now, AlarmNo);
    // The process ends by then: lookups still at work are answered before, by effect.
    void on_leaving(Instant now, Instant by);
    // Asked right before a send's first byte: whether it may still go. Nothing leaves through the Port. A
    // send that may not is answered as one that never ran.
    bool may_begin(Instant now, const LookupId&, SendNo);

private:
    class Core;
    std::unique_ptr<Core> core_;
};

}  // namespace irismux
