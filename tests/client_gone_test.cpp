// If a client closes its connection or aborts its request while the attempt of the request waits, the attempt
// must not begin. The scripted caches count the attempts that have arrived.
#include <csignal>
#include <iterator>

#include "codec/fastcgi.hpp"
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

enum class ClientEnd { closes, aborts };

class ClientGone : public ::testing::TestWithParam<ClientEnd> {
protected:
    static void end(FastCgiClient& client, std::uint16_t request) {
        if (GetParam() == ClientEnd::closes)
            client.close();
        else
            client.abort(request);
    }
};

// The first attempt waits because no connection to the only cache is established. The client leaves, and only
// then connections are established. The attempt must not begin, since its client is gone.
// CacheConnectionPool::withdraw_unstarted_attempts ensures this, and Router::may_begin_attempt checks it once
// more.
TEST_P(ClientGone, AFirstAttemptThatWaitsForAConnectionDoesNotBegin) {
    SingleProcess gateway(process_options(1, {}, 0));
    gateway.caches[0]->hold_connections();
    const auto first_client = gateway.connect_client(), other_client = gateway.connect_client();
    first_client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.pending_connections(*gateway.caches[0]) == 1; }));
    end(*first_client, 1);
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("client_closed client_request_id=" + id_of(1)); }));
    gateway.caches[0]->resume_accepting();
    // The test waits until all connections that the gateway has started to the cache are established. Then
    // one more request reaches the cache.
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.pending_connections(*gateway.caches[0]) == 0; }));
    other_client->send(1, {.id = id_of(2)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 0u);
}

// The cache resets the first attempt, and the retry waits for a connection. The client leaves, and only then
// connections are established. The retry must not reach the cache.
TEST_P(ClientGone, ARetryThatWaitsDoesNotBegin) {
    SingleProcess gateway(process_options(1, {}, 0));
    ScriptedCache& cache = *gateway.caches[0];
    const auto first_client = gateway.connect_client(), other_client = gateway.connect_client();
    first_client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    cache.hold_connections();
    cache.received[0].connection->reset();
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.pending_connections(cache) == 1; }));
    end(*first_client, 1);
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("client_closed client_request_id=" + id_of(1)); }));
    cache.resume_accepting();
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.pending_connections(cache) == 0; }));
    other_client->send(1, {.id = id_of(2)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 1u);
}

// A client closes its connection while over a megabyte of its responses is unread and one more request is in
// flight. The gateway has stopped reading the client's connection, but must notice that the client has left.
// When the cache resets the attempt, the gateway must not retry it (FastCgiConnection::scan_paused_input).
TEST_P(ClientGone, IsNoticedWhileResponsesAreUnread) {
    SingleProcess gateway(process_options(1));
    ScriptedCache& cache = *gateway.caches[0];
    const auto first_client = gateway.connect_client();
    first_client->send(1, {.id = id_of(1)});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    first_client->connection->enable_reading(false);
    // These responses are large enough that the gateway stops reading the connection, and small enough that
    // the gateway does not close it.
    constexpr int large = 20;
    for (int n = 2; n < 2 + large; ++n) first_client->send(static_cast<std::uint16_t>(n), {.id = id_of(n)});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.received.size() == 1 + large; }));
    for (std::size_t n = 1; n < cache.received.size(); ++n)
        cache.answer(cache.received[n], "HIT", std::string(240'000, 'b'));
    ASSERT_TRUE(gateway.wait_until(
        [&] { return gateway.logged("fastcgi_request=" + std::to_string(1 + large) + " bytes=240000"); }));
    end(*first_client, 1);
    ASSERT_TRUE(gateway.wait_until(
        [&] { return gateway.logged("client_closed client_request_id=" + id_of(1)); }, Duration::seconds(2)));
    cache.received[0].connection->reset();
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("attempt_ended client_request_id=" + id_of(1)); }));
    const auto other_client = gateway.connect_client();
    other_client->send(1, {.id = id_of(99)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(99)) == 1; }));
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 1u);
}

