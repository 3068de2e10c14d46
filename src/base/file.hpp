// Reads whole files.
#pragma once

#include <string>
#include <variant>

namespace irismux {

/// Why a file cannot be read.
struct FileError {
    int error_number = 0;  ///< as in errno

    /// Whether the same call may succeed soon: interrupted, out of descriptors or memory, a device error.
    [[nodiscard]] bool is_transient() const;
    [[nodiscard]] std::string message() const;
};

[[nodiscard]] std::variant<std::string, FileError> read_file(const std::string& path);

}  // namespace irismux
