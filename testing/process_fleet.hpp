// A fleet of gateway processes. Each process has its own fault proxy on every link: to each registry member,
// to its notice board, to each cache and from its clients. Tests inject faults into the links and the
// processes.
//
// The fakes record what they receive. The fleet checks each transaction that the registry runs and each
// health check that reaches a cache's proxy; check_all_answered() checks the requests of the clients. The
// following are violations:
//    the registry accepts a fenced write by an instance that does not own the duty under the token of the
//      write
//    the registry accepts a fenced write after it has accepted a write on the same duty under a higher token
//    the registry gives one token of a duty to two instances, also across restores of the registry
//    a former owner checks a cache after the first health check by the next owner, unless the late check was
//      already in flight
//    a request gets no response or several responses
#pragma once

#include <array>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"
#include "testing/fake_registry.hpp"
#include "testing/fake_services.hpp"
#include "testing/fault_proxy.hpp"
#include "testing/process.hpp"

namespace irismux::test_support {

class ProcessFleet {
public:
    struct Options {
        std::string program;
        std::size_t gateways = 3, caches = 2, members = 3;
        Duration term = Duration::micros(800'000);
        double drift = 0.05;
        Duration health_check_interval = Duration::micros(200'000),
                 collection_interval = Duration::micros(100'000);
        Duration request_interval = Duration::micros(10'000);  // interval between requests at each gateway
        bool probes = true;
        /// If true, each gateway stores the fencing tokens that it has seen in a folder of its own.
        bool stores_tokens = false;
        /// Returns additional lines for the [fleet] section of the gateway with this number.
        std::function<std::string(std::size_t)> fleet_lines = [](std::size_t) { return std::string(); };
        /// Path of the shim library that skews clocks. If empty, all gateways use the machine's clocks.
        std::string clock_library;
    };

    ProcessFleet(const Options& options, const std::string& folder);
    ~ProcessFleet();

    struct Gateway {
        std::string name;
        std::unique_ptr<FakeNoticeBoard> notice_board;
        std::unique_ptr<FaultProxy> notice_board_proxy, client_proxy;
        std::vector<std::unique_ptr<FaultProxy>> registry_proxies, cache_proxies;
        std::unique_ptr<ClientLoad> clients;
        std::unique_ptr<Process> process;
        std::string configuration, parts, log, listen, clock_file;
        bool stopped = false;
    };

    // --- control and fault injection
    void start(std::size_t n);
    void start_all();
    void kill(std::size_t n);
    void stop(std::size_t n);    // SIGSTOP: the process halts while its clocks go on
    void resume(std::size_t n);  // SIGCONT
    void partition_registry(std::size_t n, bool outbound, bool inbound);
    void partition_caches(std::size_t n, bool enabled);
    void set_cache_dead(std::size_t c, bool dead);  // stops or restarts the cache for all gateways
    // Waits until the gateway listens and then starts its clients.
    void start_clients(std::size_t n);
    // Sets rate and offset of the gateway's steady clocks. Needs Options::clock_library.
    void set_clock(std::size_t n, double rate, Duration ahead = {});
    bool wait_until(std::function<bool()> condition, Duration timeout = Duration::micros(20'000'000));
    // Runs the loop for a fixed time, so that a test can check that something does not happen.
    void run_for(Duration time);

    // --- what the fakes and proxies observe
    std::optional<fleet::DutyRecord> duty_record(const std::string& name) const;
    // Returns the gateway that, according to the registry, owns the duty and is a live fleet member.
    std::optional<std::size_t> owner(const std::string& duty) const;
    std::optional<fleet::MemberRecord> member_record(std::size_t n) const;
    std::optional<std::string> record(const std::string& key) const;  // value of a key below the prefix
    bool all_joined() const;
    struct FencedWriteRecord {
        TimePoint at;
        std::string duty;
        fleet::FencingToken token;
        fleet::Instance by;
        bool accepted = false;
    };
    std::vector<FencedWriteRecord> fenced_writes;  // includes refused writes
    struct HealthCheckRecord {
        TimePoint at;
        std::size_t gateway = 0, cache = 0;
    };
    std::vector<HealthCheckRecord> health_checks;
    struct OwnershipChange {
        TimePoint at;
        std::string duty;
        fleet::FencingToken token;
        fleet::Instance by;  // empty name: the owner released the duty
    };
    std::vector<OwnershipChange> ownership_changes;
    std::size_t accepted_writes(const std::string& duty, std::size_t n, fleet::Incarnation start) const;
    std::set<std::string> violations;
    bool logged(std::size_t n, const std::string& part_of_a_line) const;
    // Stops all clients and waits for their open requests. Adds a violation for each gateway with a request
    // that has no response or several responses.
    void check_all_answered();

    EventLoop loop;
    FakeRegistry registry;
    std::vector<std::unique_ptr<FakeCache>> caches;
    std::vector<Gateway> gateways;
    const Options options;
    // Called for each transaction after the registry has run it and the fleet has checked it.
    std::function<void(const FakeRegistry::SettledTransaction&)> on_transaction =
        [](const FakeRegistry::SettledTransaction&) {};

    static constexpr const char* prefix = "/fleet/";

private:
    void build(std::size_t n, const std::string& folder);
    void check(const FakeRegistry::SettledTransaction&);
    void check_health_check(std::size_t gateway, std::size_t cache);
    std::optional<std::size_t> number_of(const fleet::MemberName&) const;

    std::map<std::string, fleet::FencingToken> highest_token_;
    std::map<std::pair<std::string, fleet::FencingToken>, fleet::Instance> token_owners_;
    // The gateways that have checked each cache, in the order in which they became owner of the cache's
    // health check duty.
    std::map<std::size_t, std::vector<std::size_t>> health_checkers_;
    std::map<std::size_t, int> late_health_checks_;
    LoopRunner loop_runner_{loop};  // last data member: destroyed first, which ends the loop
};

}  // namespace irismux::test_support
