// NoticeClient: polls that break off, bring nothing, the same again, or are answered after a move.
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

// Given an answer that breaks off, then one with an event that can't be read, then a move, when each is
// polled again, then at once; the unreadable event is asked for once more and skipped, and the revisions go
// on.
TEST(NoticeClient, LosesNoEventByABreakAnUnreadableEventOrAMove) {
    log::set_level(log::Level::error);
    EventLoop loop;
    PurgeRecorder recorder;
    NoticeBoardStandIn one(loop), other(loop);
    const Duration retry_delay = Duration::seconds(0.3);
    NoticeClient client(loop, recorder, one.listener.address(), retry_delay);
    TimePoint broken_off_at, polled_again_at;
    one.on_poll = [&](TestConnection& w) {
        switch (one.polled_from.size()) {
            case 1:
                w.output().append("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":1,");
                w.write();
                broken_off_at = loop.now();
                return (void)loop.schedule_at(broken_off_at + Duration::seconds(0.02), [&w] { w.close(); });
            case 2:
                polled_again_at = loop.now();
                return one.respond(w, "{\"rev\":3,\"notices\":[" + purge_event(1, "a1") +
                                          ",{\"rev\":2,\"flush\":7}," + purge_event(3, "a3") + "]}");
            case 3:
                return one.respond(
                    w, "{\"rev\":3,\"notices\":[{\"rev\":2,\"flush\":7}," + purge_event(3, "a3") + "]}");
            default:
                return client.set_address(other.listener.address());
        }
    };
    other.on_poll = [&](TestConnection& w) {
        if (other.polled_from.size() == 1)
            return other.respond(w, "{\"rev\":4,\"notices\":[" + purge_event(4, "a4") + "]}");
        loop.stop();
    };
    client.poll();
    loop.schedule_at(loop.now() + Duration::seconds(5), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(one.polled_from, (std::vector<std::string>{"0", "0", "1", "3"}));
    EXPECT_EQ(other.polled_from, (std::vector<std::string>{"3", "4"}));
    EXPECT_EQ(recorder.purged, (std::vector<std::string>{"a1", "a3", "a4"}));
    EXPECT_LT(polled_again_at, broken_off_at + Duration::seconds(0.02) + retry_delay);
    for (auto* b : {&one, &other})
        for (const auto& connection : b->connections) connection->close();
}

// A client of one board, until the board's step ends the loop.
struct PollScenario {
    static constexpr Duration retry_delay = Duration::micros(100'000);
    EventLoop loop;
    PurgeRecorder recorder;
    NoticeBoardStandIn one{loop};
    NoticeClient client{loop, recorder, one.listener.address(), retry_delay};
    // Returns how long it took.
    Duration run() {
        log::set_level(log::Level::error);
        const TimePoint from = loop.now();
        client.poll();
        loop.schedule_at(from + Duration::seconds(5), [this] { loop.stop(); });
        loop.run();
        for (const auto& w : one.connections) w->close();
        return loop.now() - from;
    }
};

// Given a board whose revisions have gone back and which holds no poll, when it is polled, then again only
// after the retry delay. Guarded by NoticeClient::on_poll_response.
TEST(NoticeClient, PollsABoardThatHasGoneBackAfterTheRetryDelay) {
    PollScenario scenario;
    NoticeBoardStandIn& one = scenario.one;
    one.on_poll = [&](TestConnection& w) {
        if (one.polled_from.size() == 1)
            return one.respond(w, "{\"rev\":7,\"notices\":[" + purge_event(7, "a7") + "]}");
        if (one.polled_from.size() == 40 || scenario.recorder.purged.size() == 2) return scenario.loop.stop();
        // Its revisions have gone back, until it has caught up.
        one.respond(w, one.polled_from.size() < 5 ? "{\"rev\":2,\"notices\":[" + purge_event(2, "a2") + "]}"
                                                  : "{\"rev\":8,\"notices\":[" + purge_event(8, "a8") + "]}");
    };
    EXPECT_GE(scenario.run(), PollScenario::retry_delay * 3);
    EXPECT_EQ(scenario.recorder.purged, (std::vector<std::string>{"a7", "a8"}));
    EXPECT_EQ(one.polled_from, (std::vector<std::string>{"0", "7", "7", "7", "7", "8"}));
}

// Given a board that never answers the very first poll, when the time is over, then the next poll brings what
// was missed.
TEST(NoticeClient, EndsAPollThatIsNeverAnswered) {
    PollScenario scenario;
    NoticeBoardStandIn& one = scenario.one;
    one.on_poll = [&](TestConnection& w) {
        if (one.polled_from.size() == 1) return;
        if (one.polled_from.size() == 3) return scenario.loop.stop();
        one.respond(w, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
    };
    EXPECT_LT(scenario.run(), Duration::seconds(2));  // the poll's linger and the retry delay
    EXPECT_EQ(scenario.recorder.purged, std::vector<std::string>{"a1"});
}

// Given an answer of the old board that is under way, when the client moves to another in the same iteration,
// then the old one's events do not take effect.
TEST(NoticeClient, IgnoresTheOldBoardAfterAMove) {
    PollScenario scenario;
    NoticeBoardStandIn& old = scenario.one;
    NoticeBoardStandIn next(scenario.loop);
    old.on_poll = [&](TestConnection& w) {
        old.respond(w, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
        // Its bytes are under way when the client moves.
        scenario.loop.run_next_iteration([&] { scenario.client.set_address(next.listener.address()); });
    };
    next.on_poll = [&](TestConnection& w) {
        if (next.polled_from.size() == 1)
            return next.respond(w, "{\"rev\":2,\"notices\":[" + purge_event(2, "b2") + "]}");
        scenario.loop.stop();
    };
    scenario.run();
    EXPECT_EQ(next.polled_from, (std::vector<std::string>{"0", "2"}));
    EXPECT_EQ(scenario.recorder.purged, std::vector<std::string>{"b2"});
    for (const auto& w : next.connections) w->close();
}

}  // namespace
}  // namespace irismux::testing
