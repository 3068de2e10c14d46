// Every decision of irismux: a host builds one Router a gateway and calls it for each thing that happens;
// what is decided leaves through the Port at once (include/irismux/router.hpp). No clock, thread, file or
// socket: the instant comes with each call, chance from the seed.
//
// A lookup runs down the chain at the end of this file; each stage passes it on or ends it. What comes back
// runs up the same chain; the top stage then ends the lookup or sends it down once more. docs/design.md says
// what the design page settles, and when each exception below acts.

#include "irismux/router.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "routing/purge_table.hpp"
#include "routing/windowed_sum.hpp"

namespace irismux {
namespace {

// --- tuned values: ratios wherever a figure from the settings can carry them -------------------------
// The back-off of a mark doubles from 2 s to 30 s (the design page's own figures).
const Duration back_off_first = Duration::micros(2'000'000);
const Duration back_off_longest = back_off_first * 15;
// A silence that a busy member would show by chance once in e^14 gaps is no chance.
constexpr double silence_in_gaps = 14;
// Gaps and errors are averaged over about this many answers.
constexpr double gap_memory = 16, error_memory = 10;
// Two errors close together among ten answers, and this multiple of the peers' mean above that.
constexpr double error_mark = 0.17, error_stands_out = 1.5;
// Of this share of its sends a cache leaves unanswered more than chance explains, if a peer does so less than
// a third as often. A look there is taken as lost when the copy is overdue by these parts of its sending time
// and of the budget.
constexpr double lost_mark = 0.085, lost_stands_out = 3;
constexpr double lost_work = 1.2, lost_budget = 0.2;
// Further sends a lookup may cost on average, so that retries can't multiply a trouble; and the reserve.
constexpr double further_share = 0.25, further_reserve_per_send = 5;
// A cold member gets this much of what it can do, and this much of the multiple at which it falls over.
constexpr double cold_pace = 1.2, cold_multiple_share = 0.5;
// What a cold member's budget may save up, as a share of the window in which it can fall over.
constexpr double cold_burst = 0.15;
// Where that is less than a lookup, what all gateways together may have saved up: so much of what the
// multiple leaves in a window above the pace.
constexpr double cold_spare = 0.7;
// Whatever was saved up or sent before a start was told: in a window it gets this many times its pace.
constexpr double cold_window = 1.3;
// Sends are remembered in so many parts of that window.
constexpr std::size_t window_parts = 8;
// Where links are not told: a location's link in carries a minority of what its caches send; parents differ.
constexpr double edges_over_pipe = 2, parent_of_even_share = 0.6, transfers_unknown = 4;
// What all gateways together may ask of the origin in place of parents, of all locations' links in, full.
constexpr double origin_of_pipes = 0.5;
// A share of fills shrinks at the pace of e in this long while they fail or come late, and regains all in
// that long while they do not (longer for an origin that stops). By time: at many gateways each sees few
// answers.
const Duration regained_in = back_off_first, falling_regained_in = back_off_first * 3;
const Duration cut_in = back_off_first * 0.4, speaks_for = back_off_first * 0.5;
constexpr double fetch_least = 0.05;
// A fetch that waits this many times as long as they do on average tells of an origin that is not at ease.
constexpr double fetch_unusual = 2;
// A cache with more transfers than this for each that fits is passed over if another has room; when even the
// roomiest has this many, a lookup is nacked. What its pace showed fades over so many longest budgets.
constexpr double crowded = 2, full_house = 2, pace_fades = 4;
// With more late sends than this for each transfer that fits the link in, fills are jammed behind the caches:
// a look comes first, and what it misses is filled while such fills and late sends are fewer than that for
// each.
constexpr double jammed = 0.2, fill_room = 1;
// A fill that is smaller than the mean is let through for longer, in proportion and within these bounds.
constexpr double cheap_least = 0.65, cheap_most = 4;
// The watch looks this often within the shortest latency budget.
constexpr double watch_share = 0.1;
// Fills start at the middle rank (design page).
constexpr int rank_middle = 2;
// An object asked for again within a generation or two (so many longest deadlines) ranks above those asked
// once.
constexpr int rank_repeated = 3;
constexpr double generation_deadlines = 2;
// A nacked client is asked to stay away for this part of the longest wait that clients heed, at least.
constexpr double come_back_least = 0.1;

const TimerId watch_alarm{0}, list_alarm{1};

// --- hashing: FNV-1a over the bytes, then the 64-bit finalizer of MurmurHash3 ---------------------------
std::uint64_t mixed(std::uint64_t h) {
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    h *= 0xc4ceb9fe1a85ec53ULL;
    return h ^ (h >> 33);
}

std::uint64_t hash_of(const std::string& text) {
    std::uint64_t h = 0xcbf29ce484222325ULL;
    for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
    return mixed(h);
}

// --- the one record a cache ------------------------------------------------------------------------------
enum class Role { edge, parent, origin, elsewhere };

// How much may be asked of what shows by late or failed fills that it is asked for too much.
struct Allowance {
    Duration back = regained_in;
    double left = 1;
    TimePoint cut{};
    double share(TimePoint now) const { return std::min(1.0, left * std::exp2((now - cut) / back)); }
    void tell(bool bad, TimePoint now) {
        if (!bad) return;
        left = std::max(fetch_least, share(now) * std::exp(-(std::min(now - cut, speaks_for) / cut_in)));
        cut = now;
    }
};

struct Member {
    CacheId id;
    std::uint64_t hash = 0, score = 0;  // of its id; with the object at hand
    Role role = Role::elsewhere;
    CellId cell;
    double weight = 1;
    bool listed = false, gone = false;  // in service by the list; not in it any more
    TimePoint started, told;            // when the list last named it

    bool marked = false;
    TimePoint back_at, back_off_ends;  // a trial may go; it might by our own back-off alone
    int strikes = 0;                   // marks in a row, for the doubling
    bool on_trial = false;             // one send is out to see whether it is back

    int out = 0;            // sends out: at an edge cache, or with this source
    int late = 0;           // sends out here that have outlived their latency budgets
    TimePoint heard;        // the last sign of life
    TimePoint busy_since;   // since when sends have been out without a break
    Duration gap;           // between signs of life while busy, on average
    double errors = 0;      // share of late answers that were errors
    double lost = 0;        // share of sends left unanswered while others, sent later, were answered
    TimePoint loses_until;  // taken for one that loses sends
    double pace = 1;        // how crowded its answers and reports show it: transfers for each that fits
    TimePoint paced;
    Allowance fills;  // cut by late ones, whatever slows the member

