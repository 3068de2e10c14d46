// Tests rule 4 (an endpoint that is warming up is not overloaded) for a whole fleet. Runs many routers in
// virtual time, sums the transfers of all gateways to a restarted endpoint, and compares the sum with what
// the settings allow, plus a margin for random variation.
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

// The callbacks of one gateway. All gateways record their attempts at the restarted endpoint in one queue.
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
        bool operator>(const DueResult& other) const { return at > other.at; }
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
    void start_attempt(const RequestId& id, const AttemptPlan& plan) override {
        if (plan.source == restarted || plan.cache == restarted)
            sent->push_back({now, transfer_seconds, knows_of_start});
        const bool cache_only = plan.source == plan.cache;
        ++attempts_started;
        due->push({now + Duration::seconds(cache_only ? 0.002 : 0.06),
                   gateway,
                   {id, AttemptIndex{attempts[id]++}, plan.cache,
                    cache_only ? Outcome::cache_miss : Outcome::completed,
                    cache_only ? CacheStatus::none : CacheStatus::filled,
                    Duration::seconds(cache_only ? 0.002 : 0.06), Duration{}, !cache_only}});
    }
    void cancel_attempt(const RequestId&, AttemptIndex) override {}
    void reject(const RequestId&, Duration) override { ++requests_rejected; }
    void fail(const RequestId&) override {}
    void set_timer(TimerId timer, TimePoint at) override { timers.emplace_back(at, timer); }
    void subscribe_to_endpoints() override {}
};

struct FleetWithRestart {
    static constexpr double transfer_seconds = 0.2;  // transfer time of each object
    // The link weight of a parent. The weight is so small that, with many gateways, each gateway's share of
    // the budget is far below one request.
    static constexpr double parent_weight = 10;
    Deployment settings = deployment();
    std::ranlux24_base random;
    std::deque<FleetCallbacks::Sent> sent;
    std::priority_queue<FleetCallbacks::DueResult, std::vector<FleetCallbacks::DueResult>, std::greater<>>
        due;
    std::vector<std::unique_ptr<FleetCallbacks>> callbacks;
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<TimePoint> learns_at;
    TimePoint restarted_at = TimePoint::at_seconds(1001);
    // The largest ratio of the number of transfers in an overload window to the number that is allowed in
    // this window.
    double worst = 0;
    std::uint64_t requests = 0;

    FleetWithRestart(int gateways, std::uint32_t seed) : random(seed) {
        settings.gateways = settings.gateways_in_location = gateways;
        settings.locations = 1;
        settings.kinds = {kind_of(Effect::idempotent)};
        // Only the restarted parent is short of capacity.
        settings.location_link_capacity_kb_per_s = settings.total_link_capacity_kb_per_s = 1e7;
    }
    double random_fraction() {
        return static_cast<double>(random()) / static_cast<double>(std::ranlux24_base::max());
    }

