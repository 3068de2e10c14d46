// Plain cases: one for each failure met, and one for each part of the mechanism.
#include "router_test_support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Duration second = Duration::seconds(1);

class Plain : public ::testing::Test {
protected:
    Bench b;
    int made = 0;

    Request next(const std::string& object, std::size_t kind = 0) {
        return arrival("l" + std::to_string(made++), object, b.now + second * 5, kind);
    }
    // Sends a lookup and answers it, and ends it.
    SendSeen ask(const std::string& object, Outcome o, CacheStatus note = CacheStatus::none) {
        const SendSeen* s = b.lookup(next(object));
        if (!s) return {};
        const SendSeen copy = *s;
        b.answer(b.port.sends.size() - 1, o, note, true);
        return copy;
    }
    // The fill of an object that no cache holds, after the look that may come first.
    SendSeen fill_for(const std::string& object, CacheStatus note = CacheStatus::filled) {
        if (!b.lookup(next(object))) return {};
        if (b.port.sends.back().fill.only_if_cached) b.answer(b.port.sends.size() - 1, Outcome::cache_miss);
        const SendSeen copy = b.port.sends.back();
        b.answer(b.port.sends.size() - 1, Outcome::completed, note);
        return copy;
    }
    // An object whose first choice of cache, or of source, is this one.
    std::string homed(const std::string& cache, bool source = false) {
        for (int n = 0; n < 200; ++n) {
            const std::string name = "o" + std::to_string(n);
            const SendSeen s = ask(name, Outcome::completed, CacheStatus::hit);
            if ((source ? s.fill.source : s.fill.cache) == CacheId{cache}) return name;
        }
        ADD_FAILURE() << "nothing is homed at " << cache;
        return "";
    }
    void TearDown() override { EXPECT_TRUE(b.port.broken.empty()) << b.port.broken.front(); }
};

