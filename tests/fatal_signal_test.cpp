// A process that dies by a signal says so, with what happened last.
#include <csignal>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

class FatalSignal : public ::testing::TestWithParam<int> {};

TEST_P(FatalSignal, IsToldWithTheLastEvents) {
    stand_ins::SingleProcess solo(answering(solo_shape(1)));
    const auto client = solo.connect_client();
    client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(solo.until([&] { return client->has_response(1); }));
    solo.process->signal(GetParam());
    ASSERT_TRUE(solo.until([&] { return !solo.process->running(); }));
    EXPECT_FALSE(solo.process->left());
    EXPECT_TRUE(solo.logged("fatal: signal " + std::to_string(GetParam()))) << solo.log_tail();
    EXPECT_TRUE(solo.logged("us before: request_admitted 1 1")) << solo.log_tail();
    EXPECT_TRUE(solo.logged("us before: request_answered 1 1")) << solo.log_tail();
}

INSTANTIATE_TEST_SUITE_P(Signals, FatalSignal, ::testing::Values(SIGSEGV, SIGABRT, SIGBUS));

}  // namespace
}  // namespace irismux::testing
