// Fakes of the services around a gateway, on one event loop: clients that send requests over FastCGI, caches
// that respond over RESP, and the notice board. A cache records each attempt and the time at which the
// attempt's first byte arrived. A client counts the responses.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "irismux/router.hpp"
#include "testing/sockets.hpp"

namespace irismux::test_support {

// A cache that responds to each attempt with a hit after a fixed delay.
class FakeCache {
public:
    FakeCache(EventLoop& loop, std::string id, Duration response_delay);
    const std::string& id() const { return id_; }
    std::string address() const { return address_; }

    struct ReceivedAttempt {
        TimePoint first_byte;
        std::string request_id;
    };
    std::deque<ReceivedAttempt> received;  // the last 4,096 attempts
    std::uint64_t total = 0, health_checks = 0;
    // Simulates the end of the cache's process: resets all connections and refuses new connections.
    void stop();
    void restart();

private:
    void on_data(const std::shared_ptr<TestConnection>& connection, Buffer& in);
    EventLoop& loop_;
    std::string id_;
    Duration response_delay_;
    void listen(const std::string& address);
    std::vector<std::shared_ptr<TestConnection>> connections_;
    std::string address_;
    std::unique_ptr<Acceptor> acceptor_;
};

// A notice board that responds to a long poll as soon as there is an event with a higher number than the poll
// names, and at the latest when the poll's linger time is over.
class FakeNoticeBoard {
public:
    explicit FakeNoticeBoard(EventLoop& loop);
    std::string address() const { return acceptor_.address(); }
    // Publishes one event under the next event number. Returns this number.
    std::int64_t post(nlohmann::json event);
    // Publishes several events at once, so that the next response to a poll holds all of them. Returns the
    // number of the last event.
    std::int64_t post_all(std::vector<nlohmann::json> events);
    // Returns all events in the form that a gateway's configuration holds under "known".
    nlohmann::json known() const;
    void break_connections();
    // Returns the event number after which the last waiting poll asks for events, or -1 if no poll waits.
    std::int64_t last_poll_since() const { return polls_.empty() ? -1 : polls_.back().since; }
    bool silent = false;  // if true, polls get no response

private:
    struct Poll {
        std::weak_ptr<TestConnection> connection;
        std::int64_t since;
        TimePoint deadline;
    };
    void check_polls();
    void answer();
    EventLoop& loop_;
    std::vector<nlohmann::json> events_;
    std::vector<std::shared_ptr<TestConnection>> connections_;
    std::vector<Poll> polls_;
    Acceptor acceptor_;
};

// Sends requests to a gateway at a constant rate and counts the responses.
class ClientLoad {
public:
    ClientLoad(EventLoop& loop, std::string gateway, std::string kind, Duration interval, Duration timeout);
    void start();
    void stop() { running_ = false; }

    std::uint64_t requests_sent = 0, served = 0, rejected = 0, failed = 0, duplicate_responses = 0;
    std::size_t open_requests() const { return open_requests_.size(); }
    std::vector<double> latencies_ms;  // latencies of the served requests

private:
    void send_request();
    void on_data(Buffer& in);
    EventLoop& loop_;
    std::string gateway_, kind_;
    Duration interval_, timeout_;
    bool running_ = false;
    std::shared_ptr<TestConnection> connection_;
    std::map<std::uint16_t, std::pair<TimePoint, std::string>> open_requests_;
    std::uint16_t next_request_number_ = 1;
};

// Returns a gateway's configuration in the form that its platform writes.
nlohmann::json configuration(const std::string& listen, const std::string& notice_board,
                             const nlohmann::json& known);

// Returns an endpoint's entry in the form that the notice board and the registry hold.
nlohmann::json endpoint_json(const std::string& id, const std::string& kind, const std::string& zone,
                             const std::string& address, const std::string& state);

}  // namespace irismux::test_support
