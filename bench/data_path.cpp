// Measures how the cost of the data path of one real gateway process grows: processor time and memory (from
// /proc) against response size, lookups in flight, listed caches, objects ever seen, and more.
//   data_path PROGRAM [--results PATH] [--seed N] [--only PART] [--seconds S]
// Writes PATH.json and PATH.md. Uses loopback only and exits by itself after some minutes.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <thread>

#include "bench/data_path_load.hpp"
#include "bench/data_path_router.hpp"
#include "bench/results.hpp"
#include "testing/process.hpp"

namespace {

using namespace irismux::bench;
using irismux::test_support::descriptors_of;
using irismux::test_support::processor_seconds;

struct Options {
    std::string program, results = "data_path", router;
    std::vector<std::string> only;  // parts to run; empty: all
    std::uint64_t seed = 1;
    double seconds = 2.5;  // length of each measurement
};

double resident_mb(pid_t id) { return static_cast<double>(irismux::test_support::resident_bytes(id)) / 1e6; }

void pause_for(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

/// Lookups of a gateway, and the resources that the gateway used, during one measurement.
struct Stretch {
    double seconds = 0, processor_seconds = 0, lookups = 0, refused = 0, memory_mb = 0;

    double us_per_lookup() const { return lookups > 0 ? processor_seconds * 1e6 / lookups : 0; }
    double core_share() const { return processor_seconds / seconds; }
    double per_second() const { return lookups / seconds; }
};

Stretch measure(LoadedGateway& gateway, double warm_up, double seconds) {
    pause_for(warm_up);
    const auto begun = std::chrono::steady_clock::now();
    const double processor = processor_seconds(gateway.id());
    const auto satisfied = static_cast<double>(gateway.satisfied());
    const auto refused = static_cast<double>(gateway.refused());
    pause_for(seconds);
    Stretch s;
    s.processor_seconds = processor_seconds(gateway.id()) - processor;
    s.lookups = static_cast<double>(gateway.satisfied()) - satisfied;
    s.refused = static_cast<double>(gateway.refused()) - refused;
    s.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    s.memory_mb = resident_mb(gateway.id());
    return s;
}

/// Runs the selected parts and collects their results.
class Measurement {
public:
    explicit Measurement(const Options& options) : options_(options) {
        // Keeps the earlier results of the parts that this run does not measure.
        if (!options.only.empty() && std::filesystem::exists(options.results + ".json"))
            results_ = read_results(options.results + ".json");
        results_.title = "Slopes of the data path of one gateway";
        results_.machine = this_machine();
        results_.date = today();
        results_.seed = options.seed;
        results_.command =
            "cmake --build build --target data_path irismux && build/data_path build/irismux --results "
            "docs/measurements/data_path --seed " +
            std::to_string(options.seed);
    }

    void run() {
        part("answers", [this] { answer_sizes(); });
        part("pace", [this] { lookup_rates(); });
        part("held", [this] { held_lookups(); });
        part("caches", [this] { listed_caches(); });
        part("objects", [this] { objects_over_sockets(); });
        part("router", [this] { objects_in_router(); });
        part("others", [this] {
            caches_in_router();
            parents();
            purges();
        });
        write_results(results_, options_.results);
    }

private:
    void part(const std::string& name, const std::function<void()>& measure_part) {
        const auto& only = options_.only;
        if (!only.empty() && std::find(only.begin(), only.end(), name) == only.end()) return;
        std::fprintf(stderr, "%s\n", name.c_str());
        measure_part();
    }
    Load load() const {
        Load l;
        l.program = options_.program;
        l.seed = options_.seed;
        return l;
    }
    RouterLoad router_load() const {
        RouterLoad l;
        l.seed = options_.seed;
        return l;
    }
    template <class Entry>
    static void replace_or_add(std::vector<Entry>& all, Entry entry) {
        std::erase_if(all, [&](const Entry& e) { return e.name == entry.name; });
        all.push_back(std::move(entry));
    }
    void add(Series series) {
        std::fprintf(stderr, "  %s:", series.name.c_str());
        for (const Point& p : series.points)
            std::fprintf(stderr, " %s=%s", shown(p.size).c_str(), shown(p.value).c_str());
        const Fit f = fit(series.points);
        std::fprintf(stderr, " -> %s + %s n, t %s\n", shown(f.intercept).c_str(), shown(f.slope).c_str(),
                     shown(f.quadratic_t).c_str());
        replace_or_add(results_.series, std::move(series));
    }
    void add(Figure figure) {
        std::fprintf(stderr, "  %s: %s %s\n", figure.name.c_str(), shown(figure.value).c_str(),
                     figure.unit.c_str());
        replace_or_add(results_.figures, std::move(figure));
    }

    void answer_sizes();
    void lookup_rates();
    void held_lookups();
    void listed_caches();
    void objects_over_sockets();
    void objects_in_router();
    void caches_in_router();
    void parents();
    void purges();

    Options options_;
    std::string self_ = std::filesystem::read_symlink("/proc/self/exe").string();
    Results results_;
};

// Measures the cost of a lookup against the size of the response. The largest size measured is the largest
// that the protocol allows for one response.
void Measurement::answer_sizes() {
    Series cost{"cpu_us_per_lookup.answer_kb",
                "Processor time a lookup against the size of its answer",
                "answer",
                "KB",
                "us a lookup",
                {},
                "One gateway process, 64 lookups under way all the time on 32 connections, 20 listed caches. "
                "1 KB = 1,000 bytes."};
    Series rate = cost;
    rate.name = "lookups_per_s.answer_kb";
    rate.title = "Lookups a second that one gateway passed on, against the size of the answer";
    rate.unit = "lookups a second";
    Series busy = cost;
    busy.name = "core_share.answer_kb";
    busy.title = "Share of one core that the gateway had meanwhile";
    busy.unit = "cores";
    double refused = 0;
    // Measures each size twice to show the scatter.
    for (const std::size_t bytes : {1'000u, 4'000u, 16'000u, 60'000u, 120'000u, 180'000u, 240'000u,  //
                                    1'000u, 4'000u, 16'000u, 60'000u, 120'000u, 180'000u, 240'000u}) {
        Load l = load();
        l.answer_bytes = bytes;
        LoadedGateway gateway(l);
        const Stretch s = measure(gateway, 1, options_.seconds);
        const double kb = static_cast<double>(bytes) / 1000;
        cost.points.push_back({kb, s.us_per_lookup()});
        rate.points.push_back({kb, s.per_second()});
        busy.points.push_back({kb, s.core_share()});
        refused += s.refused;
    }
    add(std::move(cost));
    add(std::move(rate));
    add(std::move(busy));
    add(Figure{"refused.answer_kb", "lookups refused or failed in those runs", refused, "lookups",
               "counted at the clients"});
}

// Measures the share of a core and the memory at a fixed lookup rate, as in production. Each response has
// half the size of the target's mean object, because the whole object does not fit into one response.
void Measurement::lookup_rates() {
    constexpr std::size_t half_a_mean_object = 189'000;
    constexpr double loaded = 6'032;  // four times the rate of the mean gateway
    Series busy{
        "core_share.pace",
        "Share of a core against lookups a second",
        "pace",
        "lookups a second",
        "cores",
        {},
        "One gateway process, answers of 189 KB (half of the target's mean object), 32 connections, 20 "
        "listed caches; asked at that pace."};
    Series memory = busy;
    memory.name = "memory_mb.pace";
    memory.title = "Memory against lookups a second";
    memory.unit = "MB resident";
    for (const double pace : {100.0, 300.0, 754.0, 1'508.0, 2'262.0, 3'016.0, loaded}) {
        Load l = load();
        l.answer_bytes = half_a_mean_object;
        l.per_second = pace;
        LoadedGateway gateway(l);
        const Stretch s = measure(gateway, 1, options_.seconds);
        if (pace == loaded) {
            const std::string how =
                "answers of 189 KB, asked 6,032 times a second: four times the mean gateway's";
            add(Figure{"loaded.lookups_per_s", "lookups a second satisfied at four times the mean",
                       s.per_second(), "lookups a second", how});
            add(Figure{"loaded.refused_per_s", "lookups a second refused or failed meanwhile",
                       s.refused / s.seconds, "lookups a second", how});
            add(Figure{"loaded.core_share", "share of a core meanwhile", s.core_share(), "cores", how});
            add(Figure{"loaded.memory_mb", "memory meanwhile", s.memory_mb, "MB resident", how});
            continue;
        }
        busy.points.push_back({s.per_second(), s.core_share()});
        memory.points.push_back({s.per_second(), s.memory_mb});
    }
    add(std::move(busy));
    add(std::move(memory));
}

// Measures the memory and the number of descriptors that the gateway uses against the number of lookups in
// flight. The caches never respond, so that the lookups stay in flight.
void Measurement::held_lookups() {
    Series memory{
        "memory_mb.held",
        "Memory against lookups under way",
        "lookups under way",
        "lookups",
        "MB resident",
        {},
        "One gateway process, 8 to 32 lookups on each of 400 client connections; caches that do not "
        "answer; connections to caches as it opens them."};
    Series sockets = memory;
    sockets.name = "descriptors.held";
    sockets.title = "Descriptors against lookups under way";
    sockets.unit = "descriptors";
    Load l = load();
    l.answer_bytes = 0;
    l.connections = 400;
    l.outstanding = 0;
    l.client_timeout_s = 60;
    l.sockets = 4096;
    LoadedGateway gateway(l);
    pause_for(1);
    for (const std::size_t held : {100u, 300u, 1'000u, 3'000u, 6'000u, 12'000u}) {
        gateway.set_outstanding(held);
        pause_for(1.5);
        const auto under_way =
            static_cast<double>(gateway.requests_sent() - gateway.refused() - gateway.satisfied());
        memory.points.push_back({under_way, resident_mb(gateway.id())});
        sockets.points.push_back({under_way, static_cast<double>(descriptors_of(gateway.id()))});
    }
    add(std::move(memory));
    add(std::move(sockets));
    add(Figure{"refused.held", "lookups refused while they were held", static_cast<double>(gateway.refused()),
               "lookups", "counted at the clients"});
}

void Measurement::listed_caches() {
    Series cost{
        "cpu_us_per_lookup.caches",
        "Processor time a lookup against listed caches",
        "listed caches",
        "caches",
        "us a lookup",
        {},
        "One gateway process, answers of 1 KB, 64 lookups under way, 1,000 objects; the listed caches "
        "share the sockets of four stand-ins."};
    Series memory = cost;
    memory.name = "memory_mb.caches";
    memory.title = "Memory against listed caches, with its connections to them";
    memory.unit = "MB resident";
    for (const std::size_t caches : {20u, 50u, 100u, 300u, 1'000u}) {
        Load l = load();
        l.listed_caches = caches;
        l.sockets = 8'192;
        LoadedGateway gateway(l);
        const Stretch s = measure(gateway, 1, options_.seconds);
        cost.points.push_back({static_cast<double>(caches), s.us_per_lookup()});
        memory.points.push_back({static_cast<double>(caches), s.memory_mb});
    }
    add(std::move(cost));
    add(std::move(memory));
}

// Measures memory against the number of distinct objects. Each lookup requests a new object, and the memory
// is sampled while the number of objects grows.
void Measurement::objects_over_sockets() {
    Series memory{
        "memory_mb.objects_over_sockets",
        "Memory against distinct objects ever asked for, over sockets",
        "distinct objects",
        "objects",
        "MB resident",
        {},
        "One gateway process, answers of 1 KB, 3,000 lookups a second, each for another object; the object "
        "kind's deadline is 3 s."};
    Load l = load();
    l.objects = 0;
    l.per_second = 3'000;
    LoadedGateway gateway(l);
    for (const std::uint64_t objects : {1'000u, 3'000u, 10'000u, 30'000u, 60'000u}) {
        constexpr int max_checks = 2'000;
        for (int n = 0; n < max_checks && gateway.satisfied() < objects; ++n) pause_for(0.02);
        memory.points.push_back({static_cast<double>(gateway.satisfied()), resident_mb(gateway.id())});
    }
    add(std::move(memory));
}

void Measurement::objects_in_router() {
    Series memory{
        "memory_mb.objects",
        "Memory of the decisions against distinct objects ever asked for",
        "distinct objects",
        "objects",
        "MB above the start",
        {},
        "The Router alone through its Port, in a process of its own, in virtual time: 3,000 lookups a "
        "second, "
        "each for another object, deadline 3 s, 20 listed caches. Over sockets 10^7 would take an hour."};
    Series cost = memory;
    cost.name = "cpu_us_per_lookup.objects";
    cost.title = "Processor time a lookup in the decisions against distinct objects ever asked for";
    cost.unit = "us a lookup";
    Series longest = memory;
    longest.name = "longest_us.objects";
    longest.title = "Longest single decision against distinct objects ever asked for";
    longest.unit = "us";
    for (const std::uint64_t objects : {10'000u, 100'000u, 300'000u, 1'000'000u, 3'000'000u, 10'000'000u}) {
        RouterLoad l = router_load();
        l.lookups = objects;
        l.per_second = 3'000;
        const RouterCost c = measure_router(self_, l);
        memory.points.push_back({static_cast<double>(objects), c.grown_mb});
        cost.points.push_back({static_cast<double>(objects), c.us_per_lookup});
        longest.points.push_back({static_cast<double>(objects), c.longest_us});
    }
    add(std::move(memory));
    add(std::move(cost));
    add(std::move(longest));

    Series recent{
        "memory_mb.recent_objects",
        "Memory of the decisions against distinct objects asked for within one generation",
        "distinct objects",
        "objects",
        "MB above the start",
        {},
        "The Router alone, all objects within one generation (twice the longest deadline). It keeps two "
        "generations: the bound is four deadlines times the lookups a second."};
    for (const std::uint64_t objects : {10'000u, 30'000u, 100'000u, 300'000u, 1'000'000u}) {
        RouterLoad l = router_load();
        l.lookups = objects;
        l.per_second = 1'000;
        l.deadline_s = 1'000;
        recent.points.push_back({static_cast<double>(objects), measure_router(self_, l).grown_mb});
    }
    add(std::move(recent));
}

void Measurement::caches_in_router() {
    Series by_cache{"cpu_us_per_lookup.caches_in_router",
                    "Processor time a lookup in the decisions against listed caches",
                    "listed caches",
                    "caches",
                    "us a lookup",
                    {},
                    "The Router alone through its Port, in virtual time, 1,000 objects."};
    Series list = by_cache;
    list.name = "cpu_us_per_list.caches";
    list.title = "Processor time of a complete list against listed caches";
    list.unit = "us a list";
    for (const int caches : {20, 50, 100, 300, 1'000}) {
        RouterLoad l = router_load();
        l.listed_caches = caches;
        l.objects = 1'000;
        const RouterCost c = measure_router(self_, l);
        by_cache.points.push_back({static_cast<double>(caches), c.us_per_lookup});
        list.points.push_back({static_cast<double>(caches), c.us_per_list});
    }
    add(std::move(by_cache));
    add(std::move(list));
}

void Measurement::parents() {
    Series by_parent{"cpu_us_per_lookup.parents",
                     "Processor time a lookup in the decisions against parents",
                     "parents",
                     "parents",
                     "us a lookup",
                     {},
                     "The Router alone through its Port, in virtual time, 20 listed caches, 1,000 objects."};
    for (const int parents : {2, 5, 10, 20, 40, 80}) {
        RouterLoad l = router_load();
        l.parents = parents;
        l.objects = 1'000;
        by_parent.points.push_back({static_cast<double>(parents), measure_router(self_, l).us_per_lookup});
    }
    add(std::move(by_parent));
}

void Measurement::purges() {
    Series lookup{"cpu_us_per_lookup.purges",
                  "Processor time a lookup in the decisions against purges in force",
                  "purges in force",
                  "purges",
                  "us a lookup",
                  {},
                  "The Router alone through its Port, in virtual time, 20 listed caches, 1,000 objects."};
    Series purge = lookup;
    purge.name = "cpu_us_per_purge.purges";
    purge.title = "Processor time of one more purge against purges in force";
    purge.unit = "us a purge";
    for (const int purges : {10, 30, 100, 300, 1'000, 3'000, 10'000}) {
        RouterLoad l = router_load();
        l.purges_in_force = purges;
        l.objects = 1'000;
        l.lookups = 20'000;
        l.per_second = 10'000;
        const RouterCost c = measure_router(self_, l);
        lookup.points.push_back({static_cast<double>(purges), c.us_per_lookup});
        purge.points.push_back({static_cast<double>(purges), c.us_per_purge});
    }
    add(std::move(lookup));
    add(std::move(purge));
}

int run(int count, char** words) {
    Options options;
    CLI::App app{"Measures how the cost of the data path of one gateway process grows."};
    app.add_option("program", options.program, "path of irismux")->check(CLI::ExistingFile);
    app.add_option(
        "--router", options.router,
        "measure the Router alone under this load (JSON); the program starts itself with this option");
    app.add_option("--results", options.results,
                   "path without suffix; the results are written to PATH.json and PATH.md")
        ->capture_default_str();
    app.add_option("--seed", options.seed, "seed for the requested objects and for the gateway's decisions")
        ->capture_default_str();
    app.add_option("--only", options.only,
                   "parts to measure: answers, pace, held, caches, objects, router, others; PATH.json keeps "
                   "its results of the parts that are not measured")
        ->delimiter(',');
    app.add_option("--seconds", options.seconds, "length of each measurement in seconds")
        ->capture_default_str()
        ->check(CLI::Range(0.5, 30.0));
    CLI11_PARSE(app, count, words);
    try {
        if (!options.router.empty()) {
            run_router(options.router);
            return 0;
        }
        if (options.program.empty())
            throw std::runtime_error("argument PROGRAM is missing: the path of irismux");
        Measurement(options).run();
    } catch (const std::exception& e) {
        std::cerr << "data_path: " << e.what() << '\n';
        return 1;
    }
    return 0;
}

}  // namespace

int main(int count, char** words) try { return run(count, words); } catch (...) {
    return 1;
}
