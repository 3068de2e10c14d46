#include "bench/scale/events.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <set>

namespace irismux::scale {
namespace {

using nlohmann::json;

const Duration one_second = Duration::micros(1'000'000);
constexpr std::size_t purges_per_second = 3;
constexpr std::size_t purges_per_hour = 3600 * purges_per_second;
constexpr std::size_t batches_per_hour = 20;  // one batch per second
constexpr std::size_t ejecting_sites = 2;
// In the event `mark_quarter`, the stub gateways of a quarter of the sites eject `bad_cache`. The number of
// ejecting gateways therefore grows with the number of sites.
constexpr std::size_t ejecting_sites_divisor = 4;
// Duration of the ejection events: nine rounds of 3 s each, at a term of 12 s. This is long enough for each
// of 570 gateways to publish its ejections once.
constexpr double ejections_last_s = 27;
const std::string bad_cache = "cache-100";

void progress(const Rig& rig, const std::string& what) {
    std::fprintf(stderr, "%zu gateways: %s\n", rig.topology().gateways, what.c_str());
}

std::vector<std::size_t> without(const std::vector<std::size_t>& all, const std::vector<std::size_t>& some) {
    std::vector<std::size_t> left;
    for (const std::size_t g : all)
        if (std::find(some.begin(), some.end(), g) == some.end()) left.push_back(g);
    return left;
}

std::vector<std::size_t> stubs_among(const Rig& rig, const std::vector<std::size_t>& gateways) {
    std::vector<std::size_t> left;
    for (const std::size_t g : gateways)
        if (g >= rig.settings().real_gateways) left.push_back(g);
    return left;
}

// Measures the fleet over a period of whole seconds.
class EventMeasurement {
public:
    EventMeasurement(Rig& rig, const std::string& name) : rig_(rig) {
        result_.name = name;
        progress(rig, name);
        rig_.to_next_second();
        processor_ = rig_.processor_seconds();
        from_ = rig_.now_second();
        begun_us_ = rig_.now_us();
    }
    std::int64_t begun_us() const { return begun_us_; }
    void in_force(const std::string& what, const InForceTimes& seen, std::int64_t since_us,
                  const std::vector<std::size_t>& gateways) {
        result_.in_force[what] = reached(seen, since_us, stubs_among(rig_, gateways));
    }
    void note(const std::string& text) { result_.note = text; }
    // Compares only stub gateways with numbers below `gateway` with the real gateways.
    void compare_stubs_before(std::size_t gateway) { first_uncompared_stub_ = gateway; }
    void until_second(double since_begin) {
        const std::int64_t end = begun_us_ + static_cast<std::int64_t>(since_begin * 1e6);
        rig_.wait_until([&] { return rig_.now_us() >= end; }, Duration::seconds(since_begin + 5));
    }
    EventResult end() {
        rig_.to_next_second();
        const std::int64_t until = rig_.now_second();
        const auto used = rig_.processor_seconds();
        result_.seconds = static_cast<double>(until - from_);
        for (const auto& [role, seconds] : used)
            result_.cores_by_role[role] = (seconds - processor_[role]) / result_.seconds;
        const std::size_t real = rig_.settings().real_gateways, stubs = rig_.stub_gateways();
        const auto resident = rig_.resident_bytes();
        if (stubs > 0) {
            result_.cores_per_gateway = result_.cores_by_role["hollow"] / static_cast<double>(stubs);
            const std::size_t empty = rig_.resident_of_empty_stub_process() * rig_.topology().sites();
            result_.bytes_per_gateway =
                (static_cast<double>(resident.at("hollow")) - static_cast<double>(empty)) /
                static_cast<double>(stubs);
        }
        if (real > 0) {
            result_.cores_per_real_gateway = result_.cores_by_role["real"] / static_cast<double>(real);
            result_.bytes_per_real_gateway =
                static_cast<double>(resident.at("real")) / static_cast<double>(real);
        }
        // Waits until the relays have reported the traffic of the last measured second. A relay reports the
        // traffic of each second right after that second has ended.
        rig_.run_for(one_second * 1.2);
        result_.stubs = rate_over(rig_.traffic(), from_, until, real, stubs);
        if (real > 0) {
            result_.real = rate_over(rig_.traffic(), from_, until, 0, real);
            const std::size_t last = std::min(first_uncompared_stub_, rig_.topology().gateways);
            result_.compared_stubs = rate_over(rig_.traffic(), from_, until, real, last - real);
        }
        return result_;
    }

private:
    Rig& rig_;
    EventResult result_;
    std::map<std::string, double> processor_;
    std::int64_t from_ = 0, begun_us_ = 0;
    std::size_t first_uncompared_stub_ = std::numeric_limits<std::size_t>::max();
};

// Waits until as many stub gateways as there are in `gateways` have reported the expected state. Returns
// false on timeout.
bool wait_until_complete(Rig& rig, std::int64_t expected, const std::vector<std::size_t>& gateways,
                         double timeout_s) {
    const std::size_t stubs = stubs_among(rig, gateways).size();
    return rig.wait_until([&] { return rig.in_force("whole", expected).size() >= stubs; },
                          Duration::seconds(timeout_s));
}

EventResult at_rest(Rig& rig) {
    EventMeasurement m(rig, "rest");
    m.until_second(18);
    return m.end();
}

EventResult purges(Rig& rig) {
    rig.set_purge_reports(true);
    EventMeasurement m(rig, "purges");
    std::vector<std::int64_t> posted;
    for (std::size_t n = 0; n < 12 * purges_per_second; ++n) {
        m.until_second(static_cast<double>(n) / purges_per_second);
        posted.push_back(rig.purge(1).front());
    }
    m.until_second(14);
    // Combines the times of all purges at all gateways into one distribution.
    Reached all;
    std::vector<double> took;
    for (const std::int64_t p : posted)
        for (const auto& [g, at] : rig.in_force("purge", p))
            took.push_back(static_cast<double>(at - p * 1000) / 1e6);
    std::sort(took.begin(), took.end());
    all.of = posted.size() * rig.stub_gateways();
    all.reached = took.size();
    if (!took.empty()) {
        all.median_s = took[took.size() / 2];
        all.p99_s = took[(took.size() - 1) * 99 / 100];
        all.last_s = took.back();
    }
    EventResult result = m.end();
    result.in_force["purge"] = all;
    rig.set_purge_reports(false);
    return result;
}

EventResult list_change(Rig& rig) {
    EventMeasurement m(rig, "list_change");
    const std::int64_t since = rig.now_us(), version = rig.change_list();
    m.until_second(11);
    m.in_force("list", rig.in_force("list", version), since, rig.topology().all());
    return m.end();
}

EventResult bad_cache_ejected(Rig& rig, const std::string& name, std::size_t sites) {
    std::vector<std::size_t> ejecting;
    for (const std::size_t g : stubs_among(rig, rig.topology().all()))
        if (rig.topology().site_of(g) < sites) ejecting.push_back(g);
    rig.clear_in_force();
    EventMeasurement m(rig, name);
    const std::int64_t since = rig.now_us();
    rig.set_ejected(bad_cache, true, ejecting);
    m.note(std::to_string(ejecting.size()) + " gateways of " + std::to_string(sites) + " sites mark it");
    m.until_second(ejections_last_s);
    m.in_force("trial put off", rig.in_force("trial", 0), since, ejecting);
    EventResult result = m.end();
    rig.set_ejected(bad_cache, false, ejecting);
    rig.run_for(one_second * 6);
    return result;
}

// Once per second, each gateway readmits the cache that it has ejected and ejects another one. Each gateway
// therefore publishes its record as often as its rate limit permits.
EventResult ejections_change(Rig& rig) {
    rig.set_continuous_ejections(true);
    rig.run_for(one_second * 6);
    EventMeasurement m(rig, "marks_change");
    m.until_second(ejections_last_s);
    m.note("every gateway marks another cache each second");
    EventResult result = m.end();
    rig.set_continuous_ejections(false);
    rig.run_for(one_second * 6);
    return result;
}

EventResult restart_all(Rig& rig) {
    rig.clear_in_force();
    EventMeasurement m(rig, "restart_all");
    const std::int64_t since = rig.now_us();
    // Calls expect() after the restart, because the old processes had already reached the expected state and
    // would report it at once.
    rig.start(rig.topology().all());
    const std::int64_t expected = rig.expect(rig.topology().gateways);
    wait_until_complete(rig, expected, rig.topology().all(), 50);
    m.until_second(15);
    m.in_force("whole", rig.in_force("whole", expected), since, rig.topology().all());
    return m.end();
}

EventResult zone_lost(Rig& rig) {
    const auto lost = rig.topology().lost_zone(), left = without(rig.topology().all(), lost);
    rig.clear_in_force();
    EventMeasurement m(rig, "zone_lost");
    m.compare_stubs_before(lost.front());
    const std::int64_t since = rig.now_us();
    rig.kill(lost);
    rig.set_caches_removed(Topology::zone_caches, true);
    const std::int64_t expected = rig.expect(left.size());
    wait_until_complete(rig, expected, left, 45);
    m.until_second(15);
    m.note(std::to_string(lost.size()) + " gateways killed, " + std::to_string(Topology::zone_caches) +
           " caches off the list");
    m.in_force("evicted", rig.in_force("whole", expected), since, left);
    return m.end();
}

EventResult zone_back(Rig& rig) {
    const auto lost = rig.topology().lost_zone();
    rig.clear_in_force();
    EventMeasurement m(rig, "zone_back");
    m.compare_stubs_before(lost.front());
    const std::int64_t since = rig.now_us();
    rig.start(lost);
    rig.set_caches_removed(Topology::zone_caches, false);
    const std::int64_t expected = rig.expect(rig.topology().gateways);
    wait_until_complete(rig, expected, rig.topology().all(), 45);
    m.until_second(10);
    m.in_force("whole", rig.in_force("whole", expected), since, rig.topology().all());
    return m.end();
}

// Posts the purges of one hour within 20 seconds while the region is cut off. The event lasts longer than a
// term, so that the fleet evicts the region's gateways.
EventResult region_cut(Rig& rig) {
    const auto cut = rig.topology().of_region(rig.topology().regions() - 1),
               left = without(rig.topology().all(), cut);
    rig.clear_in_force();
    EventMeasurement m(rig, "region_cut");
    m.compare_stubs_before(cut.front());
    rig.change_links(cut, {{"cut", true}});
    for (std::size_t n = 0; n < batches_per_hour; ++n) {
        m.until_second(static_cast<double>(n));
        rig.purge(purges_per_hour / batches_per_hour);
    }
    m.until_second(24);
    m.note(std::to_string(cut.size()) + " gateways cut; the " + std::to_string(purges_per_hour) +
           " purges of an hour within " + std::to_string(batches_per_hour) + " s");
    return m.end();
}

EventResult region_back(Rig& rig) {
    const auto cut = rig.topology().of_region(rig.topology().regions() - 1);
    rig.clear_in_force();
    EventMeasurement m(rig, "region_back");
    m.compare_stubs_before(cut.front());
    const std::int64_t since = rig.now_us(), expected = rig.expect(rig.topology().gateways);
    rig.change_links(cut, {{"cut", false}});
    wait_until_complete(rig, expected, rig.topology().all(), 60);
    m.until_second(10);
    m.in_force("whole, of the region", rig.in_force("whole", expected), since, cut);
    m.in_force("whole", rig.in_force("whole", expected), since, rig.topology().all());
    return m.end();
}

struct Event {
    std::string name;
    std::function<std::vector<EventResult>(Rig&)> run;
};

const std::vector<Event>& events() {
    static const std::vector<Event> all = {
        {"rest", [](Rig& r) { return std::vector{at_rest(r)}; }},
        {"purges", [](Rig& r) { return std::vector{purges(r)}; }},
        {"list", [](Rig& r) { return std::vector{list_change(r)}; }},
        {"mark", [](Rig& r) { return std::vector{bad_cache_ejected(r, "bad_cache", ejecting_sites)}; }},
        {"mark_quarter",
         [](Rig& r) {
             const std::size_t sites =
                 std::max<std::size_t>(1, r.topology().sites() / ejecting_sites_divisor);
             return std::vector{bad_cache_ejected(r, "bad_cache_quarter", sites)};
         }},
        {"marks_change", [](Rig& r) { return std::vector{ejections_change(r)}; }},
        {"zone",
         [](Rig& r) {
             return std::vector{zone_lost(r), zone_back(r)};
         }},
        {"restart", [](Rig& r) { return std::vector{restart_all(r)}; }},
        {"region",
         [](Rig& r) {
             return std::vector{region_cut(r), region_back(r)};
         }},
    };
    return all;
}

// Counts for each part of the gateways' state how many different values the gateways have. With membership by
// site, the parts about fleet members are compared within each site, and the largest count of a site is
// returned.
json distinct_states(Rig& rig) {
    const json states = rig.states();
    std::map<std::string, std::map<std::size_t, std::set<std::string>>> values;
    for (const auto& [gateway, state] : states.items()) {
        const std::size_t site = rig.topology().site_of(std::stoul(gateway));
        for (const auto& [what, value] : state.items()) {
            const bool of_site = rig.membership_by_site() && what.rfind("member", 0) == 0;
            values[what][of_site ? site : 0].insert(value.dump());
        }
    }
    json result = {{"gateways", states.size()}};
    for (const auto& [what, groups] : values) {
        std::size_t most = 0;
        for (const auto& [site, seen] : groups) most = std::max(most, seen.size());
        result["different"][what] = most;
    }
    return result;
}

}  // namespace

Reached reached(const InForceTimes& in_force, std::int64_t since_us,
                const std::vector<std::size_t>& gateways) {
    Reached r;
    r.of = gateways.size();
    std::vector<double> took;
    for (const std::size_t g : gateways)
        if (const auto it = in_force.find(g); it != in_force.end())
            took.push_back(static_cast<double>(it->second - since_us) / 1e6);
    std::sort(took.begin(), took.end());
    r.reached = took.size();
    if (took.empty()) return r;
    r.median_s = took[took.size() / 2];
    r.p99_s = took[(took.size() - 1) * 99 / 100];
    r.last_s = took.back();
    return r;
}

json to_json(const EventResult& r) {
    json in_force = json::object();
    for (const auto& [what, x] : r.in_force)
        in_force[what] = {{"of", x.of},
                          {"reached", x.reached},
                          {"median_s", x.median_s},
                          {"p99_s", x.p99_s},
                          {"last_s", x.last_s}};
    json out = {{"event", r.name},
                {"seconds", r.seconds},
                {"hollow", to_json(r.stubs)},
                {"processor_a_gateway", r.cores_per_gateway},
                {"processor_by_role", r.cores_by_role},
                {"memory_a_gateway", r.bytes_per_gateway},
                {"in_force", in_force}};
    if (!r.note.empty()) out["note"] = r.note;
    if (r.real) {
        out["real"] = to_json(*r.real);
        out["beside"] = to_json(*r.compared_stubs);
        out["processor_a_real_gateway"] = r.cores_per_real_gateway;
        out["memory_a_real_gateway"] = r.bytes_per_real_gateway;
    }
    return out;
}

const std::vector<std::string>& event_names() {
    static const std::vector<std::string> names = [] {
        std::vector<std::string> all;
        for (const Event& e : events()) all.push_back(e.name);
        return all;
    }();
    return names;
}

json run_events(Rig& rig, const std::vector<std::string>& names) {
    progress(rig, "starting all gateways");
    const std::int64_t begun = rig.now_us();
    std::int64_t expected = rig.expect(rig.topology().gateways);
    rig.start(rig.topology().all());
    const bool up = wait_until_complete(rig, expected, rig.topology().all(), 60);
    const Reached first =
        reached(rig.in_force("whole", expected), begun, stubs_among(rig, rig.topology().all()));
    progress(rig, std::to_string(first.reached) + " of " + std::to_string(first.of) +
                      " stub gateways have the complete state");
    // A gateway that has joined waits and listens before it claims duties.
    rig.run_for(one_second * 15);
    rig.check_memory();
    rig.start_lookups();
    json results = json::array(), lookups;
    for (const Event& e : events()) {
        if (std::find(names.begin(), names.end(), e.name) == names.end()) continue;
        // The clients do not reconnect to a restarted gateway, so the lookups are counted before the restart.
        if (e.name == "restart") lookups = rig.lookups();
        for (const EventResult& r : e.run(rig)) results.push_back(to_json(r));
    }
    if (lookups.is_null()) lookups = rig.lookups();
    expected = rig.expect(rig.topology().gateways);
    const bool complete = wait_until_complete(rig, expected, rig.topology().all(), 45);
    return {{"gateways", rig.topology().gateways},
            {"real_gateways", rig.settings().real_gateways},
            {"sites", rig.topology().sites()},
            {"caches", rig.topology().caches},
            {"members", rig.settings().members},
            {"processes", rig.processes()},
            {"seed", rig.settings().seed},
            {"term", rig.settings().term},
            {"fleet_lines", rig.settings().fleet_lines},
            {"all_came_up", up},
            {"started", {{"of", first.of}, {"reached", first.reached}, {"last_s", first.last_s}}},
            {"all_whole_at_end", complete},
            {"end_state", distinct_states(rig)},
            {"lookups", lookups},
            {"registry", rig.registry_ledger()},
            {"events", results}};
}

}  // namespace irismux::scale
