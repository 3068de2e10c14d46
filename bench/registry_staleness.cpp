// Measures how long a gateway keeps sending to a cache after the cache's drain was committed. Runs the real
// program as a process under load, with fake caches, a fake notice board and a fake registry. Compares the
// registry client under each fault, the notice board alone, and a client that polls the registry and posts
// the changes to the notice board.
//   registry_staleness PROGRAM [DRAINS] [CASE...]      writes a Markdown table to standard output
// The staleness of a drain is the time from its commit to the last attempt that the cache receives within one
// second; an attempt counts from its first byte. Attempts later than the drain grace (250 ms) after the
// commit count as late. This program cannot observe when the gateway received the drain. The WithRegistry
// tests in tests/ check that the gateway sends no attempt later than the grace after it has received the
// drain.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "testing/fake_registry.hpp"
#include "testing/fake_services.hpp"

namespace {

using namespace irismux;
using nlohmann::json;

const std::string prefix = "/caches/";
constexpr std::size_t edge_caches = 6, members = 3;
// The interval between drains is so long that no cache drains again before it is ready again.
const Duration drain_interval = Duration::micros(200'000), observation_time = Duration::micros(1'000'000);
const Duration grace = Duration::micros(250'000);

class Case {
public:
    Case(std::string program, std::string name, int drains)
        : program_(std::move(program)), name_(std::move(name)), drains_(drains) {}

    // Returns whether the gateway ran until the end and exited with status 0.
    bool run() {
        json lines = json::array();
        for (std::size_t n = 0; n < edge_caches; ++n) {
            caches_.push_back(std::make_unique<test_support::FakeCache>(loop_, "c" + std::to_string(n),
                                                                        Duration::micros(1'000)));
            lines.push_back(line(n, "Ready"));
        }
        lines.push_back(test_support::endpoint_json("p1", "parent", "hub", "127.0.0.1:9", "Ready"));
        lines.push_back(test_support::endpoint_json("o1", "origin", "hub", "127.0.0.1:9", "Ready"));
        for (const json& l : lines) registry_.model.put(prefix + l["id"].get<std::string>(), l.dump());
        board_.post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
        if (!start()) return false;
        clients_ = std::make_unique<test_support::ClientLoad>(
            loop_, listen_, "pages", Duration::micros(2'500), Duration::seconds(1.5));
        after(0.5, [this] { clients_->start(); });
        after(1.5, [this] {
            apply_fault();
            drain();
        });
        if (name_ == "poller") after(0.5, [this] { poll(); });
        loop_.run();
        ::kill(pid_, SIGTERM);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        std::filesystem::remove_all(folder_);
        print_row();
        return status == 0;
    }

private:
    void after(double seconds, std::function<void()> step) {
        loop_.schedule_at(loop_.now() + Duration::seconds(seconds), std::move(step));
    }
    json line(std::size_t n, const std::string& state) const {
        return test_support::endpoint_json("c" + std::to_string(n), "node", "plant", caches_[n]->address(),
                                           state);
    }
    void post(const json& l) { board_.post({{"pool", {{"version", 2}, {"full", false}, {"servers", {l}}}}}); }
    void put(std::size_t n, const std::string& state) {
        registry_.model.put(prefix + caches_[n]->id(), line(n, state).dump());
        if (name_ == "compacted" || name_ == "dropped, compacted")
            registry_.model.compact(registry_.model.newest());
        registry_.publish();
        if (name_.rfind("board", 0) == 0) post(line(n, state));
    }

    bool start() {
        {
            Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
            listen_ = free.address().toString();
        }
        folder_ =
            std::filesystem::temp_directory_path() / ("registry_staleness." + std::to_string(::getpid()));
        std::filesystem::create_directories(folder_);
        std::ofstream(folder_ / "node.json")
            << test_support::configuration(listen_, board_.address(), board_.known());
        std::ofstream parts(folder_ / "parts.toml");
        parts << "[registry]\nmembers = [";
        for (std::size_t m = 0; m < members; ++m)
            parts << (m ? ", " : "") << '"' << registry_.address(m) << '"';
        parts << "]\nprefix = \"" << prefix << "\"\nquiet = \"500ms\"\nanswer_in = \"200ms\"\n";
        parts.close();
        std::string config = "NODE_CONFIG=" + (folder_ / "node.json").string();
        std::string fitted = "IRISMUX_PARTS=" + (folder_ / "parts.toml").string();
        std::string level = "IRISMUX_LOG=error";
        std::vector<char*> env = {config.data(), level.data()};
        if (name_.rfind("board", 0) != 0 && name_ != "poller") env.push_back(fitted.data());
        env.push_back(nullptr);
        char* const argv[] = {program_.data(), nullptr};
        return ::posix_spawn(&pid_, program_.c_str(), nullptr, nullptr, argv, env.data()) == 0;
    }

    // Applies the fault of this case. If the fault recurs, schedules the next call of this function.
    void apply_fault() {
        if (name_ == "dropped" || name_ == "dropped, compacted" || name_ == "board, dropped") {
            for (std::size_t m = 0; m < members; ++m) registry_.break_connections(m);
            board_.break_connections();
            after(0.3, [this] { apply_fault(); });
        }
        if (name_ == "silent") {  // silences one registry member after the other
            silent_ = (silent_ + 1) % members;
            for (std::size_t m = 0; m < members; ++m) registry_.faults(m).silent_watches = m == silent_;
            after(2, [this] { apply_fault(); });
        }
        if (name_ == "lagging") {
            for (std::size_t m = 0; m + 1 < members; ++m) registry_.faults(m).lag = 3;
            for (std::size_t m = 0; m < members; ++m) registry_.break_connections(m);
        }
        if (name_ == "down for 10 s") {
            down_ = !down_;
            for (std::size_t m = 0; m < members; ++m)
                down_ ? registry_.stop_member(m) : registry_.restart_member(m);
            after(down_ ? 10 : 5, [this] { apply_fault(); });
        }
        if (name_ == "restored") {
            // Restores the registry with the same records, but under other revisions and another cluster id.
            const auto state = *registry_.model.at(registry_.model.newest());
            registry_.model.restore(registry::Revision{registry_.model.newest().raw() - 30}, true);
            for (const auto& [key, r] : state) registry_.model.put(key.raw(), r.value);
            for (std::size_t m = 0; m < members; ++m) registry_.break_connections(m);
            after(10, [this] { apply_fault(); });
        }
    }

    // Implements the polling baseline: reads the registry's list once a second and posts the changed records
    // to the notice board.
    void poll() {
        const auto* state = registry_.model.at(registry_.model.newest());
        for (std::size_t n = 0; n < edge_caches; ++n) {
            const std::string value = state->at(registry::RecordKey{prefix + caches_[n]->id()}).value;
            if (std::exchange(polled_[n], value) != value) post(json::parse(value));
        }
        after(1, [this] { poll(); });
    }

    void drain() {
        if (drains_made_ == drains_) return after(2, [this] { loop_.stop(); });
        const std::size_t n = static_cast<std::size_t>(drains_made_++) % edge_caches;
        put(n, "Terminating");
        const TimePoint at = loop_.now();
        loop_.schedule_at(at + observation_time, [this, n, at] {
            double last = 0;
            for (const test_support::FakeCache::ReceivedAttempt& p : caches_[n]->received) {
                if (p.first_byte <= at) continue;
                last = std::max(last, (p.first_byte - at).seconds());
                late_sends_ += p.first_byte > at + grace;
            }
            staleness_ms_.push_back(last * 1000);
            put(n, "Ready");
        });
        loop_.schedule_at(at + drain_interval, [this] { drain(); });
    }

    void print_row() {
        std::sort(staleness_ms_.begin(), staleness_ms_.end());
        const auto at = [&](double q) {
            return staleness_ms_.empty() ? 0.0
                                         : staleness_ms_[static_cast<std::size_t>(
                                               q * static_cast<double>(staleness_ms_.size() - 1))];
        };
        std::printf("| %s | %zu | %.1f | %.1f | %.1f | %.1f | %llu | %llu of %llu |\n", name_.c_str(),
                    staleness_ms_.size(), at(0.5), at(0.95), at(0.99), at(1),
                    static_cast<unsigned long long>(late_sends_),
                    static_cast<unsigned long long>(clients_->served),
                    static_cast<unsigned long long>(clients_->requests_sent));
        std::fflush(stdout);
    }

    std::string program_, name_, listen_;
    int drains_, drains_made_ = 0;
    EventLoop loop_;
    test_support::FakeRegistry registry_{loop_, members, Duration::micros(50'000)};
    test_support::FakeNoticeBoard board_{loop_};
    std::vector<std::unique_ptr<test_support::FakeCache>> caches_;
    std::unique_ptr<test_support::ClientLoad> clients_;
    std::filesystem::path folder_;
    pid_t pid_ = 0;
    std::map<std::size_t, std::string> polled_;
    std::vector<double> staleness_ms_;  // milliseconds, one entry per drain
    std::uint64_t late_sends_ = 0;
    std::size_t silent_ = 0;
    bool down_ = false;
};

}  // namespace

int main(int argc, char** argv) try {
    if (argc < 2) {
        std::cerr << "usage: registry_staleness PROGRAM [DRAINS] [CASE...]\n";
        return 2;
    }
    std::vector<std::string> cases(argv + std::min(argc, 3), argv + argc);
    if (cases.empty())
        cases = {"none",          "dropped",  "compacted", "dropped, compacted", "silent", "lagging",
                 "down for 10 s", "restored", "board",     "board, dropped",     "poller"};
    std::printf(
        "| case | drains | median ms | 95th | 99th | largest | sends later than 250 ms | satisfied |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    bool all = true;
    for (const std::string& name : cases)
        all = Case(argv[1], name, argc > 2 ? std::atoi(argv[2]) : 200).run() && all;
    return all ? 0 : 1;
} catch (const std::exception& e) {
    std::fputs(e.what(), stderr);
    return 1;
}