// Stops a process for as long as the object lives.
class StoppedProcess {
public:
    explicit StoppedProcess(SingleProcess& gateway) : gateway_(gateway) {
        ::kill(gateway_.process->id(), SIGSTOP);
        EXPECT_TRUE(gateway_.wait_until([this] { return state() == 'T'; }));
    }
    ~StoppedProcess() { ::kill(gateway_.process->id(), SIGCONT); }
    StoppedProcess(const StoppedProcess&) = delete;
    StoppedProcess& operator=(const StoppedProcess&) = delete;

private:
    char state() const {
        std::ifstream file("/proc/" + std::to_string(gateway_.process->id()) + "/stat");
        const std::string text(std::istreambuf_iterator<char>(file), {});
        const std::size_t name_end = text.rfind(") ");
        return name_end == std::string::npos ? '?' : text.at(name_end + 2);
    }
    SingleProcess& gateway_;
};

// The gateway stands still while a client sends requests and leaves. It then reads the requests together with
// the end of the connection or the aborts. They were once sent on, although nobody waited for them any more.
TEST_P(ClientGone, RequestsThatAreReadLateAreNotSentOn) {
    SingleProcess gateway(process_options(1));
    const auto other_client = gateway.connect_client();
    constexpr int requests = 20, first_id = 100;
    auto client = std::make_unique<RawClient>(gateway.listen);
    client->send(other_client->request(1, {.id = id_of(1)}));
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(1)) == 1; }));
    {
        const StoppedProcess stopped(gateway);
        for (int n = 0; n < requests; ++n) {
            const auto number = static_cast<std::uint16_t>(2 + n);
            Buffer abort;
            fastcgi::write_record(abort, fastcgi::Type::abort_request, number, {});
            client->send(other_client->request(
                number, {.id = id_of(first_id + n), .kind = n % 2 == 0 ? "pages" : "bids"}));
            if (GetParam() == ClientEnd::aborts) client->send(abort.view());
        }
        if (GetParam() == ClientEnd::closes) client.reset();
    }
    other_client->send(1, {.id = id_of(2)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(2)) == 1; }));
    other_client->send(2, {.id = id_of(3)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(3)) == 1; }));
    EXPECT_EQ(gateway.caches[0]->received.size(), 3u);
}

// The gateway stands still while the cache refuses an attempt and its client leaves. It then reads both at
// once. The retry must not begin.
TEST_P(ClientGone, ARetryAfterAStallDoesNotBegin) {
    SingleProcess gateway(process_options(1));
    ScriptedCache& cache = *gateway.caches[0];
    const auto other_client = gateway.connect_client();
    auto client = std::make_unique<RawClient>(gateway.listen);
    client->send(other_client->request(1, {.id = id_of(1)}));
    ASSERT_TRUE(gateway.wait_until([&] { return cache.count_received(id_of(1)) == 1; }));
    {
        const StoppedProcess stopped(gateway);
        cache.answer(cache.received[0], "SHED");
        Buffer abort;
        fastcgi::write_record(abort, fastcgi::Type::abort_request, 1, {});
        if (GetParam() == ClientEnd::aborts) client->send(abort.view());
        if (GetParam() == ClientEnd::closes) client.reset();
    }
    ASSERT_TRUE(
        gateway.wait_until([&] { return gateway.logged("attempt_ended client_request_id=" + id_of(1)); }));
    other_client->send(1, {.id = id_of(2)});
    ASSERT_TRUE(gateway.wait_until([&] { return gateway.attempts_received(id_of(2)) == 1; }));
    EXPECT_EQ(gateway.attempts_received(id_of(1)), 1u);
}

INSTANTIATE_TEST_SUITE_P(ClosesOrAborts, ClientGone, ::testing::Values(ClientEnd::closes, ClientEnd::aborts));

}  // namespace
}  // namespace irismux::testing
