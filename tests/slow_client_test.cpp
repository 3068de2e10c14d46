// Tests the memory for responses that clients have not read yet: clients that read at full speed keep their
// connections however many responses arrive together, and clients that read too slowly are closed.
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <ostream>

#include "fastcgi_server_harness.hpp"
#include "single_process_fixture.hpp"

namespace irismux::testing {
namespace {

using Client = FastCgiServerHarness::Client;
using test_support::FastCgiClient;
using test_support::ScriptedCache;
using test_support::SingleProcess;

constexpr std::size_t max_object_bytes = 240'000;
constexpr std::uint16_t max_open_requests = 32;

void send_requests(const std::shared_ptr<Client>& client, int first_id, std::uint16_t count) {
    for (std::uint16_t number = 1; number <= count; ++number) {
        Fields fields = usual_fields;
        fields[2].second = id_of(first_id + number);
        write_request(client->connection->output(), number, fields);
    }
    client->connection->write();
}

std::size_t whole_responses(const Client& client) {
    // END_REQUEST has the record type 3 and eight bytes of content.
    return count_occurrences(client.received, std::string("\x01\x03", 2));
}

// Sends all responses that the harness has withheld, in one iteration of the event loop.
void send_all(FastCgiServerHarness& harness) {
    const std::string body(max_object_bytes, 'b');
    for (const ClientStream& stream : std::exchange(harness.withheld, {}))
        harness.server.send_response(stream, body, false);
}

// 32 responses of the largest size arrive in one iteration of the event loop, before any write of them was
// tried. They exceed the memory limit, but the client reads at full speed: each request must get its whole
// response. No further responses may be received until the client has read enough.
TEST(SlowClient, AClientThatReadsAtFullSpeedGetsAllResponsesThatArriveTogether) {
    FastCgiServerHarness harness;
    harness.withhold_responses = true;
    const auto client = harness.connect_client();
    send_requests(client, 0, max_open_requests);
    harness.schedule(0.2, [&] {
        ASSERT_EQ(harness.withheld.size(), max_open_requests);
        send_all(harness);
        EXPECT_TRUE(harness.responses_paused);
    });
    harness.run(1.5);
    EXPECT_TRUE(client->open);
    EXPECT_EQ(whole_responses(*client), max_open_requests);
    EXPECT_EQ(harness.pauses, 1);
    EXPECT_FALSE(harness.responses_paused);
}

// A client that does not read its responses must not hold the memory of all other clients: its connection is
// closed within a second, and the caches' responses go on.
TEST(SlowClient, AClientThatDoesNotReadIsClosed) {
    FastCgiServerHarness harness;
    harness.withhold_responses = true;
    const auto client = harness.connect_client();
    const auto other_client = harness.connect_client();
    send_requests(client, 0, max_open_requests);
    harness.schedule(0.2, [&] {
        client->connection->enable_reading(false);
        send_all(harness);
        harness.withhold_responses = false;
    });
    harness.schedule(1.2, [&] {
        EXPECT_EQ(harness.server.connection_count(), 1u);
        EXPECT_FALSE(harness.responses_paused);
        send_requests(other_client, 100, 1);
    });
    harness.run(1.4);
    EXPECT_EQ(whole_responses(*other_client), 1u);
    EXPECT_TRUE(other_client->open);
}

// A client that reads at a steady pace, also if the event loop calls it late: each read takes as much as the
// pace allows for the time since the last one.
class PacedReader {
public:
    PacedReader(FastCgiServerHarness& harness, double bytes_per_second,
                std::size_t receive_buffer_bytes = max_object_bytes)
        : harness_(harness), bytes_per_second_(bytes_per_second) {
        socket_.connect(Poco::Net::SocketAddress(harness.address));
        socket_.setReceiveBufferSize(static_cast<int>(receive_buffer_bytes));
    }
    void send_requests(std::uint16_t count) {
        Buffer out;
        for (std::uint16_t number = 1; number <= count; ++number) {
            Fields fields = usual_fields;
            fields[2].second = id_of(number);
            write_request(out, number, fields);
        }
        ::send(descriptor(), out.view().data(), out.size(), MSG_NOSIGNAL);
    }
    void read_from_now_on() {
        read_at_ = harness_.loop.now();
        harness_.schedule(read_interval_s, [this] { read(); });
    }
    std::size_t received = 0;
    bool closed = false;

private:
    static constexpr double read_interval_s = 0.01;

