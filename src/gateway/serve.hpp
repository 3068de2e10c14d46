// Implements `irismux serve`, which runs one gateway in the foreground until SIGTERM or SIGINT.
#pragma once

#include <string>

namespace irismux {

/// Reads the environment variables and the files that they name, and runs a gateway.
/// @param parts_path the value of --parts; if it is empty, IRISMUX_PARTS is used, if set.
/// @return the exit code: 0 after a shutdown; 2 with one line on standard error if the start failed.
[[nodiscard]] int serve(std::string parts_path);

/// Prints the line on standard error with the prefix "irismux: ".
/// @return the exit code of a command that has failed.
int exit_with_error(const std::string& line);

}  // namespace irismux
