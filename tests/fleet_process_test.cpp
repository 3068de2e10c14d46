// Tests fleets of processes of the real program with faults between them. Violations are detected at the fake
// registry, boards, caches and clients.
#include <gtest/gtest.h>

#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "fleet/duties.hpp"
#include "testing/process_fleet.hpp"

using namespace irismux;
using namespace irismux::fleet;
namespace fs = std::filesystem;

namespace {

const Duration ms = Duration::micros(1000);
const std::string sweep = "sweep";

test_support::ProcessFleet::Options of_program() {
    test_support::ProcessFleet::Options shape;
    shape.program = IRISMUX_PROGRAM;
    return shape;
}

class FleetOfProcesses : public ::testing::Test {
protected:
    fs::path root = fs::temp_directory_path() / ("irismux_arena." + std::to_string(::getpid()));
    test_support::ProcessFleet::Options shape = of_program();
    std::unique_ptr<test_support::ProcessFleet> a;

    void begin() {
        fs::create_directories(root);
        a = std::make_unique<test_support::ProcessFleet>(shape, root.string());
        a->start_all();
        ASSERT_TRUE(a->wait_until(
            [&] { return a->all_joined() && a->owner(sweep) == first_of(sweep) && working(); }));
    }
    void TearDown() override {
        if (a) {
            EXPECT_EQ(a->violations, std::set<std::string>{});
            if (HasFailure())
                for (const auto& g : a->gateways)
                    std::system(("echo --- " + g.name + "; tail -40 " + g.log).c_str());
        }
        a.reset();
        fs::remove_all(root);
    }
    // Returns the first of all gateways in the duty's order.
    std::size_t first_of(const std::string& duty) const {
        std::vector<MemberName> names;
        for (const auto& g : a->gateways) names.emplace_back(g.name);
        for (std::size_t n = 0; n < names.size(); ++n) {
            std::vector<MemberName> others = names;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
            if (Duties::rank(DutyName{duty}, names[n], others) == 0) return n;
        }
        return 0;
    }
    // Returns whether garbage collection has an owner whose writes are accepted.
    bool working() const {
        const auto n = a->owner(sweep);
        return n && a->accepted_writes(sweep, *n, a->member_record(*n)->incarnation) > 0;
    }
    bool works(std::size_t n, Incarnation since) const {
        return a->owner(sweep) == n && a->member_record(n)->incarnation >= since &&
               a->accepted_writes(sweep, n, a->member_record(n)->incarnation) > 0;
    }
    bool another_works(std::size_t than) const {
        const auto n = a->owner(sweep);
        return n && *n != than && a->accepted_writes(sweep, *n, a->member_record(*n)->incarnation) > 0;
    }
};

// The owner of garbage collection is killed, another member takes the duty over, and hands it back to the
// restarted first member, which owns it with a higher token and incarnation.
TEST_F(FleetOfProcesses, AKilledOwnerIsReplacedAndGetsItsDutyBack) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    a->kill(first);
    EXPECT_TRUE(a->wait_until([&] { return another_works(first); }));
    a->start(first);
    // The restarted gateway is the first in the order, so the duty is handed back to its new incarnation.
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
}

// Stops the owner while its n-th message to or from the registry is in flight. The message is held back until
// a successor has written, and is delivered when the process is resumed.
class OwnerStoppedAtAMessage : public FleetOfProcesses,
                               public ::testing::WithParamInterface<std::pair<test_support::Direction, int>> {
};

// After a successor has written, the delayed message arrives and the former owner is resumed: the registry
// accepts no write of the former owner.
TEST_P(OwnerStoppedAtAMessage, WritesNothingAfterItIsResumed) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    const auto [way, nth] = GetParam();
    int seen = 0;
    bool stopped = false;
    for (const auto& r : a->gateways[first].registry_proxies)
        r->on_chunk = [&, way = way, nth = nth](test_support::Direction w, std::string_view bytes) {
            // Only messages of transactions count, not those of the watch.
            if (w != way ||
                (w == test_support::Direction::to_server ? bytes.find("/kv/txn") : bytes.find("responses")) ==
                    std::string_view::npos)
                return;
            if (++seen != nth) return;
            a->stop(first);
            a->partition_registry(first, true, true);
            stopped = true;
        };
    ASSERT_TRUE(a->wait_until([&] { return stopped; }));
    ASSERT_TRUE(a->wait_until([&] { return another_works(first); }));
    const std::size_t before = a->accepted_writes(sweep, first, former);
    // The held messages to the registry are delivered first, then the process is resumed, then it gets
    // replies.
    for (const auto& r : a->gateways[first].registry_proxies)
        r->hold(test_support::Direction::to_server, false);
    a->run_for(ms * 50);
    a->resume(first);
    a->run_for(ms * 100);
    a->partition_registry(first, false, false);
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
    EXPECT_EQ(a->accepted_writes(sweep, first, former), before);
}

