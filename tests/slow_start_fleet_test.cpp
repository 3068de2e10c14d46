// Rule 4 for the whole fleet: what all gateways together send to a cache or parent that has begun again,
// against what the settings allow and chance explains. Many cores in virtual time; the ledger is that of the
// far end.
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

// One gateway's way out; what it asks of the cold cache or parent is written down for all.
struct FleetPort final : RouterCallbacks {
    struct Asked {
        TimePoint at;
        double work;
        bool told;
    };
    struct Due {
        TimePoint at;
        std::size_t gateway;
        AttemptResult answer;
        bool operator>(const Due& o) const { return at > o.at; }
    };
    std::size_t gateway = 0;
    TimePoint now;
    CacheId cold;
    bool told = false;
    std::deque<Asked>* asked = nullptr;
    std::priority_queue<Due, std::vector<Due>, std::greater<>>* due = nullptr;
    std::map<RequestId, std::uint64_t> attempts;
    std::uint64_t filled = 0, rejected = 0;
    std::vector<std::pair<TimePoint, TimerId>> timers;
    double work = 0;

    void start_direct_attempt(const RequestId&, const CacheId&, Duration) override {}
    void start_attempt(const RequestId& id, const AttemptPlan& f) override {
        if (f.source == cold || f.cache == cold) asked->push_back({now, work, told});
        const bool looked = f.source == f.cache;
        ++filled;
        due->push(
            {now + Duration::seconds(looked ? 0.002 : 0.06),
             gateway,
             {id, AttemptIndex{attempts[id]++}, f.cache, looked ? Outcome::cache_miss : Outcome::completed,
              looked ? CacheStatus::none : CacheStatus::filled, Duration::seconds(looked ? 0.002 : 0.06),
              Duration{}, !looked}});
    }
    void cancel_attempt(const RequestId&, AttemptIndex) override {}
    void reject(const RequestId&, Duration) override { ++rejected; }
    void fail(const RequestId&) override {}
    void set_timer(TimerId n, TimePoint at) override { timers.emplace_back(at, n); }
    void subscribe_to_endpoints() override {}
};

struct ColdFleet {
    static constexpr double work = 0.2;  // seconds of sending, of each lookup
    // Few places for so many gateways: the share of one is far below a lookup.
    static constexpr double parent_weight = 10;
    Deployment d = deployment();
    std::ranlux24_base chance;
    std::deque<FleetPort::Asked> asked;
    std::priority_queue<FleetPort::Due, std::vector<FleetPort::Due>, std::greater<>> due;
    std::vector<std::unique_ptr<FleetPort>> ports;
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<TimePoint> tells;
    TimePoint began = TimePoint::at_seconds(1001);
    double worst = 0;  // the most asked in a window, of what that window allows
    std::uint64_t lookups = 0;

    ColdFleet(int gateways, std::uint32_t seed) : chance(seed) {
        d.gateways = d.gateways_in_location = gateways;
        d.locations = 1;
        d.kinds = {kind_of(Effect::idempotent)};
        // Room everywhere but at the cold parent.
        d.location_link_capacity_kb_per_s = d.total_link_capacity_kb_per_s = 1e7;
    }
    double draw() { return static_cast<double>(chance()) / static_cast<double>(std::ranlux24_base::max()); }