    bool died = false;  // refused when nothing was out: its return is a start that the list has yet to tell
    std::optional<TimePoint> cold_since;
    TimePoint cold_known;  // since when we have known it
    double tokens = 0;     // cold budget, in seconds of sending time
    double phase = 1;      // of a lookup's work, that must be saved up before it is sent
    TimePoint tokens_at;
    WindowedSum<window_parts> sent;
};

struct KindFigures {
    ObjectKind kind;
    double mean_work = 0;  // seconds of sending, as seen
};

struct SendRecord {
    CacheId cache, source;
    CellId cell;            // the cache's, which may be gone by the time another send is weighed
    TimePoint at, weighed;  // decided; last judged
    std::optional<TimePoint>
        late_after;  // it will have outlived its latency budget; none: that is not watched
    bool out = true;
    bool may_have_run = false;
    bool recalled = false, late = false, missed = false;  // by us; counted at its cache; a fill for certain
    bool trial_edge = false, trial_source = false;
    double work = 0;
};

struct Held {
    Request lk;
    std::vector<SendRecord> sends;
    std::vector<CacheId> shunned;  // tried and failed for this lookup
    AttemptPlan plan;
    bool trial_edge = false, trial_source = false;
    bool stale_will_do = false;
    bool repeated = false;  // the object was asked for not long ago
    bool unfilled = false;  // the last send named no source for want of budget
    bool looking = false;   // the last send only looks, and a miss may be filled yet
    bool missed = false;    // a look has found no copy
    bool done = false;
};

// The notes that lay a failure on the source or behind it, not on the cache.
bool source_at_fault(CacheStatus n) {
    return n >= CacheStatus::source_refused && n != CacheStatus::no_fill_slot;
}

bool among(const std::vector<CacheId>& v, const CacheId& id) {
    return std::find(v.begin(), v.end(), id) != v.end();
}

}  // namespace

enum class Pass { on, ended };

class Router::Core {
public:
    Core(RouterCallbacks& port, const Deployment& d, std::uint64_t seed, TimePoint now);

    Core& at(TimePoint t) { return now = t, *this; }
    void list(const std::vector<EndpointUpdate>& lines, bool complete);
    void list_lost();
    void lookup(const Request& lk);
    void answer(const AttemptResult& a);
    void client_gone(const RequestId& id);
    void purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object);
    void watch();
    void trial_from(const CacheId& id, TimePoint from);
    bool may_begin(const RequestId& id, AttemptIndex n);
    void leaving(TimePoint by);

    TimePoint now;
    RouterCallbacks& port;

private:
    struct Stage {
        Pass (Core::*down)(Held&);
        Pass (Core::*up)(Held&, SendRecord&, const AttemptResult&);
    };
    static const std::array<Stage, 6> chain;
    // the chain, down and up
    Pass limits_down(Held&), effects_down(Held&), freshness_down(Held&);
    Pass edge_down(Held&), source_down(Held&), dispatch_down(Held&);
    Pass limits_up(Held&, SendRecord&, const AttemptResult&),
        effects_up(Held&, SendRecord&, const AttemptResult&);
    Pass freshness_up(Held&, SendRecord&, const AttemptResult&),
        edge_up(Held&, SendRecord&, const AttemptResult&);
    Pass source_up(Held&, SendRecord&, const AttemptResult&),
        dispatch_up(Held&, SendRecord&, const AttemptResult&);
    void run_down(Held& h);
    Pass give_up(Held& h);
    bool effects_allow(const Held& h, const SendRecord* itself) const;
    void not_late(SendRecord& s);
    void drop_if_over(const RequestId& id);
    // members
    const std::vector<Member*>& in_service(Role role) const;
    std::vector<Member*> in_hash_order(const ObjectName& object, Role role) const;
    bool may_take(const Member& m, const Held& h) const;
    void mark(Member&), give_back(Member&), unmark(Member&), sign_of_life(Member&), lost_seen(Member&);
    void count_peers();
    void starts_cold(Member&, TimePoint since), error_seen(Member&, bool bad),
        pace_seen(Member&, double pace);
    double chance();
    bool silent(const Member&) const, peers_speak(const Member&) const, fills_jammed(double work) const;
    bool loses(const Member& m) const { return now < m.loses_until; }
    bool has_budget(Member& m, double work);
    void charge(Member& m, double work);
    double capacity(const Member&) const, crowd(const Member&) const, work_of(const Held&) const;
    double pipe_here() const, cheapness(double work) const;
    Duration in_time(const Held& h, double work) const;
    Duration purge_bound(const Request& lk) const;
    bool seen_again(const ObjectName& object);
    Duration oldest_for(const Held& h, bool stale_will_do) const;
    void held_only(Held& h, bool no_source);

    // derived at start
    std::vector<KindFigures> kinds_;
    Capabilities permits_;
    SlowStart cold_edge_, cold_parent_;
    LocationId here_;
    std::optional<MachineType> parent_machine_, origin_machine_;
    std::optional<TimePoint> leave_by_;
    bool weights_told_;
    double flow_, pipe_here_, pipes_all_;  // the links in transfers at full pace; 0: not told
    int gateways_, gateways_here_, locations_;
    Duration fall_window_, tick_, watch_every_, longest_budget_;

    std::map<CacheId, Member> members_;
    std::vector<Member*> edges_, parents_, origins_;  // those in service
    std::size_t most_edges_ = 1, most_parents_ = 1;   // the most that were in service at once
    std::map<RequestId, Held> held_;
    PurgeTable purges_;
    double further_ = 0, further_most_ = 0;
    double mean_work_ = 0;  // over the lookups of late
    // A slow origin is asked for less, behind parents too: else misses hold places, and it is pushed over.
    Allowance fetches_;
    double fetch_usual_ = 0;  // seconds that fetches at the origin wait, on average
    int fills_out_ = 0;       // sends out that a look has shown to be fills
    int late_ = 0;            // sends out that have outlived their latency budget
    // When sends will have; an entry goes with its send's end.
    struct LateSend {
        TimePoint after;
        RequestId lookup;
        std::size_t send = 0;
        auto operator<=>(const LateSend&) const = default;
    };
    std::set<LateSend> late_sends_;
    bool watching_ = false;
    // The objects of this generation and the last one, with the least sending time seen; 0: none yet.
    std::map<ObjectName, double> seen_, seen_before_;
    TimePoint generation_since_;
    Duration generation_;
    std::ranlux24_base chance_;
};

