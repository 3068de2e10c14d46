// Reads the values of one table of a parts file, and reports errors with their file, line and key.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "gateway/parts.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// Every member function that reads a value throws PartsError if the value is invalid. Functions without a
/// default also throw if the key is missing.
class PartsSection {
public:
    /// Throws PartsError if the table has a key that is not among `known_keys`.
    /// @param file, table must outlive the section.
    /// @param name the table's name; empty if the table is the whole file.
    PartsSection(const std::string& file, std::string name, const toml::table& table,
                 std::initializer_list<std::string_view> known_keys);

    /// Throws PartsError with the line of the node, or with the line of the table if the node is null.
    [[noreturn]] void fail(const toml::node* node, const std::string& problem) const;
    /// Returns the name of the table in brackets, as in the file.
    [[nodiscard]] std::string heading() const { return '[' + name_ + ']'; }

    /// Returns null if the key is missing.
    [[nodiscard]] const toml::node* find(std::string_view key) const { return table_.get(key); }
    [[nodiscard]] const toml::node& require(std::string_view key) const;
    [[nodiscard]] std::string text(const toml::node& node, std::string_view key) const;
    [[nodiscard]] std::string text_or(std::string_view key, std::string default_value) const;
    [[nodiscard]] Duration duration_or(std::string_view key, Duration default_value, Duration min) const;
    [[nodiscard]] std::size_t count_or(std::string_view key, std::size_t default_value, std::int64_t min,
                                       std::int64_t max) const;
    /// Returns the value of a required key that holds a name. A name is a string of 1 to 128 visible ASCII
    /// characters without spaces.
    [[nodiscard]] std::string name_of(std::string_view key) const;

private:
    void fail_unknown_key(const toml::node& node, std::string_view key,
                          std::initializer_list<std::string_view> known_keys) const;

    const std::string& file_;
    std::string name_;
    const toml::table& table_;
};

}  // namespace irismux