INSTANTIATE_TEST_SUITE_P(EachPoint, OwnerStoppedAtAMessage,
                         ::testing::Values(std::pair{test_support::Direction::to_server, 1},
                                           std::pair{test_support::Direction::to_server, 2},
                                           std::pair{test_support::Direction::to_server, 3},
                                           std::pair{test_support::Direction::to_server, 4},
                                           std::pair{test_support::Direction::to_client, 1},
                                           std::pair{test_support::Direction::to_client, 2},
                                           std::pair{test_support::Direction::to_client, 3},
                                           std::pair{test_support::Direction::to_client, 4}));

// The reply to a committed claim is lost, twice. The duty has one owner nevertheless.
TEST_F(FleetOfProcesses, ALostAnswerToTheWinningClaimLeavesOneOwner) {
    begin();
    const std::size_t first = *a->owner(sweep);
    int lost = 0;
    a->on_transaction = [&](const test_support::FakeRegistry::SettledTransaction& t) {
        for (const auto& [key, value] : t.writes)
            if (t.succeeded && key.find("/duty/") != std::string::npos && lost < 2) {
                ++lost;
                a->registry.faults(t.member).drop_write_response = true;
            }
    };
    a->kill(first);
    EXPECT_TRUE(a->wait_until([&] { return lost > 0 && another_works(first); }));
    a->start(first);
    EXPECT_TRUE(a->wait_until([&] { return lost > 1 && a->owner(sweep) == first && working(); }));
}

// After the owner is killed, the next two claimants are killed as their claims are committed. A third member
// owns the duty.
TEST_F(FleetOfProcesses, ASuccessorKilledAsItsClaimLandsIsReplaced) {
    shape.gateways = 4;
    begin();
    std::size_t last = *a->owner(sweep);
    std::optional<std::size_t> dies;
    int deaths = 0;
    a->on_transaction = [&](const test_support::FakeRegistry::SettledTransaction& t) {
        for (const auto& [key, value] : t.writes) {
            const auto r =
                key.find("/duty/") != std::string::npos && value ? parse_duty(*value) : std::nullopt;
            if (!t.succeeded || !r || deaths >= 2) continue;
            for (std::size_t n = 0; n < a->gateways.size(); ++n)
                if (a->gateways[n].name == r->owner.raw()) {
                    a->gateways[n].process->signal(SIGKILL);
                    dies = n;
                    ++deaths;
                }
        }
    };
    a->kill(last);
    EXPECT_TRUE(a->wait_until([&] { return deaths == 2; }));
    EXPECT_TRUE(a->wait_until([&] { return working(); }));
}

// The owner is cut off from the registry but not from its clients and caches: it stops acting and goes on
// serving.
class OwnerCutOffFromTheRegistry : public FleetOfProcesses,
                                   public ::testing::WithParamInterface<std::pair<bool, bool>> {};

// The owner's link to the registry is cut in one or both directions. Another member owns the duty, the former
// owner writes nothing, and all its clients are served.
TEST_P(OwnerCutOffFromTheRegistry, StopsActingAndServesOn) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    a->start_clients(first);
    a->partition_registry(first, GetParam().first, GetParam().second);
    ASSERT_TRUE(a->wait_until([&] { return another_works(first); }));
    const std::size_t before = a->accepted_writes(sweep, first, former);
    const std::uint64_t satisfied = a->gateways[first].clients->served;
    EXPECT_TRUE(a->wait_until([&] { return a->gateways[first].clients->served > satisfied + 50; }));
    EXPECT_EQ(a->gateways[first].clients->rejected + a->gateways[first].clients->failed, 0u);
    a->partition_registry(first, false, false);
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
    EXPECT_EQ(a->accepted_writes(sweep, first, former), before);
    a->check_all_answered();
}

