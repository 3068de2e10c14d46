// A router with random settings, events and order of events. The five rules are checked at every step.
#pragma once

#include <rapidcheck.h>

#include "router_test_support.hpp"

namespace irismux::testing {

inline int random_int(int low, int high) { return *rc::gen::inRange(low, high + 1); }
inline bool random_bool() { return random_int(0, 1) == 1; }

inline Deployment random_deployment() {
    Deployment d = deployment();
    d.gateways_in_location = random_bool() ? random_int(1, 3) : random_int(4, 12);
    d.gateways = d.gateways_in_location + (random_bool() ? random_int(0, 4) : random_int(60, 150));
    d.locations = random_int(1, 25);
    d.capabilities.cache_status = static_cast<CacheStatusReporting>(random_int(0, 2));
    d.origin_stops_when_overloaded = random_bool();
    d.location_link_capacity_kb_per_s = random_bool() ? 0 : random_int(5, 80) * 1000.0;
    d.total_link_capacity_kb_per_s = d.location_link_capacity_kb_per_s * d.locations;
    d.capabilities.cancellation = random_bool();
    d.capabilities.hedged_requests = random_bool();
    d.capabilities.direct_attempts = random_bool();
    d.capabilities.coalescing = random_bool();
    d.capabilities.retry_after = random_bool();
    d.capabilities.max_attempts = random_int(1, 8);
    d.weights_known = true;
    d.edge_slow_start = {random_int(10, 40) / 100.0, Duration::seconds(random_int(5, 20)),
                         static_cast<double>(random_int(2, 4))};
    d.parent_slow_start = {random_int(5, 15) / 100.0, Duration::seconds(random_int(10, 25)), 2};
    for (ObjectKind& k : d.kinds) {
        k.dedup_scope = static_cast<DedupScope>(random_int(0, 2));
        k.dedup_window = Duration::seconds(random_int(1, 5));
        k.uncacheable =
            k.effect == Effect::non_idempotent || (k.effect == Effect::deduplicated && random_bool());
        if (k.effect == Effect::idempotent && random_bool()) {
            k.fresh_for = Duration::seconds(random_int(5, 20));
            k.stale_if_error_for = Duration::seconds(random_int(0, 10));
        }
    }
    return d;
}

// Wider draws of what rule 4 depends on: shares, sizes and weights by a factor of ten, windows, deadlines.
inline Deployment wide_random_deployment() {
    Deployment d = random_deployment();
    d.gateways_in_location = random_int(1, 8);
    d.gateways = d.gateways_in_location + (random_bool() ? random_int(0, 8) : random_int(60, 150));
    d.overload_window = Duration::seconds(random_int(5, 40) / 10.0);
    d.edge_slow_start.overload_multiple = random_int(20, 45) / 10.0;
    d.parent_slow_start.overload_multiple = random_int(20, 30) / 10.0;
    d.capabilities.max_attempts = random_int(3, 8);
    return d;
}

inline std::vector<EndpointUpdate> wide_random_endpoints() {
    std::vector<EndpointUpdate> all = usual_endpoints();
    for (EndpointUpdate& l : all) l.weight = random_int(1, 10) * (l.machine_type == parent_machine ? 5 : 1);
    return all;
}

// One router, from its start on.
class RandomScenario {
public:
    RandomScenario(const Deployment& d, std::uint64_t seed)
        : harness_(d, seed), endpoints_(usual_endpoints()) {}
    RandomScenario(const Deployment& d, std::uint64_t seed, std::vector<EndpointUpdate> list)
        : harness_(d, seed, list), endpoints_(std::move(list)), wide_(true) {}

