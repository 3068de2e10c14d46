// Support for router tests: a deployment, callbacks that check the five routing rules, and a harness. The
// rules:
//   1. A request gets exactly one final response.
//   2. No request takes effect twice.
//   3. No request is sent to an endpoint that drains or has been removed, except within the drain grace
//      period.
//   4. An endpoint that is warming up is not overloaded.
//   5. No purged copy is served.
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
    ObjectKind kind;
    kind.effect = effect;
    kind.uncacheable = effect != Effect::idempotent;
    kind.latency_objective = Duration::seconds(0.4);
    kind.deadline = Duration::seconds(5);
    kind.dedup_window = Duration::seconds(2);
    return kind;
}

inline Deployment deployment() {
    Deployment settings;
    settings.gateways = 4;
    settings.gateways_in_location = 2;
    settings.locations = 2;
    settings.location = here;
    settings.kinds = {kind_of(Effect::idempotent), kind_of(Effect::non_idempotent),
                      kind_of(Effect::deduplicated)};
    settings.parent_machine = parent_machine;
    settings.origin_machine = origin_machine;
    settings.capabilities.cancellation = settings.capabilities.retry_after =
        settings.capabilities.coalescing = true;
    settings.capabilities.cache_status = CacheStatusReporting::all;
    settings.capabilities.max_attempts = 6;
    settings.capabilities.max_retry_after = Duration::seconds(0.5);
    settings.weights_known = true;
    settings.edge_slow_start = {0.2, Duration::seconds(15), 2};
    settings.parent_slow_start = {0.06, Duration::seconds(20), 2};
    settings.overload_window = Duration::seconds(2);
    settings.drain_grace_period = Duration::seconds(0.25);
    settings.purge_grace_period = Duration::seconds(0.3);
    settings.purge_retention = Duration::seconds(6);
    settings.timer_resolution = Duration::seconds(0.002);
    settings.transfer_rate_kb_per_s = 5000;
    return settings;
}

inline EndpointUpdate endpoint_update(const std::string& id, const MachineType& machine, double weight = 6) {
    EndpointUpdate update;
    update.cache = CacheId{id};
    update.location = machine == edge_machine ? here : LocationId{"hub"};
    update.machine_type = machine;
    update.weight = weight;
    return update;
}

inline std::vector<EndpointUpdate> usual_endpoints() {
    std::vector<EndpointUpdate> all = {
        endpoint_update("e1", edge_machine),       endpoint_update("e2", edge_machine),
        endpoint_update("e3", edge_machine),       endpoint_update("p1", parent_machine, 30),
        endpoint_update("p2", parent_machine, 30), endpoint_update("o", origin_machine)};
    all[2].cell = CellId{1};
    return all;
}

// Maps the name that a test gives a request to a request id; the same name always gives the same id.
inline RequestId request_id_named(const std::string& name) {
    static std::map<std::string, std::uint64_t> ids;
    return RequestId{ids.try_emplace(name, ids.size() + 1).first->second};
}

struct StartedAttempt {
    RequestId request;
    AttemptIndex index;
    AttemptPlan plan;
    TimePoint started_at;
    bool in_flight = true;
};

// Records the decisions of the router and checks each against the five rules.
class RecordingCallbacks final : public RouterCallbacks {
public:
    explicit RecordingCallbacks(Deployment d) : settings(std::move(d)) {}

    Deployment settings;
    TimePoint now;
    std::vector<StartedAttempt> attempts;
    std::map<RequestId, Request> unanswered;                    // requests without a final response
    std::map<RequestId, std::vector<std::size_t>> attempts_of;  // positions in `attempts`
    std::map<CacheId, TimePoint> not_active_since;              // time of the update to draining or removed
    std::map<CacheId, TimePoint> started_at;                    // start times that the updates named
    std::map<CacheId, double> weight;
    std::map<CacheId, CellId> cell;
    // Start times and transfer times (in seconds) of the attempts at each endpoint within the overload
    // window.
    std::map<CacheId, std::vector<std::pair<TimePoint, double>>> recent_transfers;
    std::map<ObjectName, TimePoint> purged_at;
    std::set<CacheId> parents;
    std::vector<std::string> violations;
    std::vector<std::pair<TimerId, TimePoint>> timers;
    std::vector<RequestId> rejected, failed;
    std::vector<std::pair<RequestId, AttemptIndex>> cancelled;
    std::vector<std::pair<CacheId, bool>> ejection_changes;

    void on_endpoint_ejected(const CacheId& cache, EjectionReason) override {
        ejection_changes.emplace_back(cache, true);
    }
    void on_endpoint_readmitted(const CacheId& cache) override {
        ejection_changes.emplace_back(cache, false);
    }

