#include "gateway/parts.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <toml++/toml.h>
#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "fleet/digest.hpp"
#include "fleet/membership.hpp"
#include "gateway/parts_section.hpp"

namespace irismux {
namespace {

constexpr std::size_t max_registry_members = 16;
constexpr std::int64_t max_page_records = 2'000, max_registry_records = 100'000;
constexpr std::size_t max_sites = 1024;
// Highest number of a configuration. JSON readers may use doubles, which do not represent all integers above
// this number.
constexpr std::int64_t max_configuration_number = std::int64_t{1} << 53;
constexpr double min_clock_drift = 0.0001, max_clock_drift = 0.25;
constexpr Duration min_reply_timeout = Duration::micros(1'000);
constexpr Duration min_interval = Duration::micros(50'000);
constexpr Duration min_acknowledge_interval = Duration::micros(10'000);
constexpr Duration min_snapshot_max_age = Duration::micros(1'000'000);
constexpr Duration min_term = Duration::micros(400'000);

// Host names are not accepted, because resolving them would block the only thread.
bool is_numeric_address(const std::string& address) {
    if (address.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string::npos) return false;
    try {
        const Poco::Net::SocketAddress parsed(address);
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool starts_with(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

void read_members(const PartsSection& section, registry::Settings& settings) {
    const toml::node& node = section.require("members");
    const toml::array* const members = node.as_array();
    if (!members || members->empty() || members->size() > max_registry_members)
        section.fail(&node, "'members' must be a list of 1 to 16 addresses");
    for (const toml::node& member : *members) {
        const std::string address = section.text(member, "members");
        if (!is_numeric_address(address))
            section.fail(&member,
                         "'" + address + "' is not a numeric address with a port, such as \"10.0.0.7:2379\"");
        settings.members.push_back(address);
    }
    settings.poll_policy.members = settings.members.size();
}

void read_credentials(const PartsSection& section, registry::Settings& settings) {
    settings.user = section.text_or("user", "");
    if (const toml::node* const node = section.find("password_file")) {
        const std::string path = section.text(*node, "password_file");
        std::ifstream file(path);
        if (!file || !std::getline(file, settings.password) || settings.password.empty())
            section.fail(node, "the first line of " + path + " can't be read or is empty");
    }
    if (settings.user.empty() != settings.password.empty())
        section.fail(nullptr, section.heading() + " needs both 'user' and 'password_file', or neither");
}

registry::Settings read_registry(const std::string& file, const toml::table& table) {
    const PartsSection section(file, "registry", table,
                               {"members", "prefix", "user", "password_file", "page", "most_records", "quiet",
                                "answer_in", "retry_base", "retry_cap", "keep_in", "keep_for"});
    registry::Settings settings;
    read_members(section, settings);
    read_credentials(section, settings);
    settings.prefix = section.text(section.require("prefix"), "prefix");
    if (settings.prefix.empty())
        section.fail(section.find("prefix"), "'prefix' must not be empty: the whole registry would be read");
    settings.page_size = section.count_or("page", settings.page_size, 1, max_page_records);
    settings.snapshot_folder = section.text_or("keep_in", "");
    settings.snapshot_max_age =
        section.duration_or("keep_for", settings.snapshot_max_age, min_snapshot_max_age);
    registry::PollPolicy& policy = settings.poll_policy;
    policy.max_records = section.count_or("most_records", policy.max_records, 1, max_registry_records);
    policy.watch_timeout = section.duration_or("quiet", policy.watch_timeout, min_interval);
    policy.reply_timeout = section.duration_or("answer_in", policy.reply_timeout, min_reply_timeout);
    policy.backoff_base = section.duration_or("retry_base", policy.backoff_base, min_reply_timeout);
    policy.backoff_cap = section.duration_or("retry_cap", policy.backoff_cap, policy.backoff_base);
    return settings;
}

Duration heartbeat_interval(const fleet::Settings& settings) {
    return fleet::Membership(settings.shared_config, {}).heartbeat_interval();
}

// Reads the number of gateways of each site.
void read_site_inventory(const PartsSection& section, fleet::Settings& settings) {
    const toml::node* const node = section.find("sites");
    if (!node) return;
    const toml::table* const sites = node->as_table();
    if (!sites || sites->size() > max_sites)
        section.fail(node, "'sites' must be a table of up to " + std::to_string(max_sites) +
                               " sites with the number of gateways of each");
    for (const auto& [name, value] : *sites) {
        const auto gateways = value.value_exact<std::int64_t>();
        if (!gateways || *gateways < 0 || *gateways > static_cast<std::int64_t>(fleet::max_roster_names))
            section.fail(&value,
                         "a site must have 0 to " + std::to_string(fleet::max_roster_names) + " gateways");
        settings.inventory[fleet::SiteName{std::string(name.str())}] = static_cast<std::size_t>(*gateways);
    }
}

// Reads the gateway's own site, its settings for acknowledgements there, and the inventory of all sites.
void read_sites(const PartsSection& section, fleet::Settings& settings) {
    if (section.find("site")) settings.site = fleet::SiteName{section.name_of("site")};
    if (settings.site.raw().find('/') != std::string::npos)
        section.fail(section.find("site"), "'site' must not contain '/'");
    const Duration heartbeat = heartbeat_interval(settings);
    settings.acknowledge_interval = section.duration_or(
        "acknowledge_every", std::min(settings.acknowledge_interval, heartbeat), min_acknowledge_interval);
    if (settings.acknowledge_interval > heartbeat)
        section.fail(section.find("acknowledge_every"),
                     "'acknowledge_every' must be at most a quarter of 'term'");
    settings.configuration = fleet::ConfigurationNumber{
        static_cast<std::int64_t>(section.count_or("configuration", 0, 1, max_configuration_number))};
    read_site_inventory(section, settings);
}

void read_member_identity(const PartsSection& section, fleet::Settings& settings) {
    settings.shared_config.installation = section.name_of("installation");
    if (section.find("name")) settings.name = fleet::MemberName{section.name_of("name")};
    if (settings.name.raw().find('/') != std::string::npos)
        section.fail(section.find("name"), "'name' must not contain '/'");
}

// The prefix must keep the fleet's records apart from the registry's endpoint records.
void read_fleet_prefix(const PartsSection& section, const std::optional<registry::Settings>& registry,
                       fleet::Settings& settings) {
    std::string& prefix = settings.registry.prefix;
    prefix = section.name_of("prefix");
    if (prefix.back() != '/') section.fail(section.find("prefix"), "'prefix' must end with '/'");
    if (registry && (starts_with(prefix, registry->prefix) || starts_with(registry->prefix, prefix)))
        section.fail(section.find("prefix"),
                     "'prefix' must not overlap with the prefix of [registry], '" + registry->prefix + "'");
}

void read_shared_config(const PartsSection& section, fleet::SharedConfig& shared) {
    shared.term = section.duration_or("term", shared.term, min_term);
    const toml::node* const node = section.find("drift");
    if (!node) return;
    const auto drift = node->value<double>();
    if (!drift || *drift < min_clock_drift || *drift > max_clock_drift)
        section.fail(
            node,
            "'drift' must be a number from 0.0001 to 0.25: the largest relative error of a clock's rate");
    shared.drift = *drift;
}

void read_fleet_poll_policy(const PartsSection& section, fleet::Settings& settings) {
    registry::PollPolicy& policy = settings.registry.poll_policy;
    const Duration heartbeat = heartbeat_interval(settings);
    policy.reply_timeout =
        section.duration_or("answer_in", std::min(policy.reply_timeout, heartbeat), min_reply_timeout);
    if (policy.reply_timeout > heartbeat)
        section.fail(section.find("answer_in"),
                     "'answer_in' must be at most a quarter of 'term': otherwise heartbeats would be late");
    policy.watch_timeout = section.duration_or("quiet", policy.watch_timeout, min_interval);
    policy.backoff_cap = std::min(policy.backoff_cap, settings.shared_config.term);
    policy.backoff_base = std::min(policy.backoff_base, policy.backoff_cap);
}

// The fleet's store and the registry's store must not use the same folder, since both would use the same
// file.
void read_token_store(const PartsSection& section, const std::optional<registry::Settings>& registry,
                      fleet::Settings& settings) {
    std::string& folder = settings.token_store_folder;
    folder = section.text_or("keep_in", "");
    while (folder.size() > 1 && folder.back() == '/') folder.pop_back();
    if (!registry || folder.empty()) return;
    const std::string& other = registry->snapshot_folder;
    if (starts_with(other, folder) && other.find_first_not_of('/', folder.size()) == std::string::npos)
        section.fail(section.find("keep_in"),
                     "'keep_in' in [fleet] must not name the same folder as 'keep_in' in [registry]");
}

fleet::Settings read_fleet(const std::string& file, const toml::table& table,
                           const std::optional<registry::Settings>& registry) {
    const PartsSection section(file, "fleet", table,
                               {"members", "user", "password_file", "installation", "name", "prefix", "term",
                                "drift", "answer_in", "quiet", "look_every", "sweep_every", "keep_in", "site",
                                "acknowledge_every", "configuration", "sites"});
    fleet::Settings settings;
    if (registry && !section.find("members")) settings.registry = *registry;
    if (!registry || section.find("members")) {
        read_members(section, settings.registry);
        read_credentials(section, settings.registry);
    }
    settings.registry.snapshot_folder.clear();
    read_member_identity(section, settings);
    read_fleet_prefix(section, registry, settings);
    read_shared_config(section, settings.shared_config);
    read_fleet_poll_policy(section, settings);
    settings.health_check_interval =
        section.duration_or("look_every", settings.health_check_interval, min_interval);
    settings.collection_interval =
        section.duration_or("sweep_every", settings.collection_interval, min_interval);
    read_sites(section, settings);
    read_token_store(section, registry, settings);
    return settings;
}

// Returns null if the file does not have the table.
const toml::table* find_table(const PartsSection& file, std::string_view name) {
    const toml::node* const node = file.find(name);
    if (!node) return nullptr;
    if (!node->as_table())
        file.fail(node, "'" + std::string(name) + "' must be a table: [" + std::string(name) + "]");
    return node->as_table();
}

}  // namespace

std::string PartsError::text() const {
    if (line == 0) return problem + " " + file;
    return file + ":" + std::to_string(line) + ": " + problem;
}

std::variant<Parts, PartsError> read_parts_text(std::string_view text, const std::string& file) {
    try {
        const toml::table tables = toml::parse(text, file);
        const PartsSection section(file, "", tables, {"registry", "fleet"});
        Parts parts;
        if (const toml::table* const table = find_table(section, "registry"))
            parts.registry = read_registry(file, *table);
        if (const toml::table* const table = find_table(section, "fleet"))
            parts.fleet = read_fleet(file, *table, parts.registry);
        return parts;
    } catch (const toml::parse_error& e) {
        return PartsError{file, e.source().begin.line, std::string(e.description())};
    } catch (const PartsError& error) {
        return error;
    }
}

// An empty file is valid and enables no part.
std::variant<Parts, PartsError> read_parts(const std::string& path) {
    const PartsError unreadable{path, 0, "cannot read"};
    std::ifstream file(path);
    if (!file) return unreadable;
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    if (file.bad()) return unreadable;
    return read_parts_text(text, path);
}

}  // namespace irismux