    void step() {
        const int what = random_int(0, 99);
        if (what < 40) {
            Request a = request_for("l" + std::to_string(made_++), "o" + std::to_string(random_int(0, 12)),
                                    harness_.now + Duration::seconds(random_int(1, 40) / 10.0),
                                    static_cast<std::size_t>(random_int(0, 2)));
            a.purge_group = PurgeGroupId{random_int(0, 2)};
            if (wide_) {
                a.deadline = harness_.now + (random_bool() ? Duration::seconds(random_int(5, 50) / 100.0)
                                                           : Duration::seconds(random_int(5, 30)));
                a.size_kb = random_bool() ? random_int(20, 400) : random_int(400, 4000);
            }
            harness_.request(a);
        } else if (what < 70) {
            end_one_attempt();
        } else if (what < 85) {
            advance(Duration::seconds((wide_ && random_bool() ? random_int(1, 1000) : random_int(1, 300)) /
                                      1000.0));
        } else if (what < 92) {
            wide_ ? change_starts() : change_endpoints();
        } else if (what < 97) {
            const ObjectName object{"o" + std::to_string(random_int(0, 12))};
            const Duration age = Duration::seconds(random_int(0, 400) / 1000.0);
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
    int made_ = 0, replacements_ = 0;
    bool cache_is_failing_ = random_bool();  // e1 answers one attempt in five, and late
    std::vector<EndpointUpdate> endpoints_;  // as they are, listed or not
    bool wide_ = false;
    std::multimap<TimePoint, EndpointUpdate> late_updates_;  // that the list tells later
    std::map<CacheId, TimePoint> down_until_;
    std::map<CacheId, TimePoint> refused_while_idle_;

    void end_one_attempt() {
        std::vector<std::size_t> in_flight;
        for (std::size_t s = 0; s < harness_.callbacks.attempts.size(); ++s)
            if (harness_.callbacks.attempts[s].in_flight) in_flight.push_back(s);
        if (in_flight.empty()) return;
        const std::size_t s =
            in_flight[static_cast<std::size_t>(random_int(0, static_cast<int>(in_flight.size()) - 1))];
        if (cache_is_failing_ && harness_.callbacks.attempts[s].plan.cache == CacheId{"e1"} &&
            random_int(0, 4) > 0)
            return;
        const Outcome o = random_bool() ? Outcome::completed : static_cast<Outcome>(random_int(0, 8));
        // Only a finished request can be superseded; deadlines end attempts in advance().
        if (o == Outcome::superseded || o == Outcome::deadline_exceeded) return;
        const CacheStatus cache_status = static_cast<CacheStatus>(random_int(0, 10));
        if (wide_) return end_attempt_as_endpoint_is(s, o, cache_status);
        harness_.end_attempt(s, o, cache_status);
    }

    // An endpoint that is down refuses. One that refused with nothing else in flight is warming up from its
    // first response on, whatever the list says.
    void end_attempt_as_endpoint_is(std::size_t s, Outcome o, CacheStatus cache_status) {
        const CacheId cache = harness_.callbacks.attempts[s].plan.cache;
        if (const auto d = down_until_.find(cache); d != down_until_.end() && harness_.now < d->second)
            o = Outcome::connection_refused;
        if (o == Outcome::connection_refused) {
            harness_.callbacks.attempts[s].in_flight = false;
            const bool in_flight =
                std::any_of(harness_.callbacks.attempts.begin(), harness_.callbacks.attempts.end(),
                            [&](const StartedAttempt& x) { return x.in_flight && x.plan.cache == cache; });
            harness_.callbacks.attempts[s].in_flight = true;
            if (!in_flight) refused_while_idle_.try_emplace(cache, harness_.now);
        } else if (refused_while_idle_.contains(cache) && cache.raw()[0] == 'e' &&
                   (o == Outcome::completed || o == Outcome::cache_miss || o == Outcome::errored ||
                    (o == Outcome::overloaded && cache_status != CacheStatus::none))) {
            harness_.callbacks.started_at[cache] = harness_.now;
            refused_while_idle_.erase(cache);
        }
        harness_.end_attempt(s, o, cache_status);
    }

    void advance(Duration s) {
        harness_.advance(s);
        while (!late_updates_.empty() && late_updates_.begin()->first <= harness_.now) {
            update(late_updates_.begin()->second);
            late_updates_.erase(late_updates_.begin());
        }
        for (std::size_t n = 0; n < harness_.callbacks.attempts.size(); ++n) {
            const auto it = harness_.callbacks.unanswered.find(harness_.callbacks.attempts[n].request);
            if (it == harness_.callbacks.unanswered.end() || it->second.deadline > harness_.now) continue;
            harness_.end_attempt(n, Outcome::deadline_exceeded);
        }
    }

    void change_endpoints() {
        std::vector<EndpointUpdate> all = usual_endpoints();
        const int what = random_int(0, 9);
        if (what == 0) {  // a rack restarts at once
            for (std::size_t e = 0; e < 2; ++e) all[e].started_at = harness_.now;
            return harness_.update_endpoints({all[0], all[1]});
        }
        EndpointUpdate l = all[static_cast<std::size_t>(random_int(0, 4))];
        if (what <= 2) {  // one drains or is removed, and another of a new id takes its place
            l.status = random_bool() ? EndpointStatus::draining : EndpointStatus::removed;
            EndpointUpdate next =
                endpoint_update(l.cache.raw() + std::to_string(++replacements_), l.machine_type, l.weight);
            next.started_at = harness_.now;
            if (l.machine_type == parent_machine) harness_.callbacks.parents.insert(next.cache);
            return harness_.update_endpoints({l, next});
        }
        l.status = static_cast<EndpointStatus>(random_int(0, 2));
        if (l.status == EndpointStatus::active)
            l.started_at = harness_.now - Duration::seconds(random_int(0, 3));
        harness_.update_endpoints({l});
    }

    void update(const EndpointUpdate& l) {
        if (l.status == EndpointStatus::active) refused_while_idle_.erase(l.cache);
        harness_.update_endpoints({l});
    }

    // Starts: of one, of a whole location, during a warm-up; listed at once, late, twice, with two start
    // times or never.
    void change_starts() {
        const int what = random_int(0, 9);
        const std::size_t first = what <= 1 ? 0 : static_cast<std::size_t>(random_int(0, 4));
        const std::size_t last = what <= 1 ? 2 : first;
        for (std::size_t n = first; n <= last; ++n) {
            EndpointUpdate& l = endpoints_[n];
            if (what == 2) {  // another weight only
                l.weight = random_int(1, 10) * (l.machine_type == parent_machine ? 5 : 1);
                update(l);
                continue;
            }
            if (what == 3) {  // leaves, and comes back as it was
                EndpointUpdate gone = l;
                gone.status = random_bool() ? EndpointStatus::draining : EndpointStatus::removed;
                update(gone);
                late_updates_.emplace(harness_.now + Duration::seconds(random_int(0, 30) / 10.0), l);
                continue;
            }
            l.started_at = harness_.now + Duration::seconds(random_bool() ? 0 : random_int(0, 20) / 10.0);
            down_until_[l.cache] = l.started_at;
            if (what == 4) continue;  // never listed
            const TimePoint listed_at =
                l.started_at + Duration::seconds(random_bool() ? 0 : random_int(0, 80) / 10.0);
            late_updates_.emplace(listed_at, l);
            if (random_bool())
                late_updates_.emplace(listed_at + Duration::seconds(random_int(0, 40) / 10.0), l);
            if (random_int(0, 3) > 0) continue;
            EndpointUpdate moved = l;
            moved.started_at = l.started_at + Duration::seconds(random_int(0, 20) / 10.0);
            late_updates_.emplace(
                std::max(listed_at, moved.started_at) + Duration::seconds(random_int(0, 40) / 10.0), moved);
        }
    }

    void check() {
        std::size_t monitor_timers = 0;
        for (const auto& [n, at] : harness_.callbacks.timers) monitor_timers += n == TimerId{0};
        if (monitor_timers > 1) RC_FAIL("more than one timer of an id");
        if (!harness_.callbacks.violations.empty()) RC_FAIL(harness_.callbacks.violations.front());
        for (const auto& [id, a] : harness_.callbacks.unanswered) {
            bool in_flight = false;
            for (const std::size_t s : harness_.callbacks.attempts_of[id])
                in_flight = in_flight || harness_.callbacks.attempts[s].in_flight;
            if (!in_flight)
                RC_FAIL("1: a request is pending without an attempt: " + std::to_string(id.raw()));
            if (a.deadline <= harness_.now - harness_.callbacks.settings.timer_resolution * 2 && !in_flight)
                RC_FAIL("1: a request is pending past its deadline");
        }
    }
};

template <class Draw>
void play_scenarios(Draw draw_settings) {
    const auto start = draw_settings();
    for (int run = 0; run < 2; ++run) {
        RandomScenario scenario = start(static_cast<std::uint64_t>(random_int(0, 1 << 20)));
        const int steps = random_int(50, 400);
        for (int n = 0; n < steps; ++n) scenario.step();
    }
}

inline void narrow_scenarios() {
    play_scenarios(
        [] { return [d = random_deployment()](std::uint64_t seed) { return RandomScenario(d, seed); }; });
}

inline void wide_scenarios() {
    play_scenarios([] {
        return [d = wide_random_deployment(), l = wide_random_endpoints()](std::uint64_t seed) {
            return RandomScenario(d, seed, l);
        };
    });
}

}  // namespace irismux::testing