TEST(Time, SpansAndInstantsAdd) {
    const TimePoint t = TimePoint::at_seconds(8.25);
    EXPECT_EQ((t + Duration::seconds(0.5)) - t, Duration::micros(500'000));
    EXPECT_DOUBLE_EQ(Duration::seconds(3) / Duration::seconds(2), 1.5);
}

TEST_F(Plain, AnObjectStaysWithItsCacheAndParentAndStartsAtTheMiddleRank) {
    const SendSeen first = ask("x", Outcome::completed, CacheStatus::filled);
    const SendSeen again = ask("x", Outcome::completed, CacheStatus::hit);
    EXPECT_EQ(first.fill.cache, again.fill.cache);
    EXPECT_EQ(first.fill.source, again.fill.source);
    EXPECT_EQ(first.fill.storage_rank, 2);
}

TEST_F(Plain, AllGatewaysMeetAtOneParent) {
    Bench other{deployment(), 99};
    for (int n = 0; n < 20; ++n) {
        const std::string name = "o" + std::to_string(n);
        EXPECT_EQ(ask(name, Outcome::completed, CacheStatus::hit).fill.source,
                  other.lookup(arrival("a" + name, name, other.now + second))->fill.source);
    }
}

TEST_F(Plain, ARefusedConnectionMarksAndTheBackOffDoublesWithOneTrial) {
    const std::string name = homed("e1");
    ask(name, Outcome::connection_refused);
    EXPECT_NE(ask(name, Outcome::completed, CacheStatus::hit).fill.cache, CacheId{"e1"});
    b.pass(second * 2.1);
    const SendSeen* trial = b.lookup(next(name));
    ASSERT_TRUE(trial);
    EXPECT_EQ(trial->fill.cache, CacheId{"e1"});
    const std::size_t at = b.port.sends.size() - 1;
    EXPECT_NE(b.lookup(next(name))->fill.cache, CacheId{"e1"}) << "a herd, not one trial";
    b.answer(at, Outcome::connection_refused);
    b.pass(second * 2.1);
    EXPECT_NE(b.lookup(next(name))->fill.cache, CacheId{"e1"}) << "the back-off has not doubled";
    b.pass(second * 2.1);
    EXPECT_EQ(b.lookup(next(name))->fill.cache, CacheId{"e1"});
}

// Marks are told as they begin and end. A word from one that looks on behalf of all brings the trial forward,
// or puts it off by one longest back-off at most, however often it is said; without a mark it is nothing.
TEST_F(Plain, AWordOnAMarkedCacheMovesItsTrialWithinABound) {
    const std::string name = homed("e1");
    const auto goes = [&] { return b.lookup(next(name))->fill.cache == CacheId{"e1"}; };
    b.router.postpone_recovery_probe(b.now, CacheId{"e1"}, b.now + second * 100);
    EXPECT_TRUE(goes());
    b.answer(b.port.sends.size() - 1, Outcome::connection_refused);
    ASSERT_EQ(b.port.marks.size(), 1u);
    EXPECT_EQ(b.port.marks[0], (std::pair{CacheId{"e1"}, true}));
    EXPECT_FALSE(goes());
    b.router.postpone_recovery_probe(b.now, CacheId{"e1"}, b.now);
    EXPECT_TRUE(goes());
    b.answer(b.port.sends.size() - 1, Outcome::connection_refused);  // four seconds from here on
    for (int n = 0; n < 33; ++n, b.pass(second)) {
        b.router.postpone_recovery_probe(b.now, CacheId{"e1"}, b.now + second * 5);
        EXPECT_FALSE(goes()) << n;
    }
    b.pass(second * 2);
    EXPECT_TRUE(goes());
    b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::hit);
    EXPECT_EQ(b.port.marks.back(), (std::pair{CacheId{"e1"}, false}));
    EXPECT_EQ(b.port.marks.size(), 2u);
}

TEST_F(Plain, ACacheThatDiedReturnsColdBeforeTheListTells) {
    const std::string name = homed("e1");
    ask(name, Outcome::connection_refused);
    b.pass(second * 2.1);
    ask(name, Outcome::completed, CacheStatus::filled);
    int at_cold = 0;
    for (int n = 0; n < 100; ++n, b.pass(second * 0.01))
        at_cold += ask(name, Outcome::completed, CacheStatus::hit).fill.cache == CacheId{"e1"};
    EXPECT_LT(at_cold, 20);
}

TEST_F(Plain, AParentNotReachedIsMarkedThoughAllOthersAreToo) {
    for (const char* p : {"p1", "p2"}) {
        const std::string name = homed(p, true);
        ask(name, Outcome::overloaded, CacheStatus::source_unreachable);
    }
    EXPECT_EQ(fill_for("x", CacheStatus::via_origin).fill.source, CacheId{"o"});
}

TEST_F(Plain, FillsThatRunOutOfTimeAtEveryParentMarkNone) {
    for (int n = 0; n < 30; ++n) {
        const SendSeen* s = b.lookup(next("o" + std::to_string(n)));
        ASSERT_TRUE(s);
        const std::size_t at = b.port.sends.size() - 1;
        b.pass(second * 0.5);
        b.answer(at, Outcome::errored, CacheStatus::source_unreachable, true);
    }
    const CacheId source = ask("x", Outcome::completed, CacheStatus::filled).fill.source;
    EXPECT_TRUE(source == CacheId{"p1"} || source == CacheId{"p2"});
}

TEST_F(Plain, QuickErrorsMarkTheOneThatStandsOut) {
    const std::string name = homed("e2");
    for (int n = 0; n < 3; ++n) ask(name, Outcome::errored);
    EXPECT_NE(ask(name, Outcome::completed, CacheStatus::hit).fill.cache, CacheId{"e2"});
}

TEST_F(Plain, HeldCopiesSentTooLateMarkTheOneThatStandsOut) {
    const std::string name = homed("e2");
    for (int n = 0; n < 3; ++n) {
        ASSERT_TRUE(b.lookup(next(name)));
        const std::size_t at = b.port.sends.size() - 1;
        b.pass(second * 1.5);
        b.answer(at, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_NE(ask(name, Outcome::completed, CacheStatus::hit).fill.cache, CacheId{"e2"});
}

TEST_F(Plain, BrokenTransfersEverywhereMarkNoCache) {
    std::map<CacheId, int> seen;
    for (int n = 0; n < 200; ++n, b.pass(second * 0.1))
        ++seen[ask("o" + std::to_string(n % 50), n % 4 ? Outcome::completed : Outcome::connection_reset,
                   CacheStatus::none)
                   .fill.cache];
    for (const char* e : {"e1", "e2", "e3"}) EXPECT_GT(seen[CacheId{e}], 30) << e;
}

TEST_F(Plain, ABrokenTransferIsTriedOnceMoreAtTheCacheThatHoldsTheObject) {
    const CacheId home = b.lookup(next("x"))->fill.cache;
    b.answer(b.port.sends.size() - 1, Outcome::connection_reset);
    EXPECT_EQ(b.port.sends.back().fill.cache, home);
    b.answer(b.port.sends.size() - 1, Outcome::connection_reset);
    EXPECT_NE(b.port.sends.back().fill.cache, home);
}

TEST_F(Plain, ASilentCacheIsMarkedAndItsLookupsAreTakenBack) {
    const std::string mute = homed("e1"), other = homed("e2");
    for (int n = 0; n < 60; ++n) {
        b.lookup(next(mute));
        b.pass(second * 0.02);
        b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    b.lookup(next(mute));
    for (int n = 0; n < 30; ++n) {
        b.pass(second * 0.05);
        ask(other, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_FALSE(b.port.cancelled.empty());
    EXPECT_NE(ask(mute, Outcome::completed, CacheStatus::hit).fill.cache, CacheId{"e1"});
}

TEST_F(Plain, ASideEffectingLookupThatMayHaveRunFailsAtOnce) {
    b.lookup(next("x", 1));
    b.answer(b.port.sends.size() - 1, Outcome::errored);
    EXPECT_EQ(b.port.failed.size(), 1u);
    b.lookup(next("x", 1));
    b.answer(b.port.sends.size() - 1, Outcome::connection_refused);
    EXPECT_EQ(b.port.of[lookup_named("l1")].size(), 2u) << "a send that never ran may be followed by another";
}

TEST_F(Plain, APurgeBoundsTheAgeUntilOldCopiesAreGone) {
    b.pass(second);
    b.port.purged[ObjectName{"x"}] = b.now - second * 0.1;
    b.router.on_purge(b.now, second * 0.1, PurgeGroupId{3}, ObjectName{"x"});
    const SendSeen s = ask("x", Outcome::completed, CacheStatus::filled);
    EXPECT_GT(s.fill.max_age, Duration{});
    EXPECT_LE(s.fill.max_age, second * 0.1);
    EXPECT_EQ(ask("y", Outcome::completed, CacheStatus::hit).fill.max_age, Duration{});
    b.router.on_purge(b.now, Duration{}, PurgeGroupId{0}, std::nullopt);
    EXPECT_GT(ask("y", Outcome::completed, CacheStatus::hit).fill.max_age, Duration{});
}

TEST_F(Plain, AColdParentGetsOnlyItsBudget) {
    EndpointUpdate p = listing("p1", parent_machine, 30);
    p.started_at = b.now;
    b.list({p});
    int at_cold = 0;
    for (int n = 0; n < 400; ++n) {
        b.pass(second * 0.005);
        at_cold += fill_for("o" + std::to_string(n)).fill.source == CacheId{"p1"};
    }
    EXPECT_GT(at_cold, 0);
    EXPECT_LT(at_cold, 30);
}

TEST_F(Plain, WhileSendsOutliveTheirBudgetsOnlyHeldCopiesAreAskedFor) {
    for (int n = 0; n < 8; ++n) b.lookup(next("o" + std::to_string(n)));
    b.pass(second);
    // Signs of life from all, so that this is a jam and no silence.
    for (std::size_t n = 0; n < 3; ++n) b.answer(n, Outcome::completed, CacheStatus::hit);
    b.pass(second * 0.1);
    Request large = next("late");
    large.size_kb = 4000;
    const SendSeen* s = b.lookup(large);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->fill.source, s->fill.cache);
    b.answer(b.port.sends.size() - 1, Outcome::cache_miss);
    // What is known to be missing goes round the jam, within the origin's budget, or is nacked at once.
    int round = 0;
    for (int n = 0; n < 40 && b.port.nacked.empty(); ++n) {
        round += b.port.sends.back().fill.source == CacheId{"o"};
        EXPECT_FALSE(b.port.parents.contains(b.port.sends.back().fill.source));
        Request more = next("more" + std::to_string(n));
        more.size_kb = 4000;
        b.lookup(more);
        b.answer(b.port.sends.size() - 1, Outcome::cache_miss);
    }
    EXPECT_GT(round, 0);
    EXPECT_FALSE(b.port.nacked.empty());
}

TEST_F(Plain, AFailingOriginIsAskedForLess) {
    for (int n = 0; n < 30; ++n)
        ask("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    int held = 0;
    for (int n = 0; n < 100; ++n) {
        const SendSeen* s = b.lookup(next("o" + std::to_string(n)));
        ASSERT_TRUE(s);
        held += s->fill.only_if_cached;
        b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    EXPECT_GT(held, 50);
}

TEST_F(Plain, AFullHouseNacksLargeLookupsFirst) {
    int n = 0;
    for (; n < 500; ++n) {
        Request a = next("o" + std::to_string(n));
        a.size_kb = 2000;
        if (!b.lookup(a)) break;
    }
    EXPECT_LT(n, 500);
    Request small = next("small");
    small.size_kb = 20;
    EXPECT_TRUE(b.lookup(small));
}

TEST_F(Plain, AnObjectAskedForAgainRanksAboveThoseAskedForOnce) {
    ask("x", Outcome::completed, CacheStatus::filled);
    EXPECT_EQ(ask("x", Outcome::completed, CacheStatus::hit).fill.storage_rank, 3);
    EXPECT_EQ(ask("y", Outcome::completed, CacheStatus::filled).fill.storage_rank, 2);
    b.pass(second * 60);
    ask("z", Outcome::completed, CacheStatus::filled);
    b.pass(second * 60);
    EXPECT_EQ(ask("x", Outcome::completed, CacheStatus::hit).fill.storage_rank, 2)
        << "forgotten after two generations";
}

TEST_F(Plain, SizesNotToldAreLearnt) {
    for (const auto& [name, took] : {std::pair{"small", 0.02}, std::pair{"large", 2.0}}) {
        Request a = next(name);
        a.size_kb = 0;
        b.lookup(a);
        const std::size_t at = b.port.sends.size() - 1;
        b.pass(Duration::seconds(took));
        b.answer(at, Outcome::completed, CacheStatus::hit);
    }
    for (int n = 0; n < 500; ++n) {
        Request a = next("o" + std::to_string(n));
        a.size_kb = 2000;
        if (!b.lookup(a)) break;
    }
    Request small = next("small"), large = next("large");
    small.size_kb = large.size_kb = 0;
    EXPECT_FALSE(b.lookup(large));
    EXPECT_TRUE(b.lookup(small));
}

TEST_F(Plain, ALookupStaysWithItsHomeWhileFillsAreJammed) {
    const std::string name = homed("e1");
    for (int n = 0; n < 30; ++n) b.lookup(next(name));
    b.pass(second);
    // A sign of life from each cache, so that none is silent, and room at the others.
    std::map<CacheId, int> heard;
    for (std::size_t n = b.port.sends.size(); n-- > 0;) {
        const CacheId c = b.port.sends[n].fill.cache;
        if (b.port.sends[n].out && heard[c]++ < (c == CacheId{"e1"} ? 1 : 4))
            b.answer(n, Outcome::completed, CacheStatus::hit);
    }
    b.pass(second * 0.1);
    const SendSeen* s = b.lookup(next(name));
    ASSERT_TRUE(s);
    EXPECT_EQ(s->fill.cache, CacheId{"e1"});
}

TEST_F(Plain, LateFillsCutAParentsShareAndTheRestGoesToTheOrigin) {
    int round = 0;
    for (int n = 0; n < 200; ++n) {
        Request a = next("o" + std::to_string(n));
        a.size_kb = 20;
        ASSERT_TRUE(b.lookup(a));
        const bool origin = b.port.sends.back().fill.source == CacheId{"o"};
        round += origin;
        const std::size_t at = b.port.sends.size() - 1;
        b.pass(second * (origin ? 0.1 : 1.5));
        b.answer(at, Outcome::completed, origin ? CacheStatus::via_origin : CacheStatus::filled);
    }
    EXPECT_GT(round, 20);
    EXPECT_LT(round, 180);
}

TEST_F(Plain, ASlowOriginBehindAParentLeavesTheParentItsShare) {
    for (int n = 0; n < 40; ++n) {
        const std::string name = "o" + std::to_string(n);
        ASSERT_TRUE(b.lookup(next(name)));
        const std::size_t at = b.port.sends.size() - 1;
        EXPECT_TRUE(b.port.parents.contains(b.port.sends[at].fill.source));
        b.pass(second * 0.8);
        b.answer(at, Outcome::completed, CacheStatus::via_origin);
        b.pass(second * 20);
    }
}

TEST_F(Plain, ACutShareComesBackByTimeAlone) {
    for (int n = 0; n < 30; ++n, b.pass(second * 0.2))
        ask("o" + std::to_string(n), Outcome::overloaded, CacheStatus::origin_failed);
    b.pass(second * 30);
    for (int n = 0; n < 50; ++n)
        EXPECT_FALSE(ask("n" + std::to_string(n), Outcome::completed, CacheStatus::hit).fill.only_if_cached);
}

TEST_F(Plain, ACacheThatOnlyTurnsAwayIsSilent) {
    const std::string mute = homed("e1"), other = homed("e2");
    for (int n = 0; n < 60; ++n) {
        b.lookup(next(mute));
        b.pass(second * 0.02);
        b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::hit);
    }
    b.lookup(next(mute));
    for (int n = 0; n < 30; ++n) {
        b.pass(second * 0.05);
        ask(other, Outcome::completed, CacheStatus::hit);
        ask(mute, Outcome::overloaded);
    }
    EXPECT_NE(ask(mute, Outcome::completed, CacheStatus::hit).fill.cache, CacheId{"e1"});
}

// Some of what e1 gets is never answered, the rest at once: its sends that stay out are no jam, it is looked
// at first, and a look that does not come back goes out there once more.
TEST_F(Plain, ACacheThatLeavesSomeSendsUnansweredIsLookedAtFirst) {
    const std::string mine = homed("e1"), other = homed("e2");
    std::vector<std::pair<TimePoint, std::size_t>> unanswered;
    for (int n = 0; n < 200; ++n) {
        for (const std::string& object : {mine, other}) {
            Request a = next(object);
            a.deadline = b.now + second;
            ASSERT_TRUE(b.lookup(a));
            const std::size_t at = b.port.sends.size() - 1;
            b.pass(second * 0.02);
            if (object == mine && n % 4 == 0)
                unanswered.emplace_back(a.deadline, at);
            else
                b.answer(at, Outcome::completed, CacheStatus::hit);
        }
        b.pass(second * 0.06);
        while (!unanswered.empty() && unanswered.front().first <= b.now) {
            b.answer(unanswered.front().second, Outcome::deadline_exceeded, CacheStatus::none, true);
            unanswered.erase(unanswered.begin());
        }
    }
    ASSERT_TRUE(b.lookup(next(other)));
    EXPECT_FALSE(b.port.sends.back().fill.only_if_cached) << "taken for a jam";
    ASSERT_TRUE(b.lookup(next(mine)));
    const SendSeen look = b.port.sends.back();
    EXPECT_TRUE(look.fill.only_if_cached && look.fill.cache == CacheId{"e1"});
    ASSERT_GT(look.fill.timeout, Duration{});
    EXPECT_LT(look.fill.timeout, kind_of(Effect::idempotent).latency_objective);
    const std::size_t at = b.port.sends.size() - 1;
    b.pass(second * 0.02);
    ask(mine, Outcome::completed, CacheStatus::hit);
    b.answer(at, Outcome::deadline_exceeded);
    EXPECT_EQ(b.port.sends.back().id, look.id);
    EXPECT_EQ(b.port.sends.back().fill.cache, CacheId{"e1"});
}

TEST_F(Plain, TheOriginInPlaceOfParentsIsChargedForFillsAlone) {
    for (const char* p : {"p1", "p2"}) {
        EndpointUpdate l = listing(p, parent_machine, 30);
        l.status = EndpointStatus::removed;
        b.list({l});
    }
    int held = 0;
    for (int n = 0; n < 400; ++n, b.pass(second * 0.01)) {
        ASSERT_TRUE(b.lookup(next("h" + std::to_string(n))));
        b.answer(b.port.sends.size() - 1, Outcome::completed, CacheStatus::hit);
        held += b.port.nacked.empty();
    }
    EXPECT_EQ(held, 400) << "hits used up what fills may take";
    for (int n = 0; n < 400 && b.port.nacked.empty(); ++n) {
        ASSERT_TRUE(b.lookup(next("m" + std::to_string(n))));
        while (b.port.open.contains(b.port.sends.back().id))
            b.answer(
                b.port.sends.size() - 1,
                b.port.sends.back().fill.source == CacheId{"o"} ? Outcome::completed : Outcome::cache_miss,
                b.port.sends.back().fill.source == CacheId{"o"} ? CacheStatus::via_origin
                                                                : CacheStatus::none);
    }
    EXPECT_FALSE(b.port.nacked.empty()) << "fills are not bounded";
}

// Ten gateways share each cache: what its held copies take tells of the other nine.
TEST(Crowd, ManyGatewaysPassOverACacheThatSendsHeldCopiesSlowlyTheLargestLookupsFirst) {
    for (const auto& [took, small_stays] : {std::pair{0.7, true}, std::pair{1.7, false}}) {
        Deployment d = deployment();
        d.gateways_in_location = 10;
        d.kinds[0].latency_objective = second * 2;
        Bench b{d};
        const SendSeen* first = b.lookup(arrival("a", "x", b.now + second * 5));
        ASSERT_TRUE(first);
        const CacheId home = first->fill.cache;
        b.pass(Duration::seconds(took));
        b.answer(0, Outcome::completed, CacheStatus::hit);
        Request small = arrival("small", "x", b.now + second * 5), large = small;
        large.id = lookup_named("large");
        large.size_kb = 50000;
        const SendSeen* s = b.lookup(large);
        EXPECT_TRUE(s && s->fill.cache != home);
        s = b.lookup(small);
        ASSERT_TRUE(s);
        EXPECT_EQ(s->fill.cache == home, small_stays);
        b.pass(second * 60);
        s = b.lookup(arrival("later", "x", b.now + second * 5));
        EXPECT_TRUE(s && s->fill.cache == home) << "what it showed has faded";
    }
}

// Over a hundred gateways hear of one cold parent at the same instant, and each keeps to its share.
TEST(Fleet, AHundredGatewaysTogetherDoNotPushOverAColdParent) {
    Deployment d = deployment();
    d.gateways = 120;
    d.gateways_in_location = 4;
    std::vector<std::unique_ptr<Bench>> all;
    for (int g = 0; g < d.gateways; ++g) {
        all.push_back(std::make_unique<Bench>(d, static_cast<std::uint64_t>(g) * 7919 + 1));
        EndpointUpdate p = listing("p1", parent_machine, 30);
        p.started_at = all.back()->now;
        all.back()->list({p});
    }
    std::vector<double> asked;  // sending time asked of it, by half seconds
    int made = 0;
    for (int step = 0; step < 60; ++step) {
        asked.push_back(0);
        for (auto& gateway : all) {
            Bench& b = *gateway;
            for (int n = 0; n < 4; ++n) {
                const std::string id = std::to_string(made++);
                const std::size_t from = b.port.sends.size();
                b.lookup(arrival("l" + id, "o" + id, b.now + second * 5));
                for (std::size_t s = from; s < b.port.sends.size(); ++s) {
                    const AttemptPlan f = b.port.sends[s].fill;
                    asked.back() += f.source == CacheId{"p1"} ? 500 / d.transfer_rate_kb_per_s : 0;
                    b.answer(s, f.source == f.cache ? Outcome::cache_miss : Outcome::completed,
                             f.source == f.cache ? CacheStatus::none : CacheStatus::filled);
                }
            }
            b.pass(second * 0.5);
        }
        double sum = 0;
        for (int w = std::max(0, step - 3); w <= step; ++w) sum += asked[static_cast<std::size_t>(w)];
        const double present = std::min(1.0, 0.06 + 0.94 * std::max(0, step - 3) * 0.5 / 20);
        EXPECT_LT(sum, 2 * present * 30 * 2) << "step " << step;
    }
    double early = 0;
    for (int w = 0; w < 16; ++w) early += asked[static_cast<std::size_t>(w)];
    EXPECT_GT(early, 0.2 * 30 * 8 * 0.25) << "too little use of what it can do";
}

// The counterexample that a search over seeds found: what went to a new process before its start was told is
// load of it, and counts once it is told. Without that the gateway sends on from a fresh budget.
class ToldLate : public Plain, public ::testing::WithParamInterface<const char*> {
protected:
    // What the member is asked for, as cache or as source, while so many lookups come in this time.
    int asked_while(int lookups, Duration each) {
        const CacheId member{GetParam()};
        int asked = 0;
        for (int n = 0; n < lookups; ++n, b.pass(each)) {
            const std::size_t from = b.port.sends.size();
            fill_for("o" + std::to_string(made));
            for (std::size_t s = from; s < b.port.sends.size(); ++s)
                asked += b.port.sends[s].fill.cache == member || b.port.sends[s].fill.source == member;
        }
        return asked;
    }
};

TEST_P(ToldLate, AStartThatIsToldLateFindsWhatWasSentSince) {
    const bool parent = GetParam()[0] == 'p';
    EndpointUpdate l = listing(GetParam(), parent ? parent_machine : edge_machine, 6);
    b.list({l});
    l.started_at = b.now;
    EXPECT_GT(asked_while(100, second * 0.01), 15);
    b.list({l});
    EXPECT_EQ(asked_while(50, second * 0.01), 0) << "what went there is still in the window";
    b.pass(second * 2);
    EXPECT_GT(asked_while(200, second * 0.01), 0) << "it never comes back";
}

INSTANTIATE_TEST_SUITE_P(AsCacheAndAsSource, ToldLate, ::testing::Values("e1", "p1"));

// Large lookups that seemed small, or small ones that came while much was saved up, count as what they are.
TEST_F(Plain, AColdCacheIsChargedWhatALookupIsNotWhatItsKindIsOnAverage) {
    EndpointUpdate l = listing("e1", edge_machine, 6);
    l.started_at = b.now;
    b.list({l});
    double work = 0;
    for (int n = 0; n < 400; ++n, b.pass(second * 0.005)) {
        Request a = next("o" + std::to_string(n));
        a.size_kb = 20000;
        const SendSeen* s = b.lookup(a);
        if (!s) continue;
        work += s->fill.cache == CacheId{"e1"} ? a.size_kb / b.port.told.transfer_rate_kb_per_s : 0;
        // Nothing is completed: the kind's average stays where it was.
        b.answer(b.port.sends.size() - 1, Outcome::cache_miss, CacheStatus::none, true);
    }
    EXPECT_GT(work, 0) << "it is never asked";
    // Two seconds at most twice what it can do by then, shared by two gateways, and one lookup.
    EXPECT_LE(work, 2 * (0.2 + 0.8 * 2 / 15) * 6 * 2 / 2 + 4);
}

// All gateways of a location hear late of one start, at the moment at which each has sent it most.
TEST(Fleet, GatewaysToldLateTogetherDoNotPushOverAColdCache) {
    Deployment d = deployment();
    d.gateways = d.gateways_in_location = 8;
    std::vector<std::unique_ptr<Bench>> all;
    for (int g = 0; g < d.gateways; ++g)
        all.push_back(std::make_unique<Bench>(d, static_cast<std::uint64_t>(g) * 7919 + 1));
    std::vector<double> asked;  // sending time asked of it, by tenths of a second
    int made = 0;
    for (int step = 0; step < 80; ++step) {
        asked.push_back(0);
        for (auto& gateway : all) {
            Bench& b = *gateway;
            EndpointUpdate l = listing("e1", edge_machine, 6);
            l.started_at = TimePoint::at_seconds(100.1);
            if (step == 15) b.list({l});
            for (int n = 0; n < 3; ++n) {
                const std::string id = std::to_string(made++);
                if (!b.lookup(arrival("l" + id, "o" + id, b.now + second * 5))) continue;
                const std::size_t s = b.port.sends.size() - 1;
                asked.back() +=
                    b.port.sends[s].fill.cache == CacheId{"e1"} ? 500 / d.transfer_rate_kb_per_s : 0;
                b.answer(s, Outcome::completed, CacheStatus::hit);
            }
            b.pass(second * 0.1);
        }
        double window = 0;
        for (int w = std::max(0, step - 19); w <= step; ++w) window += asked[static_cast<std::size_t>(w)];
        const double present = std::min(1.0, 0.2 + 0.8 * step * 0.1 / 15);
        const bool pressed = window > 2 * present * 6 * 2;
        EXPECT_FALSE(step >= 15 && pressed && asked.back() > 0) << "step " << step;
        EXPECT_FALSE(step > 40 && pressed) << "step " << step;
    }
    double late = 0;
    for (std::size_t w = 50; w < 80; ++w) late += asked[w];
    EXPECT_GT(late, 0.3 * 6 * 3 * 0.25) << "too little use of what it can do";
}

TEST_F(Plain, AnswersForWhatIsNoLongerHeldArePassedOver) {
    AttemptResult a;
    a.request = lookup_named("unknown");
    b.router.on_attempt_result(b.now, a);
    b.router.on_client_closed(b.now, lookup_named("unknown"));
    EXPECT_TRUE(b.port.sends.empty());
}

}  // namespace
