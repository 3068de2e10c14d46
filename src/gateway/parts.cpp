#include "gateway/parts.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <toml++/toml.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <numeric>
#include <vector>

#include "fleet/digest.hpp"
#include "fleet/membership.hpp"

namespace irismux {
namespace {

constexpr std::size_t most_sites = 1024;

// A line for the operator; it ends the reading.
struct Wrong {
    std::string line;
};

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t corner = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j)
            corner =
                std::exchange(row[j + 1], std::min({row[j + 1] + 1, row[j] + 1, corner + (a[i] != b[j])}));
    }
    return row[b.size()];
}

std::optional<Duration> span_of(std::string_view text) {
    double n = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (error != std::errc{} || n < 0) return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const auto& [name, seconds] :
         {std::pair<std::string_view, double>{"ms", 1e-3}, {"s", 1.0}, {"min", 60.0}})
        if (unit == name && n * seconds <= 86'400) return Duration::seconds(n * seconds);
    return std::nullopt;
}

// One table of the file; whoever reads it names all its keys first.
class Section {
public:
    Section(const std::string& file, std::string name, const toml::table& table,
            std::vector<std::string_view> keys)
        : file_(file), name_(std::move(name)), table_(table) {
        for (const auto& [key, node] : table) {
            if (std::find(keys.begin(), keys.end(), key.str()) != keys.end()) continue;
            const auto nearest = std::min_element(keys.begin(), keys.end(), [&](auto a, auto b) {
                return distance(a, key.str()) < distance(b, key.str());
            });
            wrong(&node, "unknown key '" + std::string(key.str()) + "'" +
                             (name_.empty() ? "" : " in [" + name_ + "]") + "; the nearest known one is '" +
                             std::string(*nearest) + "'");
        }
    }

    [[noreturn]] void wrong(const toml::node* node, const std::string& what) const {
        const auto line = node ? node->source().begin.line : table_.source().begin.line;
        throw Wrong{file_ + ":" + std::to_string(line) + ": " + what};
    }
    std::string name() const { return '[' + name_ + ']'; }
    const toml::node* find(std::string_view key) const { return table_.get(key); }
    const toml::node& need(std::string_view key) const {
        const toml::node* const node = find(key);
        if (!node) wrong(nullptr, "[" + name_ + "] needs '" + std::string(key) + "'");
        return *node;
    }
    std::string text(const toml::node& node, std::string_view key) const {
        const auto value = node.value_exact<std::string>();
        if (!value) wrong(&node, "'" + std::string(key) + "' must be text in quotes");
        return *value;
    }
    std::string text_or(std::string_view key, std::string other) const {
        const toml::node* const node = find(key);
        return node ? text(*node, key) : std::move(other);
    }
    Duration span_or(std::string_view key, Duration other, Duration least) const {
        const toml::node* const node = find(key);
        if (!node) return other;
        const auto said = node->value_exact<std::string>();
        const auto span = said ? span_of(*said) : std::nullopt;
        if (!span)
            wrong(node, "'" + std::string(key) +
                            "' must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\"");
        if (*span < least)
            wrong(node, "'" + std::string(key) + "' must be " + std::to_string(least.micros() / 1000) +
                            "ms or more");
        return *span;
    }
    std::size_t count_or(std::string_view key, std::size_t other, std::int64_t least,
                         std::int64_t most) const {
        const toml::node* const node = find(key);
        if (!node) return other;
        const auto n = node->value_exact<std::int64_t>();
        if (!n || *n < least || *n > most)
            wrong(node, "'" + std::string(key) + "' must be a whole number from " + std::to_string(least) +
                            " to " + std::to_string(most));
        return static_cast<std::size_t>(*n);
    }

private:
    const std::string& file_;
    std::string name_;
    const toml::table& table_;
};

