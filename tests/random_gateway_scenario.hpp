// A gateway's life at random: settings, events and their order are drawn, and the rules checked at every
// step.
#pragma once

#include <rapidcheck.h>

#include "router_test_support.hpp"

namespace irismux::testing {

inline int draw(int low, int high) { return *rc::gen::inRange(low, high + 1); }
inline bool toss() { return draw(0, 1) == 1; }

inline Deployment drawn_deployment() {
    Deployment d = deployment();
    d.gateways_in_location = toss() ? draw(1, 3) : draw(4, 12);
    d.gateways = d.gateways_in_location + (toss() ? draw(0, 4) : draw(60, 150));
    d.locations = draw(1, 25);
    d.capabilities.cache_status = static_cast<CacheStatusReporting>(draw(0, 2));
    d.origin_stops_when_overloaded = toss();
    d.location_link_capacity_kb_per_s = toss() ? 0 : draw(5, 80) * 1000.0;
    d.total_link_capacity_kb_per_s = d.location_link_capacity_kb_per_s * d.locations;
    d.capabilities.cancellation = toss();
    d.capabilities.hedged_requests = toss();
    d.capabilities.direct_attempts = toss();
    d.capabilities.coalescing = toss();
    d.capabilities.retry_after = toss();
    d.capabilities.max_attempts = draw(1, 8);
    d.weights_known = true;
    d.edge_slow_start = {draw(10, 40) / 100.0, Duration::seconds(draw(5, 20)),
                         static_cast<double>(draw(2, 4))};
    d.parent_slow_start = {draw(5, 15) / 100.0, Duration::seconds(draw(10, 25)), 2};
    for (ObjectKind& k : d.kinds) {
        k.dedup_scope = static_cast<DedupScope>(draw(0, 2));
        k.dedup_window = Duration::seconds(draw(1, 5));
        k.uncacheable = k.effect == Effect::non_idempotent || (k.effect == Effect::deduplicated && toss());
        if (k.effect == Effect::idempotent && toss()) {
            k.fresh_for = Duration::seconds(draw(5, 20));
            k.stale_if_error_for = Duration::seconds(draw(0, 10));
        }
    }
    return d;
}

// What may break rule 4 is drawn more widely: shares, sizes and weights by ten, windows against deadlines.
inline Deployment widely_drawn_deployment() {
    Deployment d = drawn_deployment();
    d.gateways_in_location = draw(1, 8);
    d.gateways = d.gateways_in_location + (toss() ? draw(0, 8) : draw(60, 150));
    d.overload_window = Duration::seconds(draw(5, 40) / 10.0);
    d.edge_slow_start.overload_multiple = draw(20, 45) / 10.0;
    d.parent_slow_start.overload_multiple = draw(20, 30) / 10.0;
    d.capabilities.max_attempts = draw(3, 8);
    return d;
}

inline std::vector<EndpointUpdate> widely_drawn_list() {
    std::vector<EndpointUpdate> all = usual_endpoints();
    for (EndpointUpdate& l : all) l.weight = draw(1, 10) * (l.machine_type == parent_machine ? 5 : 1);
    return all;
}

// One gateway's life, from its start to its being killed.
class Life {
public:
    Life(const Deployment& d, std::uint64_t seed) : harness_(d, seed), list_(usual_endpoints()) {}
    Life(const Deployment& d, std::uint64_t seed, std::vector<EndpointUpdate> list)
        : harness_(d, seed, list), list_(std::move(list)), wide_(true) {}

