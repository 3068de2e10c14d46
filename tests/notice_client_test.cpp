// The list watch: what the notice board says, when it says nothing, too much or the same again.
#include "net/notice_client.hpp"
#include "base/log.hpp"
#include "notice_board_stand_in.hpp"
#include "router_test_support.hpp"

namespace irismux::testing {
namespace {

struct Hears final : NoticeObserver {
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

// An answer that breaks off is asked for again at once; an event that can't be read once more, and then the
// others go on without it; and after a move the numbers go on.
TEST(Board, LosesNoEvent) {
    log::set_level(log::Level::error);
    EventLoop loop;
    Hears hears;
    BoardStandIn one(loop), other(loop);
    const Duration pause = Duration::seconds(0.3);
    NoticeClient board(loop, hears, one.accepts.address(), pause);
    TimePoint broken_off, asked_again;
    one.then = [&](StandInConnection& w) {
        switch (one.asked.size()) {
            case 1:
                w.out().append("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":1,");
                w.write();
                broken_off = loop.now();
                return (void)loop.schedule_at(broken_off + Duration::seconds(0.02), [&w] { w.close(); });
            case 2:
                asked_again = loop.now();
                return one.say(w, "{\"rev\":3,\"notices\":[" + purge_event(1, "a1") +
                                      ",{\"rev\":2,\"flush\":7}," + purge_event(3, "a3") + "]}");
            case 3:
                return one.say(
                    w, "{\"rev\":3,\"notices\":[{\"rev\":2,\"flush\":7}," + purge_event(3, "a3") + "]}");
            default:
                return board.set_address(other.accepts.address());
        }
    };
    other.then = [&](StandInConnection& w) {
        if (other.asked.size() == 1)
            return other.say(w, "{\"rev\":4,\"notices\":[" + purge_event(4, "a4") + "]}");
        loop.stop();
    };
    board.poll();
    loop.schedule_at(loop.now() + Duration::seconds(5), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(one.asked, (std::vector<std::string>{"0", "0", "1", "3"}));
    EXPECT_EQ(other.asked, (std::vector<std::string>{"3", "4"}));
    EXPECT_EQ(hears.purged, (std::vector<std::string>{"a1", "a3", "a4"}));
    EXPECT_LT(asked_again, broken_off + Duration::seconds(0.02) + pause);
    for (auto* b : {&one, &other})
        for (const auto& w : b->wires) w->close();
}

// A watch on one stand-in, until its step ends the loop.
struct BoardDay {
    static constexpr Duration pause = Duration::micros(100'000);
    EventLoop loop;
    Hears hears;
    BoardStandIn one{loop};
    NoticeClient board{loop, hears, one.accepts.address(), pause};
    // How long it took.
    Duration run() {
        log::set_level(log::Level::error);
        const TimePoint from = loop.now();
        board.poll();
        loop.schedule_at(from + Duration::seconds(5), [this] { loop.stop(); });
        loop.run();
        for (const auto& w : one.wires) w->close();
        return loop.now() - from;
    }
};

// A board that has jumped back has nothing new and holds no poll: it is asked again, at the pace of a
// failure. Guarded by Board::answered.
TEST(Board, IsNotAskedWithoutEndWhereItHasNothing) {
    BoardDay day;
    BoardStandIn& one = day.one;
    one.then = [&](StandInConnection& w) {
        if (one.asked.size() == 1)
            return one.say(w, "{\"rev\":7,\"notices\":[" + purge_event(7, "a7") + "]}");
        if (one.asked.size() == 40 || day.hears.purged.size() == 2) return day.loop.stop();
        // Back by some, until it has caught up.
        one.say(w, one.asked.size() < 5 ? "{\"rev\":2,\"notices\":[" + purge_event(2, "a2") + "]}"
                                        : "{\"rev\":8,\"notices\":[" + purge_event(8, "a8") + "]}");
    };
    EXPECT_GE(day.run(), BoardDay::pause * 3);
    EXPECT_EQ(day.hears.purged, (std::vector<std::string>{"a7", "a8"}));
    EXPECT_EQ(one.asked, (std::vector<std::string>{"0", "7", "7", "7", "7", "8"}));
}

// A poll that is never answered ends by itself, also the very first, and the next one hears what was missed.
TEST(Board, EveryOpenPollHasItsOwnEnd) {
    BoardDay day;
    BoardStandIn& one = day.one;
    one.then = [&](StandInConnection& w) {
        if (one.asked.size() == 1) return;
        if (one.asked.size() == 3) return day.loop.stop();
        one.say(w, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
    };
    EXPECT_LT(day.run(), Duration::seconds(2));  // longest hold asked for, and the pause
    EXPECT_EQ(day.hears.purged, std::vector<std::string>{"a1"});
}

// What the board that was left still says, in the very turn of the move or later, changes nothing.
TEST(Board, AnAnswerOfTheOneThatWasLeftChangesNothing) {
    BoardDay day;
    BoardStandIn& old = day.one;
    BoardStandIn next(day.loop);
    old.then = [&](StandInConnection& w) {
        old.say(w, "{\"rev\":1,\"notices\":[" + purge_event(1, "a1") + "]}");
        // Its bytes are on their way when the move comes.
        day.loop.run_next_iteration([&] { day.board.set_address(next.accepts.address()); });
    };
    next.then = [&](StandInConnection& w) {
        if (next.asked.size() == 1)
            return next.say(w, "{\"rev\":2,\"notices\":[" + purge_event(2, "b2") + "]}");
        day.loop.stop();
    };
    day.run();
    EXPECT_EQ(next.asked, (std::vector<std::string>{"0", "2"}));
    EXPECT_EQ(day.hears.purged, std::vector<std::string>{"b2"});
    for (const auto& w : next.wires) w->close();
}

}  // namespace
}  // namespace irismux::testing
