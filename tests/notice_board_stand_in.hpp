// A notice board that records its polls and answers as a test wants.
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
    explicit NoticeBoardStandIn(EventLoop& l) : loop(l) {}
    EventLoop& loop;
    std::vector<std::string> polled_from;  // the revisions that polls named
    std::function<void(TestConnection&)> on_poll = [](TestConnection&) {};
    std::vector<std::shared_ptr<TestConnection>> connections;
    Acceptor listener{loop, [this](const Poco::Net::StreamSocket& s) {
                          connections.push_back(std::make_shared<TestConnection>(loop, s));
                          connections.back()->on_received = [this,
                                                             raw = connections.back().get()](Buffer& in) {
                              const std::string request(in.view());
                              if (request.find("\r\n\r\n") == std::string::npos) return;
                              in.consume(request.size());
                              const std::size_t from = request.find("watch=") + 6;
                              polled_from.push_back(request.substr(from, request.find('&') - from));
                              on_poll(*raw);
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