INSTANTIATE_TEST_SUITE_P(Ways, OwnerCutOffFromTheRegistry,
                         ::testing::Values(std::pair{true, true}, std::pair{true, false},
                                           std::pair{false, true}));

// The registry is down for longer than every term. All clients are served meanwhile. After its return the
// registry gets a bounded number of requests, and the duty has an owner.
TEST_F(FleetOfProcesses, ARegistryAwayForLongerThanEveryTermCostsNoRequest) {
    begin();
    for (std::size_t n = 0; n < a->gateways.size(); ++n) a->start_clients(n);
    for (std::size_t m = 0; m < shape.members; ++m) a->registry.stop_member(m);
    a->run_for(shape.term * 3);
    std::uint64_t satisfied = 0;
    for (const auto& g : a->gateways) satisfied += g.clients->served;
    EXPECT_GT(satisfied, 100u);
    const std::size_t asked = a->registry.ledger.request_times.size(), writes = a->fenced_writes.size();
    for (std::size_t m = 0; m < shape.members; ++m) a->registry.restart_member(m);
    EXPECT_TRUE(
        a->wait_until([&] { return a->fenced_writes.size() > writes && a->owner(sweep) && working(); }));
    // The highest number of requests in any eighth of a term after the return.
    const auto& all = a->registry.ledger.request_times;
    std::size_t most = 0;
    for (std::size_t n = asked, from = asked; n < all.size(); ++n) {
        while (all[n] - all[from] > shape.term * 0.125) ++from;
        most = std::max(most, n - from + 1);
    }
    EXPECT_LT(most, 20 * a->gateways.size());
    a->check_all_answered();
    for (const auto& g : a->gateways) EXPECT_EQ(g.clients->rejected + g.clients->failed, 0u) << g.name;
}

TEST_F(FleetOfProcesses, AllKilledAndStartedTogetherHaveOneOwner) {
    shape.gateways = 5;
    begin();
    for (int times = 0; times < 2; ++times) {
        for (std::size_t n = 0; n < a->gateways.size(); ++n) a->kill(n);
        const std::size_t before = a->fenced_writes.size();
        a->start_all();
        EXPECT_TRUE(a->wait_until([&] {
            return a->fenced_writes.size() > before && a->owner(sweep) == first_of(sweep) && working();
        }));
    }
    // Counted from the first start: each start gives the duty to some member and may hand it on to the first
    // in the order, but the duty does not move back and forth.
    EXPECT_LE(a->ownership_changes.size(), 3u * 4u);
}

// Four of six gateways are killed at once, the owner among them, and restarted one after the other. The duty
// has one owner, and the number of owner changes is bounded by the number of restarts.
TEST_F(FleetOfProcesses, MostKilledAndStartedOneByOneHaveOneOwner) {
    shape.gateways = 6;
    begin();
    for (std::size_t n = 0; n < 4; ++n) a->kill((*a->owner(sweep) + n) % 6);
    const std::size_t claims = a->ownership_changes.size();
    EXPECT_TRUE(a->wait_until([&] {
        const auto n = a->owner(sweep);
        return n && a->gateways[*n].process && a->ownership_changes.size() > claims && working();
    }));
    for (auto& g : a->gateways)
        if (!g.process) {
            a->start(static_cast<std::size_t>(&g - a->gateways.data()));
            a->run_for(ms * 300);
        }
    EXPECT_TRUE(
        a->wait_until([&] { return a->all_joined() && a->owner(sweep) == first_of(sweep) && working(); }));
    EXPECT_LE(a->ownership_changes.size() - claims,
              1u + 2u * 4u);  // at most one handover, of two steps, for each restarted gateway
}

// Two of three gateways are cut off from a cache, and one of these owns the cache's health checks. The third
// gateway goes on using the cache without an error.
TEST_F(FleetOfProcesses, AnOwnerCutOffFromACacheHarmsNoOtherGateway) {
    shape.caches = 3;
    begin();
    const std::size_t first = first_of("watch/c1"), second = (first + 1) % 3, third = (first + 2) % 3;
    for (std::size_t n = 0; n < 3; ++n) a->start_clients(n);
    for (const std::size_t n : {first, second}) a->gateways[n].cache_proxies[0]->set_down(true);
    ASSERT_TRUE(a->wait_until([&] { return a->owner("watch/c1") == first; }));
    auto& well = *a->gateways[third].clients;
    const std::uint64_t at_it = a->caches[0]->total, bad = well.rejected + well.failed;
    EXPECT_TRUE(a->wait_until([&] { return a->caches[0]->total > at_it + 50; }));
    EXPECT_EQ(well.rejected + well.failed, bad);
    for (const std::size_t n : {first, second}) a->gateways[n].cache_proxies[0]->set_down(false);
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record("watch/c1");
        return !d || d->owner.raw().empty();
    }));
    a->check_all_answered();
}