    std::vector<EndpointUpdate> endpoint_list(bool with_start) const {
        std::vector<EndpointUpdate> endpoints = usual_endpoints();
        for (EndpointUpdate& endpoint : endpoints) {
            endpoint.weight = endpoint.machine_type == edge_machine ? 1e4 : parent_weight;
            if (with_start && endpoint.cache.raw() == "p1") endpoint.started_at = restarted_at;
        }
        return endpoints;
    }
    void start(std::size_t gateway, TimePoint now, bool knows) {
        FleetCallbacks& gateway_callbacks = *callbacks[gateway];
        gateway_callbacks.knows_of_start = knows;
        gateway_callbacks.timers.clear();
        gateway_callbacks.attempts.clear();
        routers[gateway] = std::make_unique<Router>(gateway_callbacks, settings, random(), now);
        routers[gateway]->on_endpoint_updates(now, endpoint_list(knows), true);
    }
    // Sends few requests at first. `burst_after` seconds after the restart, all gateways get many requests at
    // once.
    void play(double burst_after) {
        const TimePoint burst = restarted_at + Duration::seconds(burst_after),
                        end = burst + Duration::seconds(3);
        const auto gateway_count = static_cast<std::size_t>(settings.gateways);
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway) {
            callbacks.push_back(std::make_unique<FleetCallbacks>());
            routers.emplace_back();
            *callbacks[gateway] = FleetCallbacks{};
            callbacks[gateway]->gateway = gateway;
            callbacks[gateway]->restarted = CacheId{"p1"};
            callbacks[gateway]->sent = &sent;
            callbacks[gateway]->due = &due;
            callbacks[gateway]->transfer_seconds = transfer_seconds;
            start(gateway, restarted_at - Duration::seconds(1), false);
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
            for (std::size_t gateway = 0; gateway < gateway_count; ++gateway) {
                FleetCallbacks& gateway_callbacks = *callbacks[gateway];
                gateway_callbacks.now = now;
                if (!gateway_callbacks.knows_of_start && now >= learns_at[gateway]) {
                    gateway_callbacks.knows_of_start = true;
                    routers[gateway]->on_endpoint_updates(now, endpoint_list(true), true);
                }
                // Gateways restart at random and lose their state. About half of the gateways restart during
                // the whole run.
                if (now > restarted_at + Duration::seconds(2) &&
                    random_fraction() < 0.01 * 0.5 / std::max(1.0, burst_after))
                    start(gateway, now, true);
                for (const auto& [at, timer] : std::exchange(gateway_callbacks.timers, {}))
                    at <= now ? routers[gateway]->on_timer(now, timer)
                              : (void)gateway_callbacks.timers.emplace_back(at, timer);
                // A tenth of the gateways gets most of the traffic.
                const double traffic_factor = gateway % 10 == 0 ? 4 : 0.7;
                const double rate =
                    (now >= burst && now < burst + Duration::seconds(1) ? 10 : 0.02) * traffic_factor;
                if (random_fraction() < rate * 0.01) request(gateway, now);
            }
        }
    }
    void request(std::size_t gateway, TimePoint now) {
        Request next;
        next.id = RequestId{++requests};
        next.kind = ObjectKindIndex{0};
        next.object = ObjectName{"a" + std::to_string(requests * 7919)};
        next.purge_group = PurgeGroupId{1};
        next.deadline = now + Duration::seconds(5);
        next.size_kb = transfer_seconds * settings.transfer_rate_kb_per_s;
        routers[gateway]->on_request(now, next);
    }
    // Checks each overload window that ends with an attempt. Counts only attempts of gateways whose endpoint
    // list had named the start of the endpoint.
    void check() { check(settings.parent_slow_start, parent_weight); }
    void check(const SlowStart& slow_start, double capacity) {
        for (std::size_t last = 0, first = 0; last < sent.size(); ++last) {
            const TimePoint window_end = sent[last].at;
            if (window_end < restarted_at) continue;
            while (sent[first].at < restarted_at || window_end - sent[first].at > settings.overload_window)
                ++first;
            double transfers = 0;
            for (std::size_t position = first; position <= last; ++position)
                transfers +=
                    sent[position].knows_of_start ? sent[position].transfer_seconds / transfer_seconds : 0;
            const double present = slow_start.initial_capacity_share +
                                   (1 - slow_start.initial_capacity_share) *
                                       std::max(0.0, (window_end - restarted_at) / slow_start.window);
            const double allowed = slow_start.overload_multiple * present * capacity *
                                   settings.overload_window.seconds() / transfer_seconds;
            worst = std::max(worst, transfers / (allowed + 2 * std::sqrt(allowed) + 2));
        }
    }
};

class RestartInAFleet : public ::testing::TestWithParam<int> {};

