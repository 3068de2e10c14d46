// Answers of the notice board that are long, come in pieces, are cut or hold what can't be read: all that is
// owed is told in order, and how often the board is asked is bounded.
#include <cstdio>
#include <functional>
#include <random>
#include <utility>

#include "base/log.hpp"
#include "net/notice_client.hpp"
#include "notice_board_stand_in.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

// What an observer was told, in order: the name of the purged object, or of a list's caches.
struct PurgeLedger final : NoticeObserver {
    std::vector<std::string> purged;
    std::function<void()> then = [] {};
    void on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) override {
        for (const auto& [listing, address] : lines)
            purged.push_back((complete ? "whole: " : "") + listing.cache.raw());
    }
    void on_purge_notice(const PurgeNotice& purge) override {
        const std::optional<ObjectName>& object = purge.object;
        purged.push_back(object->raw());
        then();
    }
};

std::string object_of(int revision) {
    char name[17];
    std::snprintf(name, sizeof name, "%016x", static_cast<unsigned>(revision));
    return name;
}

std::string purge_of(int revision) {
    return "{\"rev\":" + std::to_string(revision) + ",\"flush\":{\"asset\":\"" + object_of(revision) +
           "\",\"ms\":1}}";
}

std::vector<std::string> objects_up_to(int revision) {
    std::vector<std::string> all;
    for (int n = 1; n <= revision; ++n) all.push_back(object_of(n));
    return all;
}

std::string answer_of(int after, int last) {
    std::string body = "{\"rev\":" + std::to_string(last) + ",\"notices\":[";
    for (int n = after + 1; n <= last; ++n) body += (n > after + 1 ? "," : "") + purge_of(n);
    return body + "]}";
}

// A board that owes purges 1 to `owed`, and a watch on it; ends once all are told or after 5 s.
struct OwingBoard {
    explicit OwingBoard(int purges) : owed(purges) {
        stand_in.then = [this](StandInConnection& wire) {
            const int after = std::atoi(stand_in.asked.back().c_str());
            if (after >= owed) return loop.stop();
            answer(wire, after);
        };
    }
    ~OwingBoard() {
        for (const auto& wire : stand_in.wires) wire->close();
    }

