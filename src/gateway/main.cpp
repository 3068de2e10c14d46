// irismux: one gateway, in the foreground, until SIGTERM.
#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>
#include <CLI/CLI.hpp>

#include <malloc.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "base/flight_recorder.hpp"
#include "base/json_reader.hpp"
#include "base/log.hpp"
#include "cli/fleet_commands.hpp"
#include "cli/registry_commands.hpp"
#include "gateway/gateway.hpp"

namespace {

using namespace irismux;

// Signals wait until the loop looks for them: POCO 1.11 takes what a wait that a signal interrupts had left
// by the wall clock, and would wait for an hour more where that is stepped back an hour.
class HeldSignals {
public:
    HeldSignals() {
        ::sigemptyset(&held_);
        for (const int signal : {SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&held_, signal);
        ::pthread_sigmask(SIG_BLOCK, &held_, nullptr);
    }
    ~HeldSignals() { ::pthread_sigmask(SIG_UNBLOCK, &held_, nullptr); }
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;
    // Those that have come are handled.
    void deliver() const {
        ::pthread_sigmask(SIG_UNBLOCK, &held_, nullptr);
        ::pthread_sigmask(SIG_BLOCK, &held_, nullptr);
    }

private:
    sigset_t held_{};
};

volatile std::sig_atomic_t told_to_leave = 0, told_to_reread = 0;
void on_term(int) { told_to_leave = 1; }
void on_hup(int) { told_to_reread = 1; }

// Whatever got past the connections ends no more than the handler that threw it.
class Survive final : public Poco::ErrorHandler {
public:
    void exception(const Poco::Exception& e) override { log::write(log::Level::error, e.displayText()); }
    void exception(const std::exception& e) override { log::write(log::Level::error, e.what()); }
    void exception() override { log::write(log::Level::error, "an unknown exception"); }
};

// For those who start it from a service's file and look there for what it heeds.
constexpr const char* footer =
    "NODE_CONFIG    path of the configuration (JSON), needed to serve\n"
    "NODE_LISTEN    address to listen on, in place of the configuration's\n"
    "IRISMUX_PARTS  path of the parts (TOML), where --parts does not name it\n"
    "IRISMUX_LOG    error, warning, info (the default) or debug; with \":json\" behind it, lines of JSON\n";

bool read_level(std::string_view said) {
    constexpr std::string_view json = ":json";
    if (said.size() > json.size() && said.substr(said.size() - json.size()) == json) {
        log::set_format(log::Format::json);
        said.remove_suffix(json.size());
    }
    constexpr std::pair<const char*, log::Level> levels[] = {{"error", log::Level::error},
                                                             {"warning", log::Level::warning},
                                                             {"info", log::Level::info},
                                                             {"debug", log::Level::debug}};
    for (const auto& [name, level] : levels)
        if (said == name) return log::set_level(level), true;
    return false;
}

int wrong(const std::string& what) {
    std::cerr << "irismux: " << what << '\n';
    return 2;
}

struct Files {
    const char* configuration = nullptr;
    std::string parts;   // empty: none
    bool named = false;  // on the command line, and not by the environment
};

// No file: no parts. A fleet is joined only on the word of a command line.
std::variant<Parts, std::string> parts_of(const Files& files) {
    if (files.parts.empty()) return Parts{};
    auto read = read_parts(files.parts);
    if (auto* parts = std::get_if<Parts>(&read); parts && parts->fleet && !files.named) {
        parts->fleet.reset();
        log::write(log::Level::warning, files.parts + ": [fleet] counts only with --parts: it stays off");
    }
    return read;
}

// How long a start may be held up by what fails for a moment, and between two tries.
constexpr std::chrono::milliseconds longest_hold_up{8'000}, try_again_after{50};

// Tries a step of the start again while it fails for a moment.
template <class Step>
auto try_until_it_passes(Step step) {
    const auto until = std::chrono::steady_clock::now() + longest_hold_up;
    for (bool told = false;; told = true) {
        try {
            return step();
        } catch (const TransientError& e) {
            if (std::chrono::steady_clock::now() >= until) throw;
            if (!told) log::write(log::Level::warning, std::string(e.what()) + "; tried again");
        }
        std::this_thread::sleep_for(try_again_after);
    }
}

void make_loop(std::optional<EventLoop>& loop) {
    try_until_it_passes([&] {
        try {
            loop.emplace();
        } catch (const Poco::Exception& e) {
            throw TransientError("no loop can be made: " + e.displayText());
        }
    });
}

// A file that can't be used changes nothing; one that can't be read for a moment is read again. False: again.
bool reread(Gateway& host, const Files& files, bool last_try) {
    try {
        const auto parts = parts_of(files);
        if (const auto* why = std::get_if<std::string>(&parts)) throw std::runtime_error(*why);
        host.reload(read_configuration(files.configuration), std::get<Parts>(parts));
    } catch (const TransientError& e) {
        if (!last_try) return false;
        log::write(log::Level::error, std::string(e.what()) + "; nothing changes");
    } catch (const std::exception& e) {
        log::write(log::Level::error, std::string(e.what()) + "; nothing changes");
    }
    return true;
}

constexpr int reread_tries = 20;

void look_for_signals(EventLoop& loop, Gateway& host, const Files& files, const HeldSignals& signals) {
    static int tries = 0;
    signals.deliver();
    if (told_to_reread) {
        told_to_reread = 0;
        tries = reread_tries;
    }
    if (tries > 0) tries = reread(host, files, tries == 1) ? 0 : tries - 1;
    if (told_to_leave) host.begin_shutdown();
    loop.schedule_at(loop.now() + Duration::micros(50'000),
                     [&] { look_for_signals(loop, host, files, signals); });
}

int serve(std::string parts_path) {
    if (const char* level = std::getenv("IRISMUX_LOG"); level && !read_level(level))
        return wrong(std::string("IRISMUX_LOG is '") + level +
                     "', not error, warning, info or debug, with or without :json");
    const bool named = !parts_path.empty();
    if (const char* path = std::getenv("IRISMUX_PARTS"); path && !named) parts_path = path;
    const Files files{std::getenv("NODE_CONFIG"), std::move(parts_path), named};
    if (!files.configuration) return wrong("NODE_CONFIG does not name a configuration");
    const auto parts = parts_of(files);
    if (const auto* why = std::get_if<std::string>(&parts)) return wrong(*why);
    // Large buffers come and go all the time: each is the system's again at once, so that what stays in
    // between does not keep their room.
    mallopt(M_MMAP_THRESHOLD, 64 * 1024);
    mallopt(M_TRIM_THRESHOLD, 128 * 1024);
    const HeldSignals signals;
    std::signal(SIGTERM, on_term);
    std::signal(SIGINT, on_term);
    std::signal(SIGHUP, on_hup);
    std::signal(SIGPIPE, SIG_IGN);
    flight_recorder::report_fatal_signals();
    Survive handler;
    Poco::ErrorHandler::set(&handler);
    try {
        Configuration configuration =
            try_until_it_passes([&] { return read_configuration(files.configuration); });
        log::set_process_name(configuration.name);
        if (const char* listen = std::getenv("NODE_LISTEN")) configuration.listen = listen;
        std::optional<EventLoop> loop;
        make_loop(loop);
        Gateway host(*loop, configuration, std::get<Parts>(parts));
        host.serve();
        look_for_signals(*loop, host, files, signals);
        loop->run();
        if (host.start_failure()) return wrong(host.start_failure()->text());
    } catch (const Poco::Exception& e) {
        return wrong(e.displayText());
    } catch (const std::exception& e) {
        return wrong(e.what());
    }
    return 0;
}

// The registry of a file of parts, for those who ask it by hand.
template <class Step>
int with_registry(const std::string& path, Step step) {
    const auto parts = read_parts(path);
    if (const auto* why = std::get_if<std::string>(&parts)) return wrong(*why);
    const auto& registry = std::get<Parts>(parts).registry;
    return registry ? step(*registry) : wrong(path + " has no [registry]");
}

// The fleet of a file of parts.
template <class Step>
int with_fleet(const std::string& path, Step step) {
    const auto parts = read_parts(path);
    if (const auto* why = std::get_if<std::string>(&parts)) return wrong(*why);
    const auto& fleet = std::get<Parts>(parts).fleet;
    return fleet ? step(*fleet) : wrong(path + " has no [fleet]");
}

// Of the site that the file names, where it names one.
template <class Step>
int with_site(const std::string& path, Step step) {
    return with_fleet(path, [&](fleet::Settings settings) {
        settings.registry.prefix = fleet::site_prefix(settings.registry.prefix, settings.site);
        return step(settings);
    });
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("irismux, a lookup router for caches that fill from parent caches and an origin", "irismux");
    app.footer(footer);
    app.set_version_flag("--version", "irismux " IRISMUX_VERSION);
    app.require_subcommand(0, 1);
    std::string parts, id, line, duty;
    CLI::App* const serving = app.add_subcommand("serve", "be a gateway (also without any argument)");
    serving->add_option("--parts", parts, "file of the parts, TOML");
    CLI::App* const checking =
        app.add_subcommand("check", "read a file of parts and say whether it can be used");
    checking->add_option("file", parts)->required();
    CLI::App* const asking = app.add_subcommand("registry", "ask the key-value registry by hand");
    asking->require_subcommand(1);
    asking->add_option("--parts", parts, "file of the parts, TOML")->required();
    CLI::App* const dump = asking->add_subcommand("dump", "each record of the list, at one revision");
    CLI::App* const watch = asking->add_subcommand("watch", "the list, then each change as gateways hear it");
    CLI::App* const put = asking->add_subcommand("put", "write a record");
    put->add_option("line", line, "JSON with an \"id\"")->required();
    CLI::App* const drain = asking->add_subcommand("drain", "mark a cache as draining");
    drain->add_option("id", id)->required();
    CLI::App* const fellows = app.add_subcommand("fleet", "ask the fleet of gateways by hand");
    fellows->require_subcommand(1);
    fellows->add_option("--parts", parts, "file of the parts, TOML")->required();
    CLI::App* const members = fellows->add_subcommand("members", "who lives");
    CLI::App* const duties = fellows->add_subcommand("duties", "who owns what");
    CLI::App* const release = fellows->add_subcommand("release", "have its owner leave a duty to others");
    release->add_option("duty", duty)->required();
    CLI::App* const restore = fellows->add_subcommand("restore", "take a release back");
    restore->add_option("duty", duty)->required();
    cli::InForceQuery question;
    CLI::App* const in_force = fellows->add_subcommand("in-force", "whether an event is in force everywhere");
    in_force->add_option("--event", question.event, "its number on the notice board");
    in_force->add_option("--configuration", question.configuration, "a configuration's number");
    in_force->add_option("--board", question.board, "address of the notice board");
    in_force->add_option("--wait", question.wait_s, "seconds until it is everywhere, at most");
    std::string site, member;
    CLI::App* const forget = fellows->add_subcommand("forget", "a gateway of a site that will not come back");
    forget->add_option("site", site)->required();
    forget->add_option("name", member)->required();
    CLI::App* const generation = fellows->add_subcommand(
        "new-generation", "the notice board has been restored: its numbers begin anew");
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& e) {
        return app.exit(e);
    } catch (const CLI::ParseError& e) {
        return wrong(std::string(e.what()) + "; see --help");
    }
    if (checking->parsed()) {
        const auto read = read_parts(parts);
        if (const auto* why = std::get_if<std::string>(&read)) return wrong(*why);
        return std::cout << parts << " can be used\n", 0;
    }
    if (dump->parsed()) return with_registry(parts, cli::registry_dump);
    if (watch->parsed()) return with_registry(parts, cli::registry_watch);
    if (put->parsed())
        return with_registry(parts, [&](const registry::Settings& s) { return cli::registry_put(s, line); });
    if (drain->parsed())
        return with_registry(
            parts, [&](const registry::Settings& s) { return cli::registry_state(s, id, "Terminating"); });
    if (members->parsed()) return with_site(parts, cli::fleet_members);
    if (duties->parsed()) return with_site(parts, cli::fleet_duties);
    if (release->parsed())
        return with_site(parts, [&](const fleet::Settings& c) { return cli::fleet_release(c, duty); });
    if (restore->parsed())
        return with_site(parts, [&](const fleet::Settings& c) { return cli::fleet_restore(c, duty); });
    if (in_force->parsed())
        return with_fleet(parts, [&](const fleet::Settings& c) { return cli::fleet_in_force(c, question); });
    if (forget->parsed())
        return with_fleet(parts,
                          [&](const fleet::Settings& c) { return cli::fleet_forget(c, site, member); });
    if (generation->parsed()) return with_fleet(parts, cli::fleet_new_generation);
    return serve(parts);
}
