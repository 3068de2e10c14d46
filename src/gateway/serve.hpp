// `irismux serve`: one gateway in the foreground, until SIGTERM.
#pragma once

#include <string>

namespace irismux {

/// Reads the environment and the files it names, and runs a gateway.
/// @param parts_path as --parts names it; empty: as IRISMUX_PARTS does, if it is set.
/// @return the exit code: 0 after a shutdown; 2 with one line on standard error if the start failed.
[[nodiscard]] int serve(std::string parts_path);

/// Prints the line on standard error as irismux's.
/// @return the exit code of a command that cannot be carried out.
int exit_with_error(const std::string& line);

}  // namespace irismux
