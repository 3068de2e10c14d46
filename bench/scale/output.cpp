#include "bench/scale/output.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "bench/fit.hpp"

namespace irismux::scale {
namespace {

using nlohmann::json;

constexpr double budget_bytes = 15'000;

template <class... Values>
std::string text(const char* form, Values... values) {
    std::array<char, 1024> out;
    std::snprintf(out.data(), out.size(), form, values...);
    return out.data();
}

// All runs that used the same [fleet] settings. The variant with the program's default settings comes first.
struct Variant {
    std::string name;
    std::vector<json> runs;  // ordered by number of gateways
};

std::vector<Variant> variants_of(const json& figures) {
    std::map<std::string, Variant> by_name;
    for (const json& run : figures.at("runs")) {
        std::string name = "term " + run["term"].get<std::string>();
        for (const json& line : run["fleet_lines"]) name += ", `" + line.get<std::string>() + '`';
        by_name[name].name = name;
        by_name[name].runs.push_back(run);
    }
    std::vector<Variant> all;
    for (auto& [name, v] : by_name) {
        std::sort(v.runs.begin(), v.runs.end(),
                  [](const json& a, const json& b) { return a["gateways"] < b["gateways"]; });
        all.push_back(std::move(v));
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const Variant& a, const Variant& b) { return a.name.size() < b.name.size(); });
    return all;
}

const std::vector<std::string> order = {
    "rest",      "purges",    "list_change", "bad_cache",   "bad_cache_quarter", "marks_change",
    "zone_lost", "zone_back", "region_cut",  "region_back", "restart_all"};

const json* event_of(const json& run, const std::string& name) {
    for (const json& e : run["events"])
        if (e["event"] == name) return &e;
    return nullptr;
}

double stub_count(const json& run) {
    return run["gateways"].get<double>() - run["real_gateways"].get<double>();
}

// A fitted quantity. The fit uses the total over all stub gateways, so that traffic that every gateway sends
// to every other shows as a quadratic term.
struct Quantity {
    std::string name, unit;
    double scale;
    std::function<double(const json& run, const json& event)> of;
};

const std::vector<Quantity>& quantities() {
    static const std::vector<Quantity> all = {
        {"bytes, mean", "KB/s", 1e-3,
         [](const json&, const json& e) { return e["hollow"]["control_bytes"].get<double>(); }},
        {"bytes, worst second", "KB/s", 1e-3,
         [](const json& r, const json& e) {
             return e["hollow"]["worst_second_bytes"].get<double>() * stub_count(r);
         }},
        {"messages, mean", "1/s", 1,
         [](const json&, const json& e) { return e["hollow"]["control_messages"].get<double>(); }},
        {"processor of the gateways", "% of a core", 100,
         [](const json& r, const json& e) { return e["processor_a_gateway"].get<double>() * stub_count(r); }},
        {"memory of the gateways", "MB", 1e-6,
         [](const json& r, const json& e) { return e["memory_a_gateway"].get<double>() * stub_count(r); }},
    };
    return all;
}

std::string reach_of(const json& event) {
    std::string cells;
    for (const auto& [what, x] : event["in_force"].items()) {
        if (!cells.empty()) cells += "; ";
        cells += text("%s: %.2f / %.2f / %.2f s", what.c_str(), x["median_s"].get<double>(),
                      x["p99_s"].get<double>(), x["last_s"].get<double>());
        if (x["reached"] != x["of"])
            cells += text(" (%ld of %ld)", x["reached"].get<long>(), x["of"].get<long>());
    }
    return cells.empty() ? "-" : cells;
}

std::string table_of(const Variant& v, const std::string& name) {
    std::string rows;
    for (const json& run : v.runs) {
        const json* const e = event_of(run, name);
        if (!e) continue;
        const json& h = (*e)["hollow"];
        const auto f = [&](const char* key) { return h[key].get<double>(); };
        rows += text("| %ld | %.1f | %.1f | %.2f | %.2f | %.2f | %.1f | %.1f | %.0f | %.3f | %.2f | ",
                     run["gateways"].get<long>(), f("messages"), f("worst_second_messages"), f("bytes") / 1e3,
                     f("worst_second_bytes") / 1e3, f("worst_gateway_second_bytes") / 1e3,
                     f("control_bytes") / 1e3, f("busiest_machine_worst_bytes") / 1e3, f("control_messages"),
                     (*e)["processor_a_gateway"].get<double>() * 100,
                     (*e)["memory_a_gateway"].get<double>() / 1e6);
        rows += reach_of(*e) + " |\n";
    }
    if (rows.empty()) return {};
    std::string note;
    for (const json& run : v.runs)
        if (const json* const e = event_of(run, name); e && e->contains("note")) note = (*e)["note"];
    return "\n### " + name + (note.empty() ? "" : " (at the largest size: " + note + ")") +
           "\n\n| gateways | messages/s a gateway | worst second | KB/s a gateway | worst second | worst "
           "gateway's second "
           "| KB/s at all control machines | busiest one's worst second | messages/s at all control machines "
           "| core a "
           "gateway, % | memory a gateway, MB | in force: median / 99th / last |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" +
           rows;
}

std::string channels_of(const Variant& v, const std::string& name) {
    std::string rows;
    for (const json& run : v.runs) {
        const json* const e = event_of(run, name);
        if (!e) continue;
        rows += text("| %s | %ld |", name.c_str(), run["gateways"].get<long>());
        for (const char* c : {"board", "list", "fleet", "transactions"})
            rows += text(" %.0f |", (*e)["hollow"]["bytes_by_channel"].value(c, 0.0));
        rows += '\n';
    }
    return rows;
}

// Returns the quadratic term at the largest size as a share of the fitted line's value at this size.
double quadratic_share_at_largest(const bench::Fit& f) {
    const double value = f.line(f.largest);
    return value != 0 ? f.quadratic * f.largest * f.largest / value : 0;
}

std::string fits_of(const Variant& v) {
    constexpr double min_share = 0.1;
    // A test with fewer degrees of freedom would miss a quadratic term of relevant size.
    constexpr std::size_t min_degrees_of_freedom = 2;
    std::string rows;
    for (const std::string& name : order)
        for (const Quantity& q : quantities()) {
            std::vector<bench::Point> points;
            for (const json& run : v.runs)
                if (const json* const e = event_of(run, name))
                    points.push_back({stub_count(run), q.of(run, *e) * q.scale});
            if (points.size() < 3) continue;
            const bench::Fit f = bench::fit(points);
            const double part = quadratic_share_at_largest(f);
            const bool quadratic =
                std::abs(f.quadratic_t) > bench::t_bound(f.freedom) && std::abs(part) >= min_share;
            std::string residuals;
            for (const double r : f.residuals) residuals += text("%s%.3g", residuals.empty() ? "" : ", ", r);
            rows += text("| %s | %s, %s | %.3g + %.4g n | %.2g ± %.2g | ", name.c_str(), q.name.c_str(),
                         q.unit.c_str(), f.intercept, f.slope, f.quadratic, f.quadratic_error);
            rows += f.freedom >= min_degrees_of_freedom
                        ? text("%.1f (%.1f) | %.0f%% | %s | ", f.quadratic_t, bench::t_bound(f.freedom),
                               part * 100, quadratic ? "**quadratic**" : "linear")
                        : std::string("too few sizes | - | - | ");
            rows += residuals + " |\n";
        }
    if (rows.empty()) return {};
    return "\n### Slopes\n\nLeast squares over all hollow gateways together (n of them): the line, and the "
           "term c n² of a "
           "parabola through the same points. It counts as there where its t value is beyond the two-sided "
           "1% bound (in "
           "brackets) and it makes a tenth or more of the line's value at the largest size. Residuals are "
           "those of the "
           "line, in the order of the sizes.\n\n"
           "| event | quantity | a + b n | c | t of c | c n² at the largest size | verdict | residuals |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- |\n" +
           rows;
}

std::string real_and_stub_comparison(const Variant& v) {
    std::string rows;
    for (const json& run : v.runs)
        for (const std::string& name : order) {
            const json* const e = event_of(run, name);
            if (!e || !e->contains("real")) continue;
            const auto both = [&](const char* key) {
                const double real = (*e)["real"][key].get<double>(), h = (*e)["beside"][key].get<double>();
                const double off = h > 0 ? (real / h - 1) * 100 : 0;
                return text(" %.1f | %.1f | %s%+.1f%%%s |", real, h, std::abs(off) > 5 ? "**" : "", off,
                            std::abs(off) > 5 ? "**" : "");
            };
            rows += text("| %ld | %ld | %s |", run["gateways"].get<long>(), run["real_gateways"].get<long>(),
                         name.c_str());
            rows += both("bytes_out") + both("bytes_back") + both("messages");
            rows += text(" %.2f | %.3f |\n", (*e)["processor_a_real_gateway"].get<double>() * 100,
                         (*e)["processor_a_gateway"].get<double>() * 100);
        }
    if (rows.empty()) return {};
    return "\n### Real gateways beside hollow ones\n\nA second and gateway, at the mean, under the same "
           "events; more than 5% "
           "apart in bold. The real ones serve lookups meanwhile, and their processor time is that of "
           "both.\n\n"
           "| gateways | of them real | event | bytes out, real | hollow | apart | bytes back, real | hollow "
           "| apart | "
           "messages, real | hollow | apart | core, real, % | hollow, % |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" +
           rows;
}

std::string runs_of(const Variant& v) {
    std::string rows;
    for (const json& run : v.runs) {
        std::size_t different = 0;
        for (const auto& [what, n] : run["end_state"]["different"].items())
            different += n.get<std::size_t>() > 1;
        rows += text("| %ld | %ld | %ld | %ld | %s (%ld of %ld, last after %.1f s) | %s |\n",
                     run["gateways"].get<long>(), run["real_gateways"].get<long>(),
                     run["processes"].get<long>(), run["seed"].get<long>(),
                     run["all_came_up"].get<bool>() ? "yes" : "**no**", run["started"]["reached"].get<long>(),
                     run["started"]["of"].get<long>(), run["started"]["last_s"].get<double>(),
                     different == 0 && run["all_whole_at_end"].get<bool>() ? "yes" : "**no**");
    }
    return "\n### Runs\n\n| gateways | of them real | processes of the rig | seed | all came up | all hollow "
           "ones with the "
           "same state at the end |\n| --- | --- | --- | --- | --- | --- |\n" +
           rows;
}

}  // namespace

