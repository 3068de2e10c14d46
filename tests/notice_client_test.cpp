// Tests NoticeClient with responses that break off, that bring no events or only events that the client
// already has, or that arrive after the board's address has changed.
#include "net/notice_client.hpp"
#include "base/log.hpp"
#include "notice_board_stand_in.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

struct PurgeRecorder final : NoticeObserver {
    std::vector<std::string> purged;
    void on_endpoint_notice(const std::vector<std::pair<EndpointUpdate, std::string>>&, bool) override {}
    void on_purge_notice(const PurgeNotice& purge) override {
        const std::optional<ObjectName>& o = purge.object;
        purged.push_back(o->raw());
    }
};

std::string purge_event(int rev, const std::string& object) {
    return "{\"rev\":" + std::to_string(rev) + ",\"flush\":{\"asset\":\"" + object + "\",\"ms\":1}}";
}

// The client must lose no readable event if a response breaks off, if a response contains an unreadable
// event, or if the board's address changes. In each of these cases the client must poll again at once. The
// client may skip the unreadable event only if the event is unreadable again in the response to the next
// poll. At the new address the client must continue from its last revision.
TEST(NoticeClient, LosesNoEventByABreakAnUnreadableEventOrAnAddressChange) {
    log::set_level(log::Level::error);
    EventLoop loop;
    PurgeRecorder recorder;
    NoticeBoardStandIn board(loop), new_board(loop);
    const Duration retry_delay = Duration::seconds(0.3);
    NoticeClient client(loop, recorder, board.listener.address(), retry_delay);
    TimePoint broken_off_at, polled_again_at;
    board.on_poll = [&](TestConnection& connection) {
        switch (board.polled_from.size()) {
            case 1:
                connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":1,");
                connection.write();
                broken_off_at = loop.now();
                return (void)loop.schedule_at(broken_off_at + Duration::seconds(0.02),
                                              [&connection] { connection.close(); });
            case 2:
                polled_again_at = loop.now();
                return board.respond(connection, "{\"rev\":3,\"notices\":[" + purge_event(1, "a1") +
                                                     ",{\"rev\":2,\"flush\":7}," + purge_event(3, "a3") +
                                                     "]}");
            case 3:
                return board.respond(connection, "{\"rev\":3,\"notices\":[{\"rev\":2,\"flush\":7}," +
                                                     purge_event(3, "a3") + "]}");
            default:
                return client.set_address(new_board.listener.address());
        }
    };
    new_board.on_poll = [&](TestConnection& connection) {
        if (new_board.polled_from.size() == 1)
            return new_board.respond(connection, "{\"rev\":4,\"notices\":[" + purge_event(4, "a4") + "]}");
        loop.stop();
    };
    client.poll();
    loop.schedule_at(loop.now() + Duration::seconds(5), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(board.polled_from, (std::vector<std::string>{"0", "0", "1", "3"}));
    EXPECT_EQ(new_board.polled_from, (std::vector<std::string>{"3", "4"}));
    EXPECT_EQ(recorder.purged, (std::vector<std::string>{"a1", "a3", "a4"}));
    EXPECT_LT(polled_again_at, broken_off_at + Duration::seconds(0.02) + retry_delay);
    for (auto* b : {&board, &new_board})
        for (const auto& connection : b->connections) connection->close();
}

// Runs a client that polls one board until the board's on_poll() stops the loop, or for at most 5 s.
struct PollScenario {
    static constexpr Duration retry_delay = Duration::micros(100'000);
    EventLoop loop;
    PurgeRecorder recorder;
    NoticeBoardStandIn board{loop};
    NoticeClient client{loop, recorder, board.listener.address(), retry_delay};
    // Returns how long the loop ran.
    Duration run() {
        log::set_level(log::Level::error);
        const TimePoint from = loop.now();
        client.poll();
        loop.schedule_at(from + Duration::seconds(5), [this] { loop.stop(); });
        loop.run();
        for (const auto& connection : board.connections) connection->close();
        return loop.now() - from;
    }
};

// A board whose revisions have gone back responds to each poll at once with events that the client already
// has. The client must wait for the retry delay between such polls; NoticeClient::on_poll_response enforces
// this.
TEST(NoticeClient, WaitsBetweenPollsOfABoardWhoseRevisionsWentBack) {
    PollScenario scenario;
    NoticeBoardStandIn& board = scenario.board;
    board.on_poll = [&](TestConnection& connection) {
        if (board.polled_from.size() == 1)
            return board.respond(connection, "{\"rev\":7,\"notices\":[" + purge_event(7, "a7") + "]}");
        if (board.polled_from.size() == 40 || scenario.recorder.purged.size() == 2)
            return scenario.loop.stop();
        // The board's revisions have gone back and pass the client's revision only at the fifth poll.
        board.respond(connection, board.polled_from.size() < 5
                                      ? "{\"rev\":2,\"notices\":[" + purge_event(2, "a2") + "]}"
                                      : "{\"rev\":8,\"notices\":[" + purge_event(8, "a8") + "]}");
    };
    EXPECT_GE(scenario.run(), PollScenario::retry_delay * 3);
    EXPECT_EQ(scenario.recorder.purged, (std::vector<std::string>{"a7", "a8"}));
    EXPECT_EQ(board.polled_from, (std::vector<std::string>{"0", "7", "7", "7", "7", "8"}));
}

// If the board never responds to the first poll, this poll must end after its time limit, and the next poll
// must bring the events.
TEST(NoticeClient, EndsAPollThatIsNeverAnswered) {
    PollScenario scenario;
    NoticeBoardStandIn& board = scenario.board;
    board.on_poll = [&](TestConnection& connection) {
        if (board.polled_from.size() == 1) return;
        if (board.polled_from.size() == 3) return scenario.loop.stop();
        board.respond(connection, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
    };
    // The poll's linger and the retry delay together are shorter than 2 s.
    EXPECT_LT(scenario.run(), Duration::seconds(2));
    EXPECT_EQ(scenario.recorder.purged, std::vector<std::string>{"a1"});
}

// If a response of the old board arrives in the same iteration of the loop in which the client's board
// address changes, the response must not take effect.
TEST(NoticeClient, IgnoresTheOldBoardAfterAnAddressChange) {
    PollScenario scenario;
    NoticeBoardStandIn& old_board = scenario.board;
    NoticeBoardStandIn new_board(scenario.loop);
    old_board.on_poll = [&](TestConnection& connection) {
        old_board.respond(connection, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
        // The response is in transit when the client's board address changes.
        scenario.loop.run_next_iteration([&] { scenario.client.set_address(new_board.listener.address()); });
    };
    new_board.on_poll = [&](TestConnection& connection) {
        if (new_board.polled_from.size() == 1)
            return new_board.respond(connection, "{\"rev\":2,\"notices\":[" + purge_event(2, "b2") + "]}");
        scenario.loop.stop();
    };
    scenario.run();
    EXPECT_EQ(new_board.polled_from, (std::vector<std::string>{"0", "2"}));
    EXPECT_EQ(scenario.recorder.purged, std::vector<std::string>{"b2"});
    for (const auto& connection : new_board.connections) connection->close();
}

}  // namespace
}  // namespace irismux::testing
