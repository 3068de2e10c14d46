// Measures how long a duty of the fleet has no owner after each kind of fault, and the cost of a fleet to its
// gateways and to the registry.
//   fleet_owner PROGRAM takeovers [TIMES] [FAULT...]
//       runs gateway processes and applies faults to the owner of the garbage collection duty
//   fleet_owner PROGRAM cost [SECONDS]
//       measures one gateway of three: memory, descriptors, processor time, lookups
//   fleet_owner - model [MEMBERS...]
//       simulates the fleet logic in virtual time and counts the requests at the registry
// All counts are taken at the fake services. Prints Markdown tables.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "fleet/agent.hpp"
#include "testing/fleet_simulation.hpp"
#include "testing/process_fleet.hpp"

namespace {

using namespace irismux;
using namespace irismux::fleet;
namespace fs = std::filesystem;

const Duration ms = Duration::micros(1000);
const std::string duty = "sweep";
constexpr std::size_t fleets = 12, gateways = 4;

double at(std::vector<double> sorted, double q) {
    if (sorted.empty()) return 0;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

struct TakeoverCounts {
    std::vector<double> ownerless_ms;  // times from a fault to the first accepted write of another owner
    // `tried` counts late writes. A write is late if it carries the former owner's fencing token and reaches
    // the registry after the registry has accepted a write of the next owner. `landed` counts the late writes
    // that the registry accepted.
    std::size_t tried = 0, landed = 0;
    // `moved` counts the changes of owner after the faults. `min_moves` is the smallest possible number of
    // changes: one for each fault that makes the owner lose the duty.
    std::size_t moved = 0, min_moves = 0;
    std::size_t not_taken_over = 0;  // faults after which no other gateway took over
};

// A fleet of gateway processes that is exposed to the same fault several times.
class Fleet {
public:
    Fleet(const std::string& program, const std::string& fault, const fs::path& folder)
        : fault_(fault), folder_(folder), fleet_(fleet_options(program), folder.string()) {}
    ~Fleet() { fs::remove_all(folder_); }

    void run(int times, TakeoverCounts& counted) {
        fleet_.start_all();
        for (int n = 0; n < times; ++n)
            if (!fleet_.wait_until([&] { return ready(); }) || !run_fault(counted)) ++counted.not_taken_over;
        for (const std::string& what : fleet_.violations) std::cerr << "violation: " << what << '\n';
    }
    static test_support::ProcessFleet::Options fleet_options(const std::string& program) {
        test_support::ProcessFleet::Options s;
        s.program = program;
        s.gateways = gateways;
        s.caches = 1;
        s.collection_interval = ms * 50;  // the shortest interval allowed
        return s;
    }

private:
    // Returns whether all gateways have joined and the owner has held the duty for a term.
    bool ready() const {
        return fleet_.all_joined() && fleet_.owner(duty) && !fleet_.ownership_changes.empty() &&
               fleet_.loop.now() - fleet_.ownership_changes.back().at > fleet_.options.term;
    }
    bool run_fault(TakeoverCounts& counted) {
        const std::size_t who = *fleet_.owner(duty);
        const auto before = *fleet_.duty_record(duty);
        const std::size_t claims = fleet_.ownership_changes.size(), writes = fleet_.fenced_writes.size();
        const TimePoint from = fleet_.loop.now();
        set_fault(who, true);
        TimePoint landed;
        const bool followed = fleet_.wait_until([&] {
            for (std::size_t n = writes; n < fleet_.fenced_writes.size(); ++n) {
                const auto& w = fleet_.fenced_writes[n];
                if (!w.accepted || w.at < from ||
                    (w.token == before.token && fault_ != "registry member lost"))
                    continue;
                landed = w.at;
                return true;
            }
            return false;
        });
        if (followed) counted.ownerless_ms.push_back((landed - from).seconds() * 1000);
        for (std::size_t n = claims; n < fleet_.ownership_changes.size(); ++n)
            counted.moved += !fleet_.ownership_changes[n].by.name.raw().empty();
        counted.min_moves += fault_ != "registry member lost";
        fleet_.run_for(fleet_.options.term * 0.25);
        set_fault(who, false);
        fleet_.run_for(fleet_.options.term * 0.5);
        for (std::size_t n = writes; n < fleet_.fenced_writes.size(); ++n) {
            const auto& w = fleet_.fenced_writes[n];
            if (!followed || w.at <= landed || w.token > before.token || fault_ == "registry member lost")
                continue;
            ++counted.tried;
            counted.landed += w.accepted;
        }
        return followed;
    }
    void set_fault(std::size_t who, bool is) {
        if (fault_ == "killed") is ? fleet_.kill(who) : fleet_.start(who);
        if (fault_ == "stopped") is ? fleet_.stop(who) : fleet_.resume(who);
        if (fault_ == "cut both ways") fleet_.partition_registry(who, is, is);
        if (fault_ == "cut on the way out") fleet_.partition_registry(who, is, false);
        if (fault_ == "cut on the way back") fleet_.partition_registry(who, false, is);
        if (fault_ == "link of 500 bytes a second")
            for (auto& r : fleet_.gateways[who].registry_proxies) {
                for (const test_support::Direction w :
                     {test_support::Direction::to_server, test_support::Direction::to_client})
                    r->faults(w).bytes_per_second = is ? 500 : 0;
                if (!is) r->reset_all();  // drops the data that the slow link still holds
            }
        if (fault_ == "registry member lost") {
            // Stops the registry members in turn, so that the faults also hit the member to which the owner
            // is connected.
            if (is) lost_ = (lost_ + 1) % fleet_.options.members;
            is ? fleet_.registry.stop_member(lost_) : fleet_.registry.restart_member(lost_);
        }
    }

    std::string fault_;
    fs::path folder_;
    test_support::ProcessFleet fleet_;
    std::size_t lost_ = 0;
};

void takeovers(const std::string& program, int times, std::vector<std::string> faults) {
    if (faults.empty())
        faults = {"killed",
                  "stopped",
                  "cut both ways",
                  "cut on the way out",
                  "cut on the way back",
                  "link of 500 bytes a second",
                  "registry member lost"};
    const test_support::ProcessFleet::Options s = Fleet::fleet_options(program);
    const double bound =
        longest_without_owner({"", s.term, s.drift}, s.term * 0.125, gateways - 2).seconds() * 1000;
    std::printf(
        "| fault to the owner | times | median ms | 95th | 99th | largest | stated bound | late writes tried "
        "| "
        "landed | changes of owner | least possible | not followed |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::string& fault : faults) {
        TakeoverCounts all;
        std::mutex lock;
        std::vector<std::thread> threads;
        for (std::size_t f = 0; f < fleets; ++f)
            threads.emplace_back([&, f] {
                TakeoverCounts own;
                const int mine =
                    times / static_cast<int>(fleets) + (f < static_cast<std::size_t>(times) % fleets);
                Fleet(program, fault,
                      fs::temp_directory_path() /
                          ("fleet_owner." + std::to_string(::getpid()) + '.' + std::to_string(f)))
                    .run(mine, own);
                const std::lock_guard held(lock);
                all.ownerless_ms.insert(all.ownerless_ms.end(), own.ownerless_ms.begin(),
                                        own.ownerless_ms.end());
                all.tried += own.tried;
                all.landed += own.landed;
                all.moved += own.moved;
                all.min_moves += own.min_moves;
                all.not_taken_over += own.not_taken_over;
            });
        for (auto& t : threads) t.join();
        std::printf("| %s | %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %zu | %zu | %zu | %zu | %zu |\n",
                    fault.c_str(), all.ownerless_ms.size(), at(all.ownerless_ms, 0.5),
                    at(all.ownerless_ms, 0.95), at(all.ownerless_ms, 0.99), at(all.ownerless_ms, 1), bound,
                    all.tried, all.landed, all.moved, all.min_moves, all.not_taken_over);
        std::fflush(stdout);
    }
}

// --- cost of a fleet ------------------------------------------------------------------------------------

double processor_seconds(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/stat");
    std::string all;
    std::getline(in, all);
    std::istringstream rest(all.substr(all.rfind(')') + 2));
    std::vector<std::string> words;
    for (std::string w; rest >> w;) words.push_back(w);
    return words.size() < 13 ? 0
                             : (std::atof(words[11].c_str()) + std::atof(words[12].c_str())) /
                                   static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
    return 0;
}

std::size_t descriptors(pid_t id) {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& e : fs::directory_iterator("/proc/" + std::to_string(id) + "/fd")) ++n;
    return n;
}

// Measures the first gateway of three: without the fleet part, with the fleet part, and with the fleet part
// while another gateway is repeatedly killed and restarted.
void cost(const std::string& program, double seconds) {
    std::printf(
        "| [fleet] | lookups a second | memory MB | descriptors | processor at rest, %% | under load, %% | "
        "lookup median ms | 95th | 99th | failed or nacked |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::string state : {"off", "on", "on, churn", "off", "on"}) {
        test_support::ProcessFleet::Options s;
        s.program = program;
        s.term = ms * 12'000;  // as in a production installation
        s.collection_interval = ms * 60'000;
        s.health_check_interval = ms * 2'000;
        s.request_interval = ms * 2;
        const bool on = state != "off", churn = state == "on, churn";
        if (churn) s.term = ms * 800;
        const fs::path folder = fs::temp_directory_path() / ("fleet_cost." + std::to_string(::getpid()));
        {
            test_support::ProcessFleet a(s, folder.string());
            auto& g = a.gateways[0];
            if (on)
                a.start_all();
            else
                g.process = std::make_unique<test_support::Process>(
                    test_support::Process::Options{{program}, {"NODE_CONFIG=" + g.configuration}, "", g.log});
            a.wait_until([&] { return a.logged(0, "listening gateway=") && (!on || a.all_joined()); },
                         ms * 30'000);
            const pid_t id = g.process->id();
            const double idle = processor_seconds(id);
            a.run_for(ms * 5'000);
            const double rest = (processor_seconds(id) - idle) / 5 * 100;
            a.start_clients(0);
            a.run_for(ms * 1'000);
            g.clients->latencies_ms.clear();
            const double busy = processor_seconds(id);
            const TimePoint begun = a.loop.now();
            for (int n = 0; a.loop.now() - begun < Duration::seconds(seconds); ++n) {
                a.run_for(ms * 400);
                if (churn && n % 4 == 0) a.kill(1);
                if (churn && n % 4 == 2) a.start(1);
            }
            const double load = (processor_seconds(id) - busy) / (a.loop.now() - begun).seconds() * 100;
            const auto& took = g.clients->latencies_ms;
            std::printf("| %s | %.0f | %.1f | %zu | %.2f | %.2f | %.3f | %.3f | %.3f | %llu |\n",
                        state.c_str(), static_cast<double>(took.size()) / (a.loop.now() - begun).seconds(),
                        resident_mb(id), descriptors(id), rest, load, at(took, 0.5), at(took, 0.95),
                        at(took, 0.99),
                        static_cast<unsigned long long>(g.clients->rejected) + g.clients->failed);
            std::fflush(stdout);
        }
        fs::remove_all(folder);
    }
}

// --- simulated load on the registry ----------------------------------------------------------------------

void model(std::vector<std::size_t> sizes) {
    if (sizes.empty()) sizes = {10, 100, 1000};
    const SharedConfig shared_config{"model", ms * 12'000, 0.01};
    std::printf(
        "| members | signs of life spread | requests a second at rest | worst 100 ms at rest | worst 100 ms "
        "after "
        "all restart at once | after the registry was away for two terms | broken |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t n : sizes)
        for (const bool spread : {true, false}) {
            test_support::FleetSimulation w(
                7, {.members = n, .duties = 8, .drift = 0.01, .randomized = spread, .fenced_writes = false},
                shared_config);
            w.start_all();
            w.run(shared_config.term * 4, {});
            w.reset_measurements();
            w.run(shared_config.term * 2, {});
            const double rest =
                static_cast<double>(w.transaction_times.size()) / (shared_config.term * 2).seconds();
            const std::size_t calm = w.max_transactions_within(ms * 100);
            for (std::size_t m = 0; m < n; ++m) w.kill(m);
            w.reset_measurements();
            for (std::size_t m = 0; m < n; ++m) w.start(m);
            w.run(shared_config.term * 4, {});
            const std::size_t restart = w.max_transactions_within(ms * 100);
            w.set_registry_down(true);
            w.run(shared_config.term * 2, {});
            w.reset_measurements();
            w.set_registry_down(false);
            w.run(shared_config.term * 3, {});
            std::printf("| %zu | %s | %.1f | %zu | %zu | %zu | %zu |\n", n, spread ? "yes" : "no", rest, calm,
                        restart, w.max_transactions_within(ms * 100), w.violations.size());
            std::fflush(stdout);
        }
}

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.size() < 2) {
        std::cerr << "usage: fleet_owner PROGRAM takeovers [TIMES] [FAULT...]\n"
                     "       fleet_owner PROGRAM cost [SECONDS]\n"
                     "       fleet_owner - model [MEMBERS...]\n";
        return 2;
    }
    const std::string third = words.size() > 2 ? words[2] : "";
    if (words[1] == "takeovers")
        takeovers(words[0], third.empty() ? 200 : std::atoi(third.c_str()),
                  words.size() > 3 ? std::vector<std::string>(words.begin() + 3, words.end())
                                   : std::vector<std::string>{});
    if (words[1] == "cost") cost(words[0], third.empty() ? 20 : std::atof(third.c_str()));
    if (words[1] == "model") {
        std::vector<std::size_t> sizes;
        for (std::size_t n = 2; n < words.size(); ++n)
            sizes.push_back(static_cast<std::size_t>(std::atoll(words[n].c_str())));
        model(sizes);
    }
    return 0;
}
