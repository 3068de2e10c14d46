// What the tests share: a deployment, a port that records, and a checker of the five rules.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "irismux/router.hpp"

namespace irismux::testing {

inline const LocationId here{"here"};
inline const MachineType edge_machine{"edge"}, parent_machine{"parent"}, origin_machine{"origin"};

inline ObjectKind kind_of(Effect effect) {
    ObjectKind k;
    k.effect = effect;
    k.uncacheable = effect != Effect::idempotent;
    k.latency_objective = Duration::seconds(0.4);
    k.deadline = Duration::seconds(5);
    k.dedup_window = Duration::seconds(2);
    return k;
}

inline Deployment deployment() {
    Deployment d;
    d.gateways = 4;
    d.gateways_in_location = 2;
    d.locations = 2;
    d.location = here;
    d.kinds = {kind_of(Effect::idempotent), kind_of(Effect::non_idempotent), kind_of(Effect::deduplicated)};
    d.parent_machine = parent_machine;
    d.origin_machine = origin_machine;
    d.capabilities.cancellation = d.capabilities.retry_after = d.capabilities.coalescing = true;
    d.capabilities.cache_status = CacheStatusReporting::all;
    d.capabilities.max_attempts = 6;
    d.capabilities.max_retry_after = Duration::seconds(0.5);
    d.weights_known = true;
    d.edge_slow_start = {0.2, Duration::seconds(15), 2};
    d.parent_slow_start = {0.06, Duration::seconds(20), 2};
    d.overload_window = Duration::seconds(2);
    d.drain_grace_period = Duration::seconds(0.25);
    d.purge_grace_period = Duration::seconds(0.3);
    d.purge_retention = Duration::seconds(6);
    d.timer_resolution = Duration::seconds(0.002);
    d.transfer_rate_kb_per_s = 5000;
    return d;
}

inline EndpointUpdate listing(const std::string& id, const MachineType& machine, double weight = 6) {
    EndpointUpdate l;
    l.cache = CacheId{id};
    l.location = machine == edge_machine ? here : LocationId{"hub"};
    l.machine_type = machine;
    l.weight = weight;
    return l;
}

inline std::vector<EndpointUpdate> usual_list() {
    std::vector<EndpointUpdate> all = {listing("e1", edge_machine),       listing("e2", edge_machine),
                                       listing("e3", edge_machine),       listing("p1", parent_machine, 30),
                                       listing("p2", parent_machine, 30), listing("o", origin_machine)};
    all[2].cell = CellId{1};
    return all;
}

// The identity that a test's name for a lookup stands for.
inline RequestId lookup_named(const std::string& name) {
    static std::map<std::string, std::uint64_t> known;
    return RequestId{known.try_emplace(name, known.size() + 1).first->second};
}

struct SendSeen {
    RequestId id;
    AttemptIndex n;
    AttemptPlan fill;
    TimePoint at;
    bool out = true;
};

// Records what leaves the Router and checks each rule as it does.
class RecordingPort final : public RouterCallbacks {
public:
    explicit RecordingPort(Deployment d) : told(std::move(d)) {}

    Deployment told;
    TimePoint now;
    std::vector<SendSeen> sends;
    std::map<RequestId, Request> open;  // owed an answer
    std::map<RequestId, std::vector<std::size_t>> of;
    std::map<RequestId, std::vector<std::pair<std::size_t, Outcome>>> outcomes;
    std::map<CacheId, TimePoint> left;  // told to drain or gone, since
    std::map<CacheId, TimePoint> cold;  // told to have started at
    std::map<CacheId, double> weight;
    std::map<CacheId, CellId> cell;
    std::map<CacheId, std::vector<std::pair<TimePoint, double>>> asked;  // sending time asked of a cold one
    std::map<ObjectName, TimePoint> purged;                              // when it was purged
    std::set<CacheId> parents;
    std::vector<std::string> broken;
    std::vector<std::pair<TimerId, TimePoint>> alarms;
    std::vector<RequestId> nacked, failed;
    std::vector<std::pair<RequestId, AttemptIndex>> cancelled;
    std::vector<std::pair<CacheId, bool>> marks;

    void on_ejection_changed(const CacheId& cache, bool is) override { marks.emplace_back(cache, is); }