// The registry has records of a newer version and unreadable ones. After the owner of garbage collection is
// killed and its successor has made a pass, they are unchanged, except for a health check's result without
// its duty.
TEST_F(FleetOfProcesses, UnknownAndUnreadableRecordsStay) {
    begin();
    const std::string at = std::string(test_support::ProcessFleet::prefix) + "roll/";
    const std::vector<std::pair<std::string, std::string>> odd = {
        {"duty/newer", serialize(DutyRecord{FencingToken{7}, MemberName{"gone"}, Incarnation{1}})},
        {"duty/watch/odd", "\xff{"},
        {"newer/thing", "x"},
        {"aside/sweep", "[]"},
        {"seen/c9", "null"}};
    for (const auto& [key, value] : odd) a->registry.model.put(at + key, value);
    a->registry.publish();
    const std::size_t first = *a->owner(sweep);
    a->kill(first);
    EXPECT_TRUE(a->wait_until([&] { return another_works(first); }));
    a->run_for(shape.term * 4);  // two eviction timeouts and a garbage collection pass
    for (const auto& [key, value] : odd) EXPECT_TRUE(key == "seen/c9" || a->record(key) == value) << key;
    EXPECT_FALSE(a->record("seen/c9")) << "a health check result without its duty";
}

// The registry is restored from a backup, so it shows lower tokens again. Members that have seen the higher
// token refuse the lower one, and the owner claims the duty again under a higher token.
class RestoredRegistry : public FleetOfProcesses, public ::testing::WithParamInterface<bool> {};

// An owner is killed and replaced, and the registry is restored to before that. The duty is then owned under
// a token above all that were seen, and the log has the event.
TEST_P(RestoredRegistry, GivesNoTokenToTwoOwnersAndIsLogged) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const registry::Revision backup = a->registry.model.newest();
    const FencingToken old = a->duty_record(sweep)->token;
    a->kill(first);
    ASSERT_TRUE(a->wait_until([&] { return another_works(first); }));
    const FencingToken higher = a->duty_record(sweep)->token;
    EXPECT_GT(higher, old);
    a->run_for(shape.term * 2);  // premise: the backup is more than a term old
    a->registry.model.restore(backup, GetParam());
    for (std::size_t m = 0; m < shape.members; ++m) a->registry.break_connections(m);
    const std::size_t before = a->fenced_writes.size();
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record(sweep);
        return a->fenced_writes.size() > before && d && d->token > higher && working();
    }));
    bool read = false;
    for (std::size_t n = 0; n < a->gateways.size(); ++n) read = read || a->logged(n, "registry_rolled_back");
    EXPECT_TRUE(read);
}

INSTANTIATE_TEST_SUITE_P(ClusterIds, RestoredRegistry, ::testing::Values(false, true));

// All members of the registry but one lag by 40 revisions. An owner that is stopped, replaced and resumed
// writes nothing until it has joined again.
TEST_F(FleetOfProcesses, LaggingRegistryMembersRenewNoLease) {
    begin();
    const std::size_t first = *a->owner(sweep);
    for (std::size_t m = 0; m + 1 < shape.members; ++m) a->registry.faults(m).lag = 40;
    const Incarnation former = a->member_record(first)->incarnation;
    a->stop(first);
    ASSERT_TRUE(a->wait_until([&] { return another_works(first); }));
    const std::size_t before = a->accepted_writes(sweep, first, former);
    a->resume(first);
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
    EXPECT_EQ(a->accepted_writes(sweep, first, former), before);
}