// Where a registry is, and who asks it.
void read_place(const Section& s, registry::Settings& settings) {
    const toml::node& members = s.need("members");
    const toml::array* const list = members.as_array();
    if (!list || list->empty() || list->size() > 16)
        s.wrong(&members, "'members' must be a list of 1 to 16 addresses");
    for (const toml::node& node : *list) {
        const std::string address = s.text(node, "members");
        try {
            // Names would be looked up within the one thread.
            if (address.find_first_not_of("0123456789abcdefABCDEF.:[]") != std::string::npos)
                throw Poco::Exception("");
            Poco::Net::SocketAddress{address};
        } catch (const Poco::Exception&) {
            s.wrong(&node,
                    "'" + address + "' is not an address and port in figures, as in \"10.0.0.7:2379\"");
        }
        settings.members.push_back(address);
    }
    settings.user = s.text_or("user", "");
    if (const toml::node* const node = s.find("password_file")) {
        const std::string path = s.text(*node, "password_file");
        std::ifstream in(path);
        if (!in || !std::getline(in, settings.password) || settings.password.empty())
            s.wrong(node, "the first line of " + path + " can't be read or is empty");
    }
    if (settings.user.empty() != settings.password.empty())
        s.wrong(nullptr, s.name() + " needs both 'user' and 'password_file', or neither");
    settings.poll_policy.members = settings.members.size();
}