    void start_direct_attempt(const RequestId& id, const CacheId& cache, Duration timeout) override {
        AttemptPlan plan;
        plan.cache = plan.source = cache;
        plan.timeout = timeout;
        record(id, plan, false);
    }
    void start_attempt(const RequestId& id, const AttemptPlan& plan) override { record(id, plan, true); }
    void cancel_attempt(const RequestId& id, AttemptIndex index) override {
        if (index.raw() >= attempts_of[id].size())
            violations.push_back("an attempt that was never started is cancelled");
        cancelled.emplace_back(id, index);
    }
    void reject(const RequestId& id, Duration) override {
        const auto it = unanswered.find(id);
        if (it == unanswered.end())
            return (void)violations.push_back("1: a request gets a second final response");
        const ObjectKind& kind = settings.kinds[it->second.kind.raw()];
        if (kind.effect == Effect::non_idempotent && may_have_run(id))
            violations.push_back("2: a non-idempotent request is rejected though it may have run");
        if (kind.effect == Effect::deduplicated && kind.dedup_scope != DedupScope::all && may_have_run(id))
            violations.push_back("2: a deduplicated request is rejected though it may have run");
        rejected.push_back(id);
        unanswered.erase(it);
    }
    void fail(const RequestId& id) override {
        if (unanswered.erase(id) == 0) violations.push_back("1: a request gets a second final response");
        failed.push_back(id);
    }
    void set_timer(TimerId timer, TimePoint at) override { timers.emplace_back(timer, at); }
    void subscribe_to_endpoints() override {}

    bool may_have_run(const RequestId& id) const { return !attempts_that_may_have_run(id).empty(); }

    // Returns the positions in `attempts` of those attempts of the request that may have run. An attempt in
    // flight counts as an attempt that may have run.
    std::vector<std::size_t> attempts_that_may_have_run(const RequestId& id) const {
        std::vector<std::size_t> positions;
        const auto it = attempts_of.find(id);
        if (it == attempts_of.end()) return positions;
        for (const std::size_t position : it->second)
            if (attempts[position].in_flight || ended_and_may_have_run_.contains(position))
                positions.push_back(position);
        return positions;
    }

    void end_attempt(std::size_t position, Outcome outcome) {
        attempts[position].in_flight = false;
        if (outcome != Outcome::overloaded && outcome != Outcome::connection_refused &&
            outcome != Outcome::superseded && outcome != Outcome::cache_miss)
            ended_and_may_have_run_.insert(position);
    }

private:
    std::set<std::size_t> ended_and_may_have_run_;

    static bool is_elsewhere(const CacheId& cache) { return cache.raw()[0] != 'e'; }

    void record(const RequestId& id, const AttemptPlan& plan, bool by_age) {
        const auto it = unanswered.find(id);
        if (it == unanswered.end())
            return (void)violations.push_back("1: an attempt starts after the final response");
        const ObjectKind& kind = settings.kinds[it->second.kind.raw()];
        const std::vector<std::size_t> before = attempts_that_may_have_run(id);
        if (kind.effect == Effect::non_idempotent && !before.empty())
            violations.push_back("2: a non-idempotent request is repeated though it may have run");
        for (const std::size_t earlier : before) {
            if (attempts[earlier].in_flight && !settings.capabilities.hedged_requests)
                violations.push_back(
                    "2: two attempts of a request are in flight although requests are not hedged");
            if (kind.effect == Effect::deduplicated && now > attempts[earlier].started_at + kind.dedup_window)
                violations.push_back("2: a deduplicated request is repeated after its deduplication window");
            if (kind.effect == Effect::deduplicated && kind.dedup_scope == DedupScope::cell &&
                cell[attempts[earlier].plan.cache] != cell[plan.cache])
                violations.push_back("2: a deduplicated request is repeated outside the cell");
            if (kind.effect == Effect::deduplicated && kind.dedup_scope == DedupScope::location &&
                is_elsewhere(attempts[earlier].plan.cache) != is_elsewhere(plan.cache))
                violations.push_back("2: a deduplicated request is repeated outside the location");
        }
        if (static_cast<int>(attempts_of[id].size()) >= settings.capabilities.max_attempts)
            violations.push_back("a request has more than Capabilities::max_attempts attempts");
        for (const CacheId& endpoint : {plan.cache, plan.source})
            if (const auto inactive = not_active_since.find(endpoint);
                inactive != not_active_since.end() && now - inactive->second > settings.drain_grace_period)
                violations.push_back("3: an attempt uses an endpoint that drains or is removed");
        if (const auto purge = purged_at.find(it->second.object);
            by_age && !kind.uncacheable && purge != purged_at.end() &&
            now - purge->second < settings.purge_retention) {
            const Duration rounding = Duration::micros(1);
            const bool fresh_enough =
                plan.max_age > Duration{} && now - plan.max_age + rounding >= purge->second;
            if (!fresh_enough)
                violations.push_back("5: the allowed age includes copies from before the purge");
        }
        check_slow_start(plan.cache, it->second);
        if (plan.source != plan.cache && parents.contains(plan.source))
            check_slow_start(plan.source, it->second);
        attempts_of[id].push_back(attempts.size());
        attempts.push_back({id, AttemptIndex{attempts_of[id].size() - 1}, plan, now});
    }

