// What the decisions say of a send that has waited, when its first byte could go: the client, the window, a
// start told meanwhile; and what ends when the process does.
#include "support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

const Span second = Span::seconds(1);

class Waiting : public ::testing::Test {
protected:
    Bench b;
    bool may_begin(std::size_t s) { return b.router.may_begin(b.now, b.port.sends[s].id, b.port.sends[s].n); }
    std::size_t last() const { return b.port.sends.size() - 1; }
    void TearDown() override { EXPECT_TRUE(b.port.broken.empty()) << b.port.broken.front(); }
};

TEST_F(Waiting, AClientThatHasLeftLetsNothingBegin) {
    ASSERT_TRUE(b.lookup(arrival("l", "x", b.now + second * 5)));
    EXPECT_TRUE(may_begin(last()));
    b.router.on_client_gone(b.now, LookupId{"l"});
    EXPECT_FALSE(may_begin(last()));
    b.port.open.clear();
}

TEST_F(Waiting, AWindowRunsOutFromTheFirstSendThatMayHaveRun) {
    ASSERT_TRUE(b.lookup(arrival("l", "x", b.now + second * 5, 2)));
    b.answer(last(), Outcome::severed);
    ASSERT_EQ(b.port.sends.size(), 2u);
    b.pass(second * 1.9);
    EXPECT_TRUE(may_begin(1));
    b.pass(second * 0.2);
    EXPECT_FALSE(may_begin(1));
    // Told as never run, it ends the lookup: nothing else may go either.
    b.answer(1, Outcome::saturated);
    EXPECT_EQ(b.port.sends.size(), 2u);
    EXPECT_EQ(b.port.nacked.size(), 1u);
}

TEST_F(Waiting, AStartToldMeanwhileHoldsItToItsBudget) {
    const SendSeen* s = b.lookup(arrival("l", "x", b.now + second * 5));
    ASSERT_TRUE(s);
    const std::size_t n = last();
    Listing again = usual_list()[0];
    for (const Listing& l : usual_list())
        if (l.cache == s->fill.cache) again = l;
    b.pass(second);
    again.started = b.now;
    b.list({again});
    b.pass(Span::micros(1000));
    EXPECT_FALSE(may_begin(n)) << "a gateway that has just heard of a start has nothing to spend";
    b.pass(second * 4);
    EXPECT_TRUE(may_begin(n));
    EXPECT_TRUE(may_begin(n)) << "judged once, it is not charged again";
}

TEST_F(Waiting, ASourceThatBeganAgainCountsTheSame) {
    const SendSeen* s = b.lookup(arrival("l", "x", b.now + second * 5));
    ASSERT_TRUE(s);
    ASSERT_NE(s->fill.source, s->fill.cache);
    const std::size_t n = last();
    for (Listing l : usual_list()) {
        if (l.cache != s->fill.source) continue;
        b.pass(second);
        l.started = b.now;
        b.list({l});
    }
    b.pass(Span::micros(1000));
    EXPECT_FALSE(may_begin(n));
}

// A process that ends by then gives each lookup up by its effect, not sooner.
TEST_F(Waiting, LookupsEndWithTheProcess) {
    for (const std::size_t kind : {0u, 1u})
        ASSERT_TRUE(b.lookup(arrival(kind ? "w" : "r", "x", b.now + second * 5, kind)));
    b.router.on_leaving(b.now, b.now + second);
    b.pass(second * 0.5);
    EXPECT_TRUE(b.port.nacked.empty() && b.port.failed.empty());
    b.pass(second * 0.5);
    for (const std::size_t s : {0u, 1u}) b.answer(s, Outcome::overdue);
    EXPECT_EQ(b.port.sends.size(), 2u);
    EXPECT_EQ(b.port.nacked, std::vector<LookupId>{LookupId{"r"}});
    EXPECT_EQ(b.port.failed, std::vector<LookupId>{LookupId{"w"}});
    // One that comes later still has no more time than that.
    b.lookup(arrival("late", "x", b.now + second * 5));
    EXPECT_EQ(b.port.nacked.size(), 2u);
}

// A deduplicated lookup that may only be repeated within its cell stays there when the cache that had it is
// long gone.
TEST(Forgetting, ACacheLongGoneStillNamesTheCellOfItsSends) {
    Deployment d = deployment();
    d.kinds[2].group = DedupGroup::cell;
    d.kinds[2].window = second * 200;
    d.kinds[2].deadline = second * 200;
    d.permits.sends = 2;
    std::vector<Listing> first = usual_list();
    first.resize(3);  // e1, e2 of cell 0 and e3 of cell 1
    first.push_back(usual_list()[5]);
    Bench b(d, 7, first);
    std::string name;
    for (int n = 0; name.empty(); ++n) {
        ASSERT_LT(n, 200);
        const std::string id = "o" + std::to_string(n);
        if (b.lookup(arrival(id, id, b.now + second * 200, 2))->fill.cache == CacheId{"e3"})
            name = id;
        else
            b.answer(b.port.sends.size() - 1, Outcome::completed, Note::filled);
    }
    const std::size_t at = b.port.sends.size() - 1;
    Listing gone = first[2];
    gone.phase = Phase::gone;
    b.list({gone});
    // Its answer is owed: the record stays. When it has come, and a list after the longest warm-up, it goes.
    b.pass(second * 30);
    b.list({first[0]});
    const std::size_t before = b.port.sends.size();
    b.answer(at, Outcome::severed);
    EXPECT_EQ(b.port.sends.size(), before) << "sent again outside its cell";
    EXPECT_TRUE(b.port.broken.empty()) << b.port.broken.front();
}

}  // namespace