    void step() {
        const int what = draw(0, 99);
        if (what < 40) {
            Request a = request_for("l" + std::to_string(made_++), "o" + std::to_string(draw(0, 12)),
                                    harness_.now + Duration::seconds(draw(1, 40) / 10.0),
                                    static_cast<std::size_t>(draw(0, 2)));
            a.purge_group = PurgeGroupId{draw(0, 2)};
            if (wide_) {
                a.deadline = harness_.now + (toss() ? Duration::seconds(draw(5, 50) / 100.0)
                                                    : Duration::seconds(draw(5, 30)));
                a.size_kb = toss() ? draw(20, 400) : draw(400, 4000);
            }
            harness_.request(a);
        } else if (what < 70) {
            answer_one();
        } else if (what < 85) {
            pass(Duration::seconds((wide_ && toss() ? draw(1, 1000) : draw(1, 300)) / 1000.0));
        } else if (what < 92) {
            wide_ ? change_starts() : change_list();
        } else if (what < 97) {
            const ObjectName object{"o" + std::to_string(draw(0, 12))};
            const Duration age = Duration::seconds(draw(0, 400) / 1000.0);
            harness_.callbacks.purged_at[object] = harness_.now - age;
            harness_.router.on_purge(harness_.now, age, PurgeGroupId{0}, object);
        } else if (!harness_.callbacks.unanswered.empty()) {
            const RequestId id = harness_.callbacks.unanswered.begin()->first;
            harness_.callbacks.unanswered.erase(id);
            harness_.router.on_client_closed(harness_.now, id);
        }
        check();
    }

private:
    RouterHarness harness_;
    int made_ = 0, waves_ = 0;
    bool ageing_ = toss();              // whether e1 answers only now and then, and late
    std::vector<EndpointUpdate> list_;  // as it is in truth
    bool wide_ = false;
    std::multimap<TimePoint, EndpointUpdate> untold_;  // starts that the list tells later
    std::map<CacheId, TimePoint> down_, died_;  // dead, and since when until when; refused with nothing out

    void answer_one() {
        std::vector<std::size_t> out;
        for (std::size_t s = 0; s < harness_.callbacks.attempts.size(); ++s)
            if (harness_.callbacks.attempts[s].in_flight) out.push_back(s);
        if (out.empty()) return;
        const std::size_t s = out[static_cast<std::size_t>(draw(0, static_cast<int>(out.size()) - 1))];
        if (ageing_ && harness_.callbacks.attempts[s].plan.cache == CacheId{"e1"} && draw(0, 4) > 0) return;
        const Outcome o = toss() ? Outcome::completed : static_cast<Outcome>(draw(0, 8));
        // Only a lookup that is over can be superseded, or overdue at its deadline.
        if (o == Outcome::superseded || o == Outcome::deadline_exceeded) return;
        const CacheStatus cache_status = static_cast<CacheStatus>(draw(0, 10));
        if (wide_) return answer_in_truth(s, o, cache_status);
        harness_.end_attempt(s, o, cache_status);
    }

    // What is down refuses. One that was refused with nothing else out is cold from its first answer on, told
    // or not.
    void answer_in_truth(std::size_t s, Outcome o, CacheStatus cache_status) {
        const CacheId cache = harness_.callbacks.attempts[s].plan.cache;
        if (const auto d = down_.find(cache); d != down_.end() && harness_.now < d->second)
            o = Outcome::connection_refused;
        if (o == Outcome::connection_refused) {
            harness_.callbacks.attempts[s].in_flight = false;
            const bool out =
                std::any_of(harness_.callbacks.attempts.begin(), harness_.callbacks.attempts.end(),
                            [&](const StartedAttempt& x) { return x.in_flight && x.plan.cache == cache; });
            harness_.callbacks.attempts[s].in_flight = true;
            if (!out) died_.try_emplace(cache, harness_.now);
        } else if (died_.contains(cache) && cache.raw()[0] == 'e' &&
                   (o == Outcome::completed || o == Outcome::cache_miss || o == Outcome::errored ||
                    (o == Outcome::overloaded && cache_status != CacheStatus::none))) {
            harness_.callbacks.started_at[cache] = harness_.now;
            died_.erase(cache);
        }
        harness_.end_attempt(s, o, cache_status);
    }

    void pass(Duration s) {
        harness_.advance(s);
        while (!untold_.empty() && untold_.begin()->first <= harness_.now) {
            tell(untold_.begin()->second);
            untold_.erase(untold_.begin());
        }
        for (std::size_t n = 0; n < harness_.callbacks.attempts.size(); ++n) {
            const auto it = harness_.callbacks.unanswered.find(harness_.callbacks.attempts[n].request);
            if (it == harness_.callbacks.unanswered.end() || it->second.deadline > harness_.now) continue;
            harness_.end_attempt(n, Outcome::deadline_exceeded);
        }
    }