    // Checks rule 4 (an endpoint that is warming up is not overloaded). Multiplies the transfers of this
    // gateway by the number of gateways that share the endpoint. The rule applies from the time at which the
    // endpoint list names the start of the endpoint's new process until the slow-start window ends. Transfers
    // to the new process count even if they began before the list named its start. Transfers to the previous
    // process do not count.
    void check_slow_start(const CacheId& cache, const Request& request) {
        const double transfer_seconds = request.size_kb / settings.transfer_rate_kb_per_s;
        auto& recent = recent_transfers[cache];
        std::erase_if(recent,
                      [&](const auto& transfer) { return now - transfer.first > settings.overload_window; });
        recent.emplace_back(now, transfer_seconds);
        const auto listed_start = started_at.find(cache);
        const bool parent = parents.contains(cache);
        const SlowStart& slow_start = parent ? settings.parent_slow_start : settings.edge_slow_start;
        if (listed_start == started_at.end() || now - listed_start->second >= slow_start.window) return;
        double sum = 0, largest = 0;
        for (const auto& [sent_at, seconds] : recent) {
            if (sent_at < listed_start->second) continue;
            sum += seconds;
            largest = std::max(largest, seconds);
        }
        const double present = slow_start.initial_capacity_share +
                               (1 - slow_start.initial_capacity_share) *
                                   std::max(0.0, (now - listed_start->second) / slow_start.window);
        const double window = settings.overload_window.seconds();
        const int gateways = parent ? settings.gateways : settings.gateways_in_location;
        // A budget is spent in whole requests, so the transfer times of this request and of the largest
        // earlier request are allowed in addition.
        if (sum * gateways > slow_start.overload_multiple * present * weight[cache] * window +
                                 (transfer_seconds + largest) * gateways)
            violations.push_back("4: an endpoint that is warming up is overloaded: " + cache.raw());
    }
};

inline Request request_for(const std::string& id, const std::string& object, TimePoint expires,
                           std::size_t kind = 0) {
    Request request;
    request.id = request_id_named(id);
    request.kind = ObjectKindIndex{kind};
    request.object = ObjectName{object};
    request.deadline = expires;
    request.size_kb = 500;
    return request;
}

// A router with its callbacks and the virtual time that both use.
class RouterHarness {
public:
    explicit RouterHarness(const Deployment& settings = deployment(), std::uint64_t seed = 7,
                           const std::vector<EndpointUpdate>& endpoints = usual_endpoints())
        : callbacks(settings), router(callbacks, settings, seed, now) {
        for (const EndpointUpdate& endpoint : endpoints) {
            callbacks.cell[endpoint.cache] = endpoint.cell;
            if (endpoint.machine_type == parent_machine) callbacks.parents.insert(endpoint.cache);
        }
        update_endpoints(endpoints, true);
    }

    TimePoint now = TimePoint::at_seconds(100);
    RecordingCallbacks callbacks;
    Router router;

    void update_endpoints(const std::vector<EndpointUpdate>& updates, bool complete = false) {
        for (const EndpointUpdate& update : updates) {
            if (update.status != EndpointStatus::active) {
                callbacks.not_active_since.try_emplace(update.cache, now);
                continue;
            }
            callbacks.not_active_since.erase(update.cache);
            callbacks.weight[update.cache] = update.weight;
            if (update.started_at > TimePoint{}) callbacks.started_at[update.cache] = update.started_at;
        }
        sync_time();
        router.on_endpoint_updates(now, updates, complete);
    }
    // @return the last attempt that the router started for the request, or nullptr if it started none
    const StartedAttempt* request(const Request& new_request) {
        sync_time();
        callbacks.unanswered[new_request.id] = new_request;
        const std::size_t before = callbacks.attempts.size();
        router.on_request(now, new_request);
        return callbacks.attempts.size() > before ? &callbacks.attempts.back() : nullptr;
    }
    // Reports the end of an attempt to the router.
    // @param finished whether the client has received its final response
    void end_attempt(std::size_t position, Outcome outcome, CacheStatus cache_status = CacheStatus::none,
                     bool finished = false) {
        sync_time();
        const StartedAttempt attempt = callbacks.attempts[position];
        if (!attempt.in_flight) return;
        callbacks.end_attempt(position, outcome);
        AttemptResult result;
        result.request = attempt.request;
        result.attempt = attempt.index;
        result.cache = attempt.plan.cache;
        result.outcome = outcome;
        result.cache_status = cache_status;
        result.elapsed = result.fill_wait = now - attempt.started_at;
        result.request_finished =
            finished || outcome == Outcome::completed || !callbacks.unanswered.contains(attempt.request);
        if (result.request_finished) callbacks.unanswered.erase(attempt.request);
        router.on_attempt_result(now, result);
    }
    // Advances the time and fires the timers that are due.
    void advance(Duration duration) {
        now = now + duration;
        sync_time();
        std::vector<std::pair<TimerId, TimePoint>> due;
        std::swap(due, callbacks.timers);
        for (const auto& [timer, fires_at] : due) {
            if (fires_at <= now)
                router.on_timer(now, timer);
            else
                callbacks.timers.emplace_back(timer, fires_at);
        }
    }

private:
    void sync_time() { callbacks.now = now; }
};

}  // namespace irismux::testing