std::string table(const json& figures) {
    std::string out =
        "# Control traffic by the number of gateways\n\nWritten by `scale report` from the figures in "
        "[scale.json](scale.json), which `scale run` measured; not to be edited. Chart: "
        "[scale.svg](scale.svg).\n\n"
        "Real time, loopback, one machine: hollow gateways (the program's own classes of control, without "
        "the data path) in "
        "one process a site of 15, a relay from each gateway to each control machine, four members of a "
        "registry in one "
        "process (they share one history) and a notice board in another. 240 caches at every size. Bytes and "
        "messages are "
        "those that pass the relays, both ways, payload of TCP alone; a message is a request, an answer or "
        "one line of a "
        "watch. Processor time and memory are the system's, of the processes of the hollow gateways, less an "
        "empty process "
        "for the memory. A second is one of the clock; the worst one is that of all gateways together. "
        "Budget a gateway: "
        "15 KB/s, 1.7% of a core, 256 MB. The registry's members and the board are stand-ins: their "
        "processor time says "
        "nothing of real ones. Events follow each other in the order of the tables; publications that still "
        "wait after "
        "marks_change are sent, and counted, in the event behind it.\n";
    for (const Variant& v : variants_of(figures)) {
        out += "\n## " + v.name + "\n" + runs_of(v);
        for (const std::string& name : order) out += table_of(v, name);
        std::string channels;
        for (const std::string& name : order) channels += channels_of(v, name);
        out +=
            "\n### Bytes a second and gateway, by what they are for\n\n| event | gateways | board | list of "
            "caches | "
            "fleet's records | transactions |\n| --- | --- | --- | --- | --- | --- |\n" +
            channels;
        out += fits_of(v) + real_and_stub_comparison(v);
    }
    return out;
}