    void change_list() {
        std::vector<EndpointUpdate> all = usual_endpoints();
        const int what = draw(0, 9);
        if (what == 0) {  // a rack restarts at once
            for (std::size_t e = 0; e < 2; ++e) all[e].started_at = harness_.now;
            return harness_.update_endpoints({all[0], all[1]});
        }
        EndpointUpdate l = all[static_cast<std::size_t>(draw(0, 4))];
        if (what <= 2) {  // a wave: one drains or is gone, and a machine of a new id takes its place
            l.status = toss() ? EndpointStatus::draining : EndpointStatus::removed;
            EndpointUpdate next =
                endpoint_update(l.cache.raw() + std::to_string(++waves_), l.machine_type, l.weight);
            next.started_at = harness_.now;
            if (l.machine_type == parent_machine) harness_.callbacks.parents.insert(next.cache);
            return harness_.update_endpoints({l, next});
        }
        l.status = static_cast<EndpointStatus>(draw(0, 2));
        if (l.status == EndpointStatus::active) l.started_at = harness_.now - Duration::seconds(draw(0, 3));
        harness_.update_endpoints({l});
    }

    void tell(const EndpointUpdate& l) {
        if (l.status == EndpointStatus::active) died_.erase(l.cache);
        harness_.update_endpoints({l});
    }

    // Starts: of one, of a whole location, in mid-warm-up; told at once, late, twice, under two dates or
    // never.
    void change_starts() {
        const int what = draw(0, 9);
        const std::size_t first = what <= 1 ? 0 : static_cast<std::size_t>(draw(0, 4));
        const std::size_t last = what <= 1 ? 2 : first;
        for (std::size_t n = first; n <= last; ++n) {
            EndpointUpdate& l = list_[n];
            if (what == 2) {  // only told to be larger or smaller
                l.weight = draw(1, 10) * (l.machine_type == parent_machine ? 5 : 1);
                tell(l);
                continue;
            }
            if (what == 3) {  // leaves, and comes back as it was
                EndpointUpdate gone = l;
                gone.status = toss() ? EndpointStatus::draining : EndpointStatus::removed;
                tell(gone);
                untold_.emplace(harness_.now + Duration::seconds(draw(0, 30) / 10.0), l);
                continue;
            }
            l.started_at = harness_.now + Duration::seconds(toss() ? 0 : draw(0, 20) / 10.0);
            down_[l.cache] = l.started_at;
            if (what == 4) continue;  // never told
            const TimePoint told = l.started_at + Duration::seconds(toss() ? 0 : draw(0, 80) / 10.0);
            untold_.emplace(told, l);
            if (toss()) untold_.emplace(told + Duration::seconds(draw(0, 40) / 10.0), l);
            if (draw(0, 3) > 0) continue;
            EndpointUpdate moved = l;
            moved.started_at = l.started_at + Duration::seconds(draw(0, 20) / 10.0);
            untold_.emplace(std::max(told, moved.started_at) + Duration::seconds(draw(0, 40) / 10.0), moved);
        }
    }

    void check() {
        std::size_t watches = 0;
        for (const auto& [n, at] : harness_.callbacks.timers) watches += n == TimerId{0};
        if (watches > 1) RC_FAIL("timers multiply");
        if (!harness_.callbacks.violations.empty()) RC_FAIL(harness_.callbacks.violations.front());
        for (const auto& [id, a] : harness_.callbacks.unanswered) {
            bool out = false;
            for (const std::size_t s : harness_.callbacks.attempts_of[id])
                out = out || harness_.callbacks.attempts[s].in_flight;
            if (!out) RC_FAIL("1: a lookup is held with nothing out: " + std::to_string(id.raw()));
            if (a.deadline <= harness_.now - harness_.callbacks.settings.timer_resolution * 2 && !out)
                RC_FAIL("1: past its deadline");
        }
    }
};

template <class Draw>
void lives(Draw one) {
    const auto birth = one();
    for (int life = 0; life < 2; ++life) {
        Life gateway = birth(static_cast<std::uint64_t>(draw(0, 1 << 20)));
        const int steps = draw(50, 400);
        for (int n = 0; n < steps; ++n) gateway.step();
    }
}

inline void narrow_lives() {
    lives([] { return [d = drawn_deployment()](std::uint64_t seed) { return Life(d, seed); }; });
}

inline void wide_lives() {
    lives([] {
        return [d = widely_drawn_deployment(), l = widely_drawn_list()](std::uint64_t seed) {
            return Life(d, seed, l);
        };
    });
}

}  // namespace irismux::testing
