#include "bench/capacity_page.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace irismux::bench {
namespace {

constexpr const char* mark_of_extrapolation = " †";
constexpr const char* not_measured = "not measured";

std::string cells(const std::vector<std::string>& all) {
    std::string row = "|";
    for (const std::string& cell : all) row += ' ' + cell + " |";
    return row + '\n';
}

std::string head(const std::vector<std::string>& titles) {
    return cells(titles) + cells(std::vector<std::string>(titles.size(), "---"));
}

/// Formats the need as a multiple of the budget, in bold if the need exceeds the budget.
std::string ratio_shown(const std::optional<double>& need, double budget) {
    if (!need) return not_measured;
    const double ratio = *need / budget;
    std::string text = shown(ratio);
    if (ratio > 1) text = "**" + text + "**";
    return text;
}

std::string line_shown(const Series& s) {
    const Fit f = fit(s.points);
    std::string line = shown(f.intercept) + " + " + shown(f.slope) + " n";
    if (!f.bends) return line;
    return "bends, t " + shown(f.quadratic_t) + ": " + shown(f.parabola_intercept) + " + " +
           shown(f.parabola_slope) + " n + " + shown(f.quadratic) + " n²";
}

std::string sizes_shown(const Series& s) {
    const Fit f = fit(s.points);
    if (f.smallest == f.largest) return "one size, " + shown(f.largest);
    return std::to_string(s.points.size()) + " points, " + shown(f.smallest) + " to " + shown(f.largest);
}

/// Builds the page and collects the names of the quantities that exceed their budget.
class Page {
public:
    Page(const Targets& targets, const Results* data_path, const std::vector<ControlVariant>& control)
        : t_(targets), data_(data_path), control_(control) {}

    std::string write() {
        const std::string data = data_path_section();
        std::string control;
        for (const ControlVariant& v : control_) control += control_section(v);
        if (control_.empty())
            control = "\n## Control\n\nNot measured: there is no `docs/measurements/scale.json`.\n";
        return opening() + over_budget() + data + control + roles_section() + failures_section() +
               premises_section();
    }

private:
    std::string opening() const;
    std::string over_budget() const;
    std::string data_path_section();
    std::string data_rows(double answer_kb, double parts);
    std::string plain_words(double answer_kb, double parts) const;
    std::string control_section(const ControlVariant& v);
    std::string gateway_control(const ControlVariant& v);
    std::string in_force_table(const ControlVariant& v);
    std::string machines_table(const ControlVariant& v);
    std::string roles_section() const;
    std::string failures_section() const;
    std::string measured_in_event(const std::string& event, const std::vector<std::string>& whats,
                                  bool times) const;
    std::string premises_section() const;

    void need(const std::string& what, const std::optional<double>& value, double budget) {
        if (value && *value > budget)
            over_.push_back(what + ": " + shown(*value / budget) + " times its budget");
    }
    void lacks(const std::string& what) { without_.push_back(what); }
    /// Formats the fitted line of a series and the sizes at which the series was measured.
    static std::string basis(const Results* results, const std::string& series) {
        const Series* s = results ? results->find_series(series) : nullptr;
        return s ? line_shown(*s) + "; " + sizes_shown(*s) + ' ' + s->size_unit : not_measured;
    }
    double loaded() const { return t_.premises.loaded_gateway_multiple; }