Router::Core::Core(RouterCallbacks& out, const Deployment& d, std::uint64_t seed, TimePoint start)
    : now(start),
      port(out),
      permits_(d.capabilities),
      cold_edge_(d.edge_slow_start),
      cold_parent_(d.parent_slow_start),
      here_(d.location),
      parent_machine_(d.parent_machine),
      origin_machine_(d.origin_machine),
      weights_told_(d.weights_known),
      flow_(d.transfer_rate_kb_per_s),
      gateways_(std::max(1, d.gateways)),
      gateways_here_(std::max(1, d.gateways_in_location)),
      locations_(std::max(1, d.locations)),
      fall_window_(d.overload_window),
      tick_(d.timer_resolution),
      purges_(d.purge_retention),
      chance_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))) {
    pipe_here_ = flow_ > 0 ? d.location_link_capacity_kb_per_s / flow_ : 0;
    pipes_all_ = flow_ > 0 ? d.total_link_capacity_kb_per_s / flow_ : 0;
    Duration shortest = back_off_first;
    for (const ObjectKind& k : d.kinds) {
        kinds_.push_back({k, k.latency_objective.seconds()});
        shortest = std::min(shortest, k.latency_objective);
        longest_budget_ = std::max(longest_budget_, k.latency_objective);
        generation_ = std::max(generation_, k.deadline * generation_deadlines);
    }
    for (const KindFigures& k : kinds_) mean_work_ += k.mean_work / static_cast<double>(kinds_.size());
    watch_every_ = std::max(shortest * watch_share, tick_);
    further_ = further_most_ = further_reserve_per_send * permits_.max_attempts;
    if (d.origin_stops_when_overloaded) fetches_.back = falling_regained_in;
    if (d.subscribe_to_endpoints) port.subscribe_to_endpoints();
}

// --- the list ------------------------------------------------------------------------------------------
void Router::Core::list(const std::vector<EndpointUpdate>& lines, bool complete) {
    if (complete)
        for (auto& [id, m] : members_) m.listed = false, m.gone = true;
    for (const EndpointUpdate& l : lines) {
        const auto [it, fresh] = members_.try_emplace(l.cache);
        Member& m = it->second;
        if (fresh) {
            m.id = l.cache;
            m.hash = hash_of(l.cache.raw());
            m.gap = longest_budget_;
            m.heard = now;
        }
        m.role = origin_machine_ && l.machine_type == *origin_machine_   ? Role::origin
                 : parent_machine_ && l.machine_type == *parent_machine_ ? Role::parent
                 : l.location == here_                                   ? Role::edge
                                                                         : Role::elsewhere;
        m.cell = l.cell;
        m.weight = l.weight;
        m.listed = l.status == EndpointStatus::active;
        m.gone = l.status == EndpointStatus::removed;
        m.told = now;
        if (l.status == EndpointStatus::removed || l.started_at == m.started) continue;
        // A new start: what was held against the old process is void, and the new one is cold.
        m.started = l.started_at;
        const SlowStart& cold = m.role == Role::parent ? cold_parent_ : cold_edge_;
        if (m.role == Role::origin || now - l.started_at >= cold.window) continue;
        unmark(m);
        m.strikes = 0;
        m.errors = 0;
        starts_cold(m, l.started_at);
    }
    // What has long been gone and owes no answer is forgotten: nothing grows with caches that come and go.
    // Not before it would be warm: a list may err, and what a cold one was sent counts.
    const Duration warm = std::max(cold_edge_.window, cold_parent_.window);
    std::erase_if(members_, [&](const auto& entry) {
        return entry.second.gone && entry.second.out == 0 && now > entry.second.told + warm;
    });
    for (auto* of_role : {&edges_, &parents_, &origins_}) of_role->clear();
    for (auto& [id, m] : members_) {
        if (!m.listed || m.role == Role::elsewhere) continue;
        (m.role == Role::edge ? edges_ : m.role == Role::parent ? parents_ : origins_).push_back(&m);
    }
    count_peers();
}

// Links do not grow with the caches that leave, nor does a cache that stays: its part of a link is that
// beside all who were in service at once. In a first list heard amid a replacement those that drain stand for
// their successors, which come up cold.
void Router::Core::count_peers() {
    const auto at_once = [&](Role role, const SlowStart& cold) {
        std::size_t in_service = 0, before = 0;
        for (const auto& [id, m] : members_) {
            if (m.role != role || m.gone) continue;
            in_service += m.listed;
            before += !m.listed || now - m.started >= cold.window;
        }
        return std::max(in_service, before);
    };
    most_edges_ = std::max(most_edges_, at_once(Role::edge, cold_edge_));
    most_parents_ = std::max(most_parents_, at_once(Role::parent, cold_parent_));
}

void Router::Core::starts_cold(Member& m, TimePoint since) {
    m.died = false;
    m.cold_since = since;
    // All gateways hear of a start at once, and a share is less than a lookup: chance spreads them.
    m.phase = chance();
    m.tokens = 0;
    m.tokens_at = m.cold_known = now;
}

// The list's service may be crowded by all who lost it at once: ask again only after a back-off.
void Router::Core::list_lost() { port.set_timer(list_alarm, now + back_off_first * (1 + chance())); }

// --- health ----------------------------------------------------------------------------------------------
const std::vector<Member*>& Router::Core::in_service(Role role) const {
    return role == Role::edge ? edges_ : role == Role::parent ? parents_ : origins_;
}

// Highest random weight: each object has an order of its own over the members of a role.
std::vector<Member*> Router::Core::in_hash_order(const ObjectName& object, Role role) const {
    const std::uint64_t name = hash_of(object.raw());
    std::vector<Member*> order = in_service(role);
    for (Member* m : order) m->score = mixed(name ^ m->hash);
    std::sort(order.begin(), order.end(), [](const Member* a, const Member* b) {
        return a->score != b->score ? a->score > b->score : a->id < b->id;
    });
    return order;
}

void Router::Core::mark(Member& m) {
    if (m.marked && !m.on_trial && now < m.back_at) return;
    if (!std::exchange(m.marked, true)) port.on_ejection_changed(m.id, true);
    m.on_trial = false;
    m.back_at = m.back_off_ends =
        now + std::min(back_off_first * std::pow(2.0, std::min(m.strikes, 8)), back_off_longest);
    ++m.strikes;
}

void Router::Core::unmark(Member& m) {
    m.on_trial = false;
    if (std::exchange(m.marked, false)) port.on_ejection_changed(m.id, false);
}

// Whoever looks may be cut off from what we can reach: its word is worth one back-off.
void Router::Core::trial_from(const CacheId& id, TimePoint from) {
    const auto it = members_.find(id);
    if (it == members_.end() || !it->second.marked || it->second.on_trial) return;
    it->second.back_at = std::min(from, it->second.back_off_ends + back_off_longest);
}

void Router::Core::sign_of_life(Member& m) {
    const Duration gap = now - std::max(m.heard, m.busy_since);
    m.gap = m.gap + (gap - m.gap) * (1 / gap_memory);
    m.heard = now;
}

