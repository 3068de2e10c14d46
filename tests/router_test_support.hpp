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
inline const MachineId edge_machine{"edge"}, parent_machine{"parent"}, origin_machine{"origin"};

inline ObjectKind kind_of(Effect effect) {
    ObjectKind k;
    k.effect = effect;
    k.uncacheable = effect != Effect::idempotent;
    k.budget = Span::seconds(0.4);
    k.deadline = Span::seconds(5);
    k.window = Span::seconds(2);
    return k;
}

inline Deployment deployment() {
    Deployment d;
    d.gateways = 4;
    d.gateways_here = 2;
    d.locations = 2;
    d.location = here;
    d.kinds = {kind_of(Effect::idempotent), kind_of(Effect::side_effecting), kind_of(Effect::deduplicated)};
    d.parent_machine = parent_machine;
    d.origin_machine = origin_machine;
    d.permits.cancel = d.permits.retry_after = d.permits.joins = true;
    d.permits.notes = Notes::all;
    d.permits.sends = 6;
    d.permits.longest_retry_after = Span::seconds(0.5);
    d.weights_told = true;
    d.cold_edge = {0.2, Span::seconds(15), 2};
    d.cold_parent = {0.06, Span::seconds(20), 2};
    d.fall_window = Span::seconds(2);
    d.drain_grace = Span::seconds(0.25);
    d.purge_grace = Span::seconds(0.3);
    d.purge_done = Span::seconds(6);
    d.tick = Span::seconds(0.002);
    d.flow_kb_per_s = 5000;
    return d;
}

inline Listing listing(const std::string& id, const MachineId& machine, double weight = 6) {
    Listing l;
    l.cache = CacheId{id};
    l.location = machine == edge_machine ? here : LocationId{"hub"};
    l.machine = machine;
    l.weight = weight;
    return l;
}

inline std::vector<Listing> usual_list() {
    std::vector<Listing> all = {listing("e1", edge_machine),       listing("e2", edge_machine),
                                listing("e3", edge_machine),       listing("p1", parent_machine, 30),
                                listing("p2", parent_machine, 30), listing("o", origin_machine)};
    all[2].cell = CellNo{1};
    return all;
}

// The identity that a test's name for a lookup stands for.
inline LookupId lookup_named(const std::string& name) {
    static std::map<std::string, std::uint64_t> known;
    return LookupId{known.try_emplace(name, known.size() + 1).first->second};
}

struct SendSeen {
    LookupId id;
    SendNo n;
    Fill fill;
    Instant at;
    bool out = true;
};

// Records what leaves the Router and checks each rule as it does.
class RecordingPort final : public Port {
public:
    explicit RecordingPort(Deployment d) : told(std::move(d)) {}

    Deployment told;
    Instant now;
    std::vector<SendSeen> sends;
    std::map<LookupId, Arrival> open;  // owed an answer
    std::map<LookupId, std::vector<std::size_t>> of;
    std::map<LookupId, std::vector<std::pair<std::size_t, Outcome>>> outcomes;
    std::map<CacheId, Instant> left;  // told to drain or gone, since
    std::map<CacheId, Instant> cold;  // told to have started at
    std::map<CacheId, double> weight;
    std::map<CacheId, CellNo> cell;
    std::map<CacheId, std::vector<std::pair<Instant, double>>> asked;  // sending time asked of a cold one
    std::map<ObjectName, Instant> purged;                              // when it was purged
    std::set<CacheId> parents;
    std::vector<std::string> broken;
    std::vector<std::pair<AlarmNo, Instant>> alarms;
    std::vector<LookupId> nacked, failed;
    std::vector<std::pair<LookupId, SendNo>> cancelled;
    std::vector<std::pair<CacheId, bool>> marks;

    void marked(const CacheId& cache, bool is) override { marks.emplace_back(cache, is); }

