// Runs a router with random settings and a random sequence of events. Each step checks the five routing
// rules, which router_test_support.hpp lists.
#pragma once

#include <rapidcheck.h>

#include "router_test_support.hpp"

namespace irismux::testing {

inline int random_int(int low, int high) { return *rc::gen::inRange(low, high + 1); }
inline bool random_bool() { return random_int(0, 1) == 1; }

inline Deployment random_deployment() {
    Deployment settings = deployment();
    settings.gateways_in_location = random_bool() ? random_int(1, 3) : random_int(4, 12);
    settings.gateways =
        settings.gateways_in_location + (random_bool() ? random_int(0, 4) : random_int(60, 150));
    settings.locations = random_int(1, 25);
    settings.capabilities.cache_status = static_cast<CacheStatusReporting>(random_int(0, 2));
    settings.origin_stops_when_overloaded = random_bool();
    settings.location_link_capacity_kb_per_s = random_bool() ? 0 : random_int(5, 80) * 1000.0;
    settings.total_link_capacity_kb_per_s = settings.location_link_capacity_kb_per_s * settings.locations;
    settings.capabilities.cancellation = random_bool();
    settings.capabilities.hedged_requests = random_bool();
    settings.capabilities.direct_attempts = random_bool();
    settings.capabilities.coalescing = random_bool();
    settings.capabilities.retry_after = random_bool();
    settings.capabilities.max_attempts = random_int(1, 8);
    settings.weights_known = true;
    settings.edge_slow_start = {random_int(10, 40) / 100.0, Duration::seconds(random_int(5, 20)),
                                static_cast<double>(random_int(2, 4))};
    settings.parent_slow_start = {random_int(5, 15) / 100.0, Duration::seconds(random_int(10, 25)), 2};
    for (ObjectKind& kind : settings.kinds) {
        kind.dedup_scope = static_cast<DedupScope>(random_int(0, 2));
        kind.dedup_window = Duration::seconds(random_int(1, 5));
        kind.uncacheable =
            kind.effect == Effect::non_idempotent || (kind.effect == Effect::deduplicated && random_bool());
        if (kind.effect == Effect::idempotent && random_bool()) {
            kind.fresh_for = Duration::seconds(random_int(5, 20));
            kind.stale_if_error_for = Duration::seconds(random_int(0, 10));
        }
    }
    return settings;
}

// Draws the values on which rule 4 (an endpoint that is warming up is not overloaded) depends from wider
// ranges than random_deployment(). Shares, sizes and weights vary by a factor of ten, and windows and
// deadlines vary too. RandomScenario::step draws the sizes and deadlines for each request.
inline Deployment wide_random_deployment() {
    Deployment settings = random_deployment();
    settings.gateways_in_location = random_int(1, 8);
    settings.gateways =
        settings.gateways_in_location + (random_bool() ? random_int(0, 8) : random_int(60, 150));
    settings.overload_window = Duration::seconds(random_int(5, 40) / 10.0);
    settings.edge_slow_start.overload_multiple = random_int(20, 45) / 10.0;
    settings.parent_slow_start.overload_multiple = random_int(20, 30) / 10.0;
    settings.capabilities.max_attempts = random_int(3, 8);
    return settings;
}

inline std::vector<EndpointUpdate> wide_random_endpoints() {
    std::vector<EndpointUpdate> all = usual_endpoints();
    for (EndpointUpdate& endpoint : all)
        endpoint.weight = random_int(1, 10) * (endpoint.machine_type == parent_machine ? 5 : 1);
    return all;
}

// Delivers random events to one router, which is new when the scenario starts.
class RandomScenario {
public:
    RandomScenario(const Deployment& settings, std::uint64_t seed)
        : harness_(settings, seed), endpoints_(usual_endpoints()) {}
    RandomScenario(const Deployment& settings, std::uint64_t seed, std::vector<EndpointUpdate> endpoints)
        : harness_(settings, seed, endpoints), endpoints_(std::move(endpoints)), wide_(true) {}