// Quick errors look like the fastest answers; this holds against them from caches and from sources.
void Router::Core::error_seen(Member& m, bool bad) {
    m.errors += ((bad ? 1.0 : 0.0) - m.errors) / error_memory;
    if (!bad && m.errors < error_mark / error_memory) m.strikes = 0;
    if (!bad || m.errors < error_mark) return;
    // Errors that all show have a common cause; marks would only crowd the rest: a member must stand out.
    double others = 0, count = 0;
    for (const Member* o : in_service(m.role))
        if (o != &m) others += o->errors, ++count;
    if (m.errors > error_mark + error_stands_out * (count > 0 ? others / count : 0)) mark(m);
}

double Router::Core::chance() {
    return static_cast<double>(chance_()) / static_cast<double>(std::ranlux24_base::max());
}

// Accrual failure detection: silence is judged against the gaps that this member has shown.
bool Router::Core::silent(const Member& m) const {
    if (m.out == 0) return false;
    const Duration silence = now - std::max(m.heard, m.busy_since);
    return silence > longest_budget_ && silence > m.gap * silence_in_gaps;
}

// If nobody else has answered since, the cause is common (a slow origin, a full link) and marks only harm.
bool Router::Core::peers_speak(const Member& m) const {
    const TimePoint since = std::max(m.heard, m.busy_since);
    for (const Member* o : in_service(m.role))
        if (o != &m && !o->marked && o->heard > since) return true;
    return false;
}

// A cache that answers most and leaves some without an answer is neither silent nor in error, and its late
// sends tell of no jam. Where all do, the cause lies behind them.
void Router::Core::lost_seen(Member& m) {
    if ((m.out - m.late) * gateways_here_ > capacity(m)) return;  // it may be crowded
    m.lost += (1 - m.lost) / gap_memory;
    if (m.lost > lost_mark && std::any_of(edges_.begin(), edges_.end(), [&](const Member* o) {
            return o->lost * lost_stands_out < m.lost;
        }))
        m.loses_until = now + back_off_first;
}

// --- cold members ------------------------------------------------------------------------------------------
// A member's link in transfers at full pace, as far as it is told or can be derived.
double Router::Core::capacity(const Member& m) const {
    if (weights_told_ && m.role != Role::origin) return m.weight;
    if (m.role == Role::edge && pipe_here_ > 0)
        return pipe_here_ * edges_over_pipe / static_cast<double>(most_edges_);
    if (m.role == Role::parent && pipes_all_ > 0)
        return pipes_all_ * parent_of_even_share / static_cast<double>(most_parents_);
    if (m.role == Role::origin)
        return (pipes_all_ > 0 ? pipes_all_ : pipe_here() * locations_) * origin_of_pipes;
    return transfers_unknown;
}

// Rule 4. Every gateway keeps to its even share of a budget that grows with the slowest allowed warm-up, for
// whatever was cold. The origin in place of parents is held to a budget of the same form.
bool Router::Core::has_budget(Member& m, double work) {
    double full = capacity(m) / (m.role == Role::edge ? gateways_here_ : gateways_), rate = full, spare = 0;
    if (m.role != Role::origin) {
        if (!m.cold_since) return true;
        const SlowStart& cold = m.role == Role::parent ? cold_parent_ : cold_edge_;
        if (now - *m.cold_since >= cold.window) {
            m.cold_since.reset();
            return true;
        }
        const double pace = std::min(cold_pace, cold.overload_multiple * cold_multiple_share);
        const auto at = [&](TimePoint t) {
            const double age = std::max(0.0, (t - *m.cold_since) / cold.window);
            return full * pace * (cold.initial_capacity_share + (1 - cold.initial_capacity_share) * age);
        };
        rate = at(now);
        m.tokens += (at(m.tokens_at) - rate) / 2 * (now - m.tokens_at).seconds();  // it was less before
        spare = rate * fall_window_.seconds() * std::max(0.0, cold.overload_multiple / pace - 1) * cold_spare;
    }
    const double window = rate * fall_window_.seconds(), most = std::max(window * cold_burst, work);
    m.tokens += rate * (now - m.tokens_at).seconds();
    m.tokens_at = now;
    // A share of less than a lookup is a turn now and then. One that is not used in its time is lost: else
    // all that were idle would have theirs at once.
    const double over = m.tokens - work * m.phase - spare;
    if (m.role != Role::origin && spare < work && over > 0) m.tokens -= std::ceil(over / work) * work;
    m.tokens = std::min(most, m.tokens);
    // What went to it before its start was told counts, and so do lookups that were larger than they seemed.
    if (m.role != Role::origin && m.sent.since(*m.cold_since, now, fall_window_) > window * cold_window)
        return false;
    return m.tokens >= work * m.phase;
}

void Router::Core::charge(Member& m, double work) {
    m.sent.add(work, now, fall_window_);
    if (m.cold_since || (m.role == Role::origin && parent_machine_)) m.tokens -= work;
}

// The location's link in, in transfers at full pace.
double Router::Core::pipe_here() const {
    if (pipe_here_ > 0) return pipe_here_;
    double weights = 0, count = 0;
    for (const Member* o : edges_) weights += o->weight, ++count;
    return std::max(1.0,
                    weights_told_ ? weights / edges_over_pipe : count * transfers_unknown / edges_over_pipe);
}

// Room goes to the lookups that bring most for each second of link: the small ones.
double Router::Core::cheapness(double work) const {
    return std::clamp(mean_work_ / std::max(work, 1e-6), cheap_least, cheap_most);
}

// One symptom of many causes (a slow origin, a full link, silent parents, fills that run on): sends that
// neither end nor fail. More fills would only slow those under way; hits still work.
bool Router::Core::fills_jammed(double work) const {
    return late_ * gateways_here_ > jammed * pipe_here() * cheapness(work);
}

// Our own sends tell little of a cache that many gateways share: what its answers show stands for the others.
double Router::Core::crowd(const Member& m) const {
    const double own = (m.out - (loses(m) ? m.late : 0)) * gateways_here_ / std::max(0.1, capacity(m));
    if (m.paced == TimePoint{}) return own;
    const double fade = std::exp(-((now - m.paced) / (longest_budget_ * pace_fades)));
    return (own + (gateways_here_ - 1) * (1 + (m.pace - 1) * fade)) / gateways_here_;
}

void Router::Core::pace_seen(Member& m, double pace) {
    const double weight = 1 - std::exp(-((now - m.paced) / longest_budget_));
    m.pace += (pace - m.pace) * weight;
    m.paced = now;
}

