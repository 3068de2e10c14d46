// Reads the parts file (TOML): the settings of the optional parts of a gateway, which the platform's
// configuration does not have. The path of the file is given when the process starts. Without a file every
// part is disabled.
//
// Durations are strings with a unit ("250ms", "2s", "1min"). A file with any error is rejected as a whole; an
// unknown key, or a value that has the wrong type or is out of bounds, is an error.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

#include "fleet/settings.hpp"
#include "registry/settings.hpp"

namespace irismux {

struct Parts {
    /// The registry that provides the endpoint list in place of the notice board.
    std::optional<registry::Settings> registry;
    /// Settings of the fleet. `irismux serve` applies them only if its command line names the parts file.
    std::optional<fleet::Settings> fleet;
};

/// The reason why a parts file is rejected.
struct PartsError {
    std::string file;
    std::size_t line = 0;  ///< 0 if the file cannot be read
    std::string problem;   ///< names the key and the values that are allowed

    /// Returns the error as one line for an operator.
    [[nodiscard]] std::string text() const;
};

[[nodiscard]] std::variant<Parts, PartsError> read_parts(const std::string& path);
/// Reads `text` as the content of a parts file with the name `file`.
[[nodiscard]] std::variant<Parts, PartsError> read_parts_text(std::string_view text, const std::string& file);

}  // namespace irismux