    std::vector<EndpointUpdate> list(bool again) const {
        std::vector<EndpointUpdate> all = usual_endpoints();
        for (EndpointUpdate& l : all) {
            l.weight = l.machine_type == edge_machine ? 1e4 : parent_weight;
            if (again && l.cache.raw() == "p1") l.started_at = began;
        }
        return all;
    }
    void start(std::size_t g, TimePoint now, bool knows) {
        FleetPort& p = *ports[g];
        p.told = knows;
        p.timers.clear();
        p.attempts.clear();
        routers[g] = std::make_unique<Router>(p, d, chance(), now);
        routers[g]->on_endpoint_updates(now, list(knows), true);
    }
    // Quiet but for now and then, until all gateways are asked much at once, so long after the start.
    void play(double burst_after) {
        const TimePoint burst = began + Duration::seconds(burst_after), end = burst + Duration::seconds(3);
        const auto n = static_cast<std::size_t>(d.gateways);
        for (std::size_t g = 0; g < n; ++g) {
            ports.push_back(std::make_unique<FleetPort>());
            routers.emplace_back();
            *ports[g] = FleetPort{};
            ports[g]->gateway = g;
            ports[g]->cold = CacheId{"p1"};
            ports[g]->asked = &asked;
            ports[g]->due = &due;
            ports[g]->work = work;
            start(g, began - Duration::seconds(1), false);
            tells.push_back(began + Duration::seconds(draw()));
        }
        for (TimePoint now = began - Duration::seconds(0.5); now < end; now = now + Duration::seconds(0.01)) {
            while (!due.empty() && due.top().at <= now) {
                const auto next = due.top();
                due.pop();
                ports[next.gateway]->now = now;
                routers[next.gateway]->on_attempt_result(now, next.answer);
            }
            for (std::size_t g = 0; g < n; ++g) {
                FleetPort& p = *ports[g];
                p.now = now;
                if (!p.told && now >= tells[g]) {
                    p.told = true;
                    routers[g]->on_endpoint_updates(now, list(true), true);
                }
                // Restarts in the warm-up, that forget all: about one in two gateways in all.
                if (now > began + Duration::seconds(2) && draw() < 0.01 * 0.5 / std::max(1.0, burst_after))
                    start(g, now, true);
                for (const auto& [at, no] : std::exchange(p.timers, {}))
                    at <= now ? routers[g]->on_timer(now, no) : (void)p.timers.emplace_back(at, no);
                // A tenth of the gateways gets most of the traffic.
                const double heavy = g % 10 == 0 ? 4 : 0.7;
                const double pace = (now >= burst && now < burst + Duration::seconds(1) ? 10 : 0.02) * heavy;
                if (draw() < pace * 0.01) ask(g, now);
            }
        }
    }
    void ask(std::size_t g, TimePoint now) {
        Request request;
        request.id = RequestId{++lookups};
        request.kind = ObjectKindIndex{0};
        request.object = ObjectName{"a" + std::to_string(lookups * 7919)};
        request.purge_group = PurgeGroupId{1};
        request.deadline = now + Duration::seconds(5);
        request.size_kb = work * d.transfer_rate_kb_per_s;
        routers[g]->on_request(now, request);
    }
    // What was asked by those that had been told, in each window that ends with one of them.
    void judge() { judge(d.parent_slow_start, parent_weight); }
    void judge(const SlowStart& c, double capacity) {
        for (std::size_t last = 0, first = 0; last < asked.size(); ++last) {
            const TimePoint t = asked[last].at;
            if (t < began) continue;
            while (asked[first].at < began || t - asked[first].at > d.overload_window) ++first;
            double calls = 0;
            for (std::size_t i = first; i <= last; ++i) calls += asked[i].told ? asked[i].work / work : 0;
            const double present = c.initial_capacity_share +
                                   (1 - c.initial_capacity_share) * std::max(0.0, (t - began) / c.window);
            const double allowed =
                c.overload_multiple * present * capacity * d.overload_window.seconds() / work;
            worst = std::max(worst, calls / (allowed + 2 * std::sqrt(allowed) + 2));
        }
    }
};

class ColdFleets : public ::testing::TestWithParam<int> {};

// Guarded by the bound on what may be saved up in Router::Core::has_budget. What it prints stands in
// docs/crossings.md.
TEST_P(ColdFleets, StayBelowWhatTheSettingsAllowAndChanceExplains) {
    std::size_t asked = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0, 16.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            ColdFleet fleet(GetParam(), seed);
            fleet.play(after);
            fleet.judge();
            EXPECT_LE(fleet.worst, 1) << "burst after " << after << " s, seed " << seed;
            worst = std::max(worst, fleet.worst);
            asked += fleet.asked.size();
            ++plays;
        }
    std::printf("%d gateways: %.2f of what is allowed at most, in %zu plays\n", GetParam(), worst, plays);
    EXPECT_GT(asked, plays * 5) << "the day would show nothing";
}
INSTANTIATE_TEST_SUITE_P(Sizes, ColdFleets, ::testing::Values(3, 20, 30, 300));

// One of a location's three caches has begun again, its peers leave the list, and a burst comes. Weights are
// not told: what a cache can do follows from the location's link.
struct ColdLocation : ColdFleet {
    // How the gateways hear that the peers leave: it is told to those that know all three, or each of them
    // starts anew with a list on which the peers drain.
    enum class Heard { told, restarted_meanwhile };
    static constexpr double cache_capacity = 10;
    static constexpr double leave_before_burst = 0.5, all_told_within = 0.3, drain = 0.2;
    // Lookups a second at the whole location.
    static constexpr double burst_lasts = 2, burst_pace = 400, quiet_pace = 8;