    void send(const LookupId& id, const CacheId& cache, Span time_out) override {
        Fill f;
        f.cache = f.source = cache;
        f.time_out = time_out;
        went(id, f, false);
    }
    void fill(const LookupId& id, const Fill& f) override { went(id, f, true); }
    void cancel(const LookupId& id, SendNo n) override {
        if (n.raw() >= of[id].size()) broken.push_back("cancels a send never made");
        cancelled.emplace_back(id, n);
    }
    void nack(const LookupId& id, Span) override {
        const auto it = open.find(id);
        if (it == open.end()) return (void)broken.push_back("1: a second answer");
        const ObjectKind& k = told.kinds[it->second.kind.raw()];
        if (k.effect == Effect::side_effecting && may_have_run(id)) broken.push_back("2: nack after a run");
        if (k.effect == Effect::deduplicated && k.group != DedupGroup::all && may_have_run(id))
            broken.push_back("2: nack of a deduplicated lookup that may have run");
        nacked.push_back(id);
        open.erase(it);
    }
    void fail(const LookupId& id) override {
        if (open.erase(id) == 0) broken.push_back("1: a second answer");
        failed.push_back(id);
    }
    void probe(const CacheId&) override {
        if (!told.permits.probes) broken.push_back("probes where it may not");
    }
    void alarm(AlarmNo n, Instant at) override { alarms.emplace_back(n, at); }
    void watch_list() override {}
    void note_down(std::string_view) override {}

    bool may_have_run(const LookupId& id) const { return !runs(id).empty(); }

    // The sends of a lookup that may have run, those still out among them.
    std::vector<std::size_t> runs(const LookupId& id) const {
        std::vector<std::size_t> r;
        const auto it = of.find(id);
        if (it == of.end()) return r;
        for (const std::size_t s : it->second)
            if (sends[s].out || ran.contains(s)) r.push_back(s);
        return r;
    }

    void came_back(std::size_t s, Outcome o) {
        sends[s].out = false;
        if (o != Outcome::saturated && o != Outcome::refused_conn && o != Outcome::superseded &&
            o != Outcome::lookup_miss)
            ran.insert(s);
    }

private:
    std::set<std::size_t> ran;

    static bool at_hub(const CacheId& c) { return c.raw()[0] != 'e'; }

    void went(const LookupId& id, const Fill& f, bool by_age) {
        const auto it = open.find(id);
        if (it == open.end()) return (void)broken.push_back("1: a send after the answer");
        const ObjectKind& k = told.kinds[it->second.kind.raw()];
        const std::vector<std::size_t> before = runs(id);
        if (k.effect == Effect::side_effecting && !before.empty()) broken.push_back("2: re-sent after a run");
        for (const std::size_t s : before) {
            if (sends[s].out && !told.permits.second_copies) broken.push_back("2: two copies out");
            if (k.effect == Effect::deduplicated && now > sends[s].at + k.window)
                broken.push_back("2: re-sent past the window");
            if (k.effect == Effect::deduplicated && k.group == DedupGroup::cell &&
                cell[sends[s].fill.cache] != cell[f.cache])
                broken.push_back("2: re-sent outside the cell");
            if (k.effect == Effect::deduplicated && k.group == DedupGroup::location &&
                at_hub(sends[s].fill.cache) != at_hub(f.cache))
                broken.push_back("2: re-sent outside the location");
        }
        if (static_cast<int>(of[id].size()) >= told.permits.sends) broken.push_back("too many sends");
        for (const CacheId& c : {f.cache, f.source})
            if (const auto l = left.find(c); l != left.end() && now - l->second > told.drain_grace)
                broken.push_back("3: sent to one that drains");
        if (const auto p = purged.find(it->second.object);
            by_age && !k.uncacheable && p != purged.end() && now - p->second < told.purge_done) {
            const Span hair = Span::micros(1);
            const bool fresh_enough = f.oldest > Span{} && now - f.oldest + hair >= p->second;
            if (!fresh_enough) broken.push_back("5: an older copy would do");
        }
        pressed(f.cache, it->second);
        if (f.source != f.cache && parents.contains(f.source)) pressed(f.source, it->second);
        of[id].push_back(sends.size());
        sends.push_back({id, SendNo{of[id].size() - 1}, f, now});
    }

