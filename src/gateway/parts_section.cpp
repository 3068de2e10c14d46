#include "gateway/parts_section.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace irismux {
namespace {

constexpr double max_duration_s = 86'400;
constexpr std::size_t max_name_length = 128;

// Returns the Levenshtein distance of two strings.
std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] != b[j] ? 1 : 0);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, substituted});
        }
    }
    return row[b.size()];
}

// Parses a non-negative number that is followed by one of the units "ms", "s" and "min".
std::optional<Duration> parse_duration(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || value < 0) return std::nullopt;
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    for (const auto& [name, seconds] :
         {std::pair<std::string_view, double>{"ms", 1e-3}, {"s", 1.0}, {"min", 60.0}})
        if (unit == name && value * seconds <= max_duration_s) return Duration::seconds(value * seconds);
    return std::nullopt;
}

std::string quoted(std::string_view key) { return "'" + std::string(key) + "'"; }

}  // namespace

PartsSection::PartsSection(const std::string& file, std::string name, const toml::table& table,
                           std::initializer_list<std::string_view> known_keys)
    : file_(file), name_(std::move(name)), table_(table) {
    for (const auto& [key, node] : table)
        if (std::find(known_keys.begin(), known_keys.end(), key.str()) == known_keys.end())
            fail_unknown_key(node, key.str(), known_keys);
}

void PartsSection::fail_unknown_key(const toml::node& node, std::string_view key,
                                    std::initializer_list<std::string_view> known_keys) const {
    const auto* const nearest =
        std::min_element(known_keys.begin(), known_keys.end(), [&](std::string_view a, std::string_view b) {
            return edit_distance(a, key) < edit_distance(b, key);
        });
    const std::string where = name_.empty() ? "" : " in " + heading();
    fail(&node, "unknown key " + quoted(key) + where + "; the most similar known key is " + quoted(*nearest));
}

void PartsSection::fail(const toml::node* node, const std::string& problem) const {
    const auto line = node ? node->source().begin.line : table_.source().begin.line;
    throw PartsError{file_, line, problem};
}

const toml::node& PartsSection::require(std::string_view key) const {
    const toml::node* const node = find(key);
    if (!node) fail(nullptr, heading() + " needs " + quoted(key));
    return *node;
}

std::string PartsSection::text(const toml::node& node, std::string_view key) const {
    const auto value = node.value_exact<std::string>();
    if (!value) fail(&node, quoted(key) + " must be a string in quotes");
    return *value;
}

std::string PartsSection::text_or(std::string_view key, std::string default_value) const {
    const toml::node* const node = find(key);
    if (!node) return default_value;
    return text(*node, key);
}

Duration PartsSection::duration_or(std::string_view key, Duration default_value, Duration min) const {
    const toml::node* const node = find(key);
    if (!node) return default_value;
    const auto value = node->value_exact<std::string>();
    const auto duration = value ? parse_duration(*value) : std::nullopt;
    if (!duration)
        fail(node, quoted(key) + " must be a duration with a unit, as in \"250ms\", \"2s\" or \"1min\"");
    if (*duration < min)
        fail(node, quoted(key) + " must be " + std::to_string(min.micros() / 1000) + "ms or more");
    return *duration;
}

std::size_t PartsSection::count_or(std::string_view key, std::size_t default_value, std::int64_t min,
                                   std::int64_t max) const {
    const toml::node* const node = find(key);
    if (!node) return default_value;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min || *value > max)
        fail(node, quoted(key) + " must be a whole number from " + std::to_string(min) + " to " +
                       std::to_string(max));
    return static_cast<std::size_t>(*value);
}

std::string PartsSection::name_of(std::string_view key) const {
    std::string value = text(require(key), key);
    const bool has_invisible =
        std::any_of(value.begin(), value.end(), [](unsigned char c) { return c <= ' ' || c > '~'; });
    if (value.empty() || value.size() > max_name_length || has_invisible)
        fail(find(key), quoted(key) + " must be 1 to 128 visible ASCII characters without spaces");
    return value;
}

}  // namespace irismux
