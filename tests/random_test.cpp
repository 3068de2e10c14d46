// Seeded random runs: settings, events and their order are drawn, and the rules are checked at every step.
#include <rapidcheck.h>

#include "support.hpp"

using namespace irismux;
using namespace irismux::testing;

namespace {

int draw(int low, int high) { return *rc::gen::inRange(low, high + 1); }
bool toss() { return draw(0, 1) == 1; }

Deployment drawn_deployment() {
    Deployment d = deployment();
    d.gateways_here = toss() ? draw(1, 3) : draw(4, 12);
    d.gateways = d.gateways_here + (toss() ? draw(0, 4) : draw(60, 150));
    d.locations = draw(1, 25);
    d.permits.notes = static_cast<Notes>(draw(0, 2));
    d.origin_falls = toss();
    d.pipe_here_kb_per_s = toss() ? 0 : draw(5, 80) * 1000.0;
    d.pipes_all_kb_per_s = d.pipe_here_kb_per_s * d.locations;
    d.permits.cancel = toss();
    d.permits.second_copies = toss();
    d.permits.direct = toss();
    d.permits.joins = toss();
    d.permits.retry_after = toss();
    d.permits.sends = draw(1, 8);
    d.weights_told = true;
    d.cold_edge = {draw(10, 40) / 100.0, Span::seconds(draw(5, 20)), static_cast<double>(draw(2, 4))};
    d.cold_parent = {draw(5, 15) / 100.0, Span::seconds(draw(10, 25)), 2};
    for (ObjectKind& k : d.kinds) {
        k.group = static_cast<DedupGroup>(draw(0, 2));
        k.window = Span::seconds(draw(1, 5));
        k.uncacheable = k.effect == Effect::side_effecting || (k.effect == Effect::deduplicated && toss());
        if (k.effect == Effect::idempotent && toss()) {
            k.fresh = Span::seconds(draw(5, 20));
            k.grace = Span::seconds(draw(0, 10));
        }
    }
    return d;
}

// One gateway's life, from its start to its being killed.
class Life {
public:
    explicit Life(const Deployment& d, std::uint64_t seed) : b_(d, seed) {}

    void step() {
        const int what = draw(0, 99);
        if (what < 40) {
            Arrival a =
                arrival("l" + std::to_string(made_++), "o" + std::to_string(draw(0, 12)),
                        b_.now + Span::seconds(draw(1, 40) / 10.0), static_cast<std::size_t>(draw(0, 2)));
            a.group = GroupNo{draw(0, 2)};
            b_.lookup(a);
        } else if (what < 70) {
            answer_one();
        } else if (what < 85) {
            pass(Span::seconds(draw(1, 300) / 1000.0));
        } else if (what < 92) {
            change_list();
        } else if (what < 97) {
            const ObjectName object{"o" + std::to_string(draw(0, 12))};
            const Span age = Span::seconds(draw(0, 400) / 1000.0);
            b_.port.purged[object] = b_.now - age;
            b_.router.on_purge(b_.now, age, GroupNo{0}, object);
        } else if (!b_.port.open.empty()) {
            const LookupId id = b_.port.open.begin()->first;
            b_.port.open.erase(id);
            b_.router.on_client_gone(b_.now, id);
        }
        check();
    }

private:
    Bench b_;
    int made_ = 0, waves_ = 0;
    bool ageing_ = toss();  // whether e1 answers only now and then, and late

    void answer_one() {
        std::vector<std::size_t> out;
        for (std::size_t s = 0; s < b_.port.sends.size(); ++s)
            if (b_.port.sends[s].out) out.push_back(s);
        if (out.empty()) return;
        const std::size_t s = out[static_cast<std::size_t>(draw(0, static_cast<int>(out.size()) - 1))];
        if (ageing_ && b_.port.sends[s].fill.cache == CacheId{"e1"} && draw(0, 4) > 0) return;
        const Outcome o = toss() ? Outcome::completed : static_cast<Outcome>(draw(0, 8));
        // Only a lookup that is over can be superseded, or overdue at its deadline.
        if (o == Outcome::superseded || o == Outcome::overdue) return;
        b_.answer(s, o, static_cast<Note>(draw(0, 10)));
    }

    void pass(Span s) {
        b_.pass(s);
        for (std::size_t n = 0; n < b_.port.sends.size(); ++n) {
            const auto it = b_.port.open.find(b_.port.sends[n].id);
            if (it == b_.port.open.end() || it->second.expires > b_.now) continue;
            b_.answer(n, Outcome::overdue);
        }
    }

    void change_list() {
        std::vector<Listing> all = usual_list();
        const int what = draw(0, 9);
        if (what == 0) {  // a rack restarts at once
            for (std::size_t e = 0; e < 2; ++e) all[e].started = b_.now;
            return b_.list({all[0], all[1]});
        }
        Listing l = all[static_cast<std::size_t>(draw(0, 4))];
        if (what <= 2) {  // a wave: one drains or is gone, and a machine of a new id takes its place
            l.phase = toss() ? Phase::draining : Phase::gone;
            Listing next = listing(l.cache.raw() + std::to_string(++waves_), l.machine, l.weight);
            next.started = b_.now;
            if (l.machine == parent_machine) b_.port.parents.insert(next.cache);
            return b_.list({l, next});
        }
        l.phase = static_cast<Phase>(draw(0, 2));
        if (l.phase == Phase::in_service) l.started = b_.now - Span::seconds(draw(0, 3));
        b_.list({l});
    }

    void check() {
        if (!b_.port.broken.empty()) RC_FAIL(b_.port.broken.front());
        for (const auto& [id, a] : b_.port.open) {
            bool out = false;
            for (const std::size_t s : b_.port.of[id]) out = out || b_.port.sends[s].out;
            if (!out) RC_FAIL("1: a lookup is held with nothing out: " + id.raw());
            if (a.expires <= b_.now - b_.port.told.tick * 2 && !out) RC_FAIL("1: past its deadline");
        }
    }
};

TEST(Random, EveryStepKeepsTheRules) {
    EXPECT_TRUE(rc::check("every step keeps the rules", [] {
        const Deployment d = drawn_deployment();
        for (int life = 0; life < 2; ++life) {
            Life gateway(d, static_cast<std::uint64_t>(draw(0, 1 << 20)));
            const int steps = draw(50, 400);
            for (int n = 0; n < steps; ++n) gateway.step();
        }
    }));
}

}  // namespace