    // Rule 4 with every gateway sending its even share: what this one asks, times the gateways that share.
    // It binds from when a start is told until the longest warm-up is over, and counts what went to that
    // process before it was told, too. What went to the process before it is no load of the new one.
    void pressed(const CacheId& cache, const Arrival& lk) {
        const double work = lk.kbytes / told.flow_kb_per_s;
        auto& list = asked[cache];
        std::erase_if(list, [&](const auto& a) { return now - a.first > told.fall_window; });
        list.emplace_back(now, work);
        const auto c = cold.find(cache);
        const bool parent = parents.contains(cache);
        const ColdStart& start = parent ? told.cold_parent : told.cold_edge;
        if (c == cold.end() || now - c->second >= start.warm_after) return;
        double sum = 0, largest = 0;
        for (const auto& [at, w] : list) {
            if (at < c->second) continue;
            sum += w;
            largest = std::max(largest, w);
        }
        const double present =
            start.floor + (1 - start.floor) * std::max(0.0, (now - c->second) / start.warm_after);
        const double window = told.fall_window.seconds();
        const int gateways = parent ? told.gateways : told.gateways_here;
        // A budget can't be split finer than a lookup: this one and the largest before it are the slack.
        if (sum * gateways > start.multiple * present * weight[cache] * window + (work + largest) * gateways)
            broken.push_back("4: a cold one is pushed over: " + cache.raw());
    }
};

inline Arrival arrival(const std::string& id, const std::string& object, Instant expires,
                       std::size_t kind = 0) {
    Arrival a;
    a.id = lookup_named(id);
    a.kind = KindNo{kind};
    a.object = ObjectName{object};
    a.expires = expires;
    a.kbytes = 500;
    return a;
}

// A Router with its port, and the time that passes for both.
class Bench {
public:
    explicit Bench(const Deployment& d = deployment(), std::uint64_t seed = 7,
                   const std::vector<Listing>& first = usual_list())
        : port(d), router(port, d, seed, now) {
        for (const Listing& l : first) {
            port.cell[l.cache] = l.cell;
            if (l.machine == parent_machine) port.parents.insert(l.cache);
        }
        list(first, true);
    }

    Instant now = Instant::at_seconds(100);
    RecordingPort port;
    Router router;

    void list(const std::vector<Listing>& lines, bool complete = false) {
        for (const Listing& l : lines) {
            if (l.phase != Phase::in_service) {
                port.left.try_emplace(l.cache, now);
                continue;
            }
            port.left.erase(l.cache);
            port.weight[l.cache] = l.weight;
            if (l.started > Instant{}) port.cold[l.cache] = l.started;
        }
        at();
        router.on_list(now, lines, complete);
    }
    const SendSeen* lookup(const Arrival& a) {
        at();
        port.open[a.id] = a;
        const std::size_t before = port.sends.size();
        router.on_lookup(now, a);
        return port.sends.size() > before ? &port.sends.back() : nullptr;
    }
    void answer(std::size_t s, Outcome o, Note note = Note::none, bool last = false) {
        at();
        const SendSeen seen = port.sends[s];
        if (!seen.out) return;
        port.came_back(s, o);
        Answer a;
        a.id = seen.id;
        a.send = seen.n;
        a.cache = seen.fill.cache;
        a.outcome = o;
        a.note = note;
        a.took = a.fill_wait = now - seen.at;
        a.last = last || o == Outcome::completed || !port.open.contains(seen.id);
        if (a.last) port.open.erase(seen.id);
        router.on_answer(now, a);
    }
    void pass(Span s) {
        now = now + s;
        at();
        std::vector<std::pair<AlarmNo, Instant>> due;
        std::swap(due, port.alarms);
        for (const auto& [n, when] : due) {
            if (when <= now)
                router.on_alarm(now, n);
            else
                port.alarms.emplace_back(n, when);
        }
    }

private:
    void at() { port.now = now; }
};

}  // namespace irismux::testing