double Router::Core::work_of(const Held& h) const {
    if (h.lk.size_kb > 0 && flow_ > 0) return h.lk.size_kb / flow_;
    // Where sizes are not told they are learnt: a hit takes its sending time, and more only when slowed.
    if (const auto o = seen_.find(h.lk.object); o != seen_.end() && o->second > 0) return o->second;
    return kinds_[h.lk.kind.raw()].mean_work;
}

Duration Router::Core::in_time(const Held& h, double work) const {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    return k.latency_objective + Duration::seconds(work * k.latency_objective_stretch);
}

bool Router::Core::may_take(const Member& m, const Held& h) const {
    if (among(h.shunned, m.id)) return false;
    if (!m.marked) return true;
    // A mark ends with one trial, and only with a lookup that can be sent again.
    return now >= m.back_at && !m.on_trial && kinds_[h.lk.kind.raw()].kind.effect == Effect::idempotent;
}

// --- the chain: limits ---------------------------------------------------------------------------------
Pass Router::Core::limits_down(Held& h) {
    if (now + tick_ >= h.lk.deadline || static_cast<int>(h.sends.size()) >= permits_.max_attempts)
        return give_up(h);
    if (h.sends.empty()) further_ = std::min(further_most_, further_ + further_share);
    return Pass::on;
}

Pass Router::Core::limits_up(Held& h, SendRecord&, const AttemptResult& a) {
    if (a.request_finished || a.outcome == Outcome::completed) h.done = true;
    if (h.done) {
        // A copy that is still out can only waste work.
        for (std::size_t n = 0; n < h.sends.size(); ++n)
            if (h.sends[n].out && permits_.cancellation && !h.sends[n].recalled) {
                h.sends[n].recalled = true;
                port.cancel_attempt(h.lk.id, AttemptIndex{n});
            }
        return Pass::ended;
    }
    for (const SendRecord& o : h.sends)
        if (o.out) return Pass::ended;  // another copy is still at work
    if (h.looking && a.outcome == Outcome::cache_miss) {
        h.missed = true;
        return Pass::on;
    }
    if (a.outcome == Outcome::superseded || (h.unfilled && a.outcome == Outcome::cache_miss))
        return give_up(h);
    // A connection refused has cost nothing; all else draws on the allowance for further sends.
    if (a.outcome == Outcome::connection_refused) return Pass::on;
    return further_ < 1 ? give_up(h) : (further_ -= 1, Pass::on);
}

// Whatever is given up is answered at once; a nack only where trying again is harmless.
Pass Router::Core::give_up(Held& h) {
    h.done = true;
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    bool ran = false;
    for (const SendRecord& s : h.sends) ran = ran || s.may_have_run || s.out;
    const bool harmless = k.effect == Effect::idempotent || !ran ||
                          (k.effect == Effect::deduplicated && k.dedup_scope == DedupScope::all);
    const Duration wait = permits_.max_retry_after * (come_back_least + (1 - come_back_least) * chance());
    if (harmless)
        port.reject(h.lk.id, permits_.retry_after ? wait : Duration{});
    else
        port.fail(h.lk.id);
    return Pass::ended;
}

// --- effects ---------------------------------------------------------------------------------------------
// Rule 2, from the outcomes alone: what may have run bounds every later send and the nack.
Pass Router::Core::effects_up(Held&, SendRecord& s, const AttemptResult& a) {
    s.may_have_run = a.outcome != Outcome::overloaded && a.outcome != Outcome::connection_refused &&
                     a.outcome != Outcome::superseded && a.outcome != Outcome::cache_miss;
    return Pass::on;
}

Pass Router::Core::effects_down(Held& h) { return effects_allow(h, nullptr) ? Pass::on : give_up(h); }

// Whether one more send may begin now, beside those but for itself.
bool Router::Core::effects_allow(const Held& h, const SendRecord* itself) const {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    for (const SendRecord& s : h.sends) {
        if (&s == itself || !(s.may_have_run || s.out)) continue;
        if (k.effect == Effect::non_idempotent) return false;
        if (k.effect == Effect::deduplicated && now + tick_ > s.at + k.dedup_window) return false;
    }
    return true;
}

// A wait is a crossing: what was judged before a send waited (for a connection, for room) is judged again
// right before its first byte. Guards against a client that has left, a window that has run out, and a start
// told meanwhile, against whose cold budget the send has not been weighed.
bool Router::Core::may_begin(const RequestId& id, AttemptIndex n) {
    const auto it = held_.find(id);
    if (it == held_.end() || it->second.done || n.raw() >= it->second.sends.size()) return false;
    SendRecord& s = it->second.sends[n.raw()];
    if (!s.out || s.recalled || !effects_allow(it->second, &s)) return false;
    const auto fits = [&](const CacheId& to) {
        const auto m = members_.find(to);
        if (m == members_.end()) return false;
        if (m->second.cold_known <= s.weighed) return true;
        if (!has_budget(m->second, s.work)) return false;
        m->second.tokens -= s.work;
        return true;
    };
    if (!fits(s.cache) || (s.source != s.cache && !fits(s.source))) return false;
    s.weighed = now;
    return true;
}

// --- freshness ---------------------------------------------------------------------------------------------
// Rule 5: how old a copy may be at most after the purges heard of; zero if none binds.
Duration Router::Core::purge_bound(const Request& lk) const {
    const std::optional<TimePoint> at = purges_.newest(lk.object, lk.purge_group, now);
    if (!at) return Duration{};
    return std::max(now - *at - tick_, Duration::micros(1));
}

Duration Router::Core::oldest_for(const Held& h, bool stale_will_do) const {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    const Duration bound = purge_bound(h.lk);
    const Duration usual =
        stale_will_do && k.fresh_for > Duration{} ? k.fresh_for + k.stale_if_error_for : k.fresh_for;
    if (bound > Duration{}) return usual > Duration{} ? std::min(usual, bound) : bound;
    return stale_will_do ? usual : Duration{};
}

Pass Router::Core::freshness_down(Held& h) {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    h.plan = AttemptPlan{};
    h.plan.storage_rank = k.uncacheable ? 0 : h.repeated ? rank_repeated : rank_middle;
    h.plan.coalesce = permits_.coalescing && !k.uncacheable;
    h.plan.revalidate = k.fresh_for > Duration{};
    // A copy past its fresh time carries a lookup whose source has failed it once.
    h.plan.max_age = oldest_for(h, h.stale_will_do);
    return Pass::on;
}

Pass Router::Core::freshness_up(Held& h, SendRecord&, const AttemptResult& a) {
    if (source_at_fault(a.cache_status)) h.stale_will_do = true;
    return Pass::on;
}

