// Tests the FastCgiServer without a router: clients that send invalid or incomplete requests.
#include <algorithm>

#include "fastcgi_server_harness.hpp"

namespace irismux::testing {
namespace {

// A request with an invalid, duplicate or missing value or an unexpected body must be refused and must not
// reach the RequestHandler. A valid request on the same connection must be served.
TEST(FastCgiServer, RefusesInvalidRequests) {
    FastCgiServerHarness harness;
    const auto client = harness.connect_client();
    const Fields invalid_fields = {{"HTTP_X_TIMEOUT_MS", "-5"},   {"HTTP_X_TIMEOUT_MS", "0"},
                                   {"HTTP_X_TIMEOUT_MS", "3002"}, {"HTTP_X_TIMEOUT_MS", "1e3"},
                                   {"HTTP_X_FAMILY", "nan"},      {"HTTP_X_FAMILY", "256"},
                                   {"HTTP_X_BLOCK", "-1"},        {"HTTP_X_BLOCK", "99999999999"},
                                   {"HTTP_X_REQUEST_ID", ""},     {"HTTP_X_REQUEST_ID", "00000000000000b1,"},
                                   {"HTTP_X_OBJECT", "a1"},       {"CONTENT_LENGTH", "-1"},
                                   {"CONTENT_LENGTH", "7"},       {"SCRIPT_NAME", "/api/v2/files-old"},
                                   {"HTTP_X_RETRY", "2"},         {"HTTP_X_CACHED", "4be0c1927d55a6f3,via=x"},
                                   {"HTTP_X_CACHED", ""}};
    std::uint16_t number = 0;
    for (const auto& [name, value] : invalid_fields) {
        Fields fields = usual_fields;
        const auto position =
            std::find_if(fields.begin(), fields.end(),
                         [&, wanted = name](const auto& field) { return field.first == wanted; });
        position == fields.end() ? (void)fields.emplace_back(name, value) : (void)(position->second = value);
        write_request(client->connection->output(), ++number, fields);
    }
    Fields duplicate_field = usual_fields;
    duplicate_field.push_back({"HTTP_X_OBJECT", "00000000000000a2"});
    write_request(client->connection->output(), ++number, duplicate_field);
    write_request(client->connection->output(), ++number, usual_fields, "a body where none belongs");
    client->connection->write();
    harness.schedule(0.2, [&] {
        EXPECT_EQ(harness.accepted_ids, std::vector<std::string>{});
        EXPECT_EQ(client->received.find("Status: 200"), std::string::npos);
        EXPECT_EQ(count_occurrences(client->received, "Status: 4"), number);
        write_request(client->connection->output(), 99, usual_fields);
        client->connection->write();
    });
    harness.run(0.4);
    EXPECT_EQ(harness.accepted_ids, std::vector<std::string>{"00000000000000b1"});
}

// Clients that send nothing, half a request or endless parameters could take up all connections. The server
// must disconnect these clients within 3 s. Until then, a client that sends whole requests must be able to
// connect, and the server must not disconnect this client.
TEST(FastCgiServer, DisconnectsClientsThatSendNoWholeRequest) {
    FastCgiServerHarness harness;
    const auto active = harness.connect_client();
    std::vector<std::shared_ptr<FastCgiServerHarness::Client>> silent, incomplete;
    write_request(active->connection->output(), 1, usual_fields);
    active->connection->write();
    harness.schedule(0.1, [&] {
        harness.withhold_responses = true;
        write_request(active->connection->output(), 2, usual_fields);
        active->connection->write();
        for (int i = 0; i < 20; ++i) silent.push_back(harness.connect_client());
    });
    harness.schedule(0.3, [&] {
        // The limit is 8 connections, and the active client has one of them.
        EXPECT_EQ(
            std::count_if(silent.begin(), silent.end(), [](const auto& client) { return client->open; }), 7);
        for (int i = 0; i < 3; ++i) incomplete.push_back(harness.connect_client());
        Buffer& oversized = incomplete[0]->connection->output();
        for (const int i : {0, 1})
            fastcgi::write_begin_request(incomplete[static_cast<std::size_t>(i)]->connection->output(), 1,
                                         {fastcgi::responder, true});
        fastcgi::write_stream(oversized, fastcgi::Type::params, 1, std::string(300'000, 'p'));
        fastcgi::write_record(incomplete[2]->connection->output(), fastcgi::Type::std_in, 9, "x");
        for (const auto& client : incomplete) client->connection->write();
    });
    harness.schedule(0.5, [&] {
        EXPECT_EQ(count_occurrences(incomplete[0]->received, "Status: 4"), 1u);
        EXPECT_FALSE(incomplete[0]->open);
        EXPECT_TRUE(incomplete[1]->open && incomplete[1]->received.empty());
    });
    harness.run(2.9);
    EXPECT_EQ(count_occurrences(incomplete[1]->received, "Status: 408"), 1u);
    EXPECT_FALSE(incomplete[2]->open);
    for (const auto& client : silent) EXPECT_FALSE(client->open);
    EXPECT_TRUE(active->open);
    EXPECT_EQ(harness.accepted_ids.size(), 2u);
}

// The server holds the bytes of requests until they are complete. These bytes must stay within one limit for
// each connection, and within another limit for all connections together.
TEST(FastCgiServer, BoundsTheBytesOfIncompleteRequests) {
    FastCgiServerHarness harness;
    std::vector<std::shared_ptr<FastCgiServerHarness::Client>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(harness.connect_client());
        for (std::uint16_t number = 1; number <= 32; ++number) {
            fastcgi::write_begin_request(clients.back()->connection->output(), number,
                                         {fastcgi::responder, true});
            fastcgi::write_record(clients.back()->connection->output(), fastcgi::Type::std_in, number,
                                  std::string(40'000, 'w'));
        }
        clients.back()->connection->write();
    }
    harness.run(0.4);
    for (const auto& client : clients) {
        EXPECT_EQ(count_occurrences(client->received, "Status: 503"),
                  31u);  // one connection may hold an eighth of 400,000 bytes
    }
}

}  // namespace
}  // namespace irismux::testing
