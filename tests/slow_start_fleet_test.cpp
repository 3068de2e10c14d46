// Rule 4 for a whole fleet: what all gateways together send to an endpoint that has restarted, against what
// the settings allow and chance explains. Many routers in virtual time, counted at the endpoint.
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

// The callbacks of one gateway. What it sends to the restarted endpoint is recorded for all.
struct FleetCallbacks final : RouterCallbacks {
    struct Sent {
        TimePoint at;
        double transfer_seconds;
        bool knows_of_start;
    };
    struct DueResult {
        TimePoint at;
        std::size_t gateway;
        AttemptResult result;
        bool operator>(const DueResult& o) const { return at > o.at; }
    };
    std::size_t gateway = 0;
    TimePoint now;
    CacheId restarted;
    bool knows_of_start = false;
    std::deque<Sent>* sent = nullptr;
    std::priority_queue<DueResult, std::vector<DueResult>, std::greater<>>* due = nullptr;
    std::map<RequestId, std::uint64_t> attempts;
    std::uint64_t attempts_started = 0, requests_rejected = 0;
    std::vector<std::pair<TimePoint, TimerId>> timers;
    double transfer_seconds = 0;

    void start_direct_attempt(const RequestId&, const CacheId&, Duration) override {}
    void start_attempt(const RequestId& id, const AttemptPlan& f) override {
        if (f.source == restarted || f.cache == restarted)
            sent->push_back({now, transfer_seconds, knows_of_start});
        const bool cache_only = f.source == f.cache;
        ++attempts_started;
        due->push({now + Duration::seconds(cache_only ? 0.002 : 0.06),
                   gateway,
                   {id, AttemptIndex{attempts[id]++}, f.cache,
                    cache_only ? Outcome::cache_miss : Outcome::completed,
                    cache_only ? CacheStatus::none : CacheStatus::filled,
                    Duration::seconds(cache_only ? 0.002 : 0.06), Duration{}, !cache_only}});
    }
    void cancel_attempt(const RequestId&, AttemptIndex) override {}
    void reject(const RequestId&, Duration) override { ++requests_rejected; }
    void fail(const RequestId&) override {}
    void set_timer(TimerId n, TimePoint at) override { timers.emplace_back(at, n); }
    void subscribe_to_endpoints() override {}
};

struct FleetWithRestart {
    static constexpr double transfer_seconds = 0.2;  // of each object
    // So little for so many gateways that the share of each is far below a request.
    static constexpr double parent_weight = 10;
    Deployment d = deployment();
    std::ranlux24_base random;
    std::deque<FleetCallbacks::Sent> sent;
    std::priority_queue<FleetCallbacks::DueResult, std::vector<FleetCallbacks::DueResult>, std::greater<>>
        due;
    std::vector<std::unique_ptr<FleetCallbacks>> callbacks;
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<TimePoint> learns_at;
    TimePoint restarted_at = TimePoint::at_seconds(1001);
    double worst = 0;  // the most sent in an overload window, as a share of what it allows
    std::uint64_t requests = 0;

    FleetWithRestart(int gateways, std::uint32_t seed) : random(seed) {
        d.gateways = d.gateways_in_location = gateways;
        d.locations = 1;
        d.kinds = {kind_of(Effect::idempotent)};
        // Capacity everywhere but at the restarted parent.
        d.location_link_capacity_kb_per_s = d.total_link_capacity_kb_per_s = 1e7;
    }
    double random_fraction() {
        return static_cast<double>(random()) / static_cast<double>(std::ranlux24_base::max());
    }

