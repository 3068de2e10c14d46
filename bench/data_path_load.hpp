// Runs one gateway process under load, with clients and caches in threads of this process.
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

/// Configuration of a gateway and of the load on it.
struct Load {
    std::string program;
    std::uint64_t seed = 1;
    std::size_t listed_caches = 20;  // listed caches share the sockets of a few cache servers
    // size of the body of each cache's response; 0: the caches receive lookups and never respond
    std::size_t answer_bytes = 1'000;
    std::size_t connections = 32;   // total over all clients
    std::size_t outstanding = 64;   // concurrent lookups, total over all clients
    double per_second = 0;          // rate of all clients; 0: each response triggers a new lookup
    std::uint64_t objects = 1'000;  // number of objects requested at random; 0: a new object for each lookup
    double client_timeout_s = 3;    // timeout of clients
    std::size_t memory_mb = 256, sockets = 2'048;  // limits of the gateway
};

/// A thread that runs its own event loop until end() is called.
class LoopThread {
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

    /// Before start(), the thread that created the LoopThread may use the loop. After start(), only the
    /// started thread may use it.
    EventLoop loop;
    void start();
    void end();

private:
    void check_for_end();
    test_support::Acceptor keeps_timers_running_;  // A reactor without sockets runs no timers.
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Clients on one event loop. They either keep a number of lookups in flight or send lookups at a fixed rate.
class LoadClients {
public:
    LoadClients(EventLoop& loop, const Load& load, std::size_t group_count, std::uint64_t number);
    void start(const std::string& gateway);

    std::atomic<std::uint64_t> requests_sent{0}, satisfied{0}, refused{0};
    // target number of lookups in flight; may be raised while the clients run
    std::atomic<std::size_t> outstanding{0};

private:
    struct Connection {
        std::shared_ptr<test_support::FastCgiClient> client;
        std::vector<std::uint16_t> free;  // unused request numbers
    };
    void tick();
    void send_due_lookups();
    bool send_lookup();
    void on_responses(Connection& on);

    EventLoop& loop_;
    Load load_;
    std::size_t group_count_;  // number of client groups that share the load
    std::uint64_t number_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::size_t next_connection_ = 0, in_flight_ = 0;
    double due_lookups_ = 0;  // lookups that the rate requires and that have not been sent yet
    TimePoint ticked_;
};

/// A gateway process with its clients, caches and notice board. Throws std::runtime_error if the gateway does
/// not start to listen.
class LoadedGateway {
public:
    explicit LoadedGateway(const Load& load);
    ~LoadedGateway();

    pid_t id() const { return process_->id(); }
    std::uint64_t requests_sent() const, satisfied() const, refused() const;
    /// Sets the number of lookups that all clients together keep in flight.
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
