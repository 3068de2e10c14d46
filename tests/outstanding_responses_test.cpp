// Tests OutstandingResponses: which attempt a response on a connection to a cache may answer.
#include "net/outstanding_responses.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace irismux::testing {
namespace {

const TimePoint start = TimePoint::at_seconds(1'000'000);
constexpr Duration copy_window = Duration::micros(200'000);
TimePoint after(double seconds) { return start + Duration::seconds(seconds); }
ClientRequestId client_id(int n) { return ClientRequestId{std::to_string(n)}; }
AttemptId attempt_of(std::uint64_t request, std::size_t index = 0) { return {RequestId{request}, index}; }

// A cancelled attempt that has no response keeps its id on the connection, however much time passes.
TEST(OutstandingResponses, ACancelledAttemptKeepsItsIdUntilItsResponseArrives) {
    OutstandingResponses responses;
    ASSERT_EQ(responses.begin(client_id(1), attempt_of(1), start), ResponseConflict::none);
    responses.on_cancelled(client_id(1), attempt_of(1));
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(2), after(3600)), ResponseConflict::other_request);
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(1, 1), after(3600)), ResponseConflict::same_request);
    EXPECT_EQ(responses.begin(client_id(2), attempt_of(2), after(3600)), ResponseConflict::none);
    responses.on_response(client_id(1), after(3600) + copy_window);
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(3), after(3600)), ResponseConflict::other_request);
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(3), after(3601)), ResponseConflict::none);
}

// An attempt that the socket has not taken is written later, perhaps on another connection. No response to it
// can arrive here.
TEST(OutstandingResponses, AnAttemptThatWasTakenBackKeepsNothing) {
    OutstandingResponses responses;
    ASSERT_EQ(responses.begin(client_id(1), attempt_of(1), start), ResponseConflict::none);
    responses.on_taken_back(client_id(1), attempt_of(2));
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(2), start), ResponseConflict::other_request);
    responses.on_taken_back(client_id(1), attempt_of(1));
    EXPECT_EQ(responses.begin(client_id(1), attempt_of(2), start), ResponseConflict::none);
}

// The connection must be told when to retire, since abandoned ids are never forgotten. Answered ids must not
// pile up.
TEST(OutstandingResponses, AreBounded) {
    OutstandingResponses responses;
    TimePoint now = start;
    for (int n = 0; n < 100'000; ++n) {
        now = now + Duration::micros(1'000);
        ASSERT_EQ(responses.begin(client_id(n), attempt_of(static_cast<std::uint64_t>(n)), now),
                  ResponseConflict::none);
        responses.on_response(client_id(n), now + copy_window);
        ASSERT_LE(responses.size(), 512u);
    }
    EXPECT_FALSE(responses.too_many_abandoned());
    for (std::size_t n = 0; n <= OutstandingResponses::max_abandoned; ++n) {
        ASSERT_FALSE(responses.too_many_abandoned());
        const ClientRequestId id = client_id(-1 - static_cast<int>(n));
        ASSERT_EQ(responses.begin(id, attempt_of(n), now), ResponseConflict::none);
        responses.on_cancelled(id, attempt_of(n));
        responses.on_cancelled(id, attempt_of(n));  // counts once
    }
    EXPECT_TRUE(responses.too_many_abandoned());
}

// A connection to a cache in virtual time. It knows which attempt each response answers, which the wire does
// not tell.
class RandomConnection {
public:
    explicit RandomConnection(unsigned seed) : random_(seed) {}

    void step() {
        now_ = now_ + Duration::micros(pick(20'000));
        deliver_copies();
        const int action = pick(10);
        if (action < 5) begin();
        if (action == 5 || action == 6) respond();
        if (action == 7) cancel();
        if (action == 8) take_back();
    }
    int accepted = 0, conflicts = 0;

private:
    struct Written {
        int id;
        AttemptId attempt;
    };
    struct Copy {
        Written of;
        TimePoint due;
    };

    int pick(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
    void begin() {
        const int id = pick(6);
        const AttemptId attempt{RequestId{1 + random_() % 40}, next_index_++};
        if (responses_.begin(client_id(id), attempt, now_) != ResponseConflict::none) {
            ++conflicts;
            return;
        }
        ++accepted;
        in_flight_[id] = attempt;
        unanswered_.push_back({id, attempt});
    }
    void respond() {
        if (unanswered_.empty()) return;
        const auto which = unanswered_.begin() + pick(static_cast<int>(unanswered_.size()));
        const Written answered = *which;
        unanswered_.erase(which);
        deliver(answered);
        if (pick(2) == 0) copies_.push_back({answered, now_ + Duration::micros(pick(190'000))});
    }
    void deliver_copies() {
        for (const Copy& copy : std::exchange(copies_, {})) {
            if (copy.due <= now_ && now_ - copy.due < Duration::micros(10'000))
                deliver(copy.of);
            else if (copy.due > now_)
                copies_.push_back(copy);
        }
    }
    // What CacheConnection does with a response: the attempt that is in flight under the id gets it.
    void deliver(const Written& answered) {
        const auto it = in_flight_.find(answered.id);
        responses_.on_response(client_id(answered.id), now_ + copy_window);
        if (it == in_flight_.end()) return;
        EXPECT_EQ(it->second, answered.attempt) << "another attempt's response was taken, id " << answered.id;
        in_flight_.erase(it);
    }
    void cancel() {
        if (in_flight_.empty()) return;
        const auto it = std::next(in_flight_.begin(), pick(static_cast<int>(in_flight_.size())));
        responses_.on_cancelled(client_id(it->first), it->second);
        in_flight_.erase(it);
    }
    void take_back() {
        if (unanswered_.empty()) return;
        const Written last = unanswered_.back();
        const auto it = in_flight_.find(last.id);
        if (it == in_flight_.end() || it->second != last.attempt) return;
        responses_.on_taken_back(client_id(last.id), last.attempt);
        in_flight_.erase(it);
        unanswered_.pop_back();
    }

    std::mt19937 random_;
    TimePoint now_ = start;
    OutstandingResponses responses_;
    std::size_t next_index_ = 0;
    std::map<int, AttemptId> in_flight_;  // by id
    std::vector<Written> unanswered_;     // attempts that the cache may still answer, also cancelled ones
    std::vector<Copy> copies_;
};

// Attempts, responses in any order, copies, cancellations and attempts that are taken back, at random: no
// response may be taken for another attempt's.
TEST(OutstandingResponses, NoResponseIsTakenForAnotherAttempts) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        RandomConnection connection(seed);
        for (int n = 0; n < 5'000; ++n) connection.step();
        EXPECT_GT(connection.accepted, 200) << seed;
        EXPECT_GT(connection.conflicts, 200) << seed;
        if (::testing::Test::HasFailure()) FAIL() << "seed " << seed;
    }
}

}  // namespace
}  // namespace irismux::testing
