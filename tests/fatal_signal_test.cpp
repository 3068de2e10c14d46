// A process that a fatal signal ends must print the signal and the events that preceded it.
#include <csignal>

#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

class FatalSignal : public ::testing::TestWithParam<int> {};

// A fatal signal ends a process that has responded to a request. The process's log must name the signal and
// the events of the request, and for each event the time that has passed since the event.
TEST_P(FatalSignal, IsPrintedWithTheLastEvents) {
    test_support::SingleProcess gateway(with_immediate_answers(process_options(1)));
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    gateway.process->signal(GetParam());
    ASSERT_TRUE(gateway.wait_until([&] { return !gateway.process->running(); }));
    EXPECT_FALSE(gateway.process->exited_cleanly());
    EXPECT_TRUE(gateway.logged("fatal: signal " + std::to_string(GetParam()))) << gateway.log_tail();
    EXPECT_TRUE(gateway.logged("us before: request_admitted 1 1")) << gateway.log_tail();
    EXPECT_TRUE(gateway.logged("us before: request_answered 1 1")) << gateway.log_tail();
}

INSTANTIATE_TEST_SUITE_P(Signals, FatalSignal, ::testing::Values(SIGSEGV, SIGABRT, SIGBUS));

}  // namespace
}  // namespace irismux::testing