    void start_direct_attempt(const RequestId& id, const CacheId& cache, Duration time_out) override {
        AttemptPlan f;
        f.cache = f.source = cache;
        f.timeout = time_out;
        went(id, f, false);
    }
    void start_attempt(const RequestId& id, const AttemptPlan& f) override { went(id, f, true); }
    void cancel_attempt(const RequestId& id, AttemptIndex n) override {
        if (n.raw() >= of[id].size()) broken.push_back("cancels a send never made");
        cancelled.emplace_back(id, n);
    }
    void reject(const RequestId& id, Duration) override {
        const auto it = open.find(id);
        if (it == open.end()) return (void)broken.push_back("1: a second answer");
        const ObjectKind& k = told.kinds[it->second.kind.raw()];
        if (k.effect == Effect::non_idempotent && may_have_run(id)) broken.push_back("2: nack after a run");
        if (k.effect == Effect::deduplicated && k.dedup_scope != DedupScope::all && may_have_run(id))
            broken.push_back("2: nack of a deduplicated lookup that may have run");
        nacked.push_back(id);
        open.erase(it);
    }
    void fail(const RequestId& id) override {
        if (open.erase(id) == 0) broken.push_back("1: a second answer");
        failed.push_back(id);
    }
    void set_timer(TimerId n, TimePoint at) override { alarms.emplace_back(n, at); }
    void subscribe_to_endpoints() override {}

    bool may_have_run(const RequestId& id) const { return !runs(id).empty(); }

    // The sends of a lookup that may have run, those still out among them.
    std::vector<std::size_t> runs(const RequestId& id) const {
        std::vector<std::size_t> r;
        const auto it = of.find(id);
        if (it == of.end()) return r;
        for (const std::size_t s : it->second)
            if (sends[s].out || ran.contains(s)) r.push_back(s);
        return r;
    }

    void came_back(std::size_t s, Outcome o) {
        sends[s].out = false;
        if (o != Outcome::overloaded && o != Outcome::connection_refused && o != Outcome::superseded &&
            o != Outcome::cache_miss)
            ran.insert(s);
    }

private:
    std::set<std::size_t> ran;

    static bool at_hub(const CacheId& c) { return c.raw()[0] != 'e'; }

    void went(const RequestId& id, const AttemptPlan& f, bool by_age) {
        const auto it = open.find(id);
        if (it == open.end()) return (void)broken.push_back("1: a send after the answer");
        const ObjectKind& k = told.kinds[it->second.kind.raw()];
        const std::vector<std::size_t> before = runs(id);
        if (k.effect == Effect::non_idempotent && !before.empty()) broken.push_back("2: re-sent after a run");
        for (const std::size_t s : before) {
            if (sends[s].out && !told.capabilities.hedged_requests) broken.push_back("2: two copies out");
            if (k.effect == Effect::deduplicated && now > sends[s].at + k.dedup_window)
                broken.push_back("2: re-sent past the window");
            if (k.effect == Effect::deduplicated && k.dedup_scope == DedupScope::cell &&
                cell[sends[s].fill.cache] != cell[f.cache])
                broken.push_back("2: re-sent outside the cell");
            if (k.effect == Effect::deduplicated && k.dedup_scope == DedupScope::location &&
                at_hub(sends[s].fill.cache) != at_hub(f.cache))
                broken.push_back("2: re-sent outside the location");
        }
        if (static_cast<int>(of[id].size()) >= told.capabilities.max_attempts)
            broken.push_back("too many sends");
        for (const CacheId& c : {f.cache, f.source})
            if (const auto l = left.find(c); l != left.end() && now - l->second > told.drain_grace_period)
                broken.push_back("3: sent to one that drains");
        if (const auto p = purged.find(it->second.object);
            by_age && !k.uncacheable && p != purged.end() && now - p->second < told.purge_retention) {
            const Duration hair = Duration::micros(1);
            const bool fresh_enough = f.max_age > Duration{} && now - f.max_age + hair >= p->second;
            if (!fresh_enough) broken.push_back("5: an older copy would do");
        }
        pressed(f.cache, it->second);
        if (f.source != f.cache && parents.contains(f.source)) pressed(f.source, it->second);
        of[id].push_back(sends.size());
        sends.push_back({id, AttemptIndex{of[id].size() - 1}, f, now});
    }

