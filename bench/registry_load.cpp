// Measures the cost of registry clients: requests over sockets after all clients lose the registry at once,
// processor time per event, and memory per record. Prints Markdown tables.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

#include "registry/registry_client.hpp"
#include "testing/fake_registry.hpp"
#include "testing/sockets.hpp"

namespace {

using namespace irismux;

const Duration ms = Duration::micros(1000);
constexpr std::size_t members = 3, listed = 200;

class SyncStateObserver final : public registry::WatchObserver {
public:
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>&, bool) override {}
    void on_sync_state(TimePoint, registry::SyncState s, TimePoint) override { sync_state = s; }
    void on_watch_warning(const registry::WatchWarning&) override {}
    registry::SyncState sync_state = registry::SyncState::reading;
};

std::size_t max_requests_within(const std::vector<TimePoint>& request_times, std::size_t from,
                                Duration window) {
    std::size_t most = 0;
    for (std::size_t n = from, first = from; n < request_times.size(); ++n) {
        while (request_times[n] - request_times[first] > window) ++first;
        most = std::max(most, n - first + 1);
    }
    return most;
}

// Starts `clients` registry clients and waits until all of them follow the registry. Then breaks all their
// connections or stops the registry for five seconds, and counts the requests until all clients follow again.
void measure_outage(std::size_t clients, bool registry_down) {
    EventLoop loop;
    test_support::FakeRegistry r(loop, members, ms * 100);
    for (std::size_t n = 0; n < listed; ++n)
        r.model.put("/caches/c" + std::to_string(n),
                    test_support::endpoint_value("c" + std::to_string(n), "Ready"));
    registry::Settings settings;
    for (std::size_t m = 0; m < members; ++m) settings.members.push_back(r.address(m));
    settings.prefix = "/caches/";
    settings.poll_policy.members = members;
    std::vector<std::unique_ptr<SyncStateObserver>> observers;
    std::vector<std::unique_ptr<registry::RegistryClient>> all;
    test_support::LoopRunner runner(loop);
    for (std::size_t n = 0; n < clients; ++n) {
        observers.push_back(std::make_unique<SyncStateObserver>());
        all.push_back(
            std::make_unique<registry::RegistryClient>(loop, *observers.back(), settings, n * 7919 + 1));
        all.back()->start();
    }
    const auto following = [&] {
        return std::all_of(observers.begin(), observers.end(),
                           [](const auto& e) { return e->sync_state == registry::SyncState::following; });
    };
    runner.run_until(following, ms * 30'000);
    const std::size_t from = r.ledger.request_times.size();
    const int reads = r.ledger.reads;
    const TimePoint broken = loop.now();
    for (std::size_t m = 0; m < members; ++m) registry_down ? r.stop_member(m) : r.break_connections(m);
    if (registry_down) {
        runner.run_until([&] { return loop.now() - broken > ms * 5'000; });
        for (std::size_t m = 0; m < members; ++m) r.restart_member(m);
    } else {
        runner.run_until([&] { return loop.now() - broken > ms * 50; });
    }
    const TimePoint restored_at = loop.now();
    const bool all_follow = runner.run_until(following, ms * 30'000);
    std::printf("| %zu | %s | %zu | %zu | %d | %s%.0f |\n", clients,
                registry_down ? "away for 5 s" : "all connections broken",
                r.ledger.request_times.size() - from,
                max_requests_within(r.ledger.request_times, from, ms * 100), r.ledger.reads - reads,
                all_follow ? "" : "over ", (loop.now() - restored_at).seconds() * 1000);
    std::fflush(stdout);
    all.clear();
}

void costs() {
    using Clock = std::chrono::steady_clock;
    std::printf(
        "\n| records | memory a record, bytes | a whole list, us a record | an event, us |\n"
        "| --- | --- | --- | --- |\n");
    for (const std::size_t n : {100u, 1'000u, 16'000u}) {
        std::vector<registry::Record> records;
        for (std::size_t k = 0; k < n; ++k) {
            const std::string id = "cache-" + std::to_string(k);
            records.push_back({registry::RecordKey{id}, test_support::endpoint_value(id, "Ready"),
                               registry::Revision{1}, registry::Revision{1}});
        }
        const auto before = ::mallinfo2().uordblks;
        auto view = std::make_unique<registry::EndpointView>();
        const auto read_from = Clock::now();
        view->replace(registry::Revision{1}, records, TimePoint::at_seconds(1));
        const double read_us = std::chrono::duration<double, std::micro>(Clock::now() - read_from).count();
        const auto bytes = ::mallinfo2().uordblks - before;
        constexpr std::int64_t events = 50'000;
        const auto from = Clock::now();
        for (std::int64_t e = 0; e < events; ++e) {
            registry::Record r = records[static_cast<std::size_t>(e) % n];
            r.modified = registry::Revision{e + 2};
            r.value = test_support::endpoint_value(r.key.raw(), e % 2 ? "Ready" : "Terminating");
            view->apply(r.modified, {{r, false}}, TimePoint::at_seconds(2));
        }
        const double us = std::chrono::duration<double, std::micro>(Clock::now() - from).count();
        std::printf("| %zu | %.0f | %.2f | %.2f |\n", n, static_cast<double>(bytes) / static_cast<double>(n),
                    read_us / static_cast<double>(n), us / static_cast<double>(events));
    }
}

}  // namespace

int main() {
    std::printf(
        "| clients | what happens | requests until all follow again | in the worst 100 ms | full reads | "
        "ms until all follow |\n| --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t n : {10u, 100u, 300u})
        for (const bool registry_down : {false, true}) measure_outage(n, registry_down);
    costs();
    return 0;
}