    void step() {
        const int choice = random_int(0, 99);
        if (choice < 40) {
            Request request =
                request_for("l" + std::to_string(requests_made_++), "o" + std::to_string(random_int(0, 12)),
                            harness_.now + Duration::seconds(random_int(1, 40) / 10.0),
                            static_cast<std::size_t>(random_int(0, 2)));
            request.purge_group = PurgeGroupId{random_int(0, 2)};
            if (wide_) {
                request.deadline =
                    harness_.now + (random_bool() ? Duration::seconds(random_int(5, 50) / 100.0)
                                                  : Duration::seconds(random_int(5, 30)));
                request.size_kb = random_bool() ? random_int(20, 400) : random_int(400, 4000);
            }
            harness_.request(request);
        } else if (choice < 70) {
            end_one_attempt();
        } else if (choice < 85) {
            advance(Duration::seconds((wide_ && random_bool() ? random_int(1, 1000) : random_int(1, 300)) /
                                      1000.0));
        } else if (choice < 92) {
            wide_ ? change_starts() : change_endpoints();
        } else if (choice < 97) {
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
    int requests_made_ = 0, replacements_ = 0;
    bool cache_is_failing_ = random_bool();  // only one draw in five ends an attempt at e1, so most end late
    std::vector<EndpointUpdate> endpoints_;  // the true state, which the endpoint list may name later
    bool wide_ = false;
    std::multimap<TimePoint, EndpointUpdate> late_updates_;  // updates by the time when the router gets them
    std::map<CacheId, TimePoint> down_until_;
    std::map<CacheId, TimePoint> refused_while_idle_;

    void end_one_attempt() {
        std::vector<std::size_t> in_flight;
        for (std::size_t position = 0; position < harness_.callbacks.attempts.size(); ++position)
            if (harness_.callbacks.attempts[position].in_flight) in_flight.push_back(position);
        if (in_flight.empty()) return;
        const std::size_t position =
            in_flight[static_cast<std::size_t>(random_int(0, static_cast<int>(in_flight.size()) - 1))];
        if (cache_is_failing_ && harness_.callbacks.attempts[position].plan.cache == CacheId{"e1"} &&
            random_int(0, 4) > 0)
            return;
        const Outcome outcome = random_bool() ? Outcome::completed : static_cast<Outcome>(random_int(0, 8));
        // Only an attempt of a finished request can end as superseded. RandomScenario::advance ends attempts
        // at their deadlines.
        if (outcome == Outcome::superseded || outcome == Outcome::deadline_exceeded) return;
        const CacheStatus cache_status = static_cast<CacheStatus>(random_int(0, 10));
        if (wide_) return end_attempt_by_endpoint_state(position, outcome, cache_status);
        harness_.end_attempt(position, outcome, cache_status);
    }

    // An endpoint that is down refuses connections. A cache that refused a connection while none of its other
    // attempts was in flight warms up from its first response on, even if the endpoint list does not name the
    // new process.
    void end_attempt_by_endpoint_state(std::size_t position, Outcome outcome, CacheStatus cache_status) {
        const CacheId cache = harness_.callbacks.attempts[position].plan.cache;
        if (const auto down = down_until_.find(cache);
            down != down_until_.end() && harness_.now < down->second)
            outcome = Outcome::connection_refused;
        if (outcome == Outcome::connection_refused) {
            harness_.callbacks.attempts[position].in_flight = false;
            const bool in_flight =
                std::any_of(harness_.callbacks.attempts.begin(), harness_.callbacks.attempts.end(),
                            [&](const StartedAttempt& attempt) {
                                return attempt.in_flight && attempt.plan.cache == cache;
                            });
            harness_.callbacks.attempts[position].in_flight = true;
            if (!in_flight) refused_while_idle_.try_emplace(cache, harness_.now);
        } else if (refused_while_idle_.contains(cache) && cache.raw()[0] == 'e' &&
                   (outcome == Outcome::completed || outcome == Outcome::cache_miss ||
                    outcome == Outcome::errored ||
                    (outcome == Outcome::overloaded && cache_status != CacheStatus::none))) {
            harness_.callbacks.started_at[cache] = harness_.now;
            refused_while_idle_.erase(cache);
        }
        harness_.end_attempt(position, outcome, cache_status);
    }

    void advance(Duration duration) {
        harness_.advance(duration);
        while (!late_updates_.empty() && late_updates_.begin()->first <= harness_.now) {
            update(late_updates_.begin()->second);
            late_updates_.erase(late_updates_.begin());
        }
        for (std::size_t position = 0; position < harness_.callbacks.attempts.size(); ++position) {
            const auto it = harness_.callbacks.unanswered.find(harness_.callbacks.attempts[position].request);
            if (it == harness_.callbacks.unanswered.end() || it->second.deadline > harness_.now) continue;
            harness_.end_attempt(position, Outcome::deadline_exceeded);
        }
    }

    void change_endpoints() {
        std::vector<EndpointUpdate> all = usual_endpoints();
        const int choice = random_int(0, 9);
        if (choice == 0) {  // two caches restart at the same time
            for (std::size_t cache = 0; cache < 2; ++cache) all[cache].started_at = harness_.now;
            return harness_.update_endpoints({all[0], all[1]});
        }
        EndpointUpdate endpoint = all[static_cast<std::size_t>(random_int(0, 4))];
        if (choice <= 2) {  // an endpoint drains or is removed, and an endpoint with a new id replaces it
            endpoint.status = random_bool() ? EndpointStatus::draining : EndpointStatus::removed;
            EndpointUpdate replacement =
                endpoint_update(endpoint.cache.raw() + std::to_string(++replacements_), endpoint.machine_type,
                                endpoint.weight);
            replacement.started_at = harness_.now;
            if (endpoint.machine_type == parent_machine) harness_.callbacks.parents.insert(replacement.cache);
            return harness_.update_endpoints({endpoint, replacement});
        }
        endpoint.status = static_cast<EndpointStatus>(random_int(0, 2));
        if (endpoint.status == EndpointStatus::active)
            endpoint.started_at = harness_.now - Duration::seconds(random_int(0, 3));
        harness_.update_endpoints({endpoint});
    }

    void update(const EndpointUpdate& endpoint) {
        if (endpoint.status == EndpointStatus::active) refused_while_idle_.erase(endpoint.cache);
        harness_.update_endpoints({endpoint});
    }

    // Restarts one endpoint or all caches of the location, possibly during a warm-up. The endpoint list may
    // name the start of the new process at once, late or never. It may also name the start twice, with equal
    // or different start times.
    void change_starts() {
        const int choice = random_int(0, 9);
        const std::size_t first = choice <= 1 ? 0 : static_cast<std::size_t>(random_int(0, 4));
        const std::size_t last = choice <= 1 ? 2 : first;
        for (std::size_t position = first; position <= last; ++position) {
            EndpointUpdate& endpoint = endpoints_[position];
            if (choice == 2) {  // only the weight changes
                endpoint.weight = random_int(1, 10) * (endpoint.machine_type == parent_machine ? 5 : 1);
                update(endpoint);
                continue;
            }
            if (choice == 3) {  // the endpoint leaves the list and returns unchanged
                EndpointUpdate departure = endpoint;
                departure.status = random_bool() ? EndpointStatus::draining : EndpointStatus::removed;
                update(departure);
                late_updates_.emplace(harness_.now + Duration::seconds(random_int(0, 30) / 10.0), endpoint);
                continue;
            }
            endpoint.started_at =
                harness_.now + Duration::seconds(random_bool() ? 0 : random_int(0, 20) / 10.0);
            down_until_[endpoint.cache] = endpoint.started_at;
            if (choice == 4) continue;  // the list never names the new process
            const TimePoint listed_at =
                endpoint.started_at + Duration::seconds(random_bool() ? 0 : random_int(0, 80) / 10.0);
            late_updates_.emplace(listed_at, endpoint);
            if (random_bool())
                late_updates_.emplace(listed_at + Duration::seconds(random_int(0, 40) / 10.0), endpoint);
            if (random_int(0, 3) > 0) continue;
            EndpointUpdate second_start = endpoint;
            second_start.started_at = endpoint.started_at + Duration::seconds(random_int(0, 20) / 10.0);
            late_updates_.emplace(
                std::max(listed_at, second_start.started_at) + Duration::seconds(random_int(0, 40) / 10.0),
                second_start);
        }
    }

    void check() {
        std::size_t monitor_timers = 0;
        for (const auto& [timer, at] : harness_.callbacks.timers) monitor_timers += timer == TimerId{0};
        if (monitor_timers > 1) RC_FAIL("more than one timer with id 0 is set");
        if (!harness_.callbacks.violations.empty()) RC_FAIL(harness_.callbacks.violations.front());
        for (const auto& [id, request] : harness_.callbacks.unanswered) {
            bool in_flight = false;
            for (const std::size_t position : harness_.callbacks.attempts_of[id])
                in_flight = in_flight || harness_.callbacks.attempts[position].in_flight;
            if (!in_flight)
                RC_FAIL("1: a request is pending without an attempt: " + std::to_string(id.raw()));
            if (request.deadline <= harness_.now - harness_.callbacks.settings.timer_resolution * 2 &&
                !in_flight)
                RC_FAIL("1: a request is pending past its deadline");
        }
    }
};

template <class Draw>
void play_scenarios(Draw draw_settings) {
    const auto make_scenario = draw_settings();
    for (int run = 0; run < 2; ++run) {
        RandomScenario scenario = make_scenario(static_cast<std::uint64_t>(random_int(0, 1 << 20)));
        const int steps = random_int(50, 400);
        for (int n = 0; n < steps; ++n) scenario.step();
    }
}

inline void narrow_scenarios() {
    play_scenarios([] {
        return
            [settings = random_deployment()](std::uint64_t seed) { return RandomScenario(settings, seed); };
    });
}

inline void wide_scenarios() {
    play_scenarios([] {
        return [settings = wide_random_deployment(), endpoints = wide_random_endpoints()](
                   std::uint64_t seed) { return RandomScenario(settings, seed, endpoints); };
    });
}

}  // namespace irismux::testing
