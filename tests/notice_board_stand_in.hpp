#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "testing/sockets.hpp"

namespace irismux::testing {

using lab::Acceptor;
using lab::Wire;

// A notice board that notes what it is asked.
struct BoardStandIn {
    explicit BoardStandIn(Loop& l) : loop(l) {}
    Loop& loop;
    std::vector<std::string> asked;                  // the numbers watched from
    std::function<void(Wire&)> then = [](Wire&) {};  // what each poll meets
    std::vector<std::shared_ptr<Wire>> wires;
    Acceptor accepts{loop, [this](Poco::Net::StreamSocket s) {
                         wires.push_back(std::make_shared<Wire>(loop, std::move(s)));
                         wires.back()->got = [this, raw = wires.back().get()](Buffer& in) {
                             const std::string said(in.view());
                             if (said.find("\r\n\r\n") == std::string::npos) return;
                             in.taken(said.size());
                             const std::size_t from = said.find("watch=") + 6;
                             asked.push_back(said.substr(from, said.find('&') - from));
                             then(*raw);
                         };
                         wires.back()->start();
                     }};
    void say(Wire& w, const std::string& body) {
        w.out().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body);
        w.say();
    }
};

}  // namespace irismux::testing
