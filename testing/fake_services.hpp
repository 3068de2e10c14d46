// What a gateway stands between, on one loop: clients that ask it over FastCGI, caches that answer it over
// RESP, and the notice board. Each keeps a ledger of what reached it and when its first byte did.
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

// A cache that holds everything and answers after a while.
class FakeCache {
public:
    FakeCache(EventLoop& loop, std::string id, Duration answers_after);
    const std::string& id() const { return id_; }
    std::string address() const { return address_; }

    struct ReceivedAttempt {
        TimePoint first_byte;
        std::string request_id;
    };
    std::deque<ReceivedAttempt> received;  // the last 4,096
    std::uint64_t total = 0, health_checks = 0;
    // Its process is gone: connections are reset, those that come are refused.
    void stop();
    void restart();

private:
    void on_data(const std::shared_ptr<TestConnection>& w, Buffer& in);
    EventLoop& loop_;
    std::string id_;
    Duration response_delay_;
    void listen(const std::string& at);
    std::vector<std::shared_ptr<TestConnection>> connections_;
    std::string address_;
    std::unique_ptr<Acceptor> acceptor_;
};

// A board that answers each poll when there is something new, or when it has lingered.
class FakeNoticeBoard {
public:
    explicit FakeNoticeBoard(EventLoop& loop);
    std::string address() const { return acceptor_.address(); }
    // One more event; numbered here. Returns its number.
    std::int64_t post(nlohmann::json event);
    // As above, all at once: polls are answered with all of them.
    std::int64_t post_all(std::vector<nlohmann::json> events);
    nlohmann::json known() const;  // all events, as a configuration brings them
    void break_connections();
    // The number from which the last poll watched.
    std::int64_t last_poll_since() const { return polls_.empty() ? -1 : polls_.back().since; }
    bool silent = false;

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

// Asks a gateway at an even pace and counts what comes back.
class ClientLoad {
public:
    ClientLoad(EventLoop& loop, std::string gateway, std::string kind, Duration every, Duration patience);
    void start();
    void stop() { running_ = false; }

    std::uint64_t requests_sent = 0, served = 0, rejected = 0, failed = 0, duplicate_responses = 0;
    std::size_t open_requests() const { return open_requests_.size(); }
    std::vector<double> latencies_ms;  // of those satisfied

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

// A configuration of a gateway as its platform writes it.
nlohmann::json configuration(const std::string& listen, const std::string& board,
                             const nlohmann::json& known);

// A line of the list as board and registry hold it.
nlohmann::json endpoint_json(const std::string& id, const std::string& kind, const std::string& zone,
                             const std::string& address, const std::string& state);

}  // namespace irismux::test_support
