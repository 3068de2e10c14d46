// A FastCgiServer on an event loop with its clients, and functions that encode requests.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/log.hpp"
#include "codec/fastcgi.hpp"
#include "net/fastcgi_server.hpp"
#include "testing/sockets.hpp"

namespace irismux::testing {

using test_support::TestConnection;

// A FastCgiServer without a router. The harness responds at once to each request that the server admits,
// unless `withhold_responses` is set.
struct FastCgiServerHarness final : RequestHandler {
    static constexpr Duration max_read_time = Duration::micros(1'000'000);
    EventLoop loop;
    std::string address;
    FastCgiServer server{loop,
                         *this,
                         {{"files", {ObjectKindIndex{0}, Duration::seconds(3)}}},
                         {8, 400'000, Duration::seconds(0.2), max_read_time}};
    std::vector<std::shared_ptr<TestConnection>> connections;
    std::vector<std::string> accepted_ids;
    bool withhold_responses = false;
    std::vector<ClientStream> withheld;  // requests without a response
    bool responses_paused = false;       // whether the server has asked for no further responses
    int pauses = 0;

    FastCgiServerHarness() {
        log::set_level(log::Level::error);
        {
            Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
            address = free.address().toString();
        }
        EXPECT_TRUE(std::holds_alternative<Listening>(server.listen(Poco::Net::SocketAddress(address))));
    }
    ~FastCgiServerHarness() override {
        for (const auto& connection : connections) connection->close();
    }
    Admission on_client_request(const ClientStream& stream, ClientRequest request) override {
        accepted_ids.push_back(request.client_request_id.raw());
        if (withhold_responses)
            withheld.push_back(stream);
        else
            server.send_response(stream, "body", false);
        return Admission::accepted;
    }
    void on_client_closed(const ClientStream&) override {}
    void pause_responses() override {
        responses_paused = true;
        ++pauses;
    }
    void resume_responses() override { responses_paused = false; }

    struct Client {
        std::shared_ptr<TestConnection> connection;
        std::string received;
        bool open = true;
    };
    std::shared_ptr<Client> connect_client() {
        auto client = std::make_shared<Client>();
        connections.push_back(client->connection = std::make_shared<TestConnection>(loop));
        client->connection->on_received = [owner = client.get()](Buffer& in) {
            owner->received += in.view();
            in.consume(in.size());
        };
        client->connection->on_end = [owner = client.get()] { owner->open = false; };
        client->connection->start(address);
        return client;
    }
    // The event loop runs only once, so all actions are scheduled before run().
    void schedule(double seconds, std::function<void()> action) {
        loop.schedule_at(loop.now() + Duration::seconds(seconds), std::move(action));
    }
    void run(double seconds) {
        schedule(seconds, [this] { loop.stop(); });
        loop.run();
    }
};

inline std::size_t count_occurrences(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t position = 0; (position = text.find(part, position)) != std::string::npos; ++position)
        ++count;
    return count;
}

using Fields = std::vector<std::pair<std::string, std::string>>;
const Fields usual_fields = {{"SCRIPT_NAME", "/api/v2/files"},
                             {"CONTENT_LENGTH", "0"},
                             {"HTTP_X_REQUEST_ID", "00000000000000b1"},
                             {"HTTP_X_TIMEOUT_MS", "3000"},
                             {"HTTP_X_OBJECT", "00000000000000a1"},
                             {"HTTP_X_FAMILY", "255"},
                             {"HTTP_X_BLOCK", "0"}};

inline void write_request(Buffer& out, std::uint16_t request, const Fields& fields,
                          const std::string& body = "") {
    std::string params;
    for (const auto& [name, value] : fields) fastcgi::write_pair(params, name, value);
    fastcgi::write_begin_request(out, request, {fastcgi::responder, true});
    fastcgi::write_stream(out, fastcgi::Type::params, request, params);
    fastcgi::write_record(out, fastcgi::Type::params, request, {});
    fastcgi::write_stream(out, fastcgi::Type::std_in, request, body);
    fastcgi::write_record(out, fastcgi::Type::std_in, request, {});
}

}  // namespace irismux::testing