// Links are slow and reset in the middle of messages, and one registry member never answers. Another member
// owns the duty after its owner is killed.
TEST_F(FleetOfProcesses, SlowLinksResetsAndAHangingRegistryMemberDelayNoTakeover) {
    begin();
    const std::size_t first = *a->owner(sweep);
    a->registry.faults(0).unresponsive = true;
    for (auto& g : a->gateways)
        for (auto& r : g.registry_proxies) {
            r->faults(test_support::Direction::to_client).bytes_per_second = 200'000;
            r->faults(test_support::Direction::to_client).reset_after_bytes = 3'000;
            r->faults(test_support::Direction::to_server).reset_after_bytes = 2'500;
            r->faults(test_support::Direction::to_server).delay = ms * 5;
        }
    a->kill(first);
    EXPECT_TRUE(a->wait_until([&] { return another_works(first); }));
}

// The clocks are off by as much as is allowed: the owner's is slow, the others' are fast. After the owner is
// cut off from the registry, a successor checks the cache, and both never do so at the same time.
TEST_F(FleetOfProcesses, ClocksAtTheLimitOfTheirDriftNeverHaveTwoOwners) {
    shape.drift = 0.25;
    shape.clock_library = IRISMUX_SKEWED_CLOCK;
    shape.health_check_interval = ms * 50;
    fs::create_directories(root);
    a = std::make_unique<test_support::ProcessFleet>(shape, root.string());
    const std::size_t first = first_of("watch/c1");
    for (std::size_t n = 0; n < 3; ++n) a->set_clock(n, n == first ? 1 - shape.drift : 1 + shape.drift);
    a->start_all();
    ASSERT_TRUE(a->wait_until([&] { return a->all_joined() && working(); }));
    for (std::size_t n = 0; n < 3; ++n) a->start_clients(n);
    a->set_cache_dead(0, true);
    ASSERT_TRUE(a->wait_until([&] { return a->owner("watch/c1") == first; }));
    for (auto& g : a->gateways) g.cache_proxies[0]->set_partitioned(true);
    a->set_cache_dead(0, false);
    ASSERT_TRUE(
        a->wait_until([&] { return !a->health_checks.empty() && a->health_checks.back().gateway == first; }));
    a->partition_registry(first, true, true);
    const std::size_t before = a->health_checks.size();
    EXPECT_TRUE(a->wait_until(
        [&] { return a->health_checks.size() > before && a->health_checks.back().gateway != first; }));
    a->run_for(shape.term);
    a->partition_registry(first, false, false);
    EXPECT_TRUE(a->wait_until([&] { return a->owner("watch/c1") == first; }));
    a->check_all_answered();
}

// The owner's machine is suspended for an hour. On resume it loses its lease at once, and it writes nothing
// for a term.
TEST_F(FleetOfProcesses, AMachineSuspendedForAnHourLosesItsLeaseAtOnce) {
    shape.clock_library = IRISMUX_SKEWED_CLOCK;
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    a->stop(first);
    a->run_for(ms * 50);  // messages already sent are processed by then
    a->set_clock(first, 1, ms * 3'600'000);
    const TimePoint woke = a->loop.now();
    a->resume(first);
    // The suspension takes no real time here, so no successor owns the duty yet. The owner must stop acting
    // nevertheless until it has waited for a term.
    EXPECT_TRUE(
        a->wait_until([&] { return a->logged(first, "warning: fleet_lease_lost duty=sweep token="); }));
    const std::size_t all = a->fenced_writes.size();
    EXPECT_TRUE(a->wait_until([&] { return a->owner(sweep) && a->fenced_writes.size() > all + 5; }));
    for (const auto& w : a->fenced_writes) {
        const bool its = w.at > woke && w.by == Instance{MemberName{a->gateways[first].name}, former};
        EXPECT_TRUE(!its || w.at - woke >= shape.term) << (w.at - woke).seconds();
    }
}

