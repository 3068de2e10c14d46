// One gateway process under lookups, between clients and caches in threads of this process.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testing/fake_services.hpp"
#include "testing/process.hpp"
#include "testing/single_process.hpp"

namespace irismux::bench {

/// How a gateway is set up and asked.
struct Load {
    std::string program;
    std::uint64_t seed = 1;
    std::size_t listed_caches = 20;    // they share the sockets of a few stand-ins
    std::size_t answer_bytes = 1'000;  // body of each answer; 0: lookups are held and never answered
    std::size_t connections = 32;      // of clients, together
    std::size_t outstanding = 64;      // lookups under way at once, together
    double per_second = 0;             // pace of all clients; 0: a new lookup with each answer
    std::uint64_t objects = 1'000;     // asked for at random; 0: each lookup asks for another one
    double client_timeout_s = 3;       // of clients
    std::size_t memory_mb = 256, sockets = 2'048;  // that the gateway is allowed
};

/// A thread with a loop of its own that runs until it is told to end.
class LoopThread {
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

    /// Touched by others only before start().
    EventLoop loop;
    void start();
    void end();

private:
    void check_for_end();
    test_support::Acceptor keeps_timers_running_;  // a reactor without sockets runs no alarms
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Clients on one loop: they keep so many lookups under way, or ask at a pace.
class LoadClients {
public:
    LoadClients(EventLoop& loop, const Load& load, std::size_t group_count, std::uint64_t number);
    void start(const std::string& gateway);

    std::atomic<std::uint64_t> requests_sent{0}, satisfied{0}, refused{0};
    std::atomic<std::size_t> outstanding{0};  // wanted under way; may be raised while it runs

private:
    struct Connection {
        std::shared_ptr<test_support::FastCgiClient> client;
        std::vector<std::uint16_t> free;  // request numbers
    };
    void tick();
    void send_due_lookups();
    bool send_lookup();
    void on_responses(Connection& on);

    EventLoop& loop_;
    Load load_;
    std::size_t group_count_;  // of so many groups of clients this is one
    std::uint64_t number_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::size_t next_connection_ = 0, in_flight_ = 0;
    double due_lookups_ = 0;  // lookups that the pace asks for and that have not been asked
    TimePoint ticked_;
};

/// The gateway with all that it stands between. Throws std::runtime_error where it does not serve.
class LoadedGateway {
public:
    explicit LoadedGateway(const Load& load);
    ~LoadedGateway();

    pid_t id() const { return process_->id(); }
    std::uint64_t requests_sent() const, satisfied() const, refused() const;
    /// Lookups that clients keep under way, all together.
    void set_outstanding(std::size_t lookups);

private:
    void write_configuration(const Load& load);
    void wait_until_it_serves();

    static constexpr std::size_t client_threads = 2, cache_threads = 2, cache_servers = 4;
    std::string folder_, listen_;
    std::string answer_;
    LoopThread board_thread_;
    std::vector<std::unique_ptr<LoopThread>> client_loops_, cache_loops_;
    std::unique_ptr<test_support::FakeNoticeBoard> board_;
    std::vector<std::unique_ptr<test_support::ScriptedCache>> caches_;
    std::vector<std::unique_ptr<LoadClients>> clients_;
    std::unique_ptr<test_support::Process> process_;
};

}  // namespace irismux::bench
