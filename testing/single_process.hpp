// One gateway process with caches and clients that the test controls step by step: caches that respond,
// close, reset or stop reading on command, connections that are never accepted, and clients that send byte by
// byte. The caches and clients record each complete message and the time at which the message arrived.
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

// A cache that responds, closes and stops reading only when the test makes it do so.
class ScriptedCache {
public:
    ScriptedCache(EventLoop& loop, std::string id, int backlog = 64);
    const std::string& id() const { return id_; }
    std::string address() const { return address_; }

    struct ReceivedAttempt {
        TimePoint at;  // arrival of the last byte
        std::string request_id, fields, body;
        std::shared_ptr<TestConnection> connection;
    };
    std::deque<ReceivedAttempt> received;
    std::size_t count_received(const std::string& request_id) const;
    std::vector<std::string> cancelled;  // request ids of the cancellations received
    void answer(const ReceivedAttempt&, const std::string& result = "HIT",
                const std::string& body = "a body");

    // Makes the kernel take little of what is sent to this cache: connections that are accepted from now on
    // announce the segments of an Ethernet and a small receive buffer.
    void limit_receive_buffers();
    // The cache reads nothing from now on, like a machine that has lost its network. Connections are still
    // established.
    void fall_silent();
    // Resets all connections. Whatever was sent to the silent cache is lost, and the cache serves again.
    void come_back();

    // Fills the backlog of the listening socket, so that no new connection is established until
    // resume_accepting(). The cache must have been created with a backlog of 0.
    void hold_connections();
    void resume_accepting();
    std::vector<std::shared_ptr<TestConnection>> connections;  // in order of acceptance
    std::set<std::string> peers;                               // peer addresses of the connections
    std::function<void(const ReceivedAttempt&)> on_attempt = [](auto&) {};

private:
    void listen(int backlog);
    void on_data(const std::shared_ptr<TestConnection>& connection, Buffer& in);
    EventLoop& loop_;
    std::string id_, address_;
    std::vector<Poco::Net::StreamSocket> blockers_;
    std::unique_ptr<Acceptor> acceptor_;
    bool silent_ = false;
};

// A web server's connection to the gateway, with the requests and responses on it.
class FastCgiClient {
public:
    FastCgiClient(EventLoop& loop, const std::string& gateway);
    struct Request {
        std::string id, object = "00000000000000a1", kind = "pages", body = {};
        int timeout_ms = 3000;
        std::string idempotency_key = {};
    };
    std::string request(std::uint16_t number, const Request& request) const;  // encoded request
    void send(std::uint16_t number, const Request& request);
    void write(std::string_view bytes);
    void abort(std::uint16_t number);
    void close();

    struct Response {
        std::uint16_t number = 0;
        std::string head;
        std::string body = {};
    };
    std::vector<Response> responses;
    // Returns whether the response to this request has arrived and begins with this status.
    bool has_response(std::uint16_t number, const std::string& status = "Status: ") const;
    bool ended = false;  // the gateway closed the connection
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
        bool answer_at_once = false;  // each cache answers each attempt at once
        std::function<void(nlohmann::json&)> adjust_configuration = [](auto&) {};
        std::vector<std::string> environment = {};  // variables in addition to those for the configuration
    };
    // Starts the gateway and returns when the gateway listens. Throws std::runtime_error if the gateway does
    // not listen within 10 s.
    explicit SingleProcess(const Options& options);
    ~SingleProcess();

    bool wait_until(std::function<bool()> condition, Duration timeout = Duration::micros(10'000'000)) {
        return loop_runner_.run_until(std::move(condition), timeout);
    }
    std::shared_ptr<FastCgiClient> connect_client();
    // Waits for the process to end. Returns whether the process exited by itself with code 0.
    bool exited_cleanly();
    // Returns the first cache that has completely received an attempt of this request, or nullptr if no cache
    // has.
    ScriptedCache* cache_serving(const std::string& request_id);
    std::size_t attempts_received(const std::string& request_id) const;
    // Returns the number of connections that the gateway has started to this cache and that the cache has not
    // accepted.
    std::size_t pending_connections(const ScriptedCache&) const;
    bool logged(const std::string& part_of_a_line) const;
    // Returns the end of the process's log. Omits the debug lines, because they report each request.
    std::string log_tail() const;

    EventLoop loop;
    std::vector<std::unique_ptr<ScriptedCache>> caches;
    std::unique_ptr<FakeNoticeBoard> notice_board;
    std::unique_ptr<Process> process;
    std::string listen, folder, log, configuration_file;
    nlohmann::json configuration_json;

private:
    std::vector<std::shared_ptr<FastCgiClient>> clients_;
    LoopRunner loop_runner_{loop};  // last data member: destroyed first, which ends the loop
};

}  // namespace irismux::test_support