TEST_F(FleetOfProcesses, AnOperatorListsOwnersAndReleasesADuty) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const auto run = [&](const std::vector<std::string>& words) {
        fs::remove(root / "out");
        std::vector<std::string> all = {shape.program, "fleet", "--parts", a->gateways[0].parts};
        all.insert(all.end(), words.begin(), words.end());
        test_support::Process p({all, {"PATH=/usr/bin:/bin"}, "", (root / "out").string()});
        EXPECT_TRUE(a->wait_until([&] { return !p.running(); }));
        std::ifstream out(root / "out");
        return std::string((std::istreambuf_iterator<char>(out)), {});
    };
    const std::string members = run({"members"}), duties = run({"duties"});
    for (const auto& g : a->gateways)
        EXPECT_NE(members.find(g.name + " start "), std::string::npos) << members;
    EXPECT_NE(duties.find("owner " + a->gateways[first].name), std::string::npos) << duties;
    EXPECT_NE(run({"release", "nonesuch"}).find("no member owns nonesuch"), std::string::npos);
    EXPECT_NE(run({"release", sweep}).find("sweep is now owned by"), std::string::npos);
    EXPECT_TRUE(a->wait_until([&] { return another_works(first); }));
    a->run_for(shape.term * 4);  // the duty does not go back until the release is withdrawn
    EXPECT_TRUE(another_works(first));
    EXPECT_EQ(run({"restore", sweep}), "restored\n");
    EXPECT_TRUE(a->wait_until([&] { return a->owner(sweep) == first; }));
}

// --- health checks of a cache ----------------------------------------------------------------------------

// All gateways have ejected a dead cache. The owner of its health checks is stopped, and the cache recovers.
// A successor continues the checks, the cache is readmitted, and the records of its checks are removed.
TEST_F(FleetOfProcesses, OneGatewayChecksACacheThatSeveralEjectedAndASuccessorContinues) {
    shape.caches = 3;
    begin();
    for (std::size_t n = 0; n < a->gateways.size(); ++n) a->start_clients(n);
    const std::string watch = "watch/c1";
    a->set_cache_dead(0, true);
    const auto finding = [&] {
        const auto text = a->record("seen/c1");
        return text ? parse_health_record(*text) : std::nullopt;
    };
    ASSERT_TRUE(a->wait_until([&] { return a->owner(watch) && finding() && finding()->streak > 2; }));
    EXPECT_FALSE(finding()->healthy);
    // From now on the cache hangs instead of refusing connections, so that the test sees the health checks.
    for (auto& g : a->gateways) g.cache_proxies[0]->set_partitioned(true);
    a->set_cache_dead(0, false);
    ASSERT_TRUE(a->wait_until([&] { return a->health_checks.size() > 3; }));
    const std::size_t owner = *a->owner(watch);
    a->stop(owner);
    ASSERT_TRUE(a->wait_until([&] {
        const auto n = a->owner(watch);
        return n && *n != owner && finding() && finding()->owner.name.raw() == a->gateways[*n].name;
    }));
    a->resume(owner);
    a->run_for(shape.term);
    // The cache answers again: no gateway ejects it any more, and its health checks have no owner.
    for (auto& g : a->gateways) g.cache_proxies[0]->set_partitioned(false);
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record(watch);
        return (!d || d->owner.raw().empty()) && a->caches[0]->total > 0;
    }));
    // Garbage collection removes the remaining records; the floor keeps their tokens from being given again.
    EXPECT_TRUE(a->wait_until([&] { return !a->record("duty/" + watch) && !a->record("seen/c1"); }));
    EXPECT_TRUE(a->record("floor"));
    a->check_all_answered();
}

// Where health checks are not permitted, the owner's own recovery probe replaces them.
TEST_F(FleetOfProcesses, WithoutProbesTheOwnersRecoveryProbeIsTheCheck) {
    shape.caches = 3;
    shape.probes = false;
    begin();
    for (std::size_t n = 0; n < a->gateways.size(); ++n) a->start_clients(n);
    a->set_cache_dead(0, true);
    const auto silent = [&] {
        const auto text = a->record("seen/c1");
        const auto f = text ? parse_health_record(*text) : std::nullopt;
        return f && !f->healthy && f->streak > 2;
    };
    ASSERT_TRUE(a->wait_until([&] { return a->owner("watch/c1") && silent(); }));
    const std::uint64_t before = a->caches[0]->total;
    a->set_cache_dead(0, false);
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record("watch/c1");
        return (!d || d->owner.raw().empty()) && a->caches[0]->total > before;
    }));
    EXPECT_TRUE(a->health_checks.empty());
    a->check_all_answered();
}

// --- refused joins and reloads ---------------------------------------------------------------------------

