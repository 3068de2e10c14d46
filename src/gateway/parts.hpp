// The parts file: what a gateway has besides what its platform gives it. TOML, named at the start; without it
// every part is off.
//
// Durations are text with a unit ("250ms", "2s", "1min"). The file is used whole or not at all: an unknown
// key, or a value of the wrong type or out of bounds, is an error.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

#include "fleet/settings.hpp"
#include "registry/settings.hpp"

namespace irismux {

struct Parts {
    /// Where the endpoint list comes from, in place of the notice board.
    std::optional<registry::Settings> registry;
    /// Followed only if the command line names the file.
    std::optional<fleet::Settings> fleet;
};

/// Why a parts file cannot be used.
struct PartsError {
    std::string file;
    std::size_t line = 0;  ///< 0: the file cannot be read
    std::string problem;   ///< names the key, and what would be right

    /// One line for an operator.
    [[nodiscard]] std::string text() const;
};

[[nodiscard]] std::variant<Parts, PartsError> read_parts(const std::string& path);
/// As if a file of that name held the text.
[[nodiscard]] std::variant<Parts, PartsError> read_parts_text(std::string_view text, const std::string& file);

}  // namespace irismux
