// Stub services to try a gateway with: three caches, which answer as if a parent and an origin were behind
// them, their notice board, and a client. This program makes no routing decisions and measures nothing.
//   irismux_stub_cache serve              runs the caches and the notice board; reads commands such as
//                                         "stop c2" and "start c2" from standard input
//   irismux_stub_cache ask KIND OBJECT    sends one lookup through the gateway
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "codec/fastcgi.hpp"
#include "codec/resp.hpp"

namespace {

using namespace irismux;
using namespace Poco::Net;

const std::map<std::string, std::string> addresses = {
    {"c1", "127.0.0.1:7101"}, {"c2", "127.0.0.1:7102"}, {"c3", "127.0.0.1:7103"}};

void send_all(StreamSocket& socket, Buffer& out) {
    while (!out.empty())
        out.consume(
            static_cast<std::size_t>(socket.sendBytes(out.view().data(), static_cast<int>(out.size()))));
}

bool receive(StreamSocket& socket, Buffer& in) {
    const int n = socket.receiveBytes(in.prepare(4096), 4096);
    if (n > 0) in.commit(static_cast<std::size_t>(n));
    return n > 0;
}

// The stored objects and open connections of one cache. The cache fetches all other objects from a parent or
// the origin.
struct CacheState {
    std::mutex mutex;
    std::set<std::string> objects;
    std::vector<StreamSocket> connections;
};

void serve_cache(StreamSocket& connection, const std::string& name, CacheState& state) {
    Buffer in, out;
    resp::Arguments arguments;
    std::size_t used = 0;
    {
        const std::lock_guard lock(state.mutex);
        state.connections.push_back(connection);
    }
    while (receive(connection, in)) {
        ParseStatus status;
        while ((status = resp::parse_array(in.view(), arguments, used)) == ParseStatus::complete) {
            if (arguments[0] == "ECHO") resp::write_array(out, {arguments[1], "PONG", "-", ""});
            if (arguments[0] == "PULL" && arguments.size() > 2) {
                const std::string object(resp::field(arguments[2], "asset")),
                    via(resp::field(arguments[2], "via"));
                const std::lock_guard lock(state.mutex);
                const bool held = state.objects.contains(object);
                const std::string source = held ? "was in the cache" : "was fetched from " + via;
                std::cout << name << ": object " << object << ' ' << source << std::endl;
                const std::string created_ms =
                    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
                const std::string fields =
                    "tag=t1,minted=" + created_ms + (held ? ",n=cached" : ",n=fetched,lag=5");
                std::string body = "object " + object;
                body += " by " + name;
                body += ", " + source;
                body += '\n';
                if (held || !via.empty())
                    resp::write_array(out, {arguments[1], "HIT", fields, body});
                else
                    resp::write_array(out, {arguments[1], "NONE", "-", ""});
                if (!via.empty() && !resp::field(arguments[2], "tier").empty()) state.objects.insert(object);
            }
            in.consume(used);
        }
        if (status == ParseStatus::invalid) return;
        send_all(connection, out);
    }
}

// Answers each poll of the notice board after one second, always without events.
void serve_board(StreamSocket& connection) {
    Buffer in, out;
    while (receive(connection, in)) {
        if (in.view().find("\r\n\r\n") == std::string_view::npos) continue;
        in.consume(in.size());
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const std::string body = R"({"rev":1,"notices":[]})";
        out.append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        send_all(connection, out);
    }
}

class HandlerConnection final : public TCPServerConnection {
public:
    HandlerConnection(const StreamSocket& socket, std::function<void(StreamSocket&)> handler)
        : TCPServerConnection(socket), handler_(std::move(handler)) {}
    void run() override {
        try {
            handler_(socket());
        } catch (const Poco::Exception&) {
            // The peer has closed the connection.
        }
    }

private:
    std::function<void(StreamSocket&)> handler_;
};

class HandlerConnectionFactory final : public TCPServerConnectionFactory {
public:
    explicit HandlerConnectionFactory(std::function<void(StreamSocket&)> handler)
        : handler_(std::move(handler)) {}
    TCPServerConnection* createConnection(const StreamSocket& socket) override {
        return new HandlerConnection(socket, handler_);
    }

private:
    std::function<void(StreamSocket&)> handler_;
};

std::unique_ptr<TCPServer> listen(const std::string& address, std::function<void(StreamSocket&)> handler) {
    auto server = std::make_unique<TCPServer>(new HandlerConnectionFactory(std::move(handler)),
                                              ServerSocket(SocketAddress(address)));
    server->start();
    return server;
}

int serve() {
    std::map<std::string, CacheState> states;
    std::map<std::string, std::unique_ptr<TCPServer>> running;
    const auto start = [&](const std::string& name) {
        running[name] = listen(addresses.at(name), [name, &state = states[name]](StreamSocket& socket) {
            serve_cache(socket, name, state);
        });
    };
    for (const auto& [name, address] : addresses) start(name);
    const auto board = listen("127.0.0.1:7190", serve_board);
    std::cout << "serving c1, c2, c3 and the notice board; type \"stop c1\", \"start c1\" or \"end\""
              << std::endl;
    std::string command, name;
    while (std::cin >> command && command != "end" && std::cin >> name) {
        if (!addresses.contains(name))
            std::cout << "there is no cache " << name << std::endl;
        else if (command == "stop") {
            running.erase(name);
            const std::lock_guard lock(states[name].mutex);
            for (StreamSocket& connection : states[name].connections) connection.impl()->shutdown();
            states[name].connections.clear();
            states[name].objects.clear();
            std::cout << name << " is stopped" << std::endl;
        } else if (command == "start")
            start(name), std::cout << name << " is running" << std::endl;
    }
    // If standard input ends without the command "end", the program keeps serving.
    while (command != "end") std::this_thread::sleep_for(std::chrono::hours(1));
    std::_Exit(0);  // also ends the connections that are still served
}

int ask(const std::string& kind, const std::string& object) {
    StreamSocket gateway(SocketAddress("127.0.0.1:7100"));
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", std::random_device{}(), std::random_device{}());
    std::string params;
    fastcgi::write_pair(params, "SCRIPT_NAME", "/api/v2/" + kind);
    fastcgi::write_pair(params, "HTTP_X_REQUEST_ID", id);
    fastcgi::write_pair(params, "HTTP_X_TIMEOUT_MS", "1500");
    fastcgi::write_pair(params, "HTTP_X_OBJECT", object);
    fastcgi::write_pair(params, "HTTP_X_BLOCK", "0");
    fastcgi::write_pair(params, "HTTP_X_FAMILY", "1");
    Buffer out, in;
    fastcgi::write_begin_request(out, 1, {fastcgi::responder, false});
    fastcgi::write_stream(out, fastcgi::Type::params, 1, params);
    fastcgi::write_record(out, fastcgi::Type::params, 1, {});
    fastcgi::write_record(out, fastcgi::Type::std_in, 1, {});
    send_all(gateway, out);
    fastcgi::Record record;
    std::size_t used = 0;
    while (receive(gateway, in))
        while (fastcgi::parse_record(in.view(), record, used) == ParseStatus::complete) {
            if (record.type == fastcgi::Type::std_out) std::cout << record.content;
            if (record.type == fastcgi::Type::end_request) return 0;
            in.consume(used);
        }
    return 1;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string command = argc > 1 ? argv[1] : "";
    try {
        if (command == "serve" && argc == 2) return serve();
        if (command == "ask" && argc == 4) return ask(argv[2], argv[3]);
    } catch (const Poco::Exception& e) {
        std::cerr << "irismux_stub_cache: " << e.displayText() << '\n';
        return 1;
    }
    std::cerr
        << "usage: irismux_stub_cache serve | irismux_stub_cache ask KIND OBJECT; OBJECT has 16 hex digits\n";
    return 2;
}