// A gateway with another's name and one of another installation do not join, and the log of each has the
// reason.
TEST_F(FleetOfProcesses, ANameInUseAndAnotherInstallationStayOutAndAreLogged) {
    begin();
    const std::size_t owner = *a->owner(sweep), n = (owner + 1) % 3, m = (n + 1) % 3;
    const std::string taken_name = a->gateways[owner].name;
    const auto replace = [&](std::size_t of, const std::string& was, const std::string& is) {
        std::ifstream in(a->gateways[of].parts);
        std::string all((std::istreambuf_iterator<char>(in)), {});
        all.replace(all.find(was), was.size(), is);
        std::ofstream(a->gateways[of].parts) << all;
    };
    a->kill(n);
    replace(n, "[fleet]\n", "[fleet]\nname = \"" + taken_name + "\"\n");
    a->start(n);
    EXPECT_TRUE(a->wait_until(
        [&] { return a->logged(n, "warning: fleet_join_refused reason=name_in_use member=" + taken_name); }));
    a->kill(n);
    a->kill(m);
    replace(m, "\"arena\"", "\"another\"");
    a->start(m);
    EXPECT_TRUE(a->wait_until([&] {
        return a->logged(
            m, "warning: fleet_join_refused reason=shared_config_differs member=" + a->gateways[m].name);
    }));
    EXPECT_TRUE(a->wait_until([&] { return !a->member_record(n) && !a->member_record(m); }));
    EXPECT_TRUE(working());
}

// On SIGHUP the process leaves the fleet if the table [fleet] has been removed, and joins again if it is
// back.
TEST_F(FleetOfProcesses, AReloadWithoutAndWithTheTableLeavesAndJoinsAnew) {
    shape.stores_tokens = true;
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    const auto& g = a->gateways[first];
    const std::string kept = g.parts + ".kept";
    fs::rename(g.parts, kept);
    std::ofstream(g.parts) << "";
    g.process->signal(SIGHUP);
    EXPECT_TRUE(a->wait_until([&] { return !a->member_record(first) && another_works(first); }));
    fs::rename(kept, g.parts);
    g.process->signal(SIGHUP);
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
    // With a changed table it leaves and joins in one step, although its former instance has only just left.
    const Incarnation again = a->member_record(first)->incarnation;
    std::ofstream(g.parts, std::ios::app) << "\n# changed\n";
    std::ifstream in(g.parts);
    std::string all((std::istreambuf_iterator<char>(in)), {});
    const std::string key = "look_every = ";
    all.insert(all.find(key) + key.size() + 1, "1");
    std::ofstream(g.parts) << all;
    g.process->signal(SIGHUP);
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{again.raw() + 1}); }));
}

// The gateways store the tokens seen. All are killed, the registry is restored to a lower token, and they
// start again. The duty is owned under a token above all that were seen.
TEST_F(FleetOfProcesses, TokensSeenBeforeARestartAreRefusedAfterIt) {
    shape.stores_tokens = true;
    begin();
    const std::size_t first = *a->owner(sweep);
    const registry::Revision backup = a->registry.model.newest();
    a->kill(first);
    ASSERT_TRUE(a->wait_until([&] { return another_works(first); }));
    const FencingToken higher = a->duty_record(sweep)->token;
    a->run_for(shape.term * 2);
    for (std::size_t n = 0; n < a->gateways.size(); ++n) a->kill(n);
    a->registry.model.restore(backup, false);
    const std::size_t before = a->fenced_writes.size();
    a->start_all();
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record(sweep);
        return a->fenced_writes.size() > before && d && d->token > higher && working();
    }));
}

// The table [fleet] applies only if the command line names its file with --parts.
TEST_F(FleetOfProcesses, TheTableCountsOnlyWithPartsOnTheCommandLine) {
    begin();
    auto& g = a->gateways[0];
    const Incarnation former = a->member_record(0)->incarnation;
    a->kill(0);
    g.process = std::make_unique<test_support::Process>(test_support::Process::Options{
        {shape.program, "serve"}, {"NODE_CONFIG=" + g.configuration, "IRISMUX_PARTS=" + g.parts}, "", g.log});
    EXPECT_TRUE(a->wait_until(
        [&] { return a->logged(0, "fleet_settings_ignored reason=not_named_by_option_parts"); }));
    a->start_clients(0);
    EXPECT_TRUE(a->wait_until([&] { return g.clients->served > 20 && !a->member_record(0); }));
    EXPECT_FALSE(a->member_record(0).has_value() && a->member_record(0)->incarnation > former);
    a->check_all_answered();
}

}  // namespace
