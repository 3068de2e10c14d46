// One table of a parts file: reads its values, and says what is wrong with one in terms of file, line and
// key.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "gateway/parts.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Every member function that reads throws PartsError if the value is missing or not as it must be. Without a
/// default the key must be there.
class PartsSection {
public:
    /// Throws PartsError if the table has a key that is not among `known_keys`.
    /// @param file, table must outlive the section. @param name empty: the table is the whole file.
    PartsSection(const std::string& file, std::string name, const toml::table& table,
                 std::initializer_list<std::string_view> known_keys);

    /// Throws the error with the line of the node; null: with the line of the table.
    [[noreturn]] void fail(const toml::node* node, const std::string& problem) const;
    /// The name as it stands in the file, in brackets.
    [[nodiscard]] std::string heading() const { return '[' + name_ + ']'; }

    /// Null if the key is not there.
    [[nodiscard]] const toml::node* find(std::string_view key) const { return table_.get(key); }
    [[nodiscard]] const toml::node& require(std::string_view key) const;
    [[nodiscard]] std::string text(const toml::node& node, std::string_view key) const;
    [[nodiscard]] std::string text_or(std::string_view key, std::string default_value) const;
    [[nodiscard]] Duration duration_or(std::string_view key, Duration default_value, Duration min) const;
    [[nodiscard]] std::size_t count_or(std::string_view key, std::size_t default_value, std::int64_t min,
                                       std::int64_t max) const;
    /// Text that names something: 1 to 128 visible ASCII characters without spaces.
    [[nodiscard]] std::string name_of(std::string_view key) const;

private:
    void fail_unknown_key(const toml::node& node, std::string_view key,
                          std::initializer_list<std::string_view> known_keys) const;

    const std::string& file_;
    std::string name_;
    const toml::table& table_;
};

}  // namespace irismux
