// Tests NoticeClient with responses of the notice board that are long, arrive in pieces, break off or contain
// unreadable events. All readable events must take effect in order, with a bounded number of polls.
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

// Records the purged objects and the listed caches in the order in which they took effect.
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

// A notice board that has the purges 1 to `last_revision`, and a client that polls it. run() ends once all
// purges have taken effect, and at the latest after 5 s.
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

    // Runs a timer each millisecond. The largest delay of this timer approximates the duration of the longest
    // iteration of the loop.
    void schedule_ticks() {
        loop.schedule_at(loop.now() + Duration::micros(1'000), [this] { schedule_ticks(); });
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

// A response longer than 1 MiB must take effect completely after one poll. The response has the purges of two
// hours, at three purges a second.
TEST(LongNoticeAnswer, AppliesTwoHoursOfPurgesAfterOnePoll) {
    BacklogScenario scenario(21'600);
    ASSERT_GT(answer_of(0, scenario.last_revision).size(), std::size_t{1} << 20);
    scenario.schedule_ticks();
    scenario.run();
    scenario.print_longest_iteration();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 2u);
}

// The client must not request events again that arrived before a response broke off. In the test, the first
// seven responses break off after a tenth of their length, and each next poll must request the rest.
TEST(LongNoticeAnswer, ResumesAfterTheLastEventBeforeABreak) {
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

// A long response must not delay client requests. In one iteration of the loop, the client may handle events
// of the response for at most 2 ms, plus the event in progress when this time is over.
// NoticeConnection::begin_batch enforces this. Each event takes 0.2 ms in the test, so an iteration may
// handle at most 11 events.
TEST(LongNoticeAnswer, YieldsToTheLoopAfterAFewMilliseconds) {
    BacklogScenario scenario(1'000);
    const Duration work = Duration::micros(200);
    std::size_t previous_count = 0, max_in_an_iteration = 0;
    std::function<void()> count_events = [&] {
        const std::size_t count = scenario.recorder.events.size();
        max_in_an_iteration = std::max(max_in_an_iteration, count - std::exchange(previous_count, count));
        scenario.loop.run_next_iteration(count_events);
    };
    scenario.recorder.on_purge = [&] {
        for (const TimePoint from = scenario.loop.now(); scenario.loop.now() < from + work;) continue;
    };
    count_events();
    scenario.schedule_ticks();
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_LE(max_in_an_iteration, 11u);
    std::printf("an iteration handled at most %zu events\n", max_in_an_iteration);
    scenario.print_longest_iteration();
}

// A body of 14 MB must take effect completely after one poll, although its chunks end at random places.
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

// A response that arrives in pieces of one byte to some KB must take effect completely after one poll.
TEST(LongNoticeAnswer, AppliesAnAnswerInSmallPieces) {
    BacklogScenario scenario(1'500);
    std::ranlux24_base random(11);
    std::string unsent;
    std::function<void(TestConnection&)> send_next_piece = [&](TestConnection& connection) {
        const std::size_t size =
            std::min<std::size_t>(unsent.size(), random() % 2 == 0 ? 1 + random() % 9 : 1 + random() % 6000);
        connection.output().append(std::string_view(unsent).substr(0, size));
        connection.write();
        unsent.erase(0, size);
        if (!unsent.empty())
            scenario.loop.schedule_at(scenario.loop.now() + Duration::micros(500),
                                      [&] { send_next_piece(connection); });
    };
    scenario.answer = [&](TestConnection& connection, int after) {
        const std::string body = answer_of(after, scenario.last_revision);
        unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        send_next_piece(connection);
    };
    scenario.run();
    EXPECT_EQ(scenario.recorder.events, objects_up_to(scenario.last_revision));
    EXPECT_EQ(scenario.board.polled_from.size(), 2u);
}

// One unreadable event in the middle of a long response must not block the events after it. The client must
// request the unreadable event once more and then skip it.
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

// An event without an end makes the rest of a response unreadable. The events before this event must take
// effect, and the client must wait for the retry delay between polls.
TEST(LongNoticeAnswer, PollsAfterTheRetryDelayIfTheRestIsUnreadable) {
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
    // The second poll is sent at once because the first poll brought events. The third poll is sent at once
    // because the second poll was the first to fail.
    EXPECT_GE(scenario.loop.now() - from, Duration::micros(100'000) * 5);
}

// A board that sends a blank now and then but never the whole response must not hold a poll open for ever.
// The client must abort the response after its time limit, and the next poll must request the rest of the
// events.
TEST(LongNoticeAnswer, AbortsAnAnswerThatNeverEnds) {
    BacklogScenario scenario(3);
    std::function<void(TestConnection&)> send_blanks = [&](TestConnection& connection) {
        if (connection.state() != ConnectionState::open) return;
        connection.output().append(" ");
        connection.write();
        scenario.loop.schedule_at(scenario.loop.now() + Duration::seconds(0.05),
                                  [&] { send_blanks(connection); });
    };
    TimePoint first_poll_at, second_poll_at;
    scenario.answer = [&](TestConnection& connection, int after) {
        if (scenario.board.polled_from.size() == 2) {
            second_poll_at = scenario.loop.now();
            return scenario.board.respond(connection, answer_of(after, scenario.last_revision));
        }
        first_poll_at = scenario.loop.now();
        connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"notices\":[" +
                                   purge_of(1) + ",");
        send_blanks(connection);
    };
    scenario.run_for(Duration::seconds(8));
    EXPECT_EQ(scenario.recorder.events, objects_up_to(3));
    EXPECT_EQ(scenario.board.polled_from, (std::vector<std::string>{"0", "1", "3"}));
    EXPECT_GE(second_poll_at - first_poll_at, Duration::seconds(4.9));
    EXPECT_LT(second_poll_at - first_poll_at, Duration::seconds(6));
}

// If the board's address changes in the middle of a response, the first poll of the new board must request
// the events after the last event that took effect.
TEST(LongNoticeAnswer, ResumesAtTheNewBoardAfterAnAddressChange) {
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

// A response contains purges and several endpoint lists, one of which is complete. The lists and purges must
// take effect in the order in which they stand in the response.
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

// While the board holds a poll, the client must not wake the loop in each iteration. Otherwise the idle
// program would use a whole core. NoticeConnection::end_batch prevents this.
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
