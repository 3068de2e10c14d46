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
const MachineId edge{"edge"}, parent{"parent"}, origin{"origin"};

double thread_seconds() {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

double resident_mb() { return static_cast<double>(lab::resident_bytes(::getpid())) / 1e6; }

std::string hex16(std::uint64_t n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

Deployment deployment(const RouterLoad& load) {
    Deployment d;
    d.location = here;
    ObjectKind kind;
    kind.budget = Span::seconds(0.25);
    kind.deadline = Span::seconds(load.deadline_s);
    d.kinds = {kind};
    d.parent_machine = parent;
    d.origin_machine = origin;
    d.permits.cancel = true;
    d.permits.notes = Notes::all;
    d.permits.sends = 6;
    d.fall_window = Span::seconds(2);
    d.purge_done = Span::seconds(6);
    d.tick = Span::seconds(0.002);
    d.flow_kb_per_s = 8300;
    d.pipe_here_kb_per_s = 8.3e10;  // no limit turns a lookup away
    return d;
}

std::vector<Listing> list_of(const RouterLoad& load) {
    std::vector<Listing> lines;
    const auto add = [&](const std::string& name, const LocationId& at, const MachineId& machine) {
        Listing l;
        l.cache = CacheId{name};
        l.location = at;
        l.machine = machine;
        lines.push_back(l);
    };
    for (int n = 0; n < load.listed_caches; ++n) add("edge-" + std::to_string(n), here, edge);
    for (int n = 0; n < load.parents; ++n) add("parent-" + std::to_string(n), LocationId{"hub"}, parent);
    add("origin", LocationId{"hub"}, origin);
    return lines;
}

/// Keeps the last send and the alarms; counts what is turned away.
class LastSend final : public Port {
public:
    void send(const LookupId&, const CacheId& cache, Span) override { went(cache); }
    void fill(const LookupId&, const Fill& f) override { went(f.cache); }
    void cancel(const LookupId&, SendNo) override {}
    void nack(const LookupId&, Span) override { ++refused; }
    void fail(const LookupId&) override { ++refused; }
    void probe(const CacheId&) override {}
    void alarm(AlarmNo number, Instant at) override { alarms.emplace_back(number, at); }
    void watch_list() override {}
    void note_down(std::string_view) override {}

    std::vector<std::pair<AlarmNo, Instant>> alarms;
    CacheId to;
    bool sent = false;
    std::uint64_t refused = 0;

private:
    void went(const CacheId& cache) {
        to = cache;
        sent = true;
    }
};

class RouterRun {
public:
    explicit RouterRun(const RouterLoad& load)
        : load_(load), router_(port_, deployment(load), load.seed, now_), random_(load.seed) {
        router_.on_list(now_, list_of(load_), true);
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
        cost.refused = port_.refused;
        return cost;
    }

private:
    void one_lookup(std::uint64_t n) {
        now_ = now_ + Span::seconds(1 / load_.per_second);
        run_alarms();
        const std::string object = hex16(load_.objects > 0 ? random_() % load_.objects : n);
        Arrival arrival;
        arrival.id = LookupId{n};
        arrival.object = ObjectName{object};
        arrival.expires = now_ + Span::seconds(load_.deadline_s);
        const auto before = Clock::now();
        port_.sent = false;
        router_.on_lookup(now_, arrival);
        if (port_.sent) answer(arrival.id);
        const std::chrono::duration<double, std::micro> took = Clock::now() - before;
        longest_us_ = std::max(longest_us_, took.count());
    }
    void answer(const LookupId& id) {
        Answer a;
        a.id = id;
        a.cache = port_.to;
        a.note = Note::hit;
        a.took = Span::micros(300);
        a.last = true;
        router_.on_answer(now_ + a.took, a);
    }
    void run_alarms() {
        std::vector<std::pair<AlarmNo, Instant>> all;
        std::swap(all, port_.alarms);
        for (const auto& [number, at] : all) {
            if (at <= now_)
                router_.on_alarm(now_, number);
            else
                port_.alarms.emplace_back(number, at);
        }
    }
    void renew_purges() {
        for (int n = 0; n < load_.purges_in_force; ++n) purge(n);
    }
    void purge(int n) {
        router_.on_purge(now_, Span{}, GroupNo{0},
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
        const std::vector<Listing> lines = list_of(load_);
        const double started = thread_seconds();
        for (int n = 0; n < times; ++n) router_.on_list(now_, lines, true);
        return (thread_seconds() - started) * 1e6 / times;
    }

    RouterLoad load_;
    Instant now_ = Instant::at_seconds(1e9);
    LastSend port_;
    Router router_;
    std::mt19937_64 random_;
    double longest_us_ = 0;
};

}  // namespace

RouterCost measure_router(const std::string& self, const RouterLoad& load) {
    std::string output = (fs::temp_directory_path() / "router-cost-XXXXXX").string();
    const int made = ::mkstemp(output.data());
    if (made < 0) throw std::runtime_error("no file can be made");
    ::close(made);
    lab::Process child({{self, "--router", json(load).dump()}, {}, "", output});
    while (child.running()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const json told = json::parse(std::ifstream(output), nullptr, false);
    fs::remove(output);
    if (!child.left() || told.is_discarded())
        throw std::runtime_error("a run of the Router did not end well");
    return told.get<RouterCost>();
}

void run_router(const std::string& load) {
    std::cout << json(RouterRun(json::parse(load).get<RouterLoad>()).run()) << std::endl;
}

}  // namespace irismux::bench
