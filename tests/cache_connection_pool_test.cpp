// The client side alone: connections to caches that end, stall or spoil what they say.
#include <deque>

#include "base/log.hpp"
#include "codec/resp.hpp"
#include "gateway/gateway.hpp"
#include "router_test_support.hpp"
#include "testing/sockets.hpp"

namespace irismux::testing {
namespace {

using stand_ins::Acceptor;
using stand_ins::StandInConnection;

// The client side alone, before caches that answer as told.
struct CachesDay final : AttemptObserver, ResponseSender {
    EventLoop loop;
    Deployment d = deployment();
    EndpointTable roster{d.purge_retention};
    std::unique_ptr<CacheConnectionPool> caches;
    std::vector<std::shared_ptr<StandInConnection>> wires;
    std::map<std::string, std::unique_ptr<Acceptor>> accepts;  // by cache
    std::vector<std::string> pulled, done;                     // ids in order
    std::map<std::string, Outcome> outcomes;
    std::map<std::string, Duration> took;
    std::deque<std::shared_ptr<ActiveRequest>> lookups;
    bool lingers = false, hears = true;  // its ends are no resets; it reads
    int looks = 0;                       // of looks, those that arrived
    bool quiet = false;                  // nothing is to be told now
    std::function<void(StandInConnection&, const std::string&)> then;
    std::function<bool(Poco::Net::StreamSocket&)> accepted = [](auto&) { return true; };