    void read() {
        const double elapsed = (harness_.loop.now() - read_at_).seconds();
        std::string room(static_cast<std::size_t>(bytes_per_second_ * elapsed) + 1, '\0');
        const ssize_t size = ::recv(descriptor(), room.data(), room.size(), MSG_DONTWAIT);
        closed = size == 0 || (size < 0 && errno != EAGAIN);
        if (size > 0) received += static_cast<std::size_t>(size);
        if (!closed) read_from_now_on();
    }
    int descriptor() const { return socket_.impl()->sockfd(); }

    FastCgiServerHarness& harness_;
    double bytes_per_second_;
    TimePoint read_at_;
    Poco::Net::StreamSocket socket_;
};

// The client reads a little all the time, but would need minutes for its responses.
TEST(SlowClient, AClientThatReadsTooSlowlyIsClosed) {
    FastCgiServerHarness harness;
    harness.withhold_responses = true;
    PacedReader client(harness, 1e5);
    client.send_requests(max_open_requests);
    harness.schedule(0.2, [&] {
        send_all(harness);
        client.read_from_now_on();
    });
    harness.schedule(1.2, [&] {
        EXPECT_EQ(harness.server.connection_count(), 0u);
        EXPECT_FALSE(harness.responses_paused);
    });
    harness.run(1.3);
}

// The client needs 0.6 s for its responses, where one second is allowed. It is not at full speed, but must
// get all of them.
TEST(SlowClient, AClientThatReadsAtASteadyPaceGetsAllResponses) {
    constexpr std::uint16_t requests = 10;
    FastCgiServerHarness harness;
    harness.withhold_responses = true;
    PacedReader client(harness, 4e6);
    client.send_requests(requests);
    harness.schedule(0.2, [&] {
        send_all(harness);
        client.read_from_now_on();
    });
    harness.run(2.5);
    EXPECT_FALSE(client.closed);
    EXPECT_GT(client.received, requests * max_object_bytes);
    EXPECT_FALSE(harness.responses_paused);
}

// One client does not read a single response, and another one fills the memory at a sound pace. Closing the
// first would free little, so it must keep its connection.
TEST(SlowClient, AClientWithLessThanAnEvenShareStays) {
    constexpr std::uint16_t requests = 10;
    FastCgiServerHarness harness;
    harness.withhold_responses = true;
    PacedReader client(harness, 4e6), stalled_client(harness, 0, 4'096);
    stalled_client.send_requests(1);
    harness.schedule(0.1, [&] { send_all(harness); });
    harness.schedule(0.15, [&] { client.send_requests(requests); });
    harness.schedule(0.4, [&] {
        EXPECT_EQ(harness.withheld.size(), requests);
        send_all(harness);
        client.read_from_now_on();
        EXPECT_TRUE(harness.responses_paused);
    });
    harness.run(2.5);
    EXPECT_EQ(harness.server.connection_count(), 2u);
    EXPECT_GT(client.received, requests * max_object_bytes);
    EXPECT_FALSE(harness.responses_paused);
}

// --- the pace of a client --------------------------------------------------------------------------------

class SlowReaderDetection : public ::testing::Test {
protected:
    static TimePoint at(double seconds) { return TimePoint::at_seconds(100 + seconds); }
    // Output that has been blocked since a write at `blocked_at`, when `written_then` bytes had been written.
    static PendingOutput blocked(std::size_t unsent_bytes, std::uint64_t written_bytes, double blocked_at,
                                 std::uint64_t written_then) {
        return {1, unsent_bytes, written_bytes, WriteProgress{written_then, at(blocked_at)}, at(blocked_at)};
    }
    // Samples every 100 ms up to `until`, with output as `output_at` returns it.
    template <class OutputAt>
    void sample_until(double until, OutputAt output_at) {
        for (; sampled_until_ <= until + 1e-9; sampled_until_ += 0.1)
            detector_.sample({output_at(sampled_until_)}, at(sampled_until_));
    }
    SlowReaderDetector detector_{Duration::seconds(3)};

private:
    double sampled_until_ = 0;
};

TEST_F(SlowReaderDetection, OutputThatNoWriteWasTriedForIsNotSlow) {
    const PendingOutput output{1, 8'000'000, 0, std::nullopt, TimePoint{}};
    sample_until(5, [&](double) { return output; });
    EXPECT_FALSE(detector_.is_slow(output, at(5)));
}

TEST_F(SlowReaderDetection, AStalledClientIsSlowOnlyAfterTheMinimumTime) {
    const PendingOutput output = blocked(8'000'000, 500, 0, 500);
    sample_until(0.1, [&](double) { return output; });
    EXPECT_FALSE(detector_.is_slow(output, at(0.1)));
    sample_until(0.2, [&](double) { return output; });
    EXPECT_TRUE(detector_.is_slow(output, at(0.2)));
}

// The output was empty in between, so the time before says nothing about the client.
TEST_F(SlowReaderDetection, ANewBurstIsMeasuredFromItsOwnBlockedWrite) {
    sample_until(0.5, [&](double) { return blocked(10'000, 0, 0, 0); });
    const PendingOutput burst = blocked(8'000'000, 10'000, 0.55, 10'000);
    sample_until(0.6, [&](double) { return burst; });
    EXPECT_FALSE(detector_.is_slow(burst, at(0.6)));
}

// 8 MB within 3 s need 2.7 MB/s.
TEST_F(SlowReaderDetection, ThePaceIsComparedWithTheUnsentBytes) {
    for (const double bytes_per_second : {2e6, 3.5e6}) {
        SlowReaderDetector detector(Duration::seconds(3));
        PendingOutput output;
        for (double time = 0; time < 0.45; time += 0.1) {
            const auto written = static_cast<std::uint64_t>(bytes_per_second * time);
            output = blocked(8'000'000, written, 0, 0);
            detector.sample({output}, at(time));
        }
        EXPECT_EQ(detector.is_slow(output, at(0.4)), bytes_per_second < 2.7e6) << bytes_per_second;
    }
}

// A process with little processor time finds room for a whole send buffer whenever it writes. Its client may
// be fast, so its pace is measured anew each time. But the output must not stay blocked for longer than
// allowed.
TEST_F(SlowReaderDetection, AProcessThatWritesLateDoesNotBlameItsClient) {
    const auto output_at = [](double time) {
        const auto written = static_cast<std::uint64_t>(time * 10) * 65'536;
        return PendingOutput{1, 8'000'000, written, WriteProgress{written, at(time)}, at(0)};
    };
    sample_until(2.9, output_at);
    EXPECT_FALSE(detector_.is_slow(output_at(2.9), at(2.9)));
    sample_until(3.1, output_at);
    EXPECT_TRUE(detector_.is_slow(output_at(3.1), at(3.1)));
}

// A process that stood still for seconds has written nothing, and its clients could read nothing.
TEST_F(SlowReaderDetection, TimeInWhichTheProcessStoodStillDoesNotCount) {
    const PendingOutput output = blocked(8'000'000, 0, 0, 0);
    detector_.sample({output}, at(0));
    detector_.sample({output}, at(2));
    EXPECT_FALSE(detector_.is_slow(output, at(2)));
    detector_.sample({output}, at(2.1));
    EXPECT_FALSE(detector_.is_slow(output, at(2.1)));
    detector_.sample({output}, at(2.2));
    EXPECT_TRUE(detector_.is_slow(output, at(2.2)));
}

// --- a gateway process -----------------------------------------------------------------------------------

struct Burst {
    int connections;
    std::uint16_t requests;  // on each connection
};

std::ostream& operator<<(std::ostream& out, const Burst& burst) {
    return out << burst.connections << " connections with " << burst.requests << " requests each";
}

class BurstOfLargeResponses : public ::testing::TestWithParam<Burst> {};

// Clients send many requests at once and read at full speed. The responses of the caches arrive together and
// exceed a fifth of the memory. No connection may be closed before all of its requests have a response.
// Requests beyond the limit of the router are rejected.
TEST_P(BurstOfLargeResponses, LosesNoRequest) {
    static constexpr std::size_t memory_mb = 32, served_that_exceed_a_fifth = 28;
    const Burst burst = GetParam();
    auto options = process_options(3);
    options.adjust_configuration = [adjust = options.adjust_configuration](json& c) {
        adjust(c);
        c["limits"]["memory_mb"] = memory_mb;
    };
    SingleProcess gateway(options);
    const std::string body(max_object_bytes, 'b');
    for (const auto& cache : gateway.caches)
        cache->on_attempt = [&, &cache = *cache](const ScriptedCache::ReceivedAttempt& attempt) {
            gateway.loop.schedule_at(gateway.loop.now() + Duration::seconds(0.3),
                                     [&, attempt] { cache.answer(attempt, "HIT", body); });
        };
    std::vector<std::shared_ptr<FastCgiClient>> clients;
    for (int c = 0; c < burst.connections; ++c) {
        clients.push_back(gateway.connect_client());
        for (std::uint16_t number = 1; number <= burst.requests; ++number) {
            const std::string id = id_of(1'000 * (c + 1) + number);
            clients.back()->send(number, {.id = id, .object = id, .timeout_ms = 5'000});
        }
    }
    const auto count = [&](auto condition) {
        std::size_t matching = 0;
        for (const auto& client : clients)
            matching += static_cast<std::size_t>(
                std::count_if(client->responses.begin(), client->responses.end(), condition));
        return matching;
    };
    const auto answered = [&] { return count([](const auto&) { return true; }); };
    const auto total = static_cast<std::size_t>(burst.connections) * burst.requests;
    gateway.wait_until([&] { return answered() == total; }, Duration::seconds(6));
    EXPECT_EQ(answered(), total);
    const std::size_t whole =
        count([&](const auto& response) { return response.body.size() == body.size(); });
    const std::size_t rejected =
        count([](const auto& response) { return response.head.starts_with("Status: 503"); });
    EXPECT_EQ(whole + rejected, total);
    EXPECT_GE(whole, served_that_exceed_a_fifth);
    for (const auto& client : clients) EXPECT_FALSE(client->ended);
    EXPECT_FALSE(gateway.logged("slow_client_closed"));
}

// The gateway gets the processor for a millisecond of every 230, so its writes are late. The client reads at
// full speed and must get all responses.
TEST(SlowClientOfAProcess, AGatewayWithLittleProcessorTimeDoesNotBlameItsClient) {
    auto options = process_options(1);
    options.adjust_configuration = [adjust = options.adjust_configuration](json& c) {
        adjust(c);
        c["limits"]["memory_mb"] = 8;
    };
    SingleProcess gateway(options);
    ScriptedCache& cache = *gateway.caches[0];
    const auto client = gateway.connect_client();
    for (std::uint16_t number = 1; number <= max_open_requests; ++number)
        client->send(number, {.id = id_of(number), .object = id_of(number), .timeout_ms = 5'000});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.received.size() == max_open_requests; }));
    const std::string body(max_object_bytes, 'b');
    for (const ScriptedCache::ReceivedAttempt& attempt : cache.received) cache.answer(attempt, "HIT", body);
    const auto all_answered = [&] { return client->responses.size() == max_open_requests || client->ended; };
    for (int n = 0; n < 20 && !all_answered(); ++n) {
        gateway.process->signal(SIGSTOP);
        gateway.wait_until([] { return false; }, Duration::seconds(0.23));
        gateway.process->signal(SIGCONT);
        gateway.wait_until(all_answered, Duration::seconds(0.0005));
    }
    gateway.wait_until(all_answered, Duration::seconds(4));
    EXPECT_FALSE(client->ended);
    EXPECT_EQ(client->responses.size(), max_open_requests);
}

std::size_t count_logged(const SingleProcess& gateway, const std::string& part_of_a_line) {
    std::ifstream file(gateway.log);
    std::size_t count = 0;
    for (std::string line; std::getline(file, line);) count += line.find(part_of_a_line) != std::string::npos;
    return count;
}

// The unread responses of one client fill the memory, a fifth of 8 MB, with seven of 32 responses. The others
// must wait in the cache's connections until the gateway has closed that client (RequestDispatcher::
// pause_responses): the sockets and the input that was read already may add some, but not as many again. Then
// the cache's responses must go on.
TEST(SlowClientOfAProcess, ResponsesOfCachesWaitUntilItIsClosed) {
    auto options = process_options(1);
    options.adjust_configuration = [adjust = options.adjust_configuration](json& c) {
        adjust(c);
        c["limits"]["memory_mb"] = 8;
    };
    SingleProcess gateway(options);
    ScriptedCache& cache = *gateway.caches[0];
    const auto slow_client = gateway.connect_client(), other_client = gateway.connect_client();
    for (std::uint16_t number = 1; number <= max_open_requests; ++number)
        slow_client->send(number, {.id = id_of(number), .object = id_of(number), .timeout_ms = 5'000});
    ASSERT_TRUE(gateway.wait_until([&] { return cache.received.size() == max_open_requests; }));
    slow_client->connection->enable_reading(false);
    const std::string body(max_object_bytes, 'b');
    for (const ScriptedCache::ReceivedAttempt& attempt : cache.received) cache.answer(attempt, "HIT", body);
    EXPECT_TRUE(
        gateway.wait_until([&] { return gateway.logged("slow_client_closed"); }, Duration::seconds(3)));
    cache.on_attempt = [&](const ScriptedCache::ReceivedAttempt& attempt) { cache.answer(attempt); };
    other_client->send(1, {.id = id_of(1'000), .object = id_of(1'000), .timeout_ms = 5'000});
    EXPECT_TRUE(gateway.wait_until([&] { return other_client->has_response(1, "Status: 200"); }));
    EXPECT_LE(count_logged(gateway, "bytes=240000"), max_open_requests / 2u);
}

INSTANTIATE_TEST_SUITE_P(Bursts, BurstOfLargeResponses,
                         ::testing::Values(Burst{1, 32}, Burst{4, 10}, Burst{12, 4}, Burst{5, 32}));

}  // namespace
}  // namespace irismux::testing