    const Targets& t_;
    const Results* data_;
    const std::vector<ControlVariant>& control_;
    std::vector<std::string> over_, without_;
};

std::string Page::opening() const {
    std::string text =
        "# Capacity at the target\n\nWritten by `capacity` (bench/capacity.cpp) from "
        "[bench/targets.toml](../bench/targets.toml) and the measured figures; do not edit. Again:\n\n"
        "    cmake --build build --target capacity && build/capacity\n\n"
        "The target: " +
        shown(t_.fleet.gateways) + " gateways at " + shown(t_.fleet.sites) + " sites before " +
        shown(t_.fleet.caches) + " caches, " + shown(t_.fleet.regions) + " regions with " +
        shown(t_.fleet.zones) + " zones; " + shown(t_.load.lookups_per_s) + " lookups and " +
        shown(t_.load.tbit_per_s) + " Tbit a second, " + shown(t_.load.objects_billion) +
        " billion objects; " + shown(t_.load.purges_per_s) + " purges a second, each everywhere within " +
        shown(t_.load.purge_everywhere_s) + " s; " + shown(t_.load.configurations_per_day) +
        " changes of configuration a day, each everywhere within " +
        shown(t_.load.configuration_everywhere_s) + " s. Control may cost a gateway " +
        shown(t_.budget.gateway_core_percent) + "% of a core, " + shown(t_.budget.gateway_memory_mb) +
        " MB and " + shown(t_.budget.gateway_kb_per_s) + " KB a second, and has " +
        shown(t_.budget.control_machines) +
        " machines.\n\n"
        "Every figure is of one machine with simulated parties on loopback. `n` is the size of the column or "
        "table; "
        "a slope is a line by least squares, and where the points bend (quadratic term beyond the 5% level "
        "and a "
        "tenth of the value at the largest size) the parabola. † marks what lies beyond " +
        shown(farthest_carried) +
        " times the largest size measured: an extrapolation. A ratio above 1 (bold) does not fit.\n\n";
    if (data_)
        text += "- Data path: [data_path.md](measurements/data_path.md), " + data_->date + ", " +
                data_->machine + ".\n      " + data_->command + "\n";
    else
        text += "- Data path: not measured.\n";
    if (!control_.empty())
        text +=
            "- Control: [scale.md](measurements/scale.md), for each size\n      build/scale run --gateways N "
            "--out "
            "docs/measurements/scale.json\n";
    return text;
}

std::string Page::over_budget() const {
    std::string text = "\n## What does not fit\n\n";
    if (over_.empty()) text += "No measured row is over its budget.\n";
    for (const std::string& what : over_) text += "- " + what + "\n";
    text += "\n## What nothing carries\n\n";
    for (const std::string& what : without_) text += "- " + what + "\n";
    return text;
}

std::string Page::data_path_section() {
    const double kb = t_.mean_object_kb();
    const double parts = std::ceil(kb / t_.premises.largest_answer_kb);
    return "\n## Gateway: data\n\nA mean gateway has " + shown(t_.lookups_per_gateway_s()) + " lookups and " +
           shown(t_.gbit_per_gateway_s()) + " Gbit a second; the mean object is " + shown(kb) +
           " KB. A loaded one has " + shown(loaded()) + " times that (premise). An answer has at most " +
           shown(t_.premises.largest_answer_kb) + " KB, so the mean object is " + shown(parts) +
           " lookups of " + shown(kb / parts) +
           " KB.\n\nState kept: connections, lookups under way, the list, purges in force, two generations "
           "of objects; "
           "nothing on disk but the list of a registry where that part is on.\n\n" +
           data_rows(kb / parts, parts) + plain_words(kb / parts, parts);
}

std::string Page::data_rows(double answer_kb, double parts) {
    const double rate = t_.lookups_per_gateway_s();
    std::string text = head({"quantity", "mean gateway", "loaded gateway", "bound", "ratio, mean",
                             "ratio, loaded", "slope and sizes behind it", "mechanism"});
    // Adds a row that shows one quantity at the mean gateway and at the loaded gateway.
    const auto row = [&](const std::string& title, const std::string& series, double size, double loaded_size,
                         double scale, double loaded_scale, const std::string& unit, double bound,
                         const std::string& bound_text, const std::string& mechanism) {
        const Estimate mean = estimate(data_, series, size), most = estimate(data_, series, loaded_size);
        const auto scaled = [](const Estimate& e, double by) {
            return e.value ? std::optional<double>(*e.value * by) : std::nullopt;
        };
        if (bound > 0) {
            need("Gateway, data, mean: " + title, scaled(mean, scale), bound);
            need("Gateway, data, loaded: " + title, scaled(most, loaded_scale), bound);
        }
        text += cells({title, mean.shown_value(scale, unit), most.shown_value(loaded_scale, unit), bound_text,
                       bound > 0 ? ratio_shown(scaled(mean, scale), bound) : "-",
                       bound > 0 ? ratio_shown(scaled(most, loaded_scale), bound) : "-",
                       '`' + series + "`: " + basis(data_, series), mechanism});
    };
    const double cores = t_.premises.cores_of_a_gateway, deadline = t_.premises.longest_deadline_s;
    const double generations = 4 * deadline * rate;  // two generations of two deadlines each
    const double purges = 4 * 3 * t_.load.purges_per_s;
    row("processor time for lookups", "cpu_us_per_lookup.answer_kb", answer_kb, answer_kb, rate * parts / 1e6,
        rate * parts * loaded() / 1e6, "cores", cores, shown(cores) + " core (one thread)",
        "one thread, `src/net/event_loop.cpp`; more threads: none");
    row("the same, asked at that pace", "core_share.pace", rate * parts, rate * parts * loaded(), 1, 1,
        "cores", cores, shown(cores) + " core (one thread)",
        "one thread, `src/net/event_loop.cpp`; more threads: none");
    row("memory with lookups under way for a whole deadline (" + shown(deadline) + " s)", "memory_mb.held",
        rate * parts * deadline, rate * parts * deadline * loaded(), 1, 1, "MB", 0, "-",
        "`maxOpen` of the configuration and the front's bounds, `src/net/fastcgi_server.cpp`");
    row("memory for objects asked for of late", "memory_mb.recent_objects", generations,
        generations * loaded(), 1, 1, "MB", 0, "four deadlines of lookups",
        "two generations, whatever the number of objects: `src/routing/router.cpp`");
    row("processor time a lookup with all " + shown(t_.fleet.caches) + " caches in one place (1 KB answers)",
        "cpu_us_per_lookup.caches", t_.fleet.caches, t_.fleet.caches, 1, 1, "us", 0, "-",
        "order by hash over all listed in a place, `src/routing/router.cpp`");
    row("processor time for purges, " + shown(purges) + " in force", "cpu_us_per_purge.purges", purges,
        purges, t_.load.purges_per_s / 1e4, t_.load.purges_per_s / 1e4, "% of a core",
        t_.budget.gateway_core_percent, shown(t_.budget.gateway_core_percent) + "% of a core",
        "forgotten after twice the time within which they are done, `src/routing/router.cpp`");
    lacks("Gateway, data: more than one thread in a gateway");
    lacks(
        "Gateway, data: the objects of a generation are forgotten in one decision, which takes the longer "
        "the more "
        "lookups a second there are (`src/routing/router.cpp`)");
    text += cells({"longest single decision, 3,000 lookups a second", not_measured,
                   estimate(data_, "longest_us.objects", 1e7).shown_value(1e-3, "ms"), "-", "-", "-",
                   "`longest_us.objects`: " + basis(data_, "longest_us.objects"),
                   "none: a generation is freed at once, `src/routing/router.cpp`"});
    return text;
}

std::string Page::plain_words(double answer_kb, double parts) const {
    const Estimate cost = estimate(data_, "cpu_us_per_lookup.answer_kb", answer_kb);
    if (!cost.value) return {};
    const double lookups = 1e6 / *cost.value / parts;
    const double gbit = lookups * t_.mean_object_kb() * 8 / 1e6;
    const double rate = t_.lookups_per_gateway_s();
    const double threads = std::ceil(rate * loaded() / lookups);
    std::string text = "\nIn plain words: by its slope one thread at a full core carries " + shown(lookups) +
                       " mean objects and " + shown(gbit) + " Gbit a second, " + shown(lookups / rate) +
                       " times the mean gateway. ";
    if (const Figure* const satisfied = data_->find_figure("loaded.lookups_per_s")) {
        const double asked = rate * parts * loaded();
        text += "Asked for " + shown(asked) + " lookups a second (a loaded gateway) it answered " +
                shown(satisfied->value) + " at " + shown(data_->find_figure("loaded.core_share")->value) +
                " of a core. ";
    }
    if (threads > 1)
        text += "**One thread does not carry a gateway with " + shown(loaded()) +
                " times the mean**: " + shown(threads) +
                " gateways (processes) in its place do, or as many threads, which there are not. With the "
                "load spread "
                "evenly, " +
                shown(std::ceil(t_.load.tbit_per_s * 1e3 / gbit)) + " such threads at full cores carry all.";
    else
        text += "One thread also carries a gateway with " + shown(loaded()) + " times the mean.";
    return text +
           " Bytes decide, not lookups. An answer above the protocol's bound can't be passed on; by the "
           "slope larger pieces would save little processor time.\n";
}

std::string Page::control_section(const ControlVariant& v) {
    const std::string in_force = in_force_table(v);
    const std::string gateway = gateway_control(v);
    std::string text = "\n## Control, [fleet] with " + v.name + "\n\nAt " + shown(t_.fleet.gateways) +
                       " gateways.\n" + gateway + in_force + machines_table(v);
    if (!v.incomplete.empty()) {
        text += "\nNot reached within the time that was waited for:\n\n";
        for (const std::string& what : v.incomplete) text += "- " + what + "\n";
    }
    return text;
}

std::string mechanism_of(const ControlVariant& v, const std::string& event) {
    const bool by_site = v.name.find("site") != std::string::npos;
    if (event == "purges") return "long poll of the board, `src/net/notice_client.cpp`";
    if (event == "list_change") return "a watch of the list, `src/registry/watch.cpp`";
    if (event.rfind("bad_cache", 0) == 0)
        return by_site ? "records by site, a digest a site, `src/fleet/digest.cpp`"
                       : "none: each member's record goes to all members (`src/fleet/records.cpp`)";
    if (event == "restart_all" || event == "zone_back" || event == "region_back")
        return by_site ? "records of the own site and digests are read, `src/fleet/digest.cpp`"
                       : "none: each reads all members' records (`src/registry/watch.cpp`)";
    return "one transaction a member and round, `src/fleet/membership.cpp`";
}

std::string Page::gateway_control(const ControlVariant& v) {
    const double n = t_.fleet.gateways;
    std::string text = "\n### Gateway: control\n\n" +
                       head({"event", "messages/s", "KB/s, mean", "ratio", "KB, worst second", "ratio",
                             "core, %", "ratio", "memory, MB", "ratio", "KB/s by gateways", "mechanism"});
    for (const std::string& event : v.events) {
        const auto of = [&](const char* quantity) {
            return estimate(&v.results, std::string("gateway.") + quantity + '.' + event, n);
        };
        const Estimate kb = of("kb_per_s"), worst = of("worst_kb_per_s"), core = of("core_percent"),
                       memory = of("memory_mb");
        const std::string where = "Gateway, control (" + v.name + "), " + event + ", ";
        if (mechanism_of(v, event).rfind("none", 0) == 0) lacks(where + mechanism_of(v, event));
        need(where + "KB a second at the mean", kb.value, t_.budget.gateway_kb_per_s);
        need(where + "KB in the worst second", worst.value, t_.budget.gateway_kb_per_s);
        need(where + "processor time", core.value, t_.budget.gateway_core_percent);
        need(where + "memory", memory.value, t_.budget.gateway_memory_mb);
        text += cells({event, of("messages_per_s").shown_value(1, " "), kb.shown_value(1, " "),
                       ratio_shown(kb.value, t_.budget.gateway_kb_per_s), worst.shown_value(1, " "),
                       ratio_shown(worst.value, t_.budget.gateway_kb_per_s), core.shown_value(1, " "),
                       ratio_shown(core.value, t_.budget.gateway_core_percent), memory.shown_value(1, " "),
                       ratio_shown(memory.value, t_.budget.gateway_memory_mb),
                       basis(&v.results, "gateway.kb_per_s." + event), mechanism_of(v, event)});
    }
    return text + "\nMemory is that of control alone, over an empty process.\n";
}

std::string Page::in_force_table(const ControlVariant& v) {
    const double n = t_.fleet.gateways;
    std::string text =
        "\n### How long until it was in force\n\n" +
        head({"event", "what", "99th gateway, s", "last gateway, s", "bound, s", "ratio", "sizes"});
    for (const auto& [event, what] : v.in_force) {
        std::string name = event;
        name += '.';
        name += what;
        const Estimate last = estimate(&v.results, "gateway.last_s." + name, n);
        const double bound = event == "purges" ? t_.load.purge_everywhere_s : 0;
        if (bound > 0) need("Purge in force at the last gateway (" + v.name + ")", last.value, bound);
        text += cells({event, what, estimate(&v.results, "gateway.p99_s." + name, n).shown_value(1, " "),
                       last.shown_value(1, " "), bound > 0 ? shown(bound) : "-",
                       bound > 0 ? ratio_shown(last.value, bound) : "-",
                       basis(&v.results, "gateway.last_s." + name)});
    }
    lacks("Control (" + v.name + "): a change of configuration at all gateways: it is a file and SIGHUP");
    text += cells({"configuration", "configuration", not_measured, not_measured,
                   shown(t_.load.configuration_everywhere_s), not_measured,
                   "a file and SIGHUP: nothing brings it to all gateways"});
    const bool by_site = v.name.find("site") != std::string::npos;
    if (!by_site)
        lacks("Control (" + v.name + "): the word that a purge or a configuration is in force everywhere");
    return text + "\nWho knows that it is in force *everywhere*: " +
           (by_site ? "the digests of all sites, `src/fleet/applied_revisions.cpp`"
                    : "nobody (mechanism: none)") +
           ".\n";
}

std::string Page::machines_table(const ControlVariant& v) {
    const double n = t_.fleet.gateways;
    std::string text =
        "\n### Control machines and board\n\nOf " + shown(t_.budget.control_machines) +
        " control machines the busiest one. Processor time is that of the stand-ins (all members of the "
        "registry "
        "in one process, the board in another) and says nothing of real ones.\n\n" +
        head({"event", "messages/s, busiest", "KB/s, busiest", "KB, its worst second",
              "registry's messages/s, all", "registry's stand-in, % of a core", "board's messages/s",
              "board's KB/s", "board's stand-in, % of a core", "busiest KB/s by gateways"});
    for (const std::string& event : v.events) {
        const auto of = [&](const char* series) {
            return estimate(&v.results, std::string(series) + '.' + event, n).shown_value(1, " ");
        };
        text += cells({event, of("machine.messages_per_s"), of("machine.kb_per_s"),
                       of("machine.worst_kb_per_s"), of("registry.messages_per_s"),
                       of("registry.core_percent"), of("board.messages_per_s"), of("board.kb_per_s"),
                       of("board.core_percent"), basis(&v.results, "machine.kb_per_s." + event)});
    }
    return text;
}

std::string Page::roles_section() const {
    const double gateways_a_site = t_.fleet.gateways / t_.fleet.sites,
                 gateways_a_region = t_.fleet.gateways / t_.fleet.regions;
    std::string text =
        "\n## Site, region, owner, cache\n\n" +
        head({"role", "state kept", "messages/s", "KB/s", "at the target", "basis", "mechanism"});
    for (const ControlVariant& v : control_) {
        const auto at_rest = [&](const char* quantity) {
            return estimate(&v.results, std::string("gateway.") + quantity + ".rest", t_.fleet.gateways);
        };
        const auto together = [&](const std::string& role, double count) {
            return cells({role + " (" + v.name + "), control at rest",
                          "that of " + shown(count) + " gateways",
                          at_rest("messages_per_s").shown_value(count, " "),
                          at_rest("kb_per_s").shown_value(count, " "), shown(count) + " gateways",
                          "a gateway's, times so many", mechanism_of(v, "rest")});
        };
        text += together("site", gateways_a_site) + together("region", gateways_a_region);
    }
    text += cells({"site, data", "that of " + shown(gateways_a_site) + " gateways",
                   shown(gateways_a_site * t_.lookups_per_gateway_s()),
                   shown(gateways_a_site * t_.gbit_per_gateway_s() * 1e6 / 8),
                   shown(gateways_a_site * t_.gbit_per_gateway_s()) + " Gbit/s", "arithmetic on the target",
                   "each gateway alone, `src/routing/router.cpp`"});
    text += cells({"region, data", "that of " + shown(gateways_a_region) + " gateways",
                   shown(gateways_a_region * t_.lookups_per_gateway_s()),
                   shown(gateways_a_region * t_.gbit_per_gateway_s() * 1e6 / 8),
                   shown(gateways_a_region * t_.gbit_per_gateway_s()) + " Gbit/s", "arithmetic on the target",
                   "each gateway alone, `src/routing/router.cpp`"});
    text += cells({"owner of a fleet's duty", "one record a duty", not_measured, not_measured, not_measured,
                   "costs of three gateways: [fleet_owner.md](measurements/fleet_owner.md)",
                   "one owner at a time, `src/fleet/duties.cpp`"});
    text += cells({"cache as seen from control", "one line of the list", not_measured, not_measured,
                   "one look at a time while marked, in place of one by each of " + shown(t_.fleet.gateways) +
                       " gateways",
                   "arithmetic on the mechanism", "a duty a marked cache, `src/fleet/duties.cpp`"});
    return text;
}

// Formats the measurements of an event for every variant. If `times` is true, shows how long each change took
// to reach the last gateway; otherwise shows traffic rates.
std::string Page::measured_in_event(const std::string& event, const std::vector<std::string>& whats,
                                    bool times) const {
    std::string all;
    for (const ControlVariant& v : control_) {
        const auto value = [&](const std::string& series) {
            return estimate(&v.results, series, t_.fleet.gateways).shown_value();
        };
        std::string one;
        if (times)
            for (const std::string& what : whats) {
                std::string series = "gateway.last_s." + event;
                series.append(1, '.').append(what);
                if (!one.empty()) one += ", ";
                one.append(what).append(" at the last gateway after ").append(value(series));
            }
        else
            one = value("gateway.worst_kb_per_s." + event) + " a gateway, " +
                  value("machine.worst_kb_per_s." + event) + " at the busiest control machine";
        if (!all.empty()) all += "; ";
        all.append(v.name).append(": ").append(one);
    }
    return all.empty() ? std::string(not_measured) : all;
}

std::string Page::failures_section() const {
    const double n = t_.fleet.gateways;
    const auto share = [](double part, double of) { return shown(part / of * 100) + "%"; };
    const auto lookups_moved = [&](double gateways) {
        return share(gateways, n - gateways) + " more lookups at each of the others, were they spread evenly";
    };
    std::string text = "\n## Failures\n\n" + head({"failure", "load", "time to recover",
                                                   "stale meanwhile, and by how much", "basis"});
    const auto measured = [this](const std::string& event, const std::vector<std::string>& whats, bool time) {
        return measured_in_event(event, whats, time);
    };
    const double day_s = 86'400;
    text += cells(
        {shown(t_.failures.machines_lost_per_day) + " machines a day",
         "one in " + shown(day_s / t_.failures.machines_lost_per_day / 3'600) + " h; " + lookups_moved(1),
         "a term and a round: `longest_without_owner`, [fleet.md](fleet.md)",
         "its duties; others' marks stay",
         "take-overs of one: [fleet_owner.md](measurements/fleet_owner.md)"});
    text +=
        cells({shown(t_.failures.restarts_per_day) + " restarts a day",
               "one in " + shown(day_s / t_.failures.restarts_per_day) +
                   " s; all at once: " + measured("restart_all", {}, false),
               measured("restart_all", {"whole"}, true), "nothing: a list that was kept serves until then",
               "`scale`, restart_all; one at a time is not measured"});
    text += cells({"a rack (" + shown(t_.failures.rack_gateways) + " gateways)",
                   lookups_moved(t_.failures.rack_gateways), not_measured, "as a zone",
                   "between one machine and a zone; not measured by itself"});
    text +=
        cells({"a zone (" + shown(t_.failures.zone_gateways) + " gateways, " +
                   shown(t_.failures.zone_caches) + " caches)",
               lookups_moved(t_.failures.zone_gateways) + "; " + measured("zone_lost", {}, false),
               measured("zone_lost", {"evicted"}, true) + "; back: " + measured("zone_back", {"whole"}, true),
               "who lives, until the eviction", "`scale`, zone_lost and zone_back"});
    const double behind = t_.load.purges_per_s * 3'600 * t_.failures.region_cut_h;
    text += cells({shown(t_.failures.region_cut_h) + " h between regions",
                   measured("region_cut", {}, false) + "; the return: " + measured("region_back", {}, false),
                   measured("region_back", {"whole", "whole, of the region"}, true),
                   "the region that is cut off from the board: " + shown(behind) + " purges, up to " +
                       shown(t_.failures.region_cut_h) +
                       " h old, and the list; copies past their fresh time are still refused there",
                   "`scale`, region_cut and region_back, the hour's purges within 20 s"});
    return text;
}

std::string Page::premises_section() const {
    return "\n## Premises\n\nNot measured here, and not measurable on one machine:\n\n" +
           head({"premise", "stands for", "source"}) +
           cells({"Loopback in place of networks",
                  "no latency, loss or jitter; the sender's processor time covers part "
                  "of the receiver's",
                  "how it was measured"}) +
           cells({"Links between regions", "latency adds to each time above, once a poll or a watch's event",
                  "estimate"}) +
           cells({"Other hardware",
                  "processor times scale with the core; slopes in bytes and messages do not", "estimate"}) +
           cells({"A real registry's disk and agreement",
                  "the registry is a stand-in in memory: its processor time "
                  "and its answers' times say nothing of a real one",
                  "how it was measured"}) +
           cells({"A loaded gateway has " + shown(loaded()) + " times the mean", "\"several times\"",
                  "bench/targets.toml, an assumption"}) +
           cells({"Deadlines of " + shown(t_.premises.longest_deadline_s) + " s",
                  "bound of lookups under way and of objects remembered",
                  "bench/targets.toml, an assumption"}) +
           cells({"An answer has " + shown(t_.premises.largest_answer_kb) + " KB at most",
                  "the protocol's bound", "`most_bytes` in `src/codec/resp.cpp`"});
}

}  // namespace

std::string Estimate::shown_value(double scale, const std::string& other_unit) const {
    if (!value) return not_measured;
    std::string text = shown(*value * scale);
    const std::string& of = other_unit.empty() ? unit : other_unit;
    if (of != " ") text += ' ' + of;
    return extrapolated ? text + mark_of_extrapolation : text;
}

Estimate estimate(const Results* results, const std::string& series, double size) {
    const Series* const s = results ? results->find_series(series) : nullptr;
    Estimate e;
    if (!s || s->points.empty()) return e;
    e.value = value_at(s->points, size);
    e.unit = s->unit;
    e.extrapolated = bench::extrapolated(size, fit(s->points).largest);
    e.basis = line_shown(*s) + "; " + sizes_shown(*s);
    return e;
}

std::string capacity_page(const Targets& targets, const Results* data_path,
                          const std::vector<ControlVariant>& control) {
    return Page(targets, data_path, control).write();
}

}  // namespace irismux::bench