    std::vector<EndpointUpdate> list(bool with_start) const {
        std::vector<EndpointUpdate> all = usual_endpoints();
        for (EndpointUpdate& l : all) {
            l.weight = l.machine_type == edge_machine ? 1e4 : parent_weight;
            if (with_start && l.cache.raw() == "p1") l.started_at = restarted_at;
        }
        return all;
    }
    void start(std::size_t g, TimePoint now, bool knows) {
        FleetCallbacks& p = *callbacks[g];
        p.knows_of_start = knows;
        p.timers.clear();
        p.attempts.clear();
        routers[g] = std::make_unique<Router>(p, d, random(), now);
        routers[g]->on_endpoint_updates(now, list(knows), true);
    }
    // Few requests, until all gateways get many at once, so long after the restart.
    void play(double burst_after) {
        const TimePoint burst = restarted_at + Duration::seconds(burst_after),
                        end = burst + Duration::seconds(3);
        const auto n = static_cast<std::size_t>(d.gateways);
        for (std::size_t g = 0; g < n; ++g) {
            callbacks.push_back(std::make_unique<FleetCallbacks>());
            routers.emplace_back();
            *callbacks[g] = FleetCallbacks{};
            callbacks[g]->gateway = g;
            callbacks[g]->restarted = CacheId{"p1"};
            callbacks[g]->sent = &sent;
            callbacks[g]->due = &due;
            callbacks[g]->transfer_seconds = transfer_seconds;
            start(g, restarted_at - Duration::seconds(1), false);
            learns_at.push_back(restarted_at + Duration::seconds(random_fraction()));
        }
        for (TimePoint now = restarted_at - Duration::seconds(0.5); now < end;
             now = now + Duration::seconds(0.01)) {
            while (!due.empty() && due.top().at <= now) {
                const auto next = due.top();
                due.pop();
                callbacks[next.gateway]->now = now;
                routers[next.gateway]->on_attempt_result(now, next.result);
            }
            for (std::size_t g = 0; g < n; ++g) {
                FleetCallbacks& p = *callbacks[g];
                p.now = now;
                if (!p.knows_of_start && now >= learns_at[g]) {
                    p.knows_of_start = true;
                    routers[g]->on_endpoint_updates(now, list(true), true);
                }
                // Gateways restart meanwhile and forget everything: about every second one in all.
                if (now > restarted_at + Duration::seconds(2) &&
                    random_fraction() < 0.01 * 0.5 / std::max(1.0, burst_after))
                    start(g, now, true);
                for (const auto& [at, no] : std::exchange(p.timers, {}))
                    at <= now ? routers[g]->on_timer(now, no) : (void)p.timers.emplace_back(at, no);
                // A tenth of the gateways gets most of the traffic.
                const double heavy = g % 10 == 0 ? 4 : 0.7;
                const double rate = (now >= burst && now < burst + Duration::seconds(1) ? 10 : 0.02) * heavy;
                if (random_fraction() < rate * 0.01) request(g, now);
            }
        }
    }
    void request(std::size_t g, TimePoint now) {
        Request next;
        next.id = RequestId{++requests};
        next.kind = ObjectKindIndex{0};
        next.object = ObjectName{"a" + std::to_string(requests * 7919)};
        next.purge_group = PurgeGroupId{1};
        next.deadline = now + Duration::seconds(5);
        next.size_kb = transfer_seconds * d.transfer_rate_kb_per_s;
        routers[g]->on_request(now, next);
    }
    // What gateways that knew of the start have sent, in each overload window that ends with an attempt.
    void check() { check(d.parent_slow_start, parent_weight); }
    void check(const SlowStart& c, double capacity) {
        for (std::size_t last = 0, first = 0; last < sent.size(); ++last) {
            const TimePoint t = sent[last].at;
            if (t < restarted_at) continue;
            while (sent[first].at < restarted_at || t - sent[first].at > d.overload_window) ++first;
            double calls = 0;
            for (std::size_t i = first; i <= last; ++i)
                calls += sent[i].knows_of_start ? sent[i].transfer_seconds / transfer_seconds : 0;
            const double present =
                c.initial_capacity_share +
                (1 - c.initial_capacity_share) * std::max(0.0, (t - restarted_at) / c.window);
            const double allowed =
                c.overload_multiple * present * capacity * d.overload_window.seconds() / transfer_seconds;
            worst = std::max(worst, calls / (allowed + 2 * std::sqrt(allowed) + 2));
        }
    }
};

class RestartInAFleet : public ::testing::TestWithParam<int> {};

// Given a parent that restarts, when all gateways get many requests at once during its warm-up, then together
// they stay below its overload multiple and what chance explains. Guarded by SlowStartPolicy::has_budget,
// which bounds what an idle gateway saves up. What it prints stands in docs/crossings.md.
TEST_P(RestartInAFleet, AllGatewaysStayBelowTheOverloadMultiple) {
    std::size_t sent = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0, 16.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            FleetWithRestart fleet(GetParam(), seed);
            fleet.play(after);
            fleet.check();
            EXPECT_LE(fleet.worst, 1) << "burst after " << after << " s, seed " << seed;
            worst = std::max(worst, fleet.worst);
            sent += fleet.sent.size();
            ++plays;
        }
    std::printf("%d gateways: %.2f of what is allowed at most, in %zu plays\n", GetParam(), worst, plays);
    EXPECT_GT(sent, plays * 5) << "too little was sent to show anything";
}
INSTANTIATE_TEST_SUITE_P(Sizes, RestartInAFleet, ::testing::Values(3, 20, 30, 300));

// One of a location's three caches restarts, its peers leave the list, and a burst comes. Weights are
// unknown: the capacity of a cache follows from the location's link.
struct LocationWithRestart : FleetWithRestart {
    // How gateways learn that the peers leave: from an update, or each restarts with a list on which the
    // peers drain.
    enum class LearnsFrom { update, first_list };
    static constexpr double cache_capacity = 10;
    static constexpr double leave_before_burst = 0.5, all_learn_within = 0.3, drain = 0.2;
    // Requests a second at the whole location.
    static constexpr double burst_lasts = 2, burst_rate = 400, quiet_rate = 8;

