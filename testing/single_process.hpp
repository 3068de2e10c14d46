// One gateway process between far ends whose every step is the test's: caches that answer, end, reset or stop
// reading when told to, a connection that does not come up, clients that speak byte by byte and rest. Each
// far end keeps a ledger of what came whole, and when.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/process.hpp"
#include "testing/sockets.hpp"
#include "testing/stand_ins.hpp"

namespace irismux::lab {

// A cache that does nothing by itself.
class Puppet {
public:
    Puppet(Loop& loop, std::string id, int backlog = 64);
    const std::string& id() const { return id_; }
    std::string address() const { return address_; }

    struct Pull {
        Instant at;  // its last byte
        std::string lookup, fields, body;
        std::shared_ptr<Wire> wire;
    };
    std::deque<Pull> pulls;
    std::size_t pulled(const std::string& lookup) const;
    void answer(const Pull&, const std::string& word = "HIT", const std::string& body = "a body");

    // No connection comes up until take_again(), where the backlog is 0.
    void hold_connections();
    void take_again();
    std::vector<std::shared_ptr<Wire>> wires;              // in the order in which they came
    std::set<std::string> peers;                           // whose they are
    std::function<void(const Pull&)> then = [](auto&) {};  // with each lookup

private:
    void listen(int backlog);
    void got(const std::shared_ptr<Wire>& w, Buffer& in);
    Loop& loop_;
    std::string id_, address_;
    std::vector<Poco::Net::StreamSocket> in_the_way_;
    std::unique_ptr<Acceptor> acceptor_;
};

// A web server's connection to the gateway.
class Asker {
public:
    Asker(Loop& loop, const std::string& gateway);
    struct Question {
        std::string id, object = "00000000000000a1", kind = "pages", body = {};
        int patience_ms = 3000;
        std::string idempotency_key = {};
    };
    std::string request(std::uint16_t number, const Question& q) const;  // its bytes
    void ask(std::uint16_t number, const Question& q);
    void say(std::string_view bytes);
    void abort(std::uint16_t number);
    void close();

    struct Answer {
        std::uint16_t number = 0;
        std::string head;
        std::string body = {};
    };
    std::vector<Answer> answers;
    // Whether that one is here and begins so.
    bool answered(std::uint16_t number, const std::string& status = "Status: ") const;
    bool ended = false;  // by the gateway
    std::shared_ptr<Wire> wire;

private:
    void got(Buffer& in);
    Loop& loop_;
    std::map<std::uint16_t, std::string> heard_;
};

class Solo {
public:
    struct Shape {
        std::string program;
        std::size_t caches = 2;
        int backlog = 64;
        bool answers = false;                                        // each cache, each lookup, at once
        std::function<void(nlohmann::json&)> change = [](auto&) {};  // of the configuration
        std::vector<std::string> environment = {};                   // beside the configuration's
    };
    // Returns when the gateway serves; throws std::runtime_error where it does not.
    explicit Solo(const Shape& shape);
    ~Solo();

    bool until(std::function<bool()> so, Span most = Span::micros(10'000'000)) {
        return stretches_.until(std::move(so), most);
    }
    std::shared_ptr<Asker> asker();
    bool gone();  // by itself, with exit code 0, before long
    // The cache that has the lookup whole, once one has.
    Puppet* cache_of(const std::string& lookup);
    std::size_t pulls(const std::string& lookup) const;
    // Connections that the gateway has begun there and that are not taken yet.
    std::size_t coming_up(const Puppet&) const;
    bool said(const std::string& part_of_a_line) const;
    // The end of what the process has logged, without its records of lookups.
    std::string last_words() const;

    Loop loop;
    std::vector<std::unique_ptr<Puppet>> caches;
    std::unique_ptr<Board> board;
    std::unique_ptr<Process> process;
    std::string listen, folder, log, configuration_file;
    nlohmann::json configured;

private:
    std::vector<std::shared_ptr<Asker>> askers_;
    Stretches stretches_{loop};  // the last: nothing of the above may go while the loop runs
};

}  // namespace irismux::lab
