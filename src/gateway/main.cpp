// The command line of irismux: defines the commands with their options, and runs the one that is given.
#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <variant>

#include "cli/fleet_commands.hpp"
#include "cli/registry_commands.hpp"
#include "fleet/fleet_client.hpp"
#include "gateway/parts.hpp"
#include "gateway/serve.hpp"

namespace {

using namespace irismux;

constexpr const char* footer =
    "NODE_CONFIG    path of the configuration (JSON), required to serve\n"
    "NODE_LISTEN    address to listen on, overrides that of the configuration\n"
    "IRISMUX_PARTS  path of the parts file (TOML) if --parts is not given; only its registry settings apply\n"
    "IRISMUX_LOG    error, warning, info (the default) or debug; followed by \":json\" for JSON records\n";

// Runs the command with the settings of one part in a parts file. `table` is the name of the table that holds
// these settings.
template <class Settings, class Command>
int with_part(const std::string& path, std::optional<Settings> Parts::*part, const std::string& table,
              Command command) {
    const auto parts = read_parts(path);
    if (const auto* error = std::get_if<PartsError>(&parts)) return exit_with_error(error->text());
    const std::optional<Settings>& settings = std::get<Parts>(parts).*part;
    return settings ? command(*settings) : exit_with_error(path + " has no [" + table + "]");
}

template <class Command>
int with_registry(const std::string& path, Command command) {
    return with_part(path, &Parts::registry, "registry", command);
}

template <class Command>
int with_fleet(const std::string& path, Command command) {
    return with_part(path, &Parts::fleet, "fleet", command);
}

// Runs the command for the site that the parts file names, or for the whole fleet if the file names no site.
template <class Command>
int with_site(const std::string& path, Command command) {
    return with_fleet(path, [&](fleet::Settings settings) {
        settings.registry.prefix = fleet::site_prefix(settings.registry.prefix, settings.site);
        return command(settings);
    });
}

int check_parts(const std::string& path) {
    const auto parts = read_parts(path);
    if (const auto* error = std::get_if<PartsError>(&parts)) return exit_with_error(error->text());
    std::cout << path << " is valid\n";
    return 0;
}

class CommandLine {
public:
    CommandLine() {
        app_.footer(footer);
        app_.set_version_flag("--version", "irismux " IRISMUX_VERSION);
        app_.require_subcommand(0, 1);
        add_serve();
        add_check();
        add_registry();
        add_fleet();
    }

    // Returns the exit code of the command, or of a usage error.
    int run(int argc, char** argv) {
        try {
            app_.parse(argc, argv);
        } catch (const CLI::Success& e) {
            return app_.exit(e);
        } catch (const CLI::ParseError& e) {
            return exit_with_error(std::string(e.what()) + "; see --help");
        }
        return command_();
    }

private:
    // Adds a subcommand. `command` is run if the command line contains the subcommand.
    CLI::App* add(CLI::App* parent, const char* name, const char* help, std::function<int()> command) {
        CLI::App* const subcommand = parent->add_subcommand(name, help);
        subcommand->callback([this, command = std::move(command)] { command_ = command; });
        return subcommand;
    }
    // Adds a group of subcommands that use a parts file. The command line must contain one subcommand of the
    // group.
    CLI::App* add_group(const char* name, const char* help) {
        CLI::App* const group = app_.add_subcommand(name, help);
        group->require_subcommand(1);
        group
            ->add_option("--parts", parts_path_,
                         "path of the parts file (TOML): settings of the registry and the fleet")
            ->required();
        return group;
    }

    void add_serve() {
        CLI::App* const command = add(&app_, "serve", "run a gateway (the default without a subcommand)",
                                      [this] { return serve(parts_path_); });
        command->add_option("--parts", parts_path_,
                            "path of the parts file (TOML): settings of the registry and the fleet");
    }
    void add_check() {
        CLI::App* const command = add(&app_, "check", "check whether a parts file is valid",
                                      [this] { return check_parts(parts_path_); });
        command->add_option("file", parts_path_)->required();
    }
    void add_registry() {
        CLI::App* const group =
            add_group("registry", "show and change the endpoint records in the key-value registry");
        add(group, "dump", "print all records of the endpoint list, at one revision",
            [this] { return with_registry(parts_path_, cli::registry_dump); });
        add(group, "watch", "print the endpoint list, then each change as gateways receive it",
            [this] { return with_registry(parts_path_, cli::registry_watch); });
        CLI::App* const put = add(group, "put", "write the endpoint record of one cache", [this] {
            return with_registry(parts_path_, [this](const registry::Settings& settings) {
                return cli::registry_put(settings, record_);
            });
        });
        put->add_option("line", record_, "the record: a JSON object with the \"id\" of the cache")
            ->required();
        CLI::App* const drain = add(group, "drain", "mark a cache as draining", [this] {
            return with_registry(parts_path_, [this](const registry::Settings& settings) {
                return cli::registry_state(settings, cache_, "Terminating");
            });
        });
        drain->add_option("id", cache_)->required();
    }
    void add_fleet() {
        CLI::App* const group = add_group("fleet", "show and change the records of the fleet of gateways");
        add(group, "members", "print the live members",
            [this] { return with_site(parts_path_, cli::fleet_members); });
        add(group, "duties", "print the duties and their owners",
            [this] { return with_site(parts_path_, cli::fleet_duties); });
        CLI::App* const release =
            add(group, "release", "make the owner of a duty release it to other members", [this] {
                return with_site(parts_path_, [this](const fleet::Settings& settings) {
                    return cli::fleet_release(settings, duty_);
                });
            });
        release->add_option("duty", duty_)->required();
        CLI::App* const restore = add(group, "restore", "withdraw the request to release a duty", [this] {
            return with_site(parts_path_, [this](const fleet::Settings& settings) {
                return cli::fleet_restore(settings, duty_);
            });
        });
        restore->add_option("duty", duty_)->required();
        add_in_force(group);
        add_forget(group);
        add(group, "new-generation",
            "start a new generation of event numbers after the notice board has been restored",
            [this] { return with_fleet(parts_path_, cli::fleet_new_generation); });
    }
    void add_in_force(CLI::App* group) {
        CLI::App* const command = add(
            group, "in-force", "check whether an event or a configuration is in force everywhere", [this] {
                return with_fleet(parts_path_, [this](const fleet::Settings& settings) {
                    return cli::fleet_in_force(settings, in_force_);
                });
            });
        command->add_option("--event", in_force_.event, "number of the event on the notice board");
        command->add_option("--configuration", in_force_.configuration, "number of the configuration");
        command->add_option("--board", in_force_.board, "address of the notice board");
        command->add_option("--wait", in_force_.wait_s,
                            "longest time to wait for the queried event and configuration, in seconds");
    }
    void add_forget(CLI::App* group) {
        CLI::App* const command =
            add(group, "forget", "remove a permanently stopped gateway from its site", [this] {
                return with_fleet(parts_path_, [this](const fleet::Settings& settings) {
                    return cli::fleet_forget(settings, site_, member_);
                });
            });
        command->add_option("site", site_)->required();
        command->add_option("name", member_)->required();
    }

    CLI::App app_{"irismux, a request router for caches that fill from parent caches and an origin",
                  "irismux"};
    std::string parts_path_, cache_, record_, duty_, site_, member_;
    cli::InForceQuery in_force_;
    std::function<int()> command_ = [this] { return serve(parts_path_); };
};

}  // namespace

int main(int argc, char** argv) { return CommandLine().run(argc, argv); }