    LocationWithRestart(int gateways, std::uint32_t seed) : FleetWithRestart(gateways, seed) {
        d.weights_known = false;
        // The location's link carries half of what its three caches send.
        d.location_link_capacity_kb_per_s = 3 * cache_capacity / 2 * d.transfer_rate_kb_per_s;
    }
    std::vector<EndpointUpdate> lines(EndpointStatus of_peers) const {
        std::vector<EndpointUpdate> all = usual_endpoints();
        for (EndpointUpdate& l : all) {
            if (l.cache.raw() == "e1") l.started_at = restarted_at;
            if (l.cache.raw() == "e2" || l.cache.raw() == "e3") l.status = of_peers;
        }
        return all;
    }
    void gateway_starts(std::size_t g, TimePoint now, EndpointStatus peers) {
        FleetCallbacks& p = *callbacks[g];
        p.now = now;
        p.timers.clear();
        p.attempts.clear();
        routers[g] = std::make_unique<Router>(p, d, random(), now);
        routers[g]->on_endpoint_updates(now, lines(peers), true);
    }
    void play_peers_leave(double burst_after, LearnsFrom source) {
        const TimePoint burst = restarted_at + Duration::seconds(burst_after);
        const TimePoint leave = burst - Duration::seconds(leave_before_burst);
        const auto n = static_cast<std::size_t>(d.gateways);
        std::vector<TimePoint> learns;
        for (std::size_t g = 0; g < n; ++g) {
            callbacks.push_back(std::make_unique<FleetCallbacks>());
            callbacks[g]->gateway = g;
            callbacks[g]->restarted = CacheId{"e1"};
            callbacks[g]->sent = &sent;
            callbacks[g]->due = &due;
            callbacks[g]->transfer_seconds = transfer_seconds;
            callbacks[g]->knows_of_start = true;
            routers.emplace_back();
            gateway_starts(g, restarted_at, EndpointStatus::active);
            learns.push_back(leave + Duration::seconds(random_fraction() * all_learn_within));
        }
        std::vector<int> step(n, 0);
        for (TimePoint now = restarted_at; now < burst + Duration::seconds(burst_lasts);
             now = now + Duration::seconds(0.01)) {
            while (!due.empty() && due.top().at <= now) {
                const auto next = due.top();
                due.pop();
                callbacks[next.gateway]->now = now;
                routers[next.gateway]->on_attempt_result(now, next.result);
            }
            for (std::size_t g = 0; g < n; ++g) {
                callbacks[g]->now = now;
                if (step[g] == 0 && now >= learns[g]) {
                    step[g] = 1;
                    if (source == LearnsFrom::first_list) gateway_starts(g, now, EndpointStatus::draining);
                }
                if (step[g] == 1 && now >= learns[g] + Duration::seconds(drain)) {
                    step[g] = 2;
                    routers[g]->on_endpoint_updates(now, lines(EndpointStatus::removed), false);
                }
                for (const auto& [at, no] : std::exchange(callbacks[g]->timers, {}))
                    at <= now ? routers[g]->on_timer(now, no)
                              : (void)callbacks[g]->timers.emplace_back(at, no);
                const double heavy = g % 10 == 0 ? 4 : 0.7;
                if (random_fraction() < (now >= burst ? burst_rate : quiet_rate) / d.gateways * heavy * 0.01)
                    request(g, now);
            }
        }
        check(d.edge_slow_start, cache_capacity);
    }
};

class RestartInALocation : public ::testing::TestWithParam<std::tuple<int, LocationWithRestart::LearnsFrom>> {
};

// Given a restarted cache, when its peers leave, then it gets no more than before. Guarded by
// EndpointSet::max_active_edges: a link divided by the caches that are left would give each the others' part.
// What it prints stands in docs/crossings.md.
TEST_P(RestartInALocation, TheCacheGetsNoMoreWhenItsPeersLeave) {
    const auto [gateways, source] = GetParam();
    std::size_t sent = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            LocationWithRestart location(gateways, seed);
            location.play_peers_leave(after, source);
            EXPECT_LE(location.worst, 1) << "burst after " << after << " s, seed " << seed;
            worst = std::max(worst, location.worst);
            sent += location.sent.size();
            ++plays;
        }
    std::printf("%d gateways, %s: %.2f of what is allowed at most, in %zu plays\n", gateways,
                source == LocationWithRestart::LearnsFrom::update ? "told" : "restarted meanwhile", worst,
                plays);
    EXPECT_GT(sent, plays * 50) << "too little was sent to show anything";
}
INSTANTIATE_TEST_SUITE_P(Sizes, RestartInALocation,
                         ::testing::Combine(::testing::Values(5, 20, 30),
                                            ::testing::Values(LocationWithRestart::LearnsFrom::update,
                                                              LocationWithRestart::LearnsFrom::first_list)));

}  // namespace
}  // namespace irismux::testing
