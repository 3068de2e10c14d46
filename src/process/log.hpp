// Lines to standard error behind a level filter, bounded whatever happens.
#pragma once

#include <string_view>

namespace irismux::log {

enum class Level { error, warning, info, debug };

void show(Level most);
bool shown(Level level);
void write(Level level, std::string_view text);

}  // namespace irismux::log
