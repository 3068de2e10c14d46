// Conversion of text to numbers.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace irismux {

/// @return the number that the whole of `text` represents, or std::nullopt if the text is empty, is not a
/// number, or the number does not fit.
template <std::integral Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text, int base = 10) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    if (error != std::errc{} || stop != end) return std::nullopt;
    return number;
}

template <std::floating_point Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end) return std::nullopt;
    return number;
}

}  // namespace irismux