registry::Settings read_registry(const std::string& file, const toml::table& table) {
    const Section s(file, "registry", table,
                    {"members", "prefix", "user", "password_file", "page", "most_records", "quiet",
                     "answer_in", "retry_base", "retry_cap", "keep_in", "keep_for"});
    registry::Settings settings;
    read_place(s, settings);
    settings.prefix = s.text(s.need("prefix"), "prefix");
    if (settings.prefix.empty())
        s.wrong(s.find("prefix"), "'prefix' must not be empty: the whole registry would be read");
    registry::PollPolicy& pace = settings.poll_policy;
    const Duration least = Duration::micros(1000);
    settings.page_size = s.count_or("page", settings.page_size, 1, 2'000);
    settings.snapshot_folder = s.text_or("keep_in", "");
    settings.snapshot_max_age = s.span_or("keep_for", settings.snapshot_max_age, Duration::micros(1'000'000));
    pace.max_records = s.count_or("most_records", pace.max_records, 1, 100'000);
    pace.watch_timeout = s.span_or("quiet", pace.watch_timeout, Duration::micros(50'000));
    pace.reply_timeout = s.span_or("answer_in", pace.reply_timeout, least);
    pace.backoff_base = s.span_or("retry_base", pace.backoff_base, least);
    pace.backoff_cap = s.span_or("retry_cap", pace.backoff_cap, pace.backoff_base);
    return settings;
}

// Where the gateway stands, what it says of itself there, and which sites there are.
void read_site(const Section& s, fleet::Settings& c) {
    if (c.site.raw().find('/') != std::string::npos) s.wrong(s.find("site"), "'site' must have no '/'");
    const Duration round = fleet::Membership(c.shared_config, {}).heartbeat_interval();
    c.acknowledge_interval =
        s.span_or("acknowledge_every", std::min(c.acknowledge_interval, round), Duration::micros(10'000));
    if (c.acknowledge_interval > round)
        s.wrong(s.find("acknowledge_every"), "'acknowledge_every' must be a quarter of 'term' at most");
    c.configuration = fleet::ConfigurationNumber{
        static_cast<std::int64_t>(s.count_or("configuration", 0, 1, std::int64_t{1} << 53))};
    const toml::node* const sites = s.find("sites");
    if (!sites) return;
    const toml::table* const table = sites->as_table();
    if (!table || table->size() > most_sites)
        s.wrong(sites, "'sites' must name up to " + std::to_string(most_sites) +
                           " sites, each with its number of gateways");
    for (const auto& [name, node] : *table) {
        const auto count = node.value_exact<std::int64_t>();
        if (!count || *count < 0 || *count > static_cast<std::int64_t>(fleet::max_roster_names))
            s.wrong(&node, "a site has 0 to " + std::to_string(fleet::max_roster_names) + " gateways");
        c.inventory[fleet::SiteName{std::string(name.str())}] = static_cast<std::size_t>(*count);
    }
}

fleet::Settings read_fleet(const std::string& file, const toml::table& table,
                           const std::optional<registry::Settings>& registry) {
    const Section s(file, "fleet", table,
                    {"members", "user", "password_file", "installation", "name", "prefix", "term", "drift",
                     "answer_in", "quiet", "look_every", "sweep_every", "keep_in", "site",
                     "acknowledge_every", "configuration", "sites"});
    fleet::Settings c;
    if (registry && !s.find("members")) c.registry = *registry;
    if (!registry || s.find("members")) read_place(s, c.registry);
    c.registry.snapshot_folder.clear();
    const auto needed = [&](const char* key) {
        const std::string said = s.text(s.need(key), key);
        if (said.empty() || said.size() > 128 ||
            std::any_of(said.begin(), said.end(), [](unsigned char ch) { return ch <= ' ' || ch > '~'; }))
            s.wrong(s.find(key), "'" + std::string(key) + "' must be 1 to 128 letters without spaces");
        return said;
    };
    c.shared_config.installation = needed("installation");
    if (s.find("name")) c.name = fleet::MemberName{needed("name")};
    if (c.name.raw().find('/') != std::string::npos) s.wrong(s.find("name"), "'name' must have no '/'");
    c.registry.prefix = needed("prefix");
    if (c.registry.prefix.back() != '/') s.wrong(s.find("prefix"), "'prefix' must end with '/'");
    if (registry && (c.registry.prefix.rfind(registry->prefix, 0) == 0 ||
                     registry->prefix.rfind(c.registry.prefix, 0) == 0))
        s.wrong(s.find("prefix"),
                "'prefix' must lie apart from that of [registry], '" + registry->prefix + "'");
    c.shared_config.term = s.span_or("term", c.shared_config.term, Duration::micros(400'000));
    if (const toml::node* const node = s.find("drift")) {
        const auto drift = node->value<double>();
        if (!drift || *drift < 0.0001 || *drift > 0.25)
            s.wrong(node,
                    "'drift' must be a share from 0.0001 to 0.25: how far the rate of a clock may be off");
        c.shared_config.drift = *drift;
    }
    const Duration round = fleet::Membership(c.shared_config, {}).heartbeat_interval();
    c.registry.poll_policy.reply_timeout =
        s.span_or("answer_in", std::min(c.registry.poll_policy.reply_timeout, round), Duration::micros(1000));
    if (c.registry.poll_policy.reply_timeout > round)
        s.wrong(s.find("answer_in"),
                "'answer_in' must be a quarter of 'term' at most: signs of life would be late");
    c.registry.poll_policy.watch_timeout =
        s.span_or("quiet", c.registry.poll_policy.watch_timeout, Duration::micros(50'000));
    c.registry.poll_policy.backoff_cap = std::min(c.registry.poll_policy.backoff_cap, c.shared_config.term);
    c.registry.poll_policy.backoff_base =
        std::min(c.registry.poll_policy.backoff_base, c.registry.poll_policy.backoff_cap);
    c.health_check_interval = s.span_or("look_every", c.health_check_interval, Duration::micros(50'000));
    c.collection_interval = s.span_or("sweep_every", c.collection_interval, Duration::micros(50'000));
    if (s.find("site")) c.site = fleet::SiteName{needed("site")};
    read_site(s, c);
    c.token_store_folder = s.text_or("keep_in", "");
    while (c.token_store_folder.size() > 1 && c.token_store_folder.back() == '/')
        c.token_store_folder.pop_back();
    if (registry && !c.token_store_folder.empty() &&
        registry->snapshot_folder.rfind(c.token_store_folder, 0) == 0 &&
        registry->snapshot_folder.find_first_not_of('/', c.token_store_folder.size()) == std::string::npos)
        s.wrong(s.find("keep_in"), "'keep_in' must be a folder of its own, not that of [registry]");
    return c;
}

}  // namespace

std::variant<Parts, std::string> read_parts_text(std::string_view text, const std::string& name) {
    try {
        const toml::table all = toml::parse(text, name);
        const Section top(name, "", all, {"registry", "fleet"});
        Parts parts;
        if (const toml::node* const node = top.find("registry")) {
            if (!node->as_table()) top.wrong(node, "'registry' must be a table: [registry]");
            parts.registry = read_registry(name, *node->as_table());
        }
        if (const toml::node* const node = top.find("fleet")) {
            if (!node->as_table()) top.wrong(node, "'fleet' must be a table: [fleet]");
            parts.fleet = read_fleet(name, *node->as_table(), parts.registry);
        }
        return parts;
    } catch (const toml::parse_error& e) {
        return name + ":" + std::to_string(e.source().begin.line) + ": " + std::string(e.description());
    } catch (const Wrong& w) {
        return w.line;
    }
}

std::variant<Parts, std::string> read_parts(const std::string& path) {
    std::ifstream file(path);
    if (!file) return "cannot read " + path;
    // An empty file names no part.
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    if (file.bad()) return "cannot read " + path;
    return read_parts_text(text, path);
}

}  // namespace irismux
