#include "bench/control_results.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <stdexcept>

namespace irismux::bench {
namespace {

using nlohmann::json;

constexpr double bytes_a_kb = 1e3, bytes_a_mb = 1e6, percent = 100;

std::string variant_name(const json& run) {
    std::string name = "term " + run.at("term").get<std::string>();
    for (const json& line : run.at("fleet_lines")) name += ", `" + line.get<std::string>() + '`';
    return name;
}

/// Adds the figures of one run to the series of a variant.
class SeriesCollector {
public:
    SeriesCollector(ControlVariant& to, const json& run)
        : to_(to), gateways_(run.at("gateways").get<double>()) {
        stub_gateways_ = gateways_ - run.at("real_gateways").get<double>();
    }

    void add_event(const json& e) {
        event_ = e.at("event").get<std::string>();
        if (std::find(to_.events.begin(), to_.events.end(), event_) == to_.events.end())
            to_.events.push_back(event_);
        const json& rate = e.at("hollow");
        add("gateway.messages_per_s", "messages a second", rate.at("messages"), 1);
        add("gateway.kb_per_s", "KB a second", rate.at("bytes"), 1 / bytes_a_kb);
        add("gateway.worst_kb_per_s", "KB in the worst second", rate.at("worst_second_bytes"),
            1 / bytes_a_kb);
        add("gateway.core_percent", "% of a core", e.at("processor_a_gateway"), percent);
        add("gateway.memory_mb", "MB", e.at("memory_a_gateway"), 1 / bytes_a_mb);
        add("machine.messages_per_s", "messages a second", rate.at("busiest_machine_messages"), 1);
        add("machine.kb_per_s", "KB a second", rate.at("busiest_machine_bytes"), 1 / bytes_a_kb);
        add("machine.worst_kb_per_s", "KB in the worst second", rate.at("busiest_machine_worst_bytes"),
            1 / bytes_a_kb);
        add("board.kb_per_s", "KB a second", rate.at("bytes_by_channel").value("board", 0.0),
            stub_gateways_ / bytes_a_kb);
        add("board.messages_per_s", "messages a second", rate.at("messages_by_channel").value("board", 0.0),
            stub_gateways_);
        add("registry.messages_per_s", "messages a second", registry_messages(rate), stub_gateways_);
        add("board.core_percent", "% of a core", e.at("processor_by_role").value("board", 0.0), percent);
        add("registry.core_percent", "% of a core", e.at("processor_by_role").value("registry", 0.0),
            percent);
        for (const auto& [what, reached] : e.at("in_force").items()) add_in_force(what, reached);
    }

private:
    static double registry_messages(const json& rate) {
        double sum = 0;
        for (const auto& [channel, messages] : rate.at("messages_by_channel").items())
            if (channel != "board") sum += messages.get<double>();
        return sum;
    }
    void add_in_force(const std::string& what, const json& reached) {
        const std::pair<std::string, std::string> key(event_, what);
        if (std::find(to_.in_force.begin(), to_.in_force.end(), key) == to_.in_force.end())
            to_.in_force.push_back(key);
        if (reached.at("reached") != reached.at("of"))
            to_.incomplete.push_back(event_ + ", " + what + ": " + reached.at("reached").dump() + " of " +
                                     reached.at("of").dump() + " at " + shown(gateways_) + " gateways");
        add("gateway.last_s", "s", reached.at("last_s"), 1, '.' + what);
        add("gateway.p99_s", "s", reached.at("p99_s"), 1, '.' + what);
    }
    void add(const std::string& quantity, const std::string& unit, const json& value, double scale,
             const std::string& what = {}) {
        add(quantity, unit, value.get<double>(), scale, what);
    }
    void add(const std::string& quantity, const std::string& unit, double value, double scale,
             const std::string& what = {}) {
        const std::string name = quantity + '.' + event_ + what;
        auto& all = to_.results.series;
        auto it = std::find_if(all.begin(), all.end(), [&](const Series& s) { return s.name == name; });
        if (it == all.end())
            it = all.insert(all.end(), Series{name, name, "gateways", "gateways", unit, {}, ""});
        it->points.push_back({gateways_, value * scale});
    }

    ControlVariant& to_;
    double gateways_, stub_gateways_ = 0;
    std::string event_;
};

}  // namespace

std::vector<ControlVariant> read_control_results(const std::filesystem::path& file) {
    std::ifstream in(file);
    if (!in) return {};
    try {
        std::map<std::string, ControlVariant> by_name;
        json runs = json::parse(in).at("runs");
        std::sort(runs.begin(), runs.end(),
                  [](const json& a, const json& b) { return a.at("gateways") < b.at("gateways"); });
        for (const json& run : runs) {
            const std::string name = variant_name(run);
            ControlVariant& v = by_name[name];
            v.name = name;
            SeriesCollector collector(v, run);
            for (const json& e : run.at("events")) collector.add_event(e);
        }
        std::vector<ControlVariant> all;
        all.reserve(by_name.size());
        for (auto& [name, v] : by_name) all.push_back(std::move(v));
        // Puts the variant with the program's default settings first. This variant has the shortest name,
        // because each further setting makes a name longer.
        std::stable_sort(all.begin(), all.end(),
                         [](const auto& a, const auto& b) { return a.name.size() < b.name.size(); });
        return all;
    } catch (const json::exception& e) {
        throw std::runtime_error(file.string() + " is not a valid result file: " + e.what());
    }
}

}  // namespace irismux::bench
