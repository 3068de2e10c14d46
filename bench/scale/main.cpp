// Measures the cost of control traffic in a fleet of many gateways. Most of the gateways are stubs
// (testing/stub_gateway.hpp), some are real. A relay sits on each link between a gateway and a control
// machine.
//   scale run --gateways N [--real N] [--events A,B] [--program irismux] [--fleet-line TEXT]... --out FILE
//   scale merge FILE FROM...      adds the runs of the FROM files to FILE; creates FILE if it does not exist
//   scale report FOLDER           writes FOLDER/scale.md and scale.svg from FOLDER/scale.json
// Uses loopback only, exits by itself and leaves only its output behind.
#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "base/log.hpp"
#include "bench/scale/events.hpp"
#include "bench/scale/output.hpp"
#include "bench/scale/roles.hpp"

namespace {

using namespace irismux;
using nlohmann::json;

json read_runs(const std::string& path) {
    std::ifstream in(path);
    if (!in) return {{"runs", json::array()}};
    return json::parse(in);
}

// Adds a run to the file. If the file has an earlier run with the same settings, the new run replaces it, but
// keeps the earlier run's events that the new run lacks.
void add_run(const std::string& path, json run) {
    json all = read_runs(path);
    for (json& old : all["runs"]) {
        const auto same = [&](const char* key) { return old[key] == run[key]; };
        if (!same("gateways") || !same("real_gateways") || !same("fleet_lines") || !same("term")) continue;
        for (const json& kept : old["events"])
            if (std::none_of(run["events"].begin(), run["events"].end(),
                             [&](const json& e) { return e["event"] == kept["event"]; }))
                run["events"].push_back(kept);
        for (const char* key : {"all_came_up", "all_whole_at_end"})
            run[key] = run[key].get<bool>() && old[key].get<bool>();
        for (const auto& [what, n] : old["end_state"]["different"].items())
            if (n > run["end_state"]["different"][what]) run["end_state"]["different"][what] = n;
        old = run;
        std::ofstream(path) << all.dump(1) << '\n';
        return;
    }
    all["runs"].push_back(run);
    std::ofstream(path) << all.dump(1) << '\n';
}

int merge(const std::string& path, const std::vector<std::string>& from) {
    for (const std::string& file : from)
        for (const json& run : read_runs(file)["runs"]) add_run(path, run);
    return 0;
}

int run(const scale::RigSettings& settings, const std::vector<std::string>& events, const std::string& out) {
    try {
        scale::Rig rig(settings);
        const json result = scale::run_events(rig, events);
        if (out.empty())
            std::cout << result.dump(1) << '\n';
        else
            add_run(out, result);
    } catch (const std::exception& e) {
        return std::cerr << "scale: " << e.what() << '\n', 1;
    }
    return 0;
}

// Writes FOLDER/scale.md and FOLDER/scale.svg from FOLDER/scale.json.
int report(const std::string& folder) {
    const json figures = read_runs(folder + "/scale.json");
    if (figures["runs"].empty())
        return std::cerr << "scale: " << folder
                         << "/scale.json holds no runs; measure some with scale run --out\n",
               2;
    std::ofstream(folder + "/scale.md") << scale::table(figures);
    std::ofstream(folder + "/scale.svg") << scale::chart(figures);
    return 0;
}

}  // namespace

int main(int argc, char** argv) try {
    std::signal(SIGPIPE, SIG_IGN);
    log::set_level(log::Level::error);
    CLI::App app("Measures the cost of control traffic in a fleet of many gateways.", "scale");
    app.require_subcommand(1);
    scale::RigSettings settings;
    settings.self = std::filesystem::read_symlink("/proc/self/exe").string();
    settings.program = (std::filesystem::path(settings.self).parent_path() / "irismux").string();
    std::vector<std::string> events = scale::event_names();
    std::string out;
    CLI::App* const running =
        app.add_subcommand("run", "run a fleet of one size through the events and measure it");
    running->add_option("--gateways", settings.topology.gateways)->required();
    running->add_option("--real", settings.real_gateways,
                        "number of gateways that run as real processes of the program");
    running->add_option("--caches", settings.topology.caches);
    running->add_option("--events", events)->delimiter(',');
    running->add_option("--program", settings.program);
    running->add_option("--fleet-line", settings.fleet_lines,
                        "additional line in the [fleet] section of each gateway; {site} is replaced by the "
                        "name of the gateway's site");
    running->add_option("--term", settings.term);
    running->add_option("--seed", settings.seed);
    running->add_option("--out", out,
                        "JSON file to which the results of the run are added; created if it does not exist; "
                        "without this option the results are printed");
    std::string role, control;
    std::size_t number = 0;
    CLI::App* const being =
        app.add_subcommand("role", "run as one of the rig's processes; only the rig uses this command");
    being->add_option("role", role)->required();
    being->add_option("control", control)->required();
    being->add_option("number", number)->required();
    CLI::App* const reporting =
        app.add_subcommand("report",
                           "read `folder`/scale.json and write its tables to `folder`/scale.md "
                           "and its chart to `folder`/scale.svg");
    reporting->add_option("folder", out)->required();
    std::vector<std::string> from;
    CLI::App* const merging = app.add_subcommand(
        "merge",
        "add the runs of all `from` files to `file`, which is created if it does not exist; "
        "a run in `file` with the same settings is replaced");
    merging->add_option("file", out)->required();
    merging->add_option("from", from)->required();
    CLI11_PARSE(app, argc, argv);
    if (reporting->parsed()) return report(out);
    if (merging->parsed()) return merge(out, from);
    if (being->parsed()) return scale::run_role(role, control, number);
    return run(settings, events, out);
} catch (const std::exception& e) {
    std::fputs(e.what(), stderr);
    return 1;
}