// Dimensions of a chart panel, in pixels.
constexpr double panel_width = 560, panel_height = 360;
constexpr double margin_left = 70, margin_top = 50, margin_right = 190, margin_bottom = 60;
constexpr double panel_step = margin_left + panel_width + margin_right;
constexpr double row_step = margin_top + panel_height + margin_bottom;

struct ChartQuantity {
    const char* field;
    const char* title;
};
constexpr std::array<ChartQuantity, 2> chart_quantities = {
    {{"bytes", "KB a second and gateway, mean"},
     {"worst_second_bytes", "KB a second and gateway, worst second"}}};

// A chart panel: one quantity of one variant against the number of gateways.
class Panel {
public:
    Panel(const Variant& variant, const ChartQuantity& quantity, double x0, double y0, double most_gateways)
        : variant_(variant), quantity_(quantity), x0_(x0), y0_(y0), most_gateways_(most_gateways) {
        for (const json& run : variant_.runs)
            for (const json& e : run["events"])
                most_ = std::max(most_, e["hollow"][quantity_.field].get<double>() * 1.05);
    }

    std::string drawn() const { return axes() + budget_line() + lines(); }

private:
    double x(double gateways) const { return x0_ + gateways / most_gateways_ * panel_width; }
    double y(double value) const { return y0_ + panel_height - value / most_ * panel_height; }

