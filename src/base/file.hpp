// Reads whole files.
#pragma once

#include <string>
#include <variant>

namespace irismux {

/// The reason why a file cannot be read.
struct FileError {
    int error_number = 0;  ///< value of errno

    /// @return true if the same call may succeed soon, because the call was interrupted, descriptors or
    /// memory were exhausted, or the device reported an error
    [[nodiscard]] bool is_transient() const;
    [[nodiscard]] std::string message() const;
};

[[nodiscard]] std::variant<std::string, FileError> read_file(const std::string& path);

}  // namespace irismux