    int owed;
    EventLoop loop;
    PurgeLedger ledger;
    BoardStandIn stand_in{loop};
    NoticeClient board{loop, ledger, stand_in.accepts.address(), Duration::micros(100'000)};
    std::function<void(StandInConnection&, int after)> answer = [this](StandInConnection& wire, int after) {
        stand_in.say(wire, answer_of(after, owed));
    };

    // An alarm each millisecond: how late the latest came is about the longest turn.
    void tick() {
        loop.schedule_at(loop.now() + Duration::micros(1'000), [this] { tick(); });
    }
    void print_longest_turn() const {
        std::printf("alarms came up to %lld us late\n",
                    static_cast<long long>(loop.max_timer_delay().micros()));
    }
    void run() { run_for(Duration::seconds(5)); }
    void run_for(Duration most) {
        log::set_level(log::Level::error);
        board.poll();
        loop.schedule_at(loop.now() + most, [this] { loop.stop(); });
        loop.run();
    }
};

// Two hours of three purges a second, in one answer above 1 MiB.
TEST(LongAnswer, OfTwoHoursOfPurgesIsTold) {
    OwingBoard day(21'600);
    ASSERT_GT(answer_of(0, day.owed).size(), std::size_t{1} << 20);
    day.tick();
    day.run();
    day.print_longest_turn();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_EQ(day.stand_in.asked.size(), 2u);
}

// An answer that breaks off after a tenth: what came whole counts, and the next poll asks for the rest.
TEST(LongAnswer, CutInTheMiddleMakesProgress) {
    OwingBoard day(2'000);
    day.answer = [&](StandInConnection& wire, int after) {
        const std::string body = answer_of(after, day.owed);
        const std::size_t part = day.stand_in.asked.size() < 8 ? body.size() / 10 : body.size();
        wire.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                          body.substr(0, part));
        wire.write();
        if (part < body.size())
            day.loop.schedule_at(day.loop.now() + Duration::seconds(0.02), [&] { wire.close(); });
    };
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_EQ(day.stand_in.asked.size(), 9u);
    EXPECT_TRUE(std::is_sorted(day.stand_in.asked.begin(), day.stand_in.asked.end(),
                               [](const auto& a, const auto& b) { return std::stoi(a) < std::stoi(b); }));
    EXPECT_GT(std::stoi(day.stand_in.asked[1]), 150);
}

// However much is owed, a turn of the loop works on it for two milliseconds and one event; here each event
// takes 0.2 ms. Guarded by BoardLink::begin_batch.
TEST(LongAnswer, TakesAFewMillisecondsOfATurn) {
    OwingBoard day(1'000);
    const Duration work = Duration::micros(200);
    std::size_t seen = 0, most_in_a_turn = 0;
    std::function<void()> each_turn = [&] {
        const std::size_t told = day.ledger.purged.size();
        most_in_a_turn = std::max(most_in_a_turn, told - std::exchange(seen, told));
        day.loop.run_next_iteration(each_turn);
    };
    day.ledger.then = [&] {
        for (const TimePoint from = day.loop.now(); day.loop.now() < from + work;) continue;
    };
    each_turn();
    day.tick();
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_LE(most_in_a_turn, 11u);
    std::printf("events in a turn: %zu at most\n", most_in_a_turn);
    day.print_longest_turn();
}

// A body of 14 MB, in chunks whose ends fall anywhere.
TEST(LongAnswer, FarLongerThanAnyBoundIsTold) {
    OwingBoard day(200'000);
    std::ranlux24_base random(7);
    day.answer = [&](StandInConnection& wire, int after) {
        const std::string body = answer_of(after, day.owed);
        std::string framed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < body.size();) {
            const std::string chunk = body.substr(at, 1 + random() % 200'000);
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
            framed += size + chunk + "\r\n";
            at += chunk.size();
        }
        wire.out().append(framed + "0\r\n\r\n");
        wire.write();
    };
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_EQ(day.stand_in.asked.size(), 2u);
}

// Pieces that arrive one by one, of one byte to some KB.
TEST(LongAnswer, InPiecesThatArriveOneByOneIsTold) {
    OwingBoard day(1'500);
    std::ranlux24_base random(11);
    std::string left;
    std::function<void(StandInConnection&)> go_on = [&](StandInConnection& wire) {
        const std::size_t size =
            std::min<std::size_t>(left.size(), random() % 2 == 0 ? 1 + random() % 9 : 1 + random() % 6000);
        wire.out().append(std::string_view(left).substr(0, size));
        wire.write();
        left.erase(0, size);
        if (!left.empty()) day.loop.schedule_at(day.loop.now() + Duration::micros(500), [&] { go_on(wire); });
    };
    day.answer = [&](StandInConnection& wire, int after) {
        const std::string body = answer_of(after, day.owed);
        left = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        go_on(wire);
    };
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_EQ(day.stand_in.asked.size(), 2u);
}

// What can't be read, in the middle of a long answer: asked for once more, then left out; the others count.
TEST(LongAnswer, WithWhatIsNoJsonInTheMiddleIsToldButForThat) {
    for (const std::string& bad : {std::string("{\"rev\":700,\"flush\":}"), std::string("#"),
                                   "{\"rev\":700,\"x\":\"" + std::string(2'000'000, 'x') + "\"}"}) {
        OwingBoard day(1'400);
        day.answer = [&](StandInConnection& wire, int after) {
            std::string body = answer_of(after, day.owed);
            if (const std::size_t at = body.find(purge_of(700)); at != std::string::npos)
                body.replace(at, purge_of(700).size(), bad);
            day.stand_in.say(wire, body);
        };
        day.run();
        std::vector<std::string> all = objects_up_to(day.owed);
        all.erase(all.begin() + 699);
        EXPECT_EQ(day.ledger.purged, all);
        EXPECT_EQ(day.stand_in.asked, (std::vector<std::string>{"0", "699", "1400"}));
    }
}

// JSON whose end can't be found: what came before it counts, and the board is asked at the pace of a failure.
TEST(LongAnswer, WhoseRestCannotBeReadIsNotAskedWithoutPause) {
    OwingBoard day(1'400);
    day.answer = [&](StandInConnection& wire, int after) {
        if (day.stand_in.asked.size() == 8) return day.loop.stop();
        std::string body = answer_of(after, day.owed);
        if (const std::size_t at = body.find(purge_of(700)); at != std::string::npos)
            body.replace(at, 1, "{{");
        day.stand_in.say(wire, body);
    };
    const TimePoint from = day.loop.now();
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(699));
    // The first and the next one at once, as both follow one that brought something or was the first to fail.
    EXPECT_GE(day.loop.now() - from, Duration::micros(100'000) * 5);
}

// A board that sends a little now and then, and nothing whole: the answer ends at its bound, not at the
// board's leisure.
TEST(LongAnswer, ThatDoesNotComeToAnEndIsBrokenOff) {
    OwingBoard day(3);
    std::function<void(StandInConnection&)> blanks = [&](StandInConnection& wire) {
        if (wire.state() != ConnectionState::open) return;
        wire.out().append(" ");
        wire.write();
        day.loop.schedule_at(day.loop.now() + Duration::seconds(0.05), [&] { blanks(wire); });
    };
    TimePoint first, second;
    day.answer = [&](StandInConnection& wire, int after) {
        if (day.stand_in.asked.size() == 2) {
            second = day.loop.now();
            return day.stand_in.say(wire, answer_of(after, day.owed));
        }
        first = day.loop.now();
        wire.out().append("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"notices\":[" + purge_of(1) +
                          ",");
        blanks(wire);
    };
    day.run_for(Duration::seconds(8));
    EXPECT_EQ(day.ledger.purged, objects_up_to(3));
    EXPECT_EQ(day.stand_in.asked, (std::vector<std::string>{"0", "1", "3"}));
    EXPECT_GE(second - first, Duration::seconds(4.9));
    EXPECT_LT(second - first, Duration::seconds(6));
}

// A move in the middle of an answer: the new board is asked behind the last event that took effect.
TEST(LongAnswer, IsGoneOnWithElsewhereAfterAMove) {
    OwingBoard day(2'000);
    BoardStandIn next(day.loop);
    day.answer = [&](StandInConnection& wire, int after) {
        const std::string body = answer_of(after, day.owed);
        wire.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                          body.substr(0, body.find(purge_of(501)) + 10));
        wire.write();
    };
    day.ledger.then = [&] {
        if (day.ledger.purged.size() == 500)
            day.loop.schedule_now([&] { day.board.set_address(next.accepts.address()); });
    };
    next.then = [&](StandInConnection& wire) {
        const int after = std::atoi(next.asked.back().c_str());
        if (after >= day.owed) return day.loop.stop();
        next.say(wire, answer_of(after, day.owed));
    };
    day.run();
    EXPECT_EQ(day.ledger.purged, objects_up_to(day.owed));
    EXPECT_EQ(next.asked, (std::vector<std::string>{"500", "2000"}));
    for (const auto& wire : next.wires) wire->close();
}

// Lists and purges keep their order, a whole list among them.
TEST(LongAnswer, KeepsTheOrderOfListsAndPurges) {
    OwingBoard day(900);
    day.answer = [&](StandInConnection& wire, int after) {
        std::string body = answer_of(after, day.owed);
        for (const int n : {1, 300, 600}) {
            const std::string list = "{\"rev\":" + std::to_string(n) +
                                     ",\"pool\":{\"version\":1,\"full\":" + (n == 600 ? "true" : "false") +
                                     ",\"servers\":[{\"id\":\"s" + std::to_string(n) +
                                     "\",\"state\":\"Ready\"}]}}";
            body.replace(body.find(purge_of(n)), purge_of(n).size(), list);
        }
        day.stand_in.say(wire, body);
    };
    day.run();
    std::vector<std::string> all = objects_up_to(day.owed);
    all[0] = "s1";
    all[299] = "s300";
    all[599] = "whole: s600";
    EXPECT_EQ(day.ledger.purged, all);
}

// Guards against a loop that is woken in each of its turns by a poll that the board holds: the program took a
// whole core at rest. One purge has come, so that the connection has read an answer before.
TEST(LongAnswer, OnceReadLeavesTheLoopAtRestWhileTheNextPollIsHeld) {
    log::set_level(log::Level::error);
    EventLoop loop;
    PurgeLedger ledger;
    BoardStandIn stand_in(loop);
    NoticeClient board(loop, ledger, stand_in.accepts.address(), Duration::seconds(0.3));
    std::uint64_t turns_before = 0;
    stand_in.then = [&](StandInConnection& wire) {
        if (stand_in.asked.size() == 1) return stand_in.say(wire, answer_of(0, 1));
        turns_before = loop.iterations();
        loop.schedule_at(loop.now() + Duration::seconds(0.5), [&] { loop.stop(); });
    };
    board.poll();
    loop.run();
    EXPECT_EQ(ledger.purged, objects_up_to(1));
    EXPECT_EQ(stand_in.asked.size(), 2u);
    EXPECT_LT(loop.iterations() - turns_before, 100u);
}

}  // namespace
}  // namespace irismux::testing