// --- the edge cache ----------------------------------------------------------------------------------------
Pass Router::Core::edge_down(Held& h) {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    h.trial_edge = h.trial_source = h.unfilled = h.looking = false;
    if (k.uncacheable && permits_.direct_attempts) {
        for (Member* m : in_hash_order(h.lk.object, Role::origin)) h.plan.cache = h.plan.source = m->id;
        if (h.plan.cache != CacheId{}) return Pass::on;
    }
    const SendRecord* ran = nullptr;
    for (const SendRecord& s : h.sends)
        if (s.may_have_run || s.out) ran = &s;
    const double mean = kinds_[h.lk.kind.raw()].mean_work;
    // While fills are jammed a lookup that spilled would only miss: it stays with the cache that holds it.
    const double full = full_house * cheapness(work_of(h));
    const double room = fills_jammed(work_of(h)) ? std::max(crowded, full) : std::min(crowded, full);
    Member *pick = nullptr, *roomiest = nullptr, *marked = nullptr;
    for (Member* m : in_hash_order(h.lk.object, Role::edge)) {
        if (k.effect == Effect::deduplicated && ran && k.dedup_scope == DedupScope::cell &&
            ran->cell != m->cell)
            continue;
        if (!has_budget(*m, mean)) continue;
        if (!may_take(*m, h)) {
            // When every cache is marked the one nearest its return is still the best there is.
            if (!marked || m->back_at < marked->back_at) marked = m;
            continue;
        }
        if (crowd(*m) < room) {
            pick = m;
            break;
        }
        if (!roomiest || crowd(*m) < crowd(*roomiest)) roomiest = m;
    }
    if (!pick && roomiest && crowd(*roomiest) >= full) return give_up(h);
    if (!pick) pick = roomiest ? roomiest : marked;
    if (!pick) return give_up(h);
    h.plan.cache = pick->id;
    if (pick->marked && now >= pick->back_at && !pick->on_trial) pick->on_trial = h.trial_edge = true;
    return Pass::on;
}

Pass Router::Core::edge_up(Held& h, SendRecord& s, const AttemptResult& a) {
    Member& m = members_[s.cache];
    const bool edge = m.role == Role::edge;
    // A held copy sent too late is a fault of the cache like an error: it may only grow slower and never
    // fail.
    const bool slow = a.outcome == Outcome::completed && a.cache_status == CacheStatus::hit &&
                      a.elapsed > in_time(h, s.work);
    const bool bad = a.outcome == Outcome::errored || slow;
    switch (a.outcome) {
        case Outcome::overloaded:
            // A cache that hangs still turns away: only with a note has it worked.
            if (a.cache_status == CacheStatus::none) break;
            [[fallthrough]];
        case Outcome::completed:
        case Outcome::cache_miss:
        case Outcome::errored:
            sign_of_life(m);
            if (m.marked && (s.trial_edge || m.out == 0 || !edge) && !bad) unmark(m);
            // A rack that restarts at once is back before the list tells: full traffic would push it over.
            if (m.died && edge) starts_cold(m, now);
            if (!source_at_fault(a.cache_status)) error_seen(m, bad);
            break;
        case Outcome::connection_refused:
            mark(m);
            m.died = m.died || m.out == 0;  // a full table of connections has sends out
            break;
        case Outcome::connection_reset:
            // Connections also break while the process lives on; if it died, the next send is refused.
            error_seen(m, true);
            break;
        case Outcome::deadline_exceeded:
            // Only a cache that has said nothing since is held to be the cause.
            if (m.heard <= s.at && peers_speak(m)) mark(m);
            break;
        default:
            break;
    }
    if (s.trial_edge && m.on_trial) m.on_trial = false;
    // A broken transfer may be the network's; the cache that holds the object gets a second chance.
    const bool broke = a.outcome == Outcome::connection_reset || a.outcome == Outcome::errored ||
                       (a.outcome == Outcome::deadline_exceeded && m.heard > s.at);
    int here = 0;
    for (const SendRecord& o : h.sends) here += o.cache == s.cache;
    const bool looked = h.looking && a.outcome == Outcome::cache_miss;
    if (a.outcome != Outcome::completed && !source_at_fault(a.cache_status) && !looked &&
        !(broke && here < 2 && !m.marked))
        h.shunned.push_back(s.cache);
    return Pass::on;
}

// --- the source -----------------------------------------------------------------------------------------
// Only what is held already will do, and then a copy in its grace as well.
void Router::Core::held_only(Held& h, bool no_source) {
    if (no_source) h.plan.source = h.plan.cache;
    h.plan.only_if_cached = h.unfilled = true;
    h.plan.max_age = oldest_for(h, true);
}

Pass Router::Core::source_down(Held& h) {
    const ObjectKind& k = kinds_[h.lk.kind.raw()].kind;
    if (h.plan.source != CacheId{}) return Pass::on;
    const std::vector<Member*> origins = in_hash_order(h.lk.object, Role::origin);
    Member* origin = origins.empty() ? nullptr : origins.front();
    if (k.uncacheable && origin) {
        h.plan.source = origin->id;
        return Pass::on;
    }
    const double work = work_of(h);
    const std::vector<Member*> parents = in_hash_order(h.lk.object, Role::parent);
    const auto may = [&](const Member* m) { return may_take(*m, h); };
    const auto home = std::find_if(parents.begin(), parents.end(), may);
    // Where room or a budget is short a look comes first, but at a cold cache: then only true fills are
    // charged.
    const bool budgeted = home == parents.end() || (*home)->cold_since;
    const bool jam = fills_jammed(work);
    const Member& cache = members_[h.plan.cache];
    if ((jam || ((budgeted || loses(cache)) && !cache.cold_since)) && !h.missed) {
        held_only(h, true);
        h.looking = true;
        return Pass::on;
    }
    const auto able =
        std::find_if(home, parents.end(), [&](Member* m) { return may(m) && has_budget(*m, work); });
    Member* pick = able == parents.end() ? nullptr : *able;
    const bool top = !parents.empty() && pick == parents.front();
    if (!top) h.stale_will_do = true;
    // The origin takes what parents can't in time, within its budget and while its own fills are in time.
    const bool full =
        jam && (late_ + fills_out_) * gateways_here_ >= fill_room * pipe_here() * cheapness(work);
    if ((full || (pick && chance() > pick->fills.share(now))) && origin && parent_machine_ &&
        chance() < origin->fills.share(now) * fetches_.share(now) && has_budget(*origin, work)) {
        h.plan.source = origin->id;
        return Pass::on;
    }
    if (full) return give_up(h);
    // The origin serves only while no parent is up, or none has budget left after a cold start.
    if (!pick && origin && !among(h.shunned, origin->id) && (!parent_machine_ || has_budget(*origin, work)))
        pick = origin;
    if (!pick) {
        held_only(h, true);
        return Pass::on;
    }
    h.plan.source = pick->id;
    if (pick->marked) pick->on_trial = h.trial_source = true;
    if (fetches_.share(now) < 1 && chance() > fetches_.share(now)) held_only(h, pick->role == Role::origin);
    return Pass::on;
}

