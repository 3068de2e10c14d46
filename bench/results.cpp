#include "bench/results.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <stdexcept>

namespace irismux::bench {

using nlohmann::json;

namespace {

json fit_json(const Fit& f) {
    return {{"intercept", f.intercept},
            {"slope", f.slope},
            {"slope_error", f.slope_error},
            {"quadratic", f.quadratic},
            {"quadratic_error", f.quadratic_error},
            {"quadratic_t", f.quadratic_t},
            {"quadratic_share", f.quadratic_share},
            {"degrees_of_freedom", f.freedom},
            {"bends", f.bends},
            {"residuals", f.residuals}};
}

json series_json(const Series& s) {
    json points = json::array();
    for (const Point& p : s.points) points.push_back({{"size", p.size}, {"value", p.value}});
    return {
        {"name", s.name}, {"title", s.title}, {"size_name", s.size_name}, {"size_unit", s.size_unit},
        {"unit", s.unit}, {"note", s.note},   {"points", points},         {"fit", fit_json(fit(s.points))}};
}

Series read_series(const json& from) {
    Series s;
    s.name = from.at("name").get<std::string>();
    s.title = from.at("title").get<std::string>();
    s.size_name = from.at("size_name").get<std::string>();
    s.size_unit = from.at("size_unit").get<std::string>();
    s.unit = from.at("unit").get<std::string>();
    s.note = from.value("note", "");
    for (const json& p : from.at("points"))
        s.points.push_back({p.at("size").get<double>(), p.at("value").get<double>()});
    return s;
}

std::string grouped(std::string digits) {
    const std::size_t from = digits.front() == '-' ? 1 : 0;
    for (std::size_t at = digits.size(); at > from + 3;) {
        at -= 3;
        digits.insert(at, ",");
    }
    return digits;
}

template <class Entry>
const Entry* find(const std::vector<Entry>& all, std::string_view name) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const Entry& e) { return e.name == name; });
    return it == all.end() ? nullptr : &*it;
}

std::string series_markdown(const Series& s) {
    const Fit f = fit(s.points);
    std::string text = "## " + s.title + "\n\n";
    if (!s.note.empty()) text += s.note + "\n\n";
    text += "| " + s.size_name + ", " + s.size_unit + " | " + s.unit + " | residual of the line |\n";
    text += "| --- | --- | --- |\n";
    for (std::size_t n = 0; n < s.points.size(); ++n)
        text += "| " + shown(s.points[n].size) + " | " + shown(s.points[n].value) + " | " +
                shown(f.residuals[n]) + " |\n";
    text += "\nLine: " + shown(f.intercept) + " + " + shown(f.slope) + " (standard error " +
            shown(f.slope_error) + ") for each of the " + s.size_unit + ". Quadratic term " +
            shown(f.quadratic) + ", t = " + shown(f.quadratic_t) + " with " + std::to_string(f.freedom) +
            " degrees of freedom: " +
            (f.freedom == 0 ? "not tested"
             : f.bends      ? "it bends"
                            : "no bend at the 1% level") +
            ".\n\n";
    return text;
}

}  // namespace

const Series* Results::find_series(std::string_view name) const { return find(series, name); }
const Figure* Results::find_figure(std::string_view name) const { return find(figures, name); }

std::string this_machine() {
    constexpr double gib = 1024.0 * 1024 * 1024;
    const double memory =
        static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / gib;
    std::string processor = "processor not told";
    std::ifstream info("/proc/cpuinfo");
    for (std::string line; std::getline(info, line);)
        if (line.rfind("model name", 0) == 0) processor = line.substr(line.find(':') + 2);
    return std::to_string(::sysconf(_SC_NPROCESSORS_ONLN)) + " cores (" + processor + "), " +
           std::to_string(std::lround(memory)) + " GiB";
}

std::string today() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    char text[16];
    std::strftime(text, sizeof text, "%Y-%m-%d", &parts);
    return text;
}

json to_json(const Results& r) {
    json series = json::array(), figures = json::array();
    for (const Series& s : r.series) series.push_back(series_json(s));
    for (const Figure& f : r.figures)
        figures.push_back(
            {{"name", f.name}, {"title", f.title}, {"value", f.value}, {"unit", f.unit}, {"note", f.note}});
    return {{"title", r.title}, {"command", r.command}, {"machine", r.machine}, {"date", r.date},
            {"seed", r.seed},   {"series", series},     {"figures", figures}};
}

Results read_results(const std::filesystem::path& file) {
    std::ifstream in(file);
    if (!in) throw std::runtime_error("cannot open the result file " + file.string());
    try {
        const json all = json::parse(in);
        Results r;
        r.title = all.at("title").get<std::string>();
        r.command = all.at("command").get<std::string>();
        r.machine = all.at("machine").get<std::string>();
        r.date = all.at("date").get<std::string>();
        r.seed = all.value("seed", std::uint64_t{0});
        for (const json& s : all.at("series")) r.series.push_back(read_series(s));
        for (const json& f : all.at("figures"))
            r.figures.push_back({f.at("name").get<std::string>(), f.at("title").get<std::string>(),
                                 f.at("value").get<double>(), f.at("unit").get<std::string>(),
                                 f.value("note", "")});
        return r;
    } catch (const json::exception& e) {
        throw std::runtime_error(file.string() + " is not a valid result file: " + e.what());
    }
}

std::string to_markdown(const Results& r) {
    std::string text = "# " + r.title + "\n\nWritten by the program that measured it; do not edit.\n\n    " +
                       r.command + "\n\n" + r.date + ", " + r.machine + ", seed " + std::to_string(r.seed) +
                       ".\n\n";
    if (!r.figures.empty()) {
        text += "| figure | value | unit | how |\n| --- | --- | --- | --- |\n";
        for (const Figure& f : r.figures)
            text += "| " + f.title + " | " + shown(f.value) + " | " + f.unit + " | " + f.note + " |\n";
        text += '\n';
    }
    for (const Series& s : r.series) text += series_markdown(s);
    while (text.size() > 1 && text[text.size() - 2] == '\n') text.pop_back();
    return text;
}

void write_results(const Results& r, const std::filesystem::path& without_suffix) {
    std::ofstream(without_suffix.string() + ".json") << to_json(r).dump(1) << '\n';
    std::ofstream(without_suffix.string() + ".md") << to_markdown(r);
}

std::string shown(double value) {
    constexpr double few = 0.001, many = 100, most_whole = 1e15;
    char text[32];
    const double size = std::abs(value);
    const bool whole = size < most_whole && std::round(value) == value;
    if (!whole && size < few) {
        std::snprintf(text, sizeof text, "%.2e", value);
        return text;
    }
    if (whole || size >= many) {
        std::snprintf(text, sizeof text, "%.0f", value);
        return grouped(text);
    }
    const int places = size >= 10 ? 1 : size >= 1 ? 2 : 3;
    std::snprintf(text, sizeof text, "%.*f", places, value);
    return text;
}

}  // namespace irismux::bench
