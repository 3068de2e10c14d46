// Tests the timers of the event loop and ScopedTimer, the handle that owns a timer.
#include "net/event_loop.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace irismux {
namespace {

constexpr Duration ms = Duration::micros(1'000);

// Runs the loop for longer than the delay of any timer of the tests that call this function.
void run_past_all_timers(EventLoop& loop) {
    loop.schedule_at(loop.now() + ms * 20, [&loop] { loop.stop(); });
    loop.run();
}

// The callback of a timer must not run after the timer's handle was destroyed.
TEST(ScopedTimer, DestroyedHandleNeverRunsItsCallback) {
    EventLoop loop;
    int runs = 0;
    {
        const ScopedTimer timer(loop, loop.now() + ms, [&] { ++runs; });
        EXPECT_TRUE(timer.pending());
    }
    run_past_all_timers(loop);
    EXPECT_EQ(runs, 0);
}

// Assigning another timer to a handle must cancel the pending timer. Only the second callback may run, and
// only once.
TEST(ScopedTimer, AssignmentCancelsThePreviousTimer) {
    EventLoop loop;
    int first = 0;
    int second = 0;
    ScopedTimer timer(loop, loop.now() + ms, [&] { ++first; });
    timer = ScopedTimer(loop, loop.now() + ms, [&] { ++second; });
    run_past_all_timers(loop);
    EXPECT_EQ(first, 0);
    EXPECT_EQ(second, 1);
    EXPECT_FALSE(timer.pending());
}

// After a move only the new handle owns the timer: destroying the old handle must not cancel it.
TEST(ScopedTimer, MovedHandleOwnsTheTimer) {
    EventLoop loop;
    int runs = 0;
    std::optional<ScopedTimer> first;
    first.emplace(loop, loop.now() + ms, [&] { ++runs; });
    const ScopedTimer second = std::move(first.value());
    first.reset();
    EXPECT_TRUE(second.pending());
    run_past_all_timers(loop);
    EXPECT_EQ(runs, 1);
}

// A callback must be able to assign the next timer to its own handle, which is not pending while the callback
// runs.
TEST(ScopedTimer, CallbackMayAssignTheNextTimer) {
    EventLoop loop;
    int runs = 0;
    bool pending_inside = true;
    ScopedTimer timer;
    std::function<void()> tick = [&] {
        pending_inside = timer.pending();
        if (++runs < 3) timer = ScopedTimer(loop, loop.now() + ms, tick);
    };
    timer = ScopedTimer(loop, loop.now() + ms, tick);
    run_past_all_timers(loop);
    EXPECT_EQ(runs, 3);
    EXPECT_FALSE(pending_inside);
}

// Destroying the loop destroys callbacks that own handles of other timers of the same loop. Those timers must
// be cancelled, and no callback may run.
TEST(ScopedTimer, LoopDestructionCancelsTimersOwnedByCallbacks) {
    int runs = 0;
    {
        EventLoop loop;
        for (int n = 1; n <= 50; ++n) {
            const auto owned = std::make_shared<ScopedTimer>(loop, loop.now() + ms * n, [&] { ++runs; });
            loop.schedule_at(loop.now() + ms * n, [owned] { owned->cancel(); });
        }
    }
    EXPECT_EQ(runs, 0);
}

}  // namespace
}  // namespace irismux
