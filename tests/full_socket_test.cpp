// Tests sockets that take nothing although their connections stay open: the socket of a cache that reads
// nothing any more is full (EAGAIN), or the system has no memory for a moment (ENOBUFS, ENOMEM). The gateway
// must go on serving, must answer each request in time, and must not use the processor for retries that can't
// succeed.
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>

#include "single_process_fixture.hpp"
#include "testing/fake_registry.hpp"
#include "testing/shims.hpp"

namespace irismux::testing {
namespace {

using test_support::CallFaults;
using test_support::endpoint_json;
using test_support::FakeRegistry;
using test_support::FastCgiClient;
using test_support::processor_seconds;
using test_support::ScriptedCache;
using test_support::Shims;
using test_support::SingleProcess;
using test_support::TestConnection;

const test_support::ShimLibraries libraries{IRISMUX_SKEWED_CLOCK, IRISMUX_FAILING_CALLS};

// An answer up to half a second after the client's timeout counts as late; a later one counts as none.
const Duration max_answer_delay = Duration::seconds(0.55);
// A gateway that makes no progress may use at most this share of a processor.
constexpr double max_processor_share = 0.5;

std::uint16_t port_of(const std::string& address) { return Poco::Net::SocketAddress(address).port(); }

// A gateway under the shim that makes its calls of send() fail.
class GatewayWithFailingSend {
public:
    explicit GatewayWithFailingSend(SingleProcess::Options options) {
        for (const std::string& variable : shims_.environment()) options.environment.push_back(variable);
        process_ = std::make_unique<SingleProcess>(options);
    }
    SingleProcess* operator->() { return process_.get(); }
    // Lets calls of send() to this port fail from now on, all of them or only the first ones.
    void fail_sends(std::uint16_t port, int error, std::uint32_t failures = 0) {
        CallFaults faults;
        faults.send_fails_to_port = port;
        faults.send_error = error;
        faults.send_failures = failures;
        faults.send_fault_number = ++fault_number_;
        shims_.set_calls(faults);
    }
    void end_failures() { shims_.set_calls({}); }
    // Returns an object that the first cache serves.
    std::string object_of_first_cache() {
        const auto client = process_->connect_client();
        for (std::uint16_t n = 1;; ++n) {
            const std::string id = id_of(0x7000 + n);
            client->send(n, {.id = id, .object = id_of(n)});
            if (!process_->wait_until([&] { return client->has_response(n, "Status: 200"); }))
                throw std::runtime_error("a request of the preparation was not served");
            if (process_->cache_serving(id) == process_->caches.front().get()) return id_of(n);
        }
    }

private:
    Shims shims_{libraries};
    std::unique_ptr<SingleProcess> process_;
    std::uint32_t fault_number_ = 0;
};

class SendFails : public ::testing::TestWithParam<int> {};

// The system has no memory for what the gateway sends to one cache. The gateway tried the same write again
// and again in one call, and served nobody meanwhile (CacheConnection::on_write_ready).
TEST_P(SendFails, OfOneCacheTheOthersAreServed) {
    GatewayWithFailingSend gateway(with_immediate_answers(process_options(2)));
    const std::string object = gateway.object_of_first_cache();
    gateway.fail_sends(port_of(gateway->caches[0]->address()), GetParam());
    const double used_before = processor_seconds(gateway->process->id());
    const TimePoint begun = gateway->loop.now();
    const auto client = gateway->connect_client(), other_client = gateway->connect_client();
    constexpr int timeout_ms = 300;
    for (std::uint16_t n = 1; n <= 5; ++n)
        client->send(n, {.id = id_of(n), .object = object, .timeout_ms = timeout_ms});
    gateway->wait_until([] { return false; }, Duration::seconds(0.05));
    int other_requests = 0;
    while (gateway->loop.now() < begun + Duration::seconds(1)) {
        const auto number = static_cast<std::uint16_t>(++other_requests);
        other_client->send(number, {.id = id_of(100 + number), .object = id_of(500 + number)});
        gateway->wait_until([] { return false; }, Duration::seconds(0.02));
    }
    const double used = processor_seconds(gateway->process->id()) - used_before;
    EXPECT_LT(used, max_processor_share * (gateway->loop.now() - begun).seconds());
    EXPECT_EQ(client->responses.size(), 5u);  // more than their timeout and max_answer_delay has passed
    gateway.end_failures();
    EXPECT_TRUE(gateway->wait_until(
        [&] { return other_client->responses.size() == static_cast<std::size_t>(other_requests); },
        Duration::seconds(4)));
    // Objects of the other cache were served while the sends failed.
    std::size_t served = 0;
    for (int n = 1; n <= other_requests; ++n)
        served += other_client->has_response(static_cast<std::uint16_t>(n), "Status: 200");
    EXPECT_GE(served, static_cast<std::size_t>(other_requests) / 4);
    client->send(9, {.id = id_of(9), .object = object});
    EXPECT_TRUE(gateway->wait_until([&] { return client->has_response(9, "Status: 200"); }));
}

// The system has no memory for what the gateway sends to one client or to the notice board. All other clients
// must be served meanwhile, and the client must get its response afterwards.
TEST_P(SendFails, OfOneClientAndTheNoticeBoardTheOthersAreServed) {
    GatewayWithFailingSend gateway(with_immediate_answers(process_options(2)));
    RawClient client(gateway->listen);
    const auto other_client = gateway->connect_client();
    std::uint16_t number = 0;
    for (const std::uint16_t port : {client.port(), port_of(gateway->notice_board->address())}) {
        gateway.fail_sends(port, GetParam());
        const double used_before = processor_seconds(gateway->process->id());
        const TimePoint begun = gateway->loop.now();
        client.send(other_client->request(1, {.id = id_of(1'000 + number)}));
        while (gateway->loop.now() < begun + Duration::seconds(1.5)) {
            const std::uint16_t sent = ++number;
            other_client->send(sent, {.id = id_of(sent), .object = id_of(sent)});
            EXPECT_TRUE(gateway->wait_until([&] { return other_client->has_response(sent, "Status: 200"); }));
            gateway->wait_until([] { return false; }, Duration::seconds(0.02));
        }
        const double used = processor_seconds(gateway->process->id()) - used_before;
        EXPECT_LT(used, max_processor_share * (gateway->loop.now() - begun).seconds());
        gateway.end_failures();
        EXPECT_TRUE(gateway->wait_until([&] {
            client.read_available();
            return client.received.find("Status: 200") != std::string::npos;
        }));
        client.received.clear();
    }
    // The notice board is heard again.
    const std::int64_t revision = gateway->notice_board->post({{"flush", {{"collection", 1}, {"ms", 1}}}});
    EXPECT_TRUE(gateway->wait_until([&] { return gateway->notice_board->last_poll_since() >= revision; }));
}

// Two attempts are in flight on the only connection to a cache, one of them of a request that must not run
// twice. The other request ends at its timeout, and the gateway cancels its attempt.
class CancellationFails : public ::testing::TestWithParam<int> {
protected:
    // Lets the given number of calls of send() fail from the cancellation on, or all of them if it is zero.
    void start_both(std::uint32_t failures) {
        client_->send(1, {.id = id_of(1), .kind = "bids", .body = "a bid", .timeout_ms = 1'500});
        client_->send(2, {.id = id_of(2), .timeout_ms = 300});
        ASSERT_TRUE(gateway_->wait_until([&] { return cache().received.size() == 2; }));
        ASSERT_EQ(cache().received[0].connection, cache().received[1].connection);
        gateway_.fail_sends(port_of(cache().address()), GetParam(), failures);
    }
    ScriptedCache& cache() { return *gateway_->caches[0]; }
    TestConnection& connection() { return *cache().received[0].connection; }

    // The descriptors suffice for one connection to the cache.
    GatewayWithFailingSend gateway_{process_options(1, {.descriptors = 52})};
    std::shared_ptr<FastCgiClient> client_ = gateway_->connect_client();
};

// The system has no memory for the cancellation at first. The gateway closed the connection to the cache, and
// the other request failed (CacheConnection::cancel_in_flight).
TEST_P(CancellationFails, ForAMomentTheOtherAttemptGoesOn) {
    start_both(1);
    EXPECT_TRUE(gateway_->wait_until([&] { return cache().cancelled.size() == 1; }, Duration::seconds(1)));
    for (const ScriptedCache::ReceivedAttempt& attempt : cache().received)
        if (attempt.request_id == id_of(1)) cache().answer(attempt);
    EXPECT_TRUE(gateway_->wait_until([&] { return client_->has_response(1); }));
    EXPECT_TRUE(client_->has_response(1, "Status: 200"));
    EXPECT_EQ(connection().state(), ConnectionState::open);
}

// A cancellation that can't be written must not wait for ever: closing the connection cancels the attempt
// too.
TEST_P(CancellationFails, ForeverTheConnectionIsClosed) {
    start_both(0);
    EXPECT_TRUE(gateway_->wait_until([&] { return connection().state() == ConnectionState::closed; },
                                     Duration::seconds(1)));
    gateway_.end_failures();
    EXPECT_TRUE(gateway_->wait_until([&] { return client_->has_response(1); }, Duration::seconds(2)));
    EXPECT_EQ(cache().count_received(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(Errors, CancellationFails, ::testing::Values(ENOBUFS, ENOMEM), [](const auto& test) {
    return test.param == ENOBUFS ? std::string("ENOBUFS") : std::string("ENOMEM");
});

// The only stream of the only connection to a cache is in use, and another attempt waits for it. When the
// first request ends at its timeout, its cancellation frees the stream: the waiting attempt was written only
// with the next response or attempt of that connection, so its request was answered at its deadline
// (CacheConnection::cancel_in_flight).
TEST(WaitingForAStream, EndsWithACancellation) {
    auto options = process_options(1, {.descriptors = 52});
    options.adjust_configuration = [adjust = options.adjust_configuration](json& c) {
        adjust(c);
        c["settings"]["ceilings"]["streamsPerConn"] = 1;
    };
    SingleProcess gateway(options);
    ScriptedCache& cache = *gateway.caches[0];
    const auto client = gateway.connect_client();
    client->send(1, {.id = id_of(1), .timeout_ms = 300});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.received.size() == 1; }));
    client->send(2, {.id = id_of(2), .timeout_ms = 2'000});
    EXPECT_TRUE(
        gateway.wait_until([&] { return cache.count_received(id_of(2)) == 1; }, Duration::seconds(1)));
    if (cache.received.size() == 2) cache.answer(cache.received.back());
    EXPECT_TRUE(gateway.wait_until([&] { return client->has_response(2, "Status: 200"); }));
}

// The system has no memory for what the gateway sends to the registry when SIGHUP has switched it on. The
// gateway must go on serving with the list of the notice board, and must read the registry afterwards.
TEST_P(SendFails, OfTheRegistryTheClientsAreServed) {
    const std::string parts_file =
        std::filesystem::temp_directory_path() / ("irismux-parts-" + std::to_string(::getpid()) + ".toml");
    std::ofstream(parts_file).flush();
    auto options = with_immediate_answers(process_options(2));
    options.environment = {"IRISMUX_PARTS=" + parts_file};
    GatewayWithFailingSend gateway(options);
    FakeRegistry registry(gateway->loop, 1, Duration::seconds(0.5));
    for (const auto& cache : gateway->caches)
        registry.model.put("/caches/" + cache->id(),
                           endpoint_json(cache->id(), "node", "plant", cache->address(), "Ready").dump());
    std::ofstream(parts_file) << "[registry]\nmembers = [\"" << registry.address(0)
                              << "\"]\nprefix = \"/caches/\"\n";
    gateway.fail_sends(port_of(registry.address(0)), GetParam());
    gateway->process->signal(SIGHUP);
    const auto client = gateway->connect_client();
    const double used_before = processor_seconds(gateway->process->id());
    const TimePoint begun = gateway->loop.now();
    std::uint16_t number = 0;
    while (gateway->loop.now() < begun + Duration::seconds(1.5)) {
        const std::uint16_t sent = ++number;
        client->send(sent, {.id = id_of(sent), .object = id_of(sent)});
        EXPECT_TRUE(gateway->wait_until([&] { return client->has_response(sent, "Status: 200"); }));
        gateway->wait_until([] { return false; }, Duration::seconds(0.02));
    }
    const double used = processor_seconds(gateway->process->id()) - used_before;
    EXPECT_LT(used, max_processor_share * (gateway->loop.now() - begun).seconds());
    EXPECT_GT(registry.ledger.connections, 0);
    EXPECT_EQ(registry.ledger.reads, 0);
    gateway.end_failures();
    EXPECT_TRUE(gateway->wait_until([&] { return registry.ledger.watches > 0; }));
    std::filesystem::remove(parts_file);
}

INSTANTIATE_TEST_SUITE_P(Errors, SendFails, ::testing::Values(ENOBUFS, ENOMEM), [](const auto& test) {
    return test.param == ENOBUFS ? std::string("ENOBUFS") : std::string("ENOMEM");
});

// A client that sends requests with little time left, and records those that are answered too late.
class ImpatientClient {
public:
    static constexpr int timeout_ms = 10;

    ImpatientClient(SingleProcess& gateway, int first_id)
        : gateway_(gateway), client_(gateway.connect_client()), next_id_(first_id) {}
    void send_request() {
        if (open_.size() >= max_open_requests) return;
        const auto number = static_cast<std::uint16_t>(++sent);
        open_[number] = gateway_.loop.now();
        client_->send(number, {.id = id_of(next_id_++), .timeout_ms = timeout_ms});
    }
    void receive_responses() {
        const TimePoint now = gateway_.loop.now();
        for (; processed_ < client_->responses.size(); ++processed_) {
            const auto request = open_.find(client_->responses[processed_].number);
            late +=
                now > request->second + Duration::micros(std::int64_t{1'000} * timeout_ms) + max_answer_delay;
            open_.erase(request);
        }
    }
    std::size_t unanswered() const { return open_.size(); }
    std::size_t sent = 0, late = 0;

private:
    static constexpr std::size_t max_open_requests = 32;
    SingleProcess& gateway_;
    std::shared_ptr<FastCgiClient> client_;
    int next_id_;
    std::size_t processed_ = 0;
    std::map<std::uint16_t, TimePoint> open_;  // time at which each open request was sent
};

// The only cache falls silent, and clients go on sending requests with 10 ms left. The sockets of the
// gateway's connections to the cache fill up, as on a network, where the kernel of a silent machine takes
// nothing. Each request must get its answer in time, as before the sockets were full. When the cache is back,
// it serves.
TEST(FullSocket, OfASilentCacheRequestsAreAnsweredInTime) {
    // With few descriptors the gateway has few connections to the cache, which fill up sooner.
    SingleProcess gateway(with_immediate_answers(process_options(1, {.descriptors = 64})));
    ScriptedCache& cache = *gateway.caches[0];
    cache.limit_receive_buffers();
    const auto sound_client = gateway.connect_client();
    sound_client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return sound_client->has_response(1, "Status: 200"); }));
    cache.fall_silent();
    std::vector<ImpatientClient> clients;
    for (int n = 1; n <= 4; ++n) clients.emplace_back(gateway, n << 20);
    const auto run_for = [&](double seconds, bool sending) {
        const TimePoint begun = gateway.loop.now();
        while (gateway.loop.now() < begun + Duration::seconds(seconds)) {
            for (ImpatientClient& client : clients) {
                client.receive_responses();
                if (sending) client.send_request();
            }
            gateway.wait_until([] { return false; }, Duration::micros(2'000));
        }
    };
    run_for(4, true);
    run_for(0.6, false);
    std::size_t sent = 0, late = 0, unanswered = 0;
    for (const ImpatientClient& client : clients) {
        sent += client.sent;
        late += client.late;
        unanswered += client.unanswered();
    }
    EXPECT_EQ(late, 0u) << "of " << sent;
    EXPECT_EQ(unanswered, 0u) << "of " << sent;
    cache.come_back();
    bool served = false;
    for (std::uint16_t number = 2; !served && number < 100; ++number) {
        sound_client->send(number, {.id = id_of(number), .timeout_ms = 500});
        gateway.wait_until([&] { return sound_client->has_response(number); });
        served = sound_client->has_response(number, "Status: 200");
    }
    EXPECT_TRUE(served);
}

}  // namespace
}  // namespace irismux::testing
