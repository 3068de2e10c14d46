// A toy to try a gateway with: three caches with a parent and an origin behind them, their notice board, and
// a client. It decides nothing and measures nothing.
//   toy serve              the caches and the board; "stop c2" and "start c2" on standard input
//   toy ask KIND OBJECT    one lookup through the gateway
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

void send_all(StreamSocket& to, Buffer& out) {
    while (!out.empty())
        out.consume(static_cast<std::size_t>(to.sendBytes(out.view().data(), static_cast<int>(out.size()))));
}

bool receive(StreamSocket& from, Buffer& in) {
    const int n = from.receiveBytes(in.prepare(4096), 4096);
    if (n > 0) in.commit(static_cast<std::size_t>(n));
    return n > 0;
}

// What a cache keeps; all that it lacks its sources have.
struct Store {
    std::mutex mutex;
    std::set<std::string> kept;
    std::vector<StreamSocket> links;
};

void serve_cache(StreamSocket& link, const std::string& name, Store& store) {
    Buffer in, out;
    resp::Arguments w;
    std::size_t used = 0;
    {
        const std::lock_guard lock(store.mutex);
        store.links.push_back(link);
    }
    while (receive(link, in)) {
        ParseStatus p;
        while ((p = resp::parse_array(in.view(), w, used)) == ParseStatus::complete) {
            if (w[0] == "ECHO") resp::write_array(out, {w[1], "PONG", "-", ""});
            if (w[0] == "PULL" && w.size() > 2) {
                const std::string object(resp::field(w[2], "asset")), via(resp::field(w[2], "via"));
                const std::lock_guard lock(store.mutex);
                const bool held = store.kept.contains(object);
                const std::string how = held ? "was kept here" : "came from " + via;
                std::cout << name << ": object " << object << ' ' << how << std::endl;
                const std::string minted =
                    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
                const std::string fields =
                    "tag=t1,minted=" + minted + (held ? ",n=cached" : ",n=fetched,lag=5");
                std::string body = "object " + object;
                body += " by " + name;
                body += ", " + how;
                body += '\n';
                if (held || !via.empty())
                    resp::write_array(out, {w[1], "HIT", fields, body});
                else
                    resp::write_array(out, {w[1], "NONE", "-", ""});
                if (!via.empty() && !resp::field(w[2], "tier").empty()) store.kept.insert(object);
            }
            in.consume(used);
        }
        if (p == ParseStatus::invalid) return;
        send_all(link, out);
    }
}

// Nothing ever changes on this board: each poll is answered when it has lingered.
void serve_board(StreamSocket& link) {
    Buffer in, out;
    while (receive(link, in)) {
        if (in.view().find("\r\n\r\n") == std::string_view::npos) continue;
        in.consume(in.size());
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const std::string body = R"({"rev":1,"notices":[]})";
        out.append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        send_all(link, out);
    }
}

class Serving final : public TCPServerConnection {
public:
    Serving(const StreamSocket& s, std::function<void(StreamSocket&)> serve)
        : TCPServerConnection(s), serve_(std::move(serve)) {}
    void run() override {
        try {
            serve_(socket());
        } catch (const Poco::Exception&) {
            // The other side has gone.
        }
    }

private:
    std::function<void(StreamSocket&)> serve_;
};

class Factory final : public TCPServerConnectionFactory {
public:
    explicit Factory(std::function<void(StreamSocket&)> serve) : serve_(std::move(serve)) {}
    TCPServerConnection* createConnection(const StreamSocket& s) override { return new Serving(s, serve_); }

private:
    std::function<void(StreamSocket&)> serve_;
};

std::unique_ptr<TCPServer> listen(const std::string& at, std::function<void(StreamSocket&)> serve) {
    auto server = std::make_unique<TCPServer>(new Factory(std::move(serve)), ServerSocket(SocketAddress(at)));
    server->start();
    return server;
}

int serve() {
    std::map<std::string, Store> stores;
    std::map<std::string, std::unique_ptr<TCPServer>> running;
    const auto start = [&](const std::string& name) {
        running[name] = listen(addresses.at(name), [name, &store = stores[name]](StreamSocket& s) {
            serve_cache(s, name, store);
        });
    };
    for (const auto& [name, address] : addresses) start(name);
    const auto board = listen("127.0.0.1:7190", serve_board);
    std::cout << "serving c1, c2, c3 and the board; type \"stop c1\", \"start c1\" or \"end\"" << std::endl;
    std::string what, name;
    while (std::cin >> what && what != "end" && std::cin >> name) {
        if (!addresses.contains(name))
            std::cout << "there is no " << name << std::endl;
        else if (what == "stop") {
            running.erase(name);
            const std::lock_guard lock(stores[name].mutex);
            for (StreamSocket& link : stores[name].links) link.impl()->shutdown();
            stores[name].links.clear();
            stores[name].kept.clear();
            std::cout << name << " has died" << std::endl;
        } else if (what == "start")
            start(name), std::cout << name << " serves" << std::endl;
    }
    // Started without a terminal it goes on serving.
    while (what != "end") std::this_thread::sleep_for(std::chrono::hours(1));
    std::_Exit(0);  // connections that are still served end with the program
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
    fastcgi::Record r;
    std::size_t used = 0;
    while (receive(gateway, in))
        while (fastcgi::parse_record(in.view(), r, used) == ParseStatus::complete) {
            if (r.type == fastcgi::Type::std_out) std::cout << r.content;
            if (r.type == fastcgi::Type::end_request) return 0;
            in.consume(used);
        }
    return 1;
}

}  // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "";
    try {
        if (what == "serve" && argc == 2) return serve();
        if (what == "ask" && argc == 4) return ask(argv[2], argv[3]);
    } catch (const Poco::Exception& e) {
        std::cerr << "toy: " << e.displayText() << '\n';
        return 1;
    }
    std::cerr << "usage: toy serve | toy ask KIND OBJECT (16 hex digits)\n";
    return 2;
}
