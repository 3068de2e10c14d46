// A notice board that records each poll and then calls `on_poll`, in which the test responds to the poll.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/sockets.hpp"

namespace irismux::testing {

using test_support::Acceptor;
using test_support::TestConnection;

struct NoticeBoardStandIn {
    explicit NoticeBoardStandIn(EventLoop& event_loop) : loop(event_loop) {}
    EventLoop& loop;
    std::vector<std::string> polled_from;  // the revision that each poll named
    std::function<void(TestConnection&)> on_poll = [](TestConnection&) {};
    std::vector<std::shared_ptr<TestConnection>> connections;
    Acceptor listener{
        loop, [this](const Poco::Net::StreamSocket& socket) {
            connections.push_back(std::make_shared<TestConnection>(loop, socket));
            connections.back()->on_received = [this, connection = connections.back().get()](Buffer& input) {
                const std::string request(input.view());
                if (request.find("\r\n\r\n") == std::string::npos) return;
                input.consume(request.size());
                const std::size_t from = request.find("watch=") + 6;
                polled_from.push_back(request.substr(from, request.find('&') - from));
                on_poll(*connection);
            };
            connections.back()->start();
        }};
    void respond(TestConnection& connection, const std::string& body) {
        connection.output().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                   "\r\n\r\n" + body);
        connection.write();
    }
};

}  // namespace irismux::testing
