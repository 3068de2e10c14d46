// Whole files, with what went wrong as a value.
#pragma once

#include <string>
#include <variant>

namespace irismux {

struct FileError {
    int number = 0;  // as in errno
    // Whether the same call may succeed before long: a signal came, descriptors or memory had run out, a
    // device has failed once.
    bool passes() const;
    std::string text() const;
};

std::variant<std::string, FileError> read_file(const std::string& path);

}  // namespace irismux