    explicit CachesDay(std::size_t links, int backlog = 64) {
        log::set_level(log::Level::error);
        then = [this](StandInConnection& w, const std::string& id) { say(w, id, "NONE", "-", ""); };
        std::vector<std::pair<EndpointUpdate, std::string>> lines;
        for (const char* id : {"e1", "e2"}) {
            accepts[id] = std::make_unique<Acceptor>(
                loop, [this](Poco::Net::StreamSocket s) { take(std::move(s)); }, backlog);
            lines.emplace_back(endpoint_update(id, edge_machine), accepts[id]->address());
        }
        roster.apply(lines, true);
        caches = std::make_unique<CacheConnectionPool>(
            loop, roster, *this, d,
            CacheConnectionLimits{links, 10, Duration::seconds(0.2), Duration::seconds(5), d.timer_resolution,
                                  Duration::seconds(0.2)});
    }
    ~CachesDay() override {
        caches->close_all();
        for (const auto& w : wires) w->close();
    }
    void take(Poco::Net::StreamSocket s) {
        if (!lingers) s.setLinger(true, 0);
        if (!accepted(s)) return;
        wires.push_back(std::make_shared<StandInConnection>(loop, std::move(s)));
        wires.back()->got = [this, raw = wires.back().get()](Buffer& in) {
            resp::Arguments w;
            std::size_t used = 0;
            while (raw->state() == ConnectionState::open &&
                   resp::parse_array(in.view(), w, used) == ParseStatus::complete) {
                const std::string word(w[0]), id(w[1]);
                in.consumed(used);
                looks += word == "ECHO";
                if (word != "PULL") continue;
                pulled.push_back(id);
                then(*raw, id);
            }
        };
        if (!hears) wires.back()->hear_little();
        wires.back()->start();
        if (!hears) wires.back()->start_reading(false);
    }
    void say(StandInConnection& w, const std::string& id, const char* word, const char* fields,
             const std::string& body) {
        resp::write_array(w.out(), {id, word, fields, body});
        w.write();
    }
    void ask(const std::string& id, const std::string& cache = "e1", std::string body = {}) {
        ClientRequest a;
        a.body = std::move(body);
        a.request = request_for(id, "a1", loop.now() + Duration::seconds(1));
        a.client_request_id = ClientRequestId{id};
        a.client_etag = "k1";
        lookups.push_back(std::make_shared<ActiveRequest>(*this, ClientStream{}, std::move(a)));
        Attempt s;
        s.cache = CacheId{cache};
        s.decided_at = loop.now();
        lookups.back()->add_attempt(std::move(s));
        caches->start_attempt(*lookups.back(), 0);
    }
    void run(double seconds) {
        loop.schedule_at(loop.now() + Duration::seconds(seconds), [this] { loop.stop(); });
        loop.run();
    }
    // Once that is so, the next; after the last the loop ends. Ten seconds at most.
    struct Step {
        std::function<bool()> so;
        std::function<void()> then;
    };
    void play(std::vector<Step> given) {
        steps = std::move(given);
        std::reverse(steps.begin(), steps.end());
        look();
        run(10);
        EXPECT_TRUE(steps.empty()) << steps.size() << " steps were not reached";
    }
    void look() {
        while (!steps.empty() && steps.back().so()) {
            const auto next = steps.back().then;
            steps.pop_back();
            next();
        }
        if (steps.empty()) return loop.stop();
        loop.schedule_at(loop.now() + Duration::micros(500), [this] { look(); });
    }
    std::vector<Step> steps;
    void on_attempt_ended(ActiveRequest& x, std::size_t n, const AttemptEnd& e) override {
        EXPECT_FALSE(quiet) << x.client_request_id().raw();
        outcomes[x.client_request_id().raw()] = e.outcome;
        took[x.client_request_id().raw()] = loop.now() - x.attempt(n).decided_at;
        done.push_back(x.client_request_id().raw());
    }
    void on_health_check_result(const HealthCheckResult&) override {}
    bool may_begin_attempt(ActiveRequest& x, std::size_t) override {
        return !refused.contains(x.client_request_id().raw());
    }
    void on_request_id_in_use(ActiveRequest& x, std::size_t) override {
        names_in_use.push_back(x.client_request_id().raw());
    }
    std::vector<std::string> names_in_use;
    std::set<std::string> refused;  // whose sends may not begin any more
    void send_response(const ClientStream&, std::string_view, bool) override {}
    void send_rejection(const ClientStream&, Duration) override {}
    void send_failure(const ClientStream&) override {}
};

// A cache that resets its connection just before sends go out: they go out on another, and the gateway does
// not write to the first one for ever.
TEST(Caches, AFailedWriteEndsTheConnectionOnce) {
    CachesDay day(1);
    day.ask("b1");
    day.loop.schedule_at(day.loop.now() + Duration::seconds(0.2), [&] {
        day.wires.at(0)->close();
        day.ask("b2");
        day.ask("b3");
    });
    day.run(0.6);
    EXPECT_EQ(day.pulled, (std::vector<std::string>{"b1", "b2", "b3"}));
    for (const char* id : {"b1", "b2", "b3"}) EXPECT_EQ(day.outcomes.at(id), Outcome::cache_miss) << id;
}

// What can't be an answer, or stops short, ends its connection: nothing of it counts, and what else waited
// there is told to have been broken off, soon.
TEST(Caches, NothingOfASpoiltAnswerCounts) {
    const std::string head = "*4\r\n$2\r\nb2\r\n$3\r\nHIT\r\n", mark = "$16\r\ntag=k1,minted=99\r\n";
    const std::vector<std::string> spoilt = {
        "noise and no line",
        "*4\r\n$2\r\nb2\r\n$3\r\nHIT\r\n$3000000000\r\n",
        head + mark + "$3000000000\r\nabc",
        head + mark + "$240001\r\nabc",
        head + mark + "$2\r\nabc\r\n",
        head + "$1\r\n-\r\n$2\r\nab\r\n",
        head + "$16\r\ntag=k1,minted=x9\r\n$2\r\nab\r\n",
        head + "$16\r\ntag=k1,minted 99\r\n$2\r\nab\r\n",
        "*3\r\n$2\r\nb2\r\n$3\r\nHIT\r\n" + mark,
        "*4\r\n$2\r\nb2\r\n$3\r\nHIX\r\n" + mark + "$2\r\nab\r\n",
        "*4\r\n$2\r\nb2\r\n$5\r\nVALID\r\n$16\r\ntag=k2,minted=99\r\n$0\r\n\r\n",
        "*4\r\n$2\r\nb2\r\n$5\r\nVALID\r\n" + mark + "$1\r\na\r\n",
        head + mark + "$9\r\nabc"};
    for (const std::string& bytes : spoilt) {
        CachesDay day(1);
        day.then = [&](StandInConnection& w, const std::string& id) {
            if (id == "b1") return;  // waits
            w.out().append(bytes);
            w.write();
        };
        day.ask("b1");
        day.ask("b2");
        day.run(0.35);
        ASSERT_EQ(day.outcomes.size(), 2u) << bytes;
        EXPECT_EQ(day.outcomes.at("b1"), Outcome::connection_reset) << bytes;
        EXPECT_EQ(day.outcomes.at("b2"), Outcome::connection_reset) << bytes;
    }
}

// More than belongs to an answer harms nobody.
TEST(Caches, SecondCopiesAndUnknownIdsAreLeftOut) {
    CachesDay day(1);
    day.then = [&](StandInConnection& w, const std::string& id) {
        day.say(w, "ffff", "HIT", "tag=k1,minted=99", "of nobody");
        for (int i = 0; i < 2; ++i) day.say(w, id, "VALID", "tag=k1,minted=99,n=cached", "");
    };
    for (const char* id : {"b1", "b2", "b3"}) day.ask(id);
    day.run(0.2);
    EXPECT_EQ(day.done, (std::vector<std::string>{"b1", "b2", "b3"}));
    for (const auto& [id, o] : day.outcomes) EXPECT_EQ(o, Outcome::completed) << id;
}

// A cache that takes connections and resets each lives; one that refuses them is told as that; and a send
// for which we have no connection to spare waits for one, and is told of no cache.
TEST(Caches, WhatIsToldIsWhatWasSeen) {
    CachesDay day(1);
    bool resetting = true;
    day.accepted = [&](Poco::Net::StreamSocket& s) {
        if (resetting) s.close();
        return !resetting;
    };
    day.ask("b1");
    day.loop.schedule_at(day.loop.now() + Duration::seconds(0.1), [&] {
        // Which of the two is seen depends on whether the send had gone out whole before the reset came.
        EXPECT_TRUE(day.outcomes.at("b1") == Outcome::overloaded ||
                    day.outcomes.at("b1") == Outcome::connection_reset);
        resetting = false;
        day.then = [&](StandInConnection& w, const std::string& id) {
            day.loop.schedule_at(day.loop.now() + Duration::seconds(0.15),
                                 [&day, &w, id] { day.say(w, id, "NONE", "-", ""); });
        };
        day.ask("b2", "e1");
        day.ask("b3", "e2");  // the one connection is at work
    });
    day.loop.schedule_at(day.loop.now() + Duration::seconds(0.8), [&] {
        EXPECT_EQ(day.outcomes.at("b2"), Outcome::cache_miss);
        EXPECT_EQ(day.outcomes.at("b3"), Outcome::cache_miss);
        EXPECT_GT(day.took.at("b3"), Duration::seconds(0.15));
        day.accepts.at("e1").reset();
        for (const auto& w : day.wires) w->close();
        day.ask("b4", "e1");
    });
    day.run(1.0);
    EXPECT_EQ(day.outcomes.at("b4"), Outcome::connection_refused);
}

// While no new connection to a cache comes up, what waits for one goes out with the first answer on another.
TEST(Caches, AnAnswerElsewhereTakesAlongWhatWaitsToConnect) {
    CachesDay day(8, 0);
    std::vector<Poco::Net::StreamSocket> in_the_way(3);
    day.then = [&](StandInConnection& w, const std::string& id) {
        day.loop.schedule_at(day.loop.now() + Duration::seconds(0.05),
                             [&day, &w, id] { day.say(w, id, "NONE", "-", ""); });
    };
    day.ask("b1");
    day.loop.schedule_at(day.loop.now() + Duration::seconds(0.02), [&] {
        day.accepts.at("e1")->stop();
        for (auto& s : in_the_way) s.connectNB(Poco::Net::SocketAddress(day.accepts.at("e1")->address()));
        day.ask("b2");
    });
    day.run(0.18);  // sooner than a connection is given up
    EXPECT_EQ(day.pulled, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(day.done, (std::vector<std::string>{"b1", "b2"}));
}

// A cache ends a resting connection in the moment in which a lookup is to go there: it goes on another, and
// is not told as broken off. Guarded by Link::ended_unheard in CacheLink::on_room.
TEST(Caches, NothingIsWrittenToAConnectionThatHasJustEnded) {
    CachesDay day(4);
    day.lingers = true;
    day.ask("b1");
    day.play({{[&] { return day.done.size() == 1; },
               [&] {
                   day.wires.at(0)->close();  // its end is here, and in this turn nobody has read it
                   day.ask("b2");
               }},
              {[&] { return day.done.size() == 2; }, [] {}}});
    EXPECT_EQ(day.pulled, (std::vector<std::string>{"b1", "b2"}));
    EXPECT_EQ(day.outcomes.at("b2"), Outcome::cache_miss);
}

// Too large for the system to take whole while the cache does not read: its client leaves, and neither the
// rest of it nor what waits behind it for room arrives. Guarded by Caches::withdraw.
TEST(Caches, WhatIsOutInPartOrWaitsForRoomEndsWithItsClient) {
    CachesDay day(1);
    day.hears = false;
    day.ask("b1", "e1", std::string(16 << 20, 'w'));
    const auto leave = [&](std::size_t n) {
        day.lookups.at(n)->on_client_closed();
        // Whoever is told of an end may let go of the exchange: not from within.
        day.quiet = true;
        day.caches->withdraw_unstarted_attempts(*day.lookups.at(n));
        day.quiet = false;
    };
    day.play({{[&] { return day.lookups.at(0)->attempt(0).progress == TransmitProgress::partially_written; },
               [&] {
                   day.ask("b2");
                   EXPECT_EQ(day.lookups.at(1)->attempt(0).progress, TransmitProgress::not_connected);
                   leave(1);
                   leave(0);
                   day.hears = true;
                   for (const auto& w : day.wires) w->start_reading(true);
                   day.ask("b3");
               }},
              {[&] { return day.outcomes.contains("b3"); }, [] {}}});
    EXPECT_EQ(day.pulled, std::vector<std::string>{"b3"});
}

// A look waits for its connection, and by then its term may be over: it is judged again. Guarded by
// CacheLink::on_open.
TEST(Caches, ALookIsJudgedWhenItsConnectionIsUp) {
    for (const bool still : {true, false}) {
        CachesDay day(4);
        bool may = true;
        day.caches->start_health_check(CacheId{"e1"}, [&] { return may; });
        may = still;
        day.ask("b1");  // on the same connection, behind it
        day.play({{[&] { return day.done.size() == 1; }, [] {}}});
        EXPECT_EQ(day.looks, still ? 1 : 0);
        EXPECT_EQ(day.wires.size(), 1u);
    }
}

// What may not begin any more when its connection comes up is told as never run, and the next one goes.
TEST(Caches, EachSendIsJudgedAtItsFirstByte) {
    CachesDay day(1);
    day.ask("b1");
    day.ask("b2");
    day.refused.insert("b1");
    day.play({{[&] { return day.done.size() == 2; }, [] {}}});
    EXPECT_EQ(day.pulled, std::vector<std::string>{"b2"});
    EXPECT_EQ(day.outcomes.at("b1"), Outcome::overloaded);
}

}  // namespace
}  // namespace irismux::testing