// Gateways that are idle while a parent warms up accumulate budget. Without a bound, they could spend this
// budget at the same time and overload the parent. In the test, all gateways get many requests at once during
// the warm-up of a restarted parent. Together the gateways must stay below the parent's overload multiple
// plus a margin for random variation. SlowStartPolicy::has_budget ensures this: it bounds the budget that an
// idle gateway accumulates. docs/crossings.md quotes the printed figures.
TEST_P(RestartInAFleet, AllGatewaysTogetherStayBelowTheOverloadMultiple) {
    std::size_t sent = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0, 16.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            FleetWithRestart fleet(GetParam(), seed);
            fleet.play(after);
            fleet.check();
            EXPECT_LE(fleet.worst, 1)
                << "the parent is overloaded by the burst after " << after << " s, seed " << seed;
            worst = std::max(worst, fleet.worst);
            sent += fleet.sent.size();
            ++plays;
        }
    std::printf(
        "%d gateways together started at most %.2f times the allowed number of transfers, in %zu simulated "
        "runs\n",
        GetParam(), worst, plays);
    EXPECT_GT(sent, plays * 5) << "too few attempts reached the endpoint for a meaningful check";
}
INSTANTIATE_TEST_SUITE_P(Sizes, RestartInAFleet, ::testing::Values(3, 20, 30, 300));

// Simulates a location with three caches. One cache restarts, the two other caches leave the endpoint list,
// and then a burst of requests arrives. The link weights of the caches are unknown, so each gateway estimates
// the capacity of a cache from the link capacity of the location. The restarted cache must not be overloaded.
struct LocationWithRestart : FleetWithRestart {
    // The cause for which a gateway removes the peers. Either an update of the endpoint list removes them, or
    // the gateway restarts and its first endpoint list has them as draining.
    enum class LearnsFrom { update, first_list };
    static constexpr double cache_capacity = 10;
    static constexpr double leave_before_burst = 0.5, all_learn_within = 0.3, drain = 0.2;
    // The burst lasts `burst_lasts` seconds. The rates are requests per second at the whole location.
    static constexpr double burst_lasts = 2, burst_rate = 400, quiet_rate = 8;