Pass Router::Core::source_up(Held& h, SendRecord& s, const AttemptResult& a) {
    if (s.source == s.cache) return Pass::on;
    Member& m = members_[s.source];
    if (a.cache_status == CacheStatus::via_origin)
        fetches_.tell(a.fill_wait > longest_budget_, now);
    else if (a.cache_status == CacheStatus::origin_failed ||
             (source_at_fault(a.cache_status) && m.role == Role::origin))
        fetches_.tell(true, now);
    const bool hit = a.cache_status == CacheStatus::hit || a.cache_status == CacheStatus::stale ||
                     a.cache_status == CacheStatus::coalesced;
    if (parent_machine_ && !hit) {
        // What the origin behind a parent took is not the parent's doing.
        const Duration own = m.role == Role::parent && a.cache_status == CacheStatus::via_origin
                                 ? a.elapsed - a.fill_wait
                                 : a.elapsed;
        if (a.outcome == Outcome::completed)
            m.fills.tell(own > in_time(h, s.work), now);
        else if (a.cache_status != CacheStatus::origin_failed && a.outcome != Outcome::cache_miss)
            m.fills.tell(fetches_.share(now) >= 1, now);
    }
    if (a.cache_status == CacheStatus::via_origin && parent_machine_) {
        const double wait = a.fill_wait.seconds();
        for (Member* o : in_hash_order(h.lk.object, Role::origin))
            if (wait > fetch_usual_ * fetch_unusual && fetch_usual_ > 0) o->fills.tell(true, now);
        fetch_usual_ += (wait - fetch_usual_) / (fetch_usual_ > 0 ? gap_memory * gap_memory : 1);
    }
    // Where notes are not told, a trial that completes is the only sign there is.
    const bool told = a.cache_status != CacheStatus::none || s.trial_source;
    if (a.outcome == Outcome::completed && !hit && told) {
        sign_of_life(m);
        error_seen(m, false);
        if (m.marked) unmark(m);
    } else if (a.cache_status == CacheStatus::source_refused) {
        sign_of_life(m);
        error_seen(m, true);
        h.shunned.push_back(s.source);
    } else if (a.cache_status == CacheStatus::source_unreachable) {
        // Turned away with the source not reached: no connection to it. But a slow origin or a full link lets
        // the fills of all parents run out of time: then none is marked.
        if (a.outcome == Outcome::overloaded)
            mark(m);
        else if (a.fill_wait < longest_budget_)
            error_seen(m, true);  // it broke off; nothing ran out of time
        else if (s.trial_source || (m.heard <= s.at && peers_speak(m)))
            mark(m);
        h.shunned.push_back(s.source);
    } else if (a.cache_status == CacheStatus::origin_failed) {
        sign_of_life(m);
        h.shunned.push_back(s.source);
    }
    if (s.trial_source) m.on_trial = false;
    return Pass::on;
}

// --- dispatch -------------------------------------------------------------------------------------------
Pass Router::Core::dispatch_down(Held& h) {
    SendRecord s;
    s.cache = h.plan.cache;
    s.source = h.plan.source;
    s.at = s.weighed = now;
    s.trial_edge = h.trial_edge;
    s.trial_source = h.trial_source;
    s.work = work_of(h);
    s.missed = h.missed && s.source != s.cache;
    fills_out_ += s.missed;
    Member& cache = members_[s.cache];
    s.cell = cache.cell;
    const auto known = seen_.find(h.lk.object);
    if (h.looking && known != seen_.end() && known->second > 0 && loses(cache))
        h.plan.timeout = Duration::seconds(s.work * lost_work * std::max(1.0, crowd(cache))) +
                         kinds_[h.lk.kind.raw()].kind.latency_objective * lost_budget;
    if (cache.out++ == 0) cache.busy_since = now;
    if (s.source != s.cache) {
        Member& source = members_[s.source];
        if (source.out++ == 0) source.busy_since = now;
        charge(source, s.work);
    }
    if (cache.role != Role::origin) charge(cache, s.work);
    if (!kinds_[h.lk.kind.raw()].kind.uncacheable) {
        s.late_after = now + in_time(h, s.work);
        late_sends_.insert({*s.late_after, h.lk.id, h.sends.size()});
    }
    h.sends.push_back(s);
    if (cache.role == Role::origin)
        port.start_direct_attempt(h.lk.id, s.cache, Duration{});
    else
        port.start_attempt(h.lk.id, h.plan);
    if (!watching_) {
        watching_ = true;
        port.set_timer(watch_alarm, now + watch_every_);
    }
    return Pass::on;
}

Pass Router::Core::dispatch_up(Held& h, SendRecord& s, const AttemptResult& a) {
    s.out = false;
    if (s.late_after)
        late_sends_.erase({*s.late_after, h.lk.id, static_cast<std::size_t>(&s - h.sends.data())});
    Member& cache = members_[s.cache];
    // A late answer takes back what its lateness was counted for.
    if (a.outcome == Outcome::completed || a.outcome == Outcome::cache_miss || a.outcome == Outcome::errored)
        cache.lost =
            std::max(0.0, cache.lost - (cache.lost + (s.late && s.source == s.cache ? 1 : 0)) / gap_memory);
    else if (a.outcome == Outcome::deadline_exceeded && !(s.late && s.source == s.cache) &&
             cache.heard > s.at)
        lost_seen(cache);
    not_late(s);
    fills_out_ -= s.missed;
    --cache.out;
    if (s.source != s.cache) --members_[s.source].out;
    KindFigures& k = kinds_[h.lk.kind.raw()];
    if (!k.kind.uncacheable) mean_work_ += (s.work - mean_work_) / (gap_memory * gap_memory);
    const bool sized = h.lk.size_kb > 0 && flow_ > 0;
    const auto seen = seen_.find(h.lk.object);
    const double work = sized ? s.work : seen != seen_.end() ? seen->second : 0;
    if (a.outcome == Outcome::completed && a.cache_status == CacheStatus::hit && work > 0)
        pace_seen(cache, 1 + std::max(0.0, a.elapsed.seconds() - work) / std::max(work, mean_work_));
    if (a.outcome == Outcome::completed &&
        (a.cache_status == CacheStatus::hit || a.cache_status == CacheStatus::filled)) {
        double& least = seen_[h.lk.object];
        least = least > 0 ? std::min(least, a.elapsed.seconds()) : a.elapsed.seconds();
    }
    if (a.outcome == Outcome::completed && (sized || a.cache_status == CacheStatus::hit))
        k.mean_work += ((sized ? s.work : a.elapsed.seconds()) - k.mean_work) / (gap_memory * gap_memory);
    return Pass::on;
}

