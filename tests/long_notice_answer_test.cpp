// Answers of the notice board that are long, come in pieces, break off or hold what can't be read: all events
// take effect in order, and the number of polls is bounded.
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

// Records what took effect, in order: purged objects and listed caches.
struct EventRecorder final : NoticeObserver {
    std::vector<std::string> events;
    std::function<void()> on_purge = [] {};
    void on_endpoint_notice(const std::vector<EndpointRecord>& endpoints, bool complete) override {
        for (const auto& [update, address] : endpoints)
            events.push_back((complete ? "complete list: " : "") + update.cache.raw());
    }
    void on_purge_notice(const PurgeNotice& purge) override {
        const std::optional<ObjectName>& object = purge.object;
        events.push_back(object->raw());
        on_purge();
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

// A board with purges 1 to `last_revision` and a client of it; ends once all have taken effect, or after 5 s.
struct BacklogScenario {
    explicit BacklogScenario(int purges) : last_revision(purges) {
        board.on_poll = [this](TestConnection& connection) {
            const int after = std::atoi(board.polled_from.back().c_str());
            if (after >= last_revision) return loop.stop();
            answer(connection, after);
        };
    }
    ~BacklogScenario() {
        for (const auto& connection : board.connections) connection->close();
    }

    int last_revision;
    EventLoop loop;
    EventRecorder recorder;
    NoticeBoardStandIn board{loop};
    NoticeClient client{loop, recorder, board.listener.address(), Duration::micros(100'000)};
    std::function<void(TestConnection&, int after)> answer = [this](TestConnection& connection, int after) {
        board.respond(connection, answer_of(after, last_revision));
    };

    // A timer each millisecond: how late the latest ran is about the longest iteration.
    void tick() {
        loop.schedule_at(loop.now() + Duration::micros(1'000), [this] { tick(); });
    }
    void print_longest_iteration() const {
        std::printf("timers ran up to %lld us late\n",
                    static_cast<long long>(loop.max_timer_delay().micros()));
    }
    void run() { run_for(Duration::seconds(5)); }
    void run_for(Duration max_time) {
        log::set_level(log::Level::error);
        client.poll();
        loop.schedule_at(loop.now() + max_time, [this] { loop.stop(); });
        loop.run();
    }
};

// Given two hours of three purges a second in one answer above 1 MiB, when it is polled, then all take effect
// by one poll.
TEST(LongNoticeAnswer, OfTwoHoursOfPurgesTakesEffect) {
    BacklogScenario scenario(21'600);
    ASSERT_GT(answer_of(0, scenario.last_revision).size(), std::size_t{1} << 20);
    scenario.tick();
    scenario.run();
    scenario.print_longest_iteration();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 2u);
}

// Given answers that break off after a tenth, when they are polled, then the events before the break take
// effect and each poll asks for the rest.
TEST(LongNoticeAnswer, ThatBreaksOffMakesProgress) {
    BacklogScenario scenario(2'000);
    scenario.answer = [&](TestConnection& connection, int after) {
        const std::string body = answer_of(after, scenario.last_revision);
        const std::size_t part = scenario.board.polled_from.size() < 8 ? body.size() / 10 : body.size();
        connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body.substr(0, part));
        connection.write();
        if (part < body.size())
            scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.02),
                                      [&] { connection.close(); });
    };
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 9u);
    EXPECT_TRUE(std::is_sorted(scenario.board.polled_from.begin(), scenario.board.polled_from.end(),
                               [](const auto& a, const auto& b) { return std::stoi(a) < std::stoi(b); }));
    EXPECT_GT(std::stoi(scenario.board.polled_from[1]), 150);
}

// Given events that take 0.2 ms each, when a long answer is read, then an iteration of the loop works on it
// for two milliseconds and one event. Guarded by NoticeConnection::begin_batch.
TEST(LongNoticeAnswer, TakesAFewMillisecondsOfAnIteration) {
    BacklogScenario scenario(1'000);
    const Duration work = Duration::micros(200);
    std::size_t seen = 0, max_in_an_iteration = 0;
    std::function<void()> each_iteration = [&] {
        const std::size_t so_far = scenario.recorder.events.size();
        max_in_an_iteration = std::max(max_in_an_iteration, so_far - std::exchange(seen, so_far));
        scenario.loop.run_next_iteration(each_iteration);
    };
    scenario.recorder.on_purge = [&] {
        for (const TimePoint from = scenario.loop.now(); scenario.loop.now() < from + work;) continue;
    };
    each_iteration();
    scenario.tick();
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_LE(max_in_an_iteration, 11u);
    std::printf("events in an iteration: %zu at most\n", max_in_an_iteration);
    scenario.print_longest_iteration();
}

// Given a body of 14 MB in chunks that end anywhere, when it is polled, then all events take effect.
TEST(LongNoticeAnswer, FarLongerThanAnyBoundTakesEffect) {
    BacklogScenario scenario(200'000);
    std::ranlux24_base random(7);
    scenario.answer = [&](TestConnection& connection, int after) {
        const std::string body = answer_of(after, scenario.last_revision);
        std::string framed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < body.size();) {
            const std::string chunk = body.substr(at, 1 + random() % 200'000);
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
            framed += size + chunk + "\r\n";
            at += chunk.size();
        }
        connection.output().append(framed + "0\r\n\r\n");
        connection.write();
    };
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 2u);
}

// Given an answer whose pieces arrive one by one, of one byte to some KB, then all events take effect.
TEST(LongNoticeAnswer, InSmallPiecesTakesEffect) {
    BacklogScenario scenario(1'500);
    std::ranlux24_base random(11);
    std::string left;
    std::function<void(TestConnection&)> go_on = [&](TestConnection& connection) {
        const std::size_t size =
            std::min<std::size_t>(left.size(), random() % 2 == 0 ? 1 + random() % 9 : 1 + random() % 6000);
        connection.output().append(std::string_view(left).substr(0, size));
        connection.write();
        left.erase(0, size);
        if (!left.empty())
            scenario.loop.schedule_at(scenario.loop.now() + Duration::micros(500),
                                      [&] { go_on(connection); });
    };
    scenario.answer = [&](TestConnection& connection, int after) {
        const std::string body = answer_of(after, scenario.last_revision);
        left = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        go_on(connection);
    };
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 2u);
}

// Given an event that can't be read in the middle of a long answer, when it has been asked for once more,
// then it is skipped and all others take effect.
TEST(LongNoticeAnswer, SkipsAnUnreadableEventInTheMiddle) {
    for (const std::string& bad : {std::string("{\"rev\":700,\"flush\":}"), std::string("#"),
                                   "{\"rev\":700,\"x\":\"" + std::string(2'000'000, 'x') + "\"}"}) {
        BacklogScenario scenario(1'400);
        scenario.answer = [&](TestConnection& connection, int after) {
            std::string body = answer_of(after, scenario.last_revision);
            if (const std::size_t at = body.find(purge_of(700)); at != std::string::npos)
                body.replace(at, purge_of(700).size(), bad);
            scenario.board.respond(connection, body);
        };
        scenario.run();
        std::vector<std::string> all = objects_up_to(scenario.last_revision);
        all.erase(all.begin() + 699);
        EXPECT_EQ(scenario.recorder.events, all);
        EXPECT_EQ(scenario.board.polled_from, (std::vector<std::string>{"0", "699", "1400"}));
    }
}

// Given JSON whose end can't be found, when it is polled, then the events before it take effect and the board
// is polled after the retry delay.
TEST(LongNoticeAnswer, WhoseRestCannotBeReadIsPolledAfterTheRetryDelay) {
    BacklogScenario scenario(1'400);
    scenario.answer = [&](TestConnection& connection, int after) {
        if (scenario.board.polled_from.size() == 8) return scenario.loop.stop();
        std::string body = answer_of(after, scenario.last_revision);
        if (const std::size_t at = body.find(purge_of(700)); at != std::string::npos)
            body.replace(at, 1, "{{");
        scenario.board.respond(connection, body);
    };
    const TimePoint from = scenario.loop.now();
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(699));
    // The first and the next one at once, as both follow one that brought something or was the first to fail.
    EXPECT_GE(scenario.loop.now() - from, Duration::micros(100'000) * 5);
}

// Given a board that sends a little now and then and never all, when the time of an answer is over, then it
// is broken off and the next poll asks for the rest.
TEST(LongNoticeAnswer, ThatDoesNotEndIsBrokenOff) {
    BacklogScenario scenario(3);
    std::function<void(TestConnection&)> blanks = [&](TestConnection& connection) {
        if (connection.state() != ConnectionState::open) return;
        connection.output().append(" ");
        connection.write();
        scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.05), [&] { blanks(connection); });
    };
    TimePoint first, second;
    scenario.answer = [&](TestConnection& connection, int after) {
        if (scenario.board.polled_from.size() == 2) {
            second = scenario.loop.now();
            return scenario.board.respond(connection, answer_of(after, scenario.last_revision));
        }
        first = scenario.loop.now();
        connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"notices\":[" +
                                   purge_of(1) + ",");
        blanks(connection);
    };
    scenario.run_for(Duration::seconds(8));
    EXPECT_EQ(scenario.recorder.events, objects_up_to(3));
    EXPECT_EQ(scenario.board.polled_from, (std::vector<std::string>{"0", "1", "3"}));
    EXPECT_GE(second - first, Duration::seconds(4.9));
    EXPECT_LT(second - first, Duration::seconds(6));
}

// Given a move in the middle of an answer, when the new board is polled, then for what is behind the last
// event in force.
TEST(LongNoticeAnswer, GoesOnAtTheNewBoardAfterAMove) {
    BacklogScenario scenario(2'000);
    NoticeBoardStandIn next(scenario.loop);
    scenario.answer = [&](TestConnection& connection, int after) {
        const std::string body = answer_of(after, scenario.last_revision);
        connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body.substr(0, body.find(purge_of(501)) + 10));
        connection.write();
    };
    scenario.recorder.on_purge = [&] {
        if (scenario.recorder.events.size() == 500)
            scenario.loop.schedule_now([&] { scenario.client.set_address(next.listener.address()); });
    };
    next.on_poll = [&](TestConnection& connection) {
        const int after = std::atoi(next.polled_from.back().c_str());
        if (after >= scenario.last_revision) return scenario.loop.stop();
        next.respond(connection, answer_of(after, scenario.last_revision));
    };
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(next.polled_from, (std::vector<std::string>{"500", "2000"}));
    for (const auto& connection : next.connections) connection->close();
}

// Given lists, one of them complete, among purges, when they are polled, then all take effect in order.
TEST(LongNoticeAnswer, KeepsTheOrderOfListsAndPurges) {
    BacklogScenario scenario(900);
    scenario.answer = [&](TestConnection& connection, int after) {
        std::string body = answer_of(after, scenario.last_revision);
        for (const int n : {1, 300, 600}) {
            const std::string list = "{\"rev\":" + std::to_string(n) +
                                     ",\"pool\":{\"version\":1,\"full\":" + (n == 600 ? "true" : "false") +
                                     ",\"servers\":[{\"id\":\"s" + std::to_string(n) +
                                     "\",\"state\":\"Ready\"}]}}";
            body.replace(body.find(purge_of(n)), purge_of(n).size(), list);
        }
        scenario.board.respond(connection, body);
    };
    scenario.run();
    std::vector<std::string> all = objects_up_to(scenario.last_revision);
    all[0] = "s1";
    all[299] = "s300";
    all[599] = "complete list: s600";
    EXPECT_EQ(scenario.recorder.events, all);
}

// Given one answer that has been read, when the board holds the next poll, then the loop is not woken in each
// iteration: the program would take a whole core while idle. Guarded by NoticeConnection::end_batch.
TEST(LongNoticeAnswer, DoesNotWakeTheLoopWhileThePollIsHeld) {
    log::set_level(log::Level::error);
    EventLoop loop;
    EventRecorder recorder;
    NoticeBoardStandIn board(loop);
    NoticeClient client(loop, recorder, board.listener.address(), Duration::seconds(0.3));
    std::uint64_t iterations_before = 0;
    board.on_poll = [&](TestConnection& connection) {
        if (board.polled_from.size() == 1) return board.respond(connection, answer_of(0, 1));
        iterations_before = loop.iterations();
        loop.schedule_at(loop.now() + Duration::seconds(0.5), [&] { loop.stop(); });
    };
    client.poll();
    loop.run();
    EXPECT_EQ(recorder.events, objects_up_to(1));
    EXPECT_EQ(board.polled_from.size(), 2u);
    EXPECT_LT(loop.iterations() - iterations_before, 100u);
}

}  // namespace
}  // namespace irismux::testing