    LocationWithRestart(int gateways, std::uint32_t seed) : FleetWithRestart(gateways, seed) {
        settings.weights_known = false;
        // The link of the location carries half of what its three caches can send.
        settings.location_link_capacity_kb_per_s = 3 * cache_capacity / 2 * settings.transfer_rate_kb_per_s;
    }
    std::vector<EndpointUpdate> endpoints_with_peers(EndpointStatus peer_status) const {
        std::vector<EndpointUpdate> endpoints = usual_endpoints();
        for (EndpointUpdate& endpoint : endpoints) {
            if (endpoint.cache.raw() == "e1") endpoint.started_at = restarted_at;
            if (endpoint.cache.raw() == "e2" || endpoint.cache.raw() == "e3") endpoint.status = peer_status;
        }
        return endpoints;
    }
    void start_gateway(std::size_t gateway, TimePoint now, EndpointStatus peer_status) {
        FleetCallbacks& gateway_callbacks = *callbacks[gateway];
        gateway_callbacks.now = now;
        gateway_callbacks.timers.clear();
        gateway_callbacks.attempts.clear();
        routers[gateway] = std::make_unique<Router>(gateway_callbacks, settings, random(), now);
        routers[gateway]->on_endpoint_updates(now, endpoints_with_peers(peer_status), true);
    }
    void play_peers_leave(double burst_after, LearnsFrom source) {
        const TimePoint burst = restarted_at + Duration::seconds(burst_after);
        const TimePoint peers_leave = burst - Duration::seconds(leave_before_burst);
        const auto gateway_count = static_cast<std::size_t>(settings.gateways);
        std::vector<TimePoint> gateway_learns_at;
        for (std::size_t gateway = 0; gateway < gateway_count; ++gateway) {
            callbacks.push_back(std::make_unique<FleetCallbacks>());
            callbacks[gateway]->gateway = gateway;
            callbacks[gateway]->restarted = CacheId{"e1"};
            callbacks[gateway]->sent = &sent;
            callbacks[gateway]->due = &due;
            callbacks[gateway]->transfer_seconds = transfer_seconds;
            callbacks[gateway]->knows_of_start = true;
            routers.emplace_back();
            start_gateway(gateway, restarted_at, EndpointStatus::active);
            gateway_learns_at.push_back(peers_leave +
                                        Duration::seconds(random_fraction() * all_learn_within));
        }
        std::vector<int> step(gateway_count, 0);
        for (TimePoint now = restarted_at; now < burst + Duration::seconds(burst_lasts);
             now = now + Duration::seconds(0.01)) {
            while (!due.empty() && due.top().at <= now) {
                const auto next = due.top();
                due.pop();
                callbacks[next.gateway]->now = now;
                routers[next.gateway]->on_attempt_result(now, next.result);
            }
            for (std::size_t gateway = 0; gateway < gateway_count; ++gateway) {
                callbacks[gateway]->now = now;
                if (step[gateway] == 0 && now >= gateway_learns_at[gateway]) {
                    step[gateway] = 1;
                    if (source == LearnsFrom::first_list)
                        start_gateway(gateway, now, EndpointStatus::draining);
                }
                if (step[gateway] == 1 && now >= gateway_learns_at[gateway] + Duration::seconds(drain)) {
                    step[gateway] = 2;
                    routers[gateway]->on_endpoint_updates(now, endpoints_with_peers(EndpointStatus::removed),
                                                          false);
                }
                for (const auto& [at, timer] : std::exchange(callbacks[gateway]->timers, {}))
                    at <= now ? routers[gateway]->on_timer(now, timer)
                              : (void)callbacks[gateway]->timers.emplace_back(at, timer);
                const double traffic_factor = gateway % 10 == 0 ? 4 : 0.7;
                if (random_fraction() <
                    (now >= burst ? burst_rate : quiet_rate) / settings.gateways * traffic_factor * 0.01)
                    request(gateway, now);
            }
        }
        check(settings.edge_slow_start, cache_capacity);
    }
};

class RestartInALocation : public ::testing::TestWithParam<std::tuple<int, LocationWithRestart::LearnsFrom>> {
};

// If a gateway divided the link of a location by the number of remaining caches, the estimated capacity of a
// restarted cache would grow when its peers leave, and the gateways would overload this cache.
// EndpointSet::max_active_edges prevents this. In the test, both peers of a restarted cache leave, and then a
// burst of requests arrives. The transfers to the restarted cache must stay below its overload multiple plus
// a margin for random variation. docs/crossings.md quotes the printed figures.
TEST_P(RestartInALocation, TheRestartedCacheGetsNoMoreWhenItsPeersLeave) {
    const auto [gateways, source] = GetParam();
    std::size_t sent = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            LocationWithRestart location(gateways, seed);
            location.play_peers_leave(after, source);
            EXPECT_LE(location.worst, 1)
                << "the cache is overloaded by the burst after " << after << " s, seed " << seed;
            worst = std::max(worst, location.worst);
            sent += location.sent.size();
            ++plays;
        }
    std::printf(
        "%d gateways, %s, together started at most %.2f times the allowed number of transfers, in %zu "
        "simulated runs\n",
        gateways,
        source == LocationWithRestart::LearnsFrom::update ? "with the peers removed by an update"
                                                          : "restarted with the peers draining",
        worst, plays);
    EXPECT_GT(sent, plays * 50) << "too few attempts reached the endpoint for a meaningful check";
}
INSTANTIATE_TEST_SUITE_P(Sizes, RestartInALocation,
                         ::testing::Combine(::testing::Values(5, 20, 30),
                                            ::testing::Values(LocationWithRestart::LearnsFrom::update,
                                                              LocationWithRestart::LearnsFrom::first_list)));

}  // namespace
}  // namespace irismux::testing