    std::string axes() const {
        std::string out = text("<text x=\"%.0f\" y=\"%.0f\" font-weight=\"bold\">%s (%s)</text>\n", x0_,
                               y0_ - 15, quantity_.title, variant_.name.c_str());
        out += text("<path d=\"M%.1f %.1f V%.1f H%.1f\" fill=\"none\" stroke=\"black\"/>\n", x0_, y0_,
                    y0_ + panel_height, x0_ + panel_width);
        for (int n = 0; n <= 4; ++n) {
            const double value = most_ * n / 4, size = most_gateways_ * n / 4;
            out += text("<text x=\"%.0f\" y=\"%.1f\" text-anchor=\"end\">%.1f</text>\n", x0_ - 6,
                        y(value) + 4, value / 1e3);
            out += text("<text x=\"%.1f\" y=\"%.0f\" text-anchor=\"middle\">%.0f</text>\n", x(size),
                        y0_ + panel_height + 18, size);
        }
        out += text("<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">gateways</text>\n",
                    x0_ + panel_width / 2, y0_ + panel_height + 38);
        return out;
    }

    std::string budget_line() const {
        return text(
            "<path d=\"M%.1f %.1f H%.1f\" stroke=\"black\" stroke-dasharray=\"6 4\"/><text x=\"%.1f\" "
            "y=\"%.1f\">budget, 15</text>\n",
            x0_, y(budget_bytes), x0_ + panel_width, x0_ + panel_width + 6, y(budget_bytes) - 6);
    }

    std::string lines() const {
        static constexpr std::array<const char*, 11> colours = {"#000000", "#1f77b4", "#ff7f0e", "#2ca02c",
                                                                "#d62728", "#9467bd", "#8c564b", "#e377c2",
                                                                "#7f7f7f", "#bcbd22", "#17becf"};
        std::string out;
        for (std::size_t n = 0; n < order.size(); ++n) {
            std::string points;
            for (const json& run : variant_.runs)
                if (const json* const e = event_of(run, order[n]))
                    points += text("%.1f,%.1f ", x(run["gateways"].get<double>()),
                                   y((*e)["hollow"][quantity_.field].get<double>()));
            if (points.empty()) continue;
            out += text("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n",
                        points.c_str(), colours[n]);
            out += text("<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", x0_ + panel_width + 70,
                        y0_ + 16 * static_cast<double>(n + 1), colours[n], order[n].c_str());
        }
        return out;
    }

    const Variant& variant_;
    const ChartQuantity& quantity_;
    double x0_, y0_, most_gateways_;
    double most_ = budget_bytes * 1.1;
};

std::string chart(const json& figures) {
    const std::vector<Variant> variants = variants_of(figures);
    double most_gateways = 1;
    for (const Variant& v : variants)
        for (const json& run : v.runs) most_gateways = std::max(most_gateways, run["gateways"].get<double>());
    std::string out = text(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" "
        "font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
        panel_step * 2, row_step * static_cast<double>(variants.size()));
    for (std::size_t row = 0; row < variants.size(); ++row)
        for (std::size_t column = 0; column < chart_quantities.size(); ++column) {
            const double x0 = panel_step * static_cast<double>(column) + margin_left;
            const double y0 = row_step * static_cast<double>(row) + margin_top;
            out += Panel(variants[row], chart_quantities[column], x0, y0, most_gateways).drawn();
        }
    return out + "</svg>\n";
}

}  // namespace irismux::scale