    ColdLocation(int gateways, std::uint32_t seed) : ColdFleet(gateways, seed) {
        d.weights_known = false;
        // The location's link carries half of what its three caches send.
        d.location_link_capacity_kb_per_s = 3 * cache_capacity / 2 * d.transfer_rate_kb_per_s;
    }
    std::vector<EndpointUpdate> lines(EndpointStatus of_peers) const {
        std::vector<EndpointUpdate> all = usual_endpoints();
        for (EndpointUpdate& l : all) {
            if (l.cache.raw() == "e1") l.started_at = began;
            if (l.cache.raw() == "e2" || l.cache.raw() == "e3") l.status = of_peers;
        }
        return all;
    }
    void gateway_starts(std::size_t g, TimePoint now, EndpointStatus peers) {
        FleetPort& p = *ports[g];
        p.now = now;
        p.timers.clear();
        p.attempts.clear();
        routers[g] = std::make_unique<Router>(p, d, chance(), now);
        routers[g]->on_endpoint_updates(now, lines(peers), true);
    }
    void play_peers_leave(double burst_after, Heard heard) {
        const TimePoint burst = began + Duration::seconds(burst_after);
        const TimePoint leave = burst - Duration::seconds(leave_before_burst);
        const auto n = static_cast<std::size_t>(d.gateways);
        std::vector<TimePoint> hears;
        for (std::size_t g = 0; g < n; ++g) {
            ports.push_back(std::make_unique<FleetPort>());
            ports[g]->gateway = g;
            ports[g]->cold = CacheId{"e1"};
            ports[g]->asked = &asked;
            ports[g]->due = &due;
            ports[g]->work = work;
            ports[g]->told = true;
            routers.emplace_back();
            gateway_starts(g, began, EndpointStatus::active);
            hears.push_back(leave + Duration::seconds(draw() * all_told_within));
        }
        std::vector<int> step(n, 0);
        for (TimePoint now = began; now < burst + Duration::seconds(burst_lasts);
             now = now + Duration::seconds(0.01)) {
            while (!due.empty() && due.top().at <= now) {
                const auto next = due.top();
                due.pop();
                ports[next.gateway]->now = now;
                routers[next.gateway]->on_attempt_result(now, next.answer);
            }
            for (std::size_t g = 0; g < n; ++g) {
                ports[g]->now = now;
                if (step[g] == 0 && now >= hears[g]) {
                    step[g] = 1;
                    if (heard == Heard::restarted_meanwhile) gateway_starts(g, now, EndpointStatus::draining);
                }
                if (step[g] == 1 && now >= hears[g] + Duration::seconds(drain)) {
                    step[g] = 2;
                    routers[g]->on_endpoint_updates(now, lines(EndpointStatus::removed), false);
                }
                for (const auto& [at, no] : std::exchange(ports[g]->timers, {}))
                    at <= now ? routers[g]->on_timer(now, no) : (void)ports[g]->timers.emplace_back(at, no);
                const double heavy = g % 10 == 0 ? 4 : 0.7;
                if (draw() < (now >= burst ? burst_pace : quiet_pace) / d.gateways * heavy * 0.01)
                    ask(g, now);
            }
        }
        judge(d.edge_slow_start, cache_capacity);
    }
};

class ColdLocations : public ::testing::TestWithParam<std::tuple<int, ColdLocation::Heard>> {};

// Guarded by Router::Core::count_peers: a link divided by the caches that are left would give each of them
// the others' parts. What it prints stands in docs/crossings.md.
TEST_P(ColdLocations, GetNoMoreWhenTheirPeersLeave) {
    const auto [gateways, heard] = GetParam();
    std::size_t asked = 0, plays = 0;
    double worst = 0;
    for (const double after : {3.0, 6.0, 9.0, 12.0})
        for (const std::uint32_t seed : {1u, 2u, 3u}) {
            ColdLocation location(gateways, seed);
            location.play_peers_leave(after, heard);
            EXPECT_LE(location.worst, 1) << "burst after " << after << " s, seed " << seed;
            worst = std::max(worst, location.worst);
            asked += location.asked.size();
            ++plays;
        }
    std::printf("%d gateways, %s: %.2f of what is allowed at most, in %zu plays\n", gateways,
                heard == ColdLocation::Heard::told ? "told" : "restarted meanwhile", worst, plays);
    EXPECT_GT(asked, plays * 50) << "the day would show nothing";
}
INSTANTIATE_TEST_SUITE_P(Sizes, ColdLocations,
                         ::testing::Combine(::testing::Values(5, 20, 30),
                                            ::testing::Values(ColdLocation::Heard::told,
                                                              ColdLocation::Heard::restarted_meanwhile)));

}  // namespace
}  // namespace irismux::testing
