// A fleet of processes of the real program: each with a relay of its own on every link (to each member of the
// registry, its board, each cache, its clients), and faults to order between and to them.
//
// The far ends keep the ledgers; what is broken is found there, at each transaction that the registry settles
// and each look that a cache's relay sees:
//
//   a write on behalf of the fleet by one who does not own the duty under the token that it names
//   a write under a token after one under a higher token
//   one token of a duty for two instances, also across restores of the registry
//   a look by a former owner after its successor's first, but for one that was under way
//   a lookup without exactly one answer
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
        Duration request_interval = Duration::micros(10'000);  // of each gateway's clients
        bool probes = true;
        bool stores_tokens = false;  // stores the tokens seen, in a folder of each gateway's own
        // More keys of a gateway's [fleet].
        std::function<std::string(std::size_t)> fleet_lines = [](std::size_t) { return std::string(); };
        std::string clock_library;  // the library that shows other clocks; empty: all have the machine's
    };

    ProcessFleet(const Options& shape, const std::string& folder);
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

    // --- orders
    void start(std::size_t n);
    void start_all();
    void kill(std::size_t n);
    void stop(std::size_t n);    // SIGSTOP: the process and its clock's reader stand still, time goes on
    void resume(std::size_t n);  // SIGCONT
    void partition_registry(std::size_t n, bool out, bool back);
    void partition_caches(std::size_t n, bool is);
    void set_cache_dead(std::size_t c, bool is);  // for all; a process of no gateway's
    void start_clients(std::size_t n);            // its clients ask, from now on
    // What its steady clocks show from now on, where the shape has a clock: their rate, and how far ahead
    // they are.
    void set_clock(std::size_t n, double rate, Duration ahead = {});
    bool wait_until(std::function<bool()> so, Duration most = Duration::micros(20'000'000));
    void run_for(Duration time);  // nothing is waited for; only to let harm happen that must not

    // --- what the far ends show
    std::optional<fleet::DutyRecord> duty_record(const std::string& name) const;
    std::optional<std::size_t> owner(const std::string& duty) const;  // who lives, as the registry has it
    std::optional<fleet::MemberRecord> member_record(std::size_t n) const;
    std::optional<std::string> record(const std::string& key) const;  // behind what is watched
    bool all_joined() const;
    struct FencedWriteRecord {
        TimePoint at;
        std::string duty;
        fleet::FencingToken token;
        fleet::Instance by;
        bool accepted = false;
    };
    std::vector<FencedWriteRecord> fenced_writes;  // tries, too
    struct HealthCheckRecord {
        TimePoint at;
        std::size_t gateway = 0, cache = 0;
    };
    std::vector<HealthCheckRecord> health_checks;
    struct OwnershipChange {
        TimePoint at;
        std::string duty;
        fleet::FencingToken token;
        fleet::Instance by;  // nobody: given up
    };
    std::vector<OwnershipChange> ownership_changes;
    std::size_t accepted_writes(const std::string& duty, std::size_t n, fleet::Incarnation start) const;
    std::set<std::string> violations;
    bool logged(std::size_t n, const std::string& part_of_a_line) const;
    // What the last-named rule says of the clients: no answer twice, and in the end none owed.
    void check_all_answered();

    EventLoop loop;
    FakeRegistry registry;
    std::vector<std::unique_ptr<FakeCache>> caches;
    std::vector<Gateway> gateways;
    const Options options;
    // Called for each settled transaction, after it has been checked.
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
    std::map<std::size_t, std::vector<std::size_t>> health_checkers_;  // of a cache, in order
    std::map<std::size_t, int> late_health_checks_;
    LoopRunner loop_runner_{loop};  // the last: nothing of the above may go while the loop runs
};

}  // namespace irismux::test_support
