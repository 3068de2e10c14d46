// Tests fleets of real gateway processes with faults on their links. The fakes of the registry, boards,
// caches and clients detect violations of the fleet's guarantees.
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
    // Returns whether garbage collection has an owner whose writes the registry has accepted.
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

// The owner of garbage collection is killed, and another gateway must take the duty over. After the killed
// gateway is restarted, the duty must be handed back to the gateway's new incarnation under a higher token.
TEST_F(FleetOfProcesses, AKilledOwnerIsReplacedAndGetsItsDutyBack) {
    begin();
    const std::size_t first = *a->owner(sweep);
    const Incarnation former = a->member_record(first)->incarnation;
    a->kill(first);
    EXPECT_TRUE(a->wait_until([&] { return another_works(first); }));
    a->start(first);
    // The restarted gateway is the first in the duty's order, so the duty is handed back to its new
    // incarnation.
    EXPECT_TRUE(a->wait_until([&] { return works(first, Incarnation{former.raw() + 1}); }));
}

// Stops the owner while its n-th message to or from the registry is in flight. The test holds this message
// back until a successor has made a write, and delivers the message when the owner is resumed.
class OwnerStoppedAtAMessage : public FleetOfProcesses,
                               public ::testing::WithParamInterface<std::pair<test_support::Direction, int>> {
};

// A former owner must not write under its old token, neither by a message that arrives late nor after it is
// resumed. Once a successor has written, the delayed message is delivered and the former owner is resumed.
// The registry must accept no write of the former owner's old incarnation.
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
    // The registry receives the held messages first, then the process is resumed, and then the process
    // receives the registry's replies.
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

// The registry commits a claim of the duty, but its reply to the claimant is lost. This happens twice. The
// duty must have one owner nevertheless.
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

// The owner is killed, and the next two claimants are killed when the registry commits their claims. The
// fourth gateway must take the duty over.
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

// The owner is cut off from the registry but not from its clients and caches. The owner must stop acting for
// the duty and go on serving requests.
class OwnerCutOffFromTheRegistry : public FleetOfProcesses,
                                   public ::testing::WithParamInterface<std::pair<bool, bool>> {};

// A gateway that is cut off from the registry must neither write as owner nor fail its clients. The owner's
// link to the registry is cut in one or both directions. Another gateway must take the duty over, the
// registry must accept no further write of the former owner's old incarnation, and the former owner must
// serve all its clients.
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

// The registry is down for three terms, so that every lease expires. The gateways must serve all clients
// meanwhile. After the registry's return the gateways must send it a bounded number of requests, and the duty
// must have an owner.
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
    // Finds the highest number of requests in any eighth of a term after the registry's return.
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
    // The count of owner changes includes the first start of the fleet. After each start of all gateways,
    // some gateway claims the duty and can hand it on to the first gateway in the duty's order, but the duty
    // must not move back and forth.
    EXPECT_LE(a->ownership_changes.size(), 3u * 4u);
}

// Four of six gateways, among them the owner, are killed at once and restarted one after the other. The duty
// must have one owner, and the number of owner changes must be bounded by the number of restarts.
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

// A gateway that relied on the health checks of another gateway would stop using a cache that it can reach
// itself. Two of three gateways are cut off from a cache, and one of the two owns the cache's health checks.
// The third gateway must go on using the cache without an error.
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

// Garbage collection must not remove records that it cannot parse or that a newer version has written. The
// registry has records of both kinds when the owner of garbage collection is killed. After the successor has
// made a pass, the records must be unchanged, except that the result of a health check without a duty record
// must be removed.
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
    EXPECT_FALSE(a->record("seen/c9"))
        << "the result of a health check without a duty record was not removed";
}

// The registry is restored from a backup, so it shows lower tokens again. Gateways that have seen a higher
// token must refuse the lower tokens, and an owner must claim the duty again under a higher token.
class RestoredRegistry : public FleetOfProcesses, public ::testing::WithParamInterface<bool> {};

// The owner is killed and replaced, and then the registry is restored to a backup from before the kill. The
// duty must then be owned under a token above all tokens seen, and a gateway must log the event
// registry_rolled_back.
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

// A registry member that lags can still show a gateway as the owner of a duty after the gateway was replaced.
// The gateway must not renew its lease by such outdated records. In the test all registry members but one lag
// by 40 revisions; an owner that is stopped, replaced and resumed must write nothing until it has joined
// again.
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

// Links to the registry are slow and are reset in the middle of messages, and one registry member answers no
// request. After the owner is killed, another gateway must take the duty over nevertheless.
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

// A former owner whose clock is slow could still regard its lease as valid after gateways with fast clocks
// have replaced it, so that a duty would have two owners. The test gives the owner the slowest and the other
// gateways the fastest clock that the drift setting allows, and cuts the owner off from the registry. Once a
// successor has checked the cache, the former owner must start no further health check of the cache.
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

// The owner's machine is suspended for an hour. When it is resumed, the owner must lose its lease at once,
// and its former incarnation must write nothing for a term.
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
    // The test simulates the suspension by a jump of the owner's clock, so no successor owns the duty yet.
    // The owner must nevertheless stop acting until it has waited for a term.
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

// All gateways have ejected a dead cache, and one of them owns the cache's health checks. The owner is
// stopped, and the cache recovers. A successor must continue the checks, the gateways must readmit the cache,
// and the records of the checks must be removed.
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
    // The cache answers again, so that no gateway ejects it any more and its health checks have no owner.
    for (auto& g : a->gateways) g.cache_proxies[0]->set_partitioned(false);
    EXPECT_TRUE(a->wait_until([&] {
        const auto d = a->duty_record(watch);
        return (!d || d->owner.raw().empty()) && a->caches[0]->total > 0;
    }));
    // Garbage collection removes the records of the health checks. The record `floor` ensures that the tokens
    // in the removed records are not given again.
    EXPECT_TRUE(a->wait_until([&] { return !a->record("duty/" + watch) && !a->record("seen/c1"); }));
    EXPECT_TRUE(a->record("floor"));
    a->check_all_answered();
}

// If the deployment does not permit health checks, the recovery probe of the duty's owner must replace the
// check.
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

// A gateway whose name is used by another live gateway, and a gateway of another installation, must not join.
// Each of them must log the reason.
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

// On SIGHUP a process must leave the fleet if the table [fleet] was removed from its parts file, and must
// join again if the table is back.
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
    // If the table was changed, the process leaves and joins in one step, although its former instance has
    // only just left.
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

// A gateway that stores the tokens it has seen must refuse lower tokens after a restart too. All gateways are
// killed, the registry is restored to a lower token, and the gateways are started again. The duty must be
// owned under a token above all tokens that the gateways had seen.
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

// The table [fleet] must apply only if the option --parts names the parts file. A gateway that finds the file
// by the variable IRISMUX_PARTS must log that it ignores the table, and must serve its clients without
// joining the fleet.
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
