#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/sockets.hpp"

namespace irismux::testing {

using stand_ins::Acceptor;
using stand_ins::StandInConnection;

// A notice board that notes what it is asked.
struct BoardStandIn {
    explicit BoardStandIn(EventLoop& l) : loop(l) {}
    EventLoop& loop;
    std::vector<std::string> asked;                                            // the numbers watched from
    std::function<void(StandInConnection&)> then = [](StandInConnection&) {};  // what each poll meets
    std::vector<std::shared_ptr<StandInConnection>> wires;
    Acceptor accepts{loop, [this](Poco::Net::StreamSocket s) {
                         wires.push_back(std::make_shared<StandInConnection>(loop, std::move(s)));
                         wires.back()->got = [this, raw = wires.back().get()](Buffer& in) {
                             const std::string said(in.view());
                             if (said.find("\r\n\r\n") == std::string::npos) return;
                             in.consumed(said.size());
                             const std::size_t from = said.find("watch=") + 6;
                             asked.push_back(said.substr(from, said.find('&') - from));
                             then(*raw);
                         };
                         wires.back()->start();
                     }};
    void say(StandInConnection& w, const std::string& body) {
        w.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body);
        w.write();
    }
};

}  // namespace irismux::testing
