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

#include "testing/fake_services.hpp"
#include "testing/process.hpp"
#include "testing/sockets.hpp"

namespace irismux::test_support {

// A cache that does nothing by itself.
class ScriptedCache {
public:
    ScriptedCache(EventLoop& loop, std::string id, int backlog = 64);
    const std::string& id() const { return id_; }
    std::string address() const { return address_; }

    struct ReceivedAttempt {
        TimePoint at;  // its last byte
        std::string request_id, fields, body;
        std::shared_ptr<TestConnection> connection;
    };
    std::deque<ReceivedAttempt> received;
    std::size_t count_received(const std::string& lookup) const;
    void answer(const ReceivedAttempt&, const std::string& word = "HIT", const std::string& body = "a body");

    // No connection comes up until take_again(), where the backlog is 0.
    void hold_connections();
    void resume_accepting();
    std::vector<std::shared_ptr<TestConnection>> connections;               // in the order in which they came
    std::set<std::string> peers;                                            // whose they are
    std::function<void(const ReceivedAttempt&)> on_attempt = [](auto&) {};  // with each lookup

private:
    void listen(int backlog);
    void on_data(const std::shared_ptr<TestConnection>& w, Buffer& in);
    EventLoop& loop_;
    std::string id_, address_;
    std::vector<Poco::Net::StreamSocket> blockers_;
    std::unique_ptr<Acceptor> acceptor_;
};

// A web server's connection to the gateway.
class FastCgiClient {
public:
    FastCgiClient(EventLoop& loop, const std::string& gateway);
    struct Request {
        std::string id, object = "00000000000000a1", kind = "pages", body = {};
        int timeout_ms = 3000;
        std::string idempotency_key = {};
    };
    std::string request(std::uint16_t number, const Request& q) const;  // its bytes
    void send(std::uint16_t number, const Request& q);
    void write(std::string_view bytes);
    void abort(std::uint16_t number);
    void close();

    struct Response {
        std::uint16_t number = 0;
        std::string head;
        std::string body = {};
    };
    std::vector<Response> responses;
    // Whether that one is here and begins so.
    bool has_response(std::uint16_t number, const std::string& status = "Status: ") const;
    bool ended = false;  // by the gateway
    std::shared_ptr<TestConnection> connection;

private:
    void on_data(Buffer& in);
    std::map<std::uint16_t, std::string> received_;
};

class SingleProcess {
public:
    struct Options {
        std::string program;
        std::size_t caches = 2;
        int backlog = 64;
        bool answer_at_once = false;  // each cache, each lookup, at once
        std::function<void(nlohmann::json&)> adjust_configuration = [](auto&) {};  // of the configuration
        std::vector<std::string> environment = {};  // beside the configuration's
    };
    // Returns when the gateway serves; throws std::runtime_error where it does not.
    explicit SingleProcess(const Options& shape);
    ~SingleProcess();

    bool wait_until(std::function<bool()> so, Duration most = Duration::micros(10'000'000)) {
        return loop_runner_.run_until(std::move(so), most);
    }
    std::shared_ptr<FastCgiClient> connect_client();
    bool exited_cleanly();  // by itself, with exit code 0, before long
    // The cache that has the lookup whole, once one has.
    ScriptedCache* cache_serving(const std::string& lookup);
    std::size_t attempts_received(const std::string& lookup) const;
    // Connections that the gateway has begun there and that are not taken yet.
    std::size_t pending_connections(const ScriptedCache&) const;
    bool logged(const std::string& part_of_a_line) const;
    // The end of what the process has logged, without its records of lookups.
    std::string log_tail() const;

    EventLoop loop;
    std::vector<std::unique_ptr<ScriptedCache>> caches;
    std::unique_ptr<FakeNoticeBoard> notice_board;
    std::unique_ptr<Process> process;
    std::string listen, folder, log, configuration_file;
    nlohmann::json configuration_json;

private:
    std::vector<std::shared_ptr<FastCgiClient>> clients_;
    LoopRunner loop_runner_{loop};  // the last: nothing of the above may go while the loop runs
};

}  // namespace irismux::test_support
