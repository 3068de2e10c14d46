#include "bench/data_path_router.hpp"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "irismux/router.hpp"
#include "testing/process.hpp"

namespace irismux::bench {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RouterLoad, seed, lookups, per_second, objects, deadline_s, listed_caches,
                                   parents, purges_in_force)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RouterCost, us_per_lookup, longest_us, us_per_purge, us_per_list, grown_mb,
                                   refused)

namespace {

namespace fs = std::filesystem;
using nlohmann::json;
using Clock = std::chrono::steady_clock;

const LocationId here{"here"};
const MachineType edge{"edge"}, parent{"parent"}, origin{"origin"};

double thread_seconds() {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

double resident_mb() { return static_cast<double>(test_support::resident_bytes(::getpid())) / 1e6; }

std::string hex16(std::uint64_t n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

Deployment deployment(const RouterLoad& load) {
    Deployment d;
    d.location = here;
    ObjectKind kind;
    kind.latency_objective = Duration::seconds(0.25);
    kind.deadline = Duration::seconds(load.deadline_s);
    d.kinds = {kind};
    d.parent_machine = parent;
    d.origin_machine = origin;
    d.capabilities.cancellation = true;
    d.capabilities.cache_status = CacheStatusReporting::all;
    d.capabilities.max_attempts = 6;
    d.overload_window = Duration::seconds(2);
    d.purge_retention = Duration::seconds(6);
    d.timer_resolution = Duration::seconds(0.002);
    d.transfer_rate_kb_per_s = 8300;
    d.location_link_capacity_kb_per_s = 8.3e10;  // high enough that no lookup is rejected
    return d;
}

std::vector<EndpointUpdate> list_of(const RouterLoad& load) {
    std::vector<EndpointUpdate> lines;
    const auto add = [&](const std::string& name, const LocationId& at, const MachineType& machine) {
        EndpointUpdate l;
        l.cache = CacheId{name};
        l.location = at;
        l.machine_type = machine;
        lines.push_back(l);
    };
    for (int n = 0; n < load.listed_caches; ++n) add("edge-" + std::to_string(n), here, edge);
    for (int n = 0; n < load.parents; ++n) add("parent-" + std::to_string(n), LocationId{"hub"}, parent);
    add("origin", LocationId{"hub"}, origin);
    return lines;
}

/// Records the Router's last attempt and its timers. Counts the requests that the Router rejects or fails.
class RecordingCallbacks final : public RouterCallbacks {
public:
    void start_direct_attempt(const RequestId&, const CacheId& cache, Duration) override {
        record_attempt(cache);
    }
    void start_attempt(const RequestId&, const AttemptPlan& f) override { record_attempt(f.cache); }
    void cancel_attempt(const RequestId&, AttemptIndex) override {}
    void reject(const RequestId&, Duration) override { ++refused; }
    void fail(const RequestId&) override { ++refused; }
    void set_timer(TimerId number, TimePoint at) override { timers.emplace_back(number, at); }
    void subscribe_to_endpoints() override {}

    std::vector<std::pair<TimerId, TimePoint>> timers;
    CacheId attempted_cache;
    bool sent = false;
    std::uint64_t refused = 0;

private:
    void record_attempt(const CacheId& cache) {
        attempted_cache = cache;
        sent = true;
    }
};

class RouterRun {
public:
    explicit RouterRun(const RouterLoad& load)
        : load_(load), router_(callbacks_, deployment(load), load.seed, now_), random_(load.seed) {
        router_.on_endpoint_updates(now_, list_of(load_), true);
    }

    RouterCost run() {
        RouterCost cost;
        renew_purges();
        const double memory = resident_mb();
        const double started = thread_seconds();
        for (std::uint64_t n = 0; n < load_.lookups; ++n) one_lookup(n);
        cost.us_per_lookup = (thread_seconds() - started) * 1e6 / static_cast<double>(load_.lookups);
        cost.longest_us = longest_us_;
        cost.grown_mb = resident_mb() - memory;
        cost.us_per_purge = measure_purges();
        cost.us_per_list = measure_lists();
        cost.refused = callbacks_.refused;
        return cost;
    }

private:
    void one_lookup(std::uint64_t n) {
        now_ = now_ + Duration::seconds(1 / load_.per_second);
        run_due_timers();
        const std::string object = hex16(load_.objects > 0 ? random_() % load_.objects : n);
        Request arrival;
        arrival.id = RequestId{n};
        arrival.object = ObjectName{object};
        arrival.deadline = now_ + Duration::seconds(load_.deadline_s);
        const auto before = Clock::now();
        callbacks_.sent = false;
        router_.on_request(now_, arrival);
        if (callbacks_.sent) answer(arrival.id);
        const std::chrono::duration<double, std::micro> took = Clock::now() - before;
        longest_us_ = std::max(longest_us_, took.count());
    }
    void answer(const RequestId& id) {
        AttemptResult a;
        a.request = id;
        a.cache = callbacks_.attempted_cache;
        a.cache_status = CacheStatus::hit;
        a.elapsed = Duration::micros(300);
        a.request_finished = true;
        router_.on_attempt_result(now_ + a.elapsed, a);
    }
    void run_due_timers() {
        std::vector<std::pair<TimerId, TimePoint>> all;
        std::swap(all, callbacks_.timers);
        for (const auto& [number, at] : all) {
            if (at <= now_)
                router_.on_timer(now_, number);
            else
                callbacks_.timers.emplace_back(number, at);
        }
    }
    void renew_purges() {
        for (int n = 0; n < load_.purges_in_force; ++n) purge(n);
    }
    void purge(int n) {
        router_.on_purge(now_, Duration{}, PurgeGroupId{0},
                         ObjectName{hex16(0xf000000000000000ULL + static_cast<unsigned>(n))});
    }
    double measure_purges() {
        constexpr int times = 200;
        if (load_.purges_in_force == 0) return 0;
        renew_purges();
        const double started = thread_seconds();
        for (int n = 0; n < times; ++n) purge(n % load_.purges_in_force);
        return (thread_seconds() - started) * 1e6 / times;
    }
    double measure_lists() {
        constexpr int times = 20;
        const std::vector<EndpointUpdate> lines = list_of(load_);
        const double started = thread_seconds();
        for (int n = 0; n < times; ++n) router_.on_endpoint_updates(now_, lines, true);
        return (thread_seconds() - started) * 1e6 / times;
    }

    RouterLoad load_;
    TimePoint now_ = TimePoint::at_seconds(1e9);
    RecordingCallbacks callbacks_;
    Router router_;
    std::mt19937_64 random_;
    double longest_us_ = 0;
};

}  // namespace

RouterCost measure_router(const std::string& self, const RouterLoad& load) {
    std::string output = (fs::temp_directory_path() / "router-cost-XXXXXX").string();
    const int file = ::mkstemp(output.data());
    if (file < 0)
        throw std::runtime_error("cannot create the temporary file " + output + " for the Router's results");
    ::close(file);
    test_support::Process child({{self, "--router", json(load).dump()}, {}, "", output});
    while (child.running()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const json output_json = json::parse(std::ifstream(output), nullptr, false);
    fs::remove(output);
    if (!child.exited_cleanly() || output_json.is_discarded())
        throw std::runtime_error(
            "the child process that measures the Router failed or printed no valid result");
    return output_json.get<RouterCost>();
}

void run_router(const std::string& load) {
    std::cout << json(RouterRun(json::parse(load).get<RouterLoad>()).run()) << std::endl;
}

}  // namespace irismux::bench