    // Rule 4 with every gateway sending its even share: what this one asks, times the gateways that share.
    // It binds from when a start is told until the longest warm-up is over, and counts what went to that
    // process before it was told, too. What went to the process before it is no load of the new one.
    void pressed(const CacheId& cache, const Request& lk) {
        const double work = lk.size_kb / told.transfer_rate_kb_per_s;
        auto& list = asked[cache];
        std::erase_if(list, [&](const auto& a) { return now - a.first > told.overload_window; });
        list.emplace_back(now, work);
        const auto c = cold.find(cache);
        const bool parent = parents.contains(cache);
        const SlowStart& start = parent ? told.parent_slow_start : told.edge_slow_start;
        if (c == cold.end() || now - c->second >= start.window) return;
        double sum = 0, largest = 0;
        for (const auto& [at, w] : list) {
            if (at < c->second) continue;
            sum += w;
            largest = std::max(largest, w);
        }
        const double present =
            start.initial_capacity_share +
            (1 - start.initial_capacity_share) * std::max(0.0, (now - c->second) / start.window);
        const double window = told.overload_window.seconds();
        const int gateways = parent ? told.gateways : told.gateways_in_location;
        // A budget can't be split finer than a lookup: this one and the largest before it are the slack.
        if (sum * gateways >
            start.overload_multiple * present * weight[cache] * window + (work + largest) * gateways)
            broken.push_back("4: a cold one is pushed over: " + cache.raw());
    }
};

inline Request arrival(const std::string& id, const std::string& object, TimePoint expires,
                       std::size_t kind = 0) {
    Request a;
    a.id = lookup_named(id);
    a.kind = ObjectKindIndex{kind};
    a.object = ObjectName{object};
    a.deadline = expires;
    a.size_kb = 500;
    return a;
}

// A Router with its port, and the time that passes for both.
class Bench {
public:
    explicit Bench(const Deployment& d = deployment(), std::uint64_t seed = 7,
                   const std::vector<EndpointUpdate>& first = usual_list())
        : port(d), router(port, d, seed, now) {
        for (const EndpointUpdate& l : first) {
            port.cell[l.cache] = l.cell;
            if (l.machine_type == parent_machine) port.parents.insert(l.cache);
        }
        list(first, true);
    }

    TimePoint now = TimePoint::at_seconds(100);
    RecordingPort port;
    Router router;

    void list(const std::vector<EndpointUpdate>& lines, bool complete = false) {
        for (const EndpointUpdate& l : lines) {
            if (l.status != EndpointStatus::active) {
                port.left.try_emplace(l.cache, now);
                continue;
            }
            port.left.erase(l.cache);
            port.weight[l.cache] = l.weight;
            if (l.started_at > TimePoint{}) port.cold[l.cache] = l.started_at;
        }
        at();
        router.on_endpoint_updates(now, lines, complete);
    }
    const SendSeen* lookup(const Request& a) {
        at();
        port.open[a.id] = a;
        const std::size_t before = port.sends.size();
        router.on_request(now, a);
        return port.sends.size() > before ? &port.sends.back() : nullptr;
    }
    void answer(std::size_t s, Outcome o, CacheStatus note = CacheStatus::none, bool last = false) {
        at();
        const SendSeen seen = port.sends[s];
        if (!seen.out) return;
        port.came_back(s, o);
        AttemptResult a;
        a.request = seen.id;
        a.attempt = seen.n;
        a.cache = seen.fill.cache;
        a.outcome = o;
        a.cache_status = note;
        a.elapsed = a.fill_wait = now - seen.at;
        a.request_finished = last || o == Outcome::completed || !port.open.contains(seen.id);
        if (a.request_finished) port.open.erase(seen.id);
        router.on_attempt_result(now, a);
    }
    void pass(Duration s) {
        now = now + s;
        at();
        std::vector<std::pair<TimerId, TimePoint>> due;
        std::swap(due, port.alarms);
        for (const auto& [n, when] : due) {
            if (when <= now)
                router.on_timer(now, n);
            else
                port.alarms.emplace_back(n, when);
        }
    }

private:
    void at() { port.now = now; }
};

}  // namespace irismux::testing