const std::array<Router::Core::Stage, 6> Router::Core::chain = {{
    {&Core::limits_down, &Core::limits_up},
    {&Core::effects_down, &Core::effects_up},
    {&Core::freshness_down, &Core::freshness_up},
    {&Core::edge_down, &Core::edge_up},
    {&Core::source_down, &Core::source_up},
    {&Core::dispatch_down, &Core::dispatch_up},
}};

void Router::Core::run_down(Held& h) {
    for (const Stage& stage : chain)
        if ((this->*stage.down)(h) == Pass::ended) return;
}

// --- what happens ----------------------------------------------------------------------------------------
bool Router::Core::seen_again(const ObjectName& object) {
    if (now - generation_since_ > generation_) {
        seen_before_ = std::exchange(seen_, {});
        generation_since_ = now;
    }
    const auto before = seen_before_.find(object);
    const bool known = before != seen_before_.end();
    return !seen_.try_emplace(object, known ? before->second : 0).second || known;
}

void Router::Core::lookup(const Request& lk) {
    const auto [held, fresh] = held_.try_emplace(lk.id);
    if (!fresh) return;  // a host that gives an identity twice
    Held& h = held->second;
    h.lk = lk;
    h.lk.deadline = std::min(lk.deadline, leave_by_.value_or(lk.deadline));
    h.repeated = seen_again(lk.object);
    run_down(h);
    drop_if_over(lk.id);
}

void Router::Core::answer(const AttemptResult& a) {
    const auto it = held_.find(a.request);
    if (it == held_.end() || a.attempt.raw() >= it->second.sends.size()) return;
    Held& h = it->second;
    SendRecord& s = h.sends[a.attempt.raw()];
    if (!s.out) return;
    for (auto stage = chain.rbegin(); stage != chain.rend(); ++stage)
        if ((this->*stage->up)(h, s, a) == Pass::ended) return drop_if_over(a.request);
    run_down(h);
    drop_if_over(a.request);
}

void Router::Core::client_gone(const RequestId& id) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    it->second.done = true;
    drop_if_over(id);
}

// The process ends by then, whatever its clients would wait for: nobody finds their lookups unanswered.
void Router::Core::leaving(TimePoint by) {
    leave_by_ = by;
    for (auto& [id, h] : held_) h.lk.deadline = std::min(h.lk.deadline, by);
}

void Router::Core::not_late(SendRecord& s) {
    if (std::exchange(s.late, false)) --members_[s.cache].late;
}

void Router::Core::drop_if_over(const RequestId& id) {
    const auto it = held_.find(id);
    if (it == held_.end() || !it->second.done) return;
    bool out = false;
    for (SendRecord& s : it->second.sends) {
        not_late(s);
        out = out || s.out;
    }
    if (!out) held_.erase(it);
}

void Router::Core::purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object) {
    purges_.add(now - age, group, object, now);
}

// Looks for members whose silence is unusual, marks them, and takes back what waits for them.
void Router::Core::watch() {
    watching_ = false;
    while (!late_sends_.empty() && late_sends_.begin()->after < now) {
        const LateSend late = *late_sends_.begin();
        late_sends_.erase(late_sends_.begin());
        Held& h = held_.at(late.lookup);
        if (h.done) continue;
        SendRecord& s = h.sends[late.send];
        s.late = true;
        Member& cache = members_[s.cache];
        ++cache.late;
        if (cache.heard > s.at && s.source == s.cache) lost_seen(cache);
        if (s.source != s.cache && !loses(cache))
            members_[s.source].fills.tell(fetches_.share(now) >= 1, now);
    }
    // A cache that says nothing meanwhile is no sign of jammed fills: its silence is judged below.
    late_ = 0;
    for (const Member* m : edges_) late_ += now - m->heard < longest_budget_ && !loses(*m) ? m->late : 0;
    for (Role role : {Role::edge, Role::parent})
        for (Member* m : in_service(role))
            if (!m->marked && silent(*m) && peers_speak(*m)) give_back(*m);
    if (!held_.empty()) {
        watching_ = true;
        port.set_timer(watch_alarm, now + watch_every_);
    }
}

// Marks a member and takes back what waits for it, where it may be sent again.
void Router::Core::give_back(Member& m) {
    mark(m);
    for (auto& [lookup_id, h] : held_) {
        if (h.done || kinds_[h.lk.kind.raw()].kind.effect == Effect::non_idempotent) continue;
        for (std::size_t n = 0; n < h.sends.size(); ++n) {
            SendRecord& s = h.sends[n];
            if (!s.out || s.recalled || (s.cache != m.id && s.source != m.id) || !permits_.cancellation)
                continue;
            s.recalled = true;
            h.shunned.push_back(m.id);
            port.cancel_attempt(lookup_id, AttemptIndex{n});
        }
    }
}

// --- the interface -----------------------------------------------------------------------------------------
Router::Router(RouterCallbacks& port, const Deployment& d, std::uint64_t seed, TimePoint now)
    : core_(std::make_unique<Core>(port, d, seed, now)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

void Router::on_endpoint_updates(TimePoint now, const std::vector<EndpointUpdate>& l, bool all) {
    core_->at(now).list(l, all);
}
void Router::on_endpoint_updates_lost(TimePoint now) { core_->at(now).list_lost(); }
void Router::on_request(TimePoint now, const Request& lk) { core_->at(now).lookup(lk); }
void Router::on_attempt_result(TimePoint now, const AttemptResult& a) { core_->at(now).answer(a); }
void Router::on_client_closed(TimePoint now, const RequestId& id) { core_->at(now).client_gone(id); }
void Router::on_purge(TimePoint now, Duration age, PurgeGroupId group,
                      const std::optional<ObjectName>& object) {
    core_->at(now).purge(age, group, object);
}
void Router::postpone_recovery_probe(TimePoint now, const CacheId& c, TimePoint at) {
    core_->at(now).trial_from(c, at);
}
bool Router::may_begin_attempt(TimePoint now, const RequestId& id, AttemptIndex n) {
    return core_->at(now).may_begin(id, n);
}
void Router::on_drain(TimePoint now, TimePoint by) { core_->at(now).leaving(by); }
void Router::on_timer(TimePoint now, TimerId n) {
    if (n == list_alarm) return core_->at(now).port.subscribe_to_endpoints();
    core_->at(now).watch();
}

}  // namespace irismux
