// Parts that a gateway may be fitted with besides what its platform gives it: a TOML file, named at start.
// Without the file every part is off.
//
// Durations are text with a unit ("250ms", "2s", "1min"). The file is used whole or not at all: an unknown
// key, a value of the wrong type or out of bounds is one line that names file, line, key and what would be
// right.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fleet/settings.hpp"
#include "registry/settings.hpp"

namespace irismux {

struct Parts {
    std::optional<registry::Settings>
        registry;                          // the list of caches comes from there, and not from the board
    std::optional<fleet::Settings> fleet;  // counts only where the command line names the file
};

// The parts, or one plain line that says why the file can't be used.
std::variant<Parts, std::string> read_parts(const std::string& path);
// As if a file of that name held the text.
std::variant<Parts, std::string> read_parts_text(std::string_view text, const std::string& name);

}  // namespace irismux
