// Tests that clients which stop in the middle of their requests, or read no responses, take neither the
// memory nor the connections of clients that keep to the protocol.
#include "fastcgi_server_harness.hpp"

namespace irismux::testing {
namespace {

using Client = FastCgiServerHarness::Client;

void write_incomplete_request(Client& client, std::uint16_t request) {
    fastcgi::write_begin_request(client.connection->output(), request, {fastcgi::responder, true});
    client.connection->write();
}

// Clients ask for the server's values without a pause and read no response. The responses that they leave
// unread once used a mebibyte for each connection and passed the memory limit of the process. They must stay
// within half of the limit for unread responses (400,000 bytes) and a response for each connection.
TEST(ClientPressure, ClientsThatReadNothingUseBoundedMemory) {
    constexpr std::size_t clients = 7, names = 300, limit = 400'000, response_bytes = 8'192;
    FastCgiServerHarness harness;
    std::string query;
    for (std::size_t n = 0; n < names; ++n) fastcgi::write_pair(query, "FCGI_MAX_CONNS", "");
    std::size_t largest = 0;
    std::vector<std::shared_ptr<Client>> silent;
    for (std::size_t n = 0; n < clients; ++n) {
        const auto& client = silent.emplace_back(harness.connect_client());
        client->connection->enable_reading(false);
        for (int i = 0; i < 1'000; ++i)
            fastcgi::write_record(client->connection->output(), fastcgi::Type::get_values, 0, query);
    }
    std::function<void()> observe = [&] {
        largest = std::max(largest, harness.server.unsent_bytes());
        harness.schedule(0.001, observe);
    };
    observe();
    harness.run(0.5);
    EXPECT_GT(largest, 0u) << "the clients left nothing unread";
    EXPECT_LE(largest, limit / 2 + clients * response_bytes);
}

// Clients connect, send half a request and stop, until they would need all connections. The client that sends
// whole requests once lost its connection, which was the only idle one. It must be served on this connection
// throughout.
TEST(ClientPressure, StalledClientsDoNotTakeTheConnectionsOfOthers) {
    FastCgiServerHarness harness;
    const auto active = harness.connect_client();
    std::uint16_t sent = 0;
    std::function<void()> send = [&] {
        write_request(active->connection->output(), ++sent, usual_fields);
        active->connection->write();
        if (sent < 20) harness.schedule(0.02, send);
    };
    harness.schedule(0.01, send);
    std::vector<std::shared_ptr<Client>> stalled;
    for (int n = 0; n < 20; ++n)
        harness.schedule(0.05 + n * 0.01, [&] {
            stalled.push_back(harness.connect_client());
            write_incomplete_request(*stalled.back(), 1);
        });
    harness.run(0.7);
    EXPECT_TRUE(active->open);
    EXPECT_EQ(count_occurrences(active->received, "Status: 200"), 20u);
}

// A request that stays incomplete is refused. Everything that came behind it on its connection was once
// thrown away. The other requests must be answered, also one behind the late rest of the refused request, and
// also if the rest arrives in pieces.
TEST(ClientPressure, ALateRequestIsSkippedAndTheOthersAreAnswered) {
    constexpr std::size_t body_bytes = 20'000;
    FastCgiServerHarness harness;
    const auto client = harness.connect_client();
    Buffer& out = client->connection->output();
    write_request(out, 1, usual_fields);
    fastcgi::write_begin_request(out, 2, {fastcgi::responder, true});
    Buffer late;
    fastcgi::write_record(late, fastcgi::Type::params, 2, std::string(body_bytes, 'p'));
    out.append(late.view().substr(0, 100));
    client->connection->write();
    harness.schedule(2.4, [&] {
        EXPECT_EQ(count_occurrences(client->received, "Status: 408"), 1u);
        out.append(late.view().substr(100, 5'000));
        client->connection->write();
    });
    harness.schedule(2.5, [&] {
        out.append(late.view().substr(5'100));
        write_request(out, 3, usual_fields);
        client->connection->write();
    });
    harness.run(2.7);
    EXPECT_TRUE(client->open);
    EXPECT_EQ(count_occurrences(client->received, "Status: 200"), 2u);
}

}  // namespace
}  // namespace irismux::testing
