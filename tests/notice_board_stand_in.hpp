// A notice board that records its polls and answers as a test wants.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/sockets.hpp"

namespace irismux::testing {

using stand_ins::Acceptor;
using stand_ins::StandInConnection;

struct NoticeBoardStandIn {
    explicit NoticeBoardStandIn(EventLoop& l) : loop(l) {}
    EventLoop& loop;
    std::vector<std::string> polled_from;  // the revisions that polls named
    std::function<void(StandInConnection&)> on_poll = [](StandInConnection&) {};
    std::vector<std::shared_ptr<StandInConnection>> connections;
    Acceptor listener{loop, [this](const Poco::Net::StreamSocket& s) {
                          connections.push_back(std::make_shared<StandInConnection>(loop, s));
                          connections.back()->got = [this, raw = connections.back().get()](Buffer& in) {
                              const std::string request(in.view());
                              if (request.find("\r\n\r\n") == std::string::npos) return;
                              in.consume(request.size());
                              const std::size_t from = request.find("watch=") + 6;
                              polled_from.push_back(request.substr(from, request.find('&') - from));
                              on_poll(*raw);
                          };
                          connections.back()->start();
                      }};
    void respond(StandInConnection& connection, const std::string& body) {
        connection.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                "\r\n\r\n" + body);
        connection.write();
    }
};

}  // namespace irismux::testing
