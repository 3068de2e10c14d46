// Tests system calls that fail for a moment, with errors that Linux documents. The program must start, serve,
// and lose no request.
#include "single_process_fixture.hpp"
#include "testing/shims.hpp"

namespace irismux::testing {
namespace {

using test_support::Call;
using test_support::CallFaults;
using test_support::FastCgiClient;
using test_support::Shims;
using test_support::SingleProcess;

const test_support::ShimLibraries libraries{IRISMUX_SKEWED_CLOCK, IRISMUX_FAILING_CALLS};

test_support::SingleProcess::Options options_with(const Shims& shims, std::size_t caches = 2) {
    test_support::SingleProcess::Options options =
        with_immediate_answers(process_options(caches, {.deadline_s = 2}));
    options.environment = shims.environment();
    return options;
}

struct FailingCall {
    const char* name;
    Call call;
    std::uint32_t nth;
};

class CallFailsOnce : public ::testing::TestWithParam<FailingCall> {};

// One of the first calls of a kind fails once while the program starts. The program must still serve a
// request.
TEST_P(CallFailsOnce, TheProgramStartsAndServes) {
    Shims shims(libraries);
    CallFaults faults;
    faults.nth[static_cast<std::size_t>(GetParam().call)] = GetParam().nth;
    shims.set_calls(faults);
    SingleProcess gateway(options_with(shims));
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .timeout_ms = 2000});
    EXPECT_TRUE(gateway.wait_until([&] { return client->has_response(1); }));
    EXPECT_TRUE(client->has_response(1, "Status: 200"));
    EXPECT_TRUE(gateway.process->running());
}

std::vector<FailingCall> first_calls() {
    std::vector<FailingCall> all;
    const std::pair<const char*, Call> calls[] = {
        {"Socket", Call::socket},
        {"Bind", Call::bind},
        {"Listen", Call::listen},
        {"Connect", Call::connect},
        {"Accept", Call::accept},
        {"Setsockopt", Call::setsockopt},
        {"EpollWait", Call::epoll_wait},
        {"EpollCtl", Call::epoll_ctl},
        {"Recv", Call::recv},
        {"Send", Call::send},
        {"Open", Call::open},
        {"Read", Call::read},
    };
    for (const auto& [name, call] : calls)
        for (std::uint32_t nth = 1; nth <= 4; ++nth) all.push_back({name, call, nth});
    return all;
}

INSTANTIATE_TEST_SUITE_P(Calls, CallFailsOnce, ::testing::ValuesIn(first_calls()), [](const auto& test) {
    return std::string(test.param.name) + std::to_string(test.param.nth);
});

class CallsFailOften : public ::testing::TestWithParam<unsigned> {};

// From the start on, one call in ten of each kind fails, while clients and caches work correctly. Each
// request must get one response, and nearly all requests must be served.
TEST_P(CallsFailOften, EachRequestGetsOneResponse) {
    Shims shims(libraries);
    CallFaults faults;
    faults.seed = GetParam();
    for (std::uint32_t& one_in : faults.one_in) one_in = 10;
    // Writes do not fail, since the test reads in the log when the process begins to serve.
    faults.one_in[static_cast<std::size_t>(Call::write)] = 0;
    shims.set_calls(faults);
    SingleProcess gateway(options_with(shims));
    constexpr int connections = 4, requests = 60;
    std::vector<std::shared_ptr<FastCgiClient>> clients;
    clients.reserve(connections);
    for (int c = 0; c < connections; ++c) clients.push_back(gateway.connect_client());
    for (int n = 0; n < requests; ++n) {
        for (int c = 0; c < connections; ++c)
            clients[static_cast<std::size_t>(c)]->send(
                static_cast<std::uint16_t>(n + 1),
                {.id = id_of(n * connections + c), .object = id_of(n), .timeout_ms = 2000});
        gateway.wait_until([] { return false; }, Duration::micros(10'000));
    }
    gateway.wait_until(
        [&] {
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto& c) { return c->responses.size() >= requests; });
        },
        Duration::seconds(4));
    ASSERT_TRUE(gateway.process->running());
    int served = 0;
    for (const auto& client : clients) {
        EXPECT_EQ(client->responses.size(), static_cast<std::size_t>(requests)) << gateway.log_tail();
        EXPECT_FALSE(client->ended);
        for (int n = 0; n < requests; ++n) {
            EXPECT_TRUE(client->has_response(static_cast<std::uint16_t>(n + 1)));
            served += client->has_response(static_cast<std::uint16_t>(n + 1), "Status: 200");
        }
    }
    EXPECT_GT(served, connections * requests * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CallsFailOften, ::testing::Range(1u, 7u));

}  // namespace
}  // namespace irismux::testing
