#include "process/log.hpp"

#include <chrono>
#include <iostream>
#include <string>

namespace irismux::log {
namespace {

constexpr int lines_a_second = 50;  // below debug; a trouble must not fill a disk or hold up the loop
constexpr const char* names[] = {"error", "warning", "info", "debug"};

Level most_shown = Level::info;
std::chrono::steady_clock::time_point second;
int lines = 0, left_out = 0;

bool within_bound() {
    const auto now = std::chrono::steady_clock::now();
    if (now - second >= std::chrono::seconds(1)) {
        if (left_out > 0) std::clog << "warning: " << left_out << " lines left out\n";
        second = now;
        lines = left_out = 0;
    }
    if (++lines <= lines_a_second) return true;
    ++left_out;
    return false;
}

}  // namespace

void show(Level most) { most_shown = most; }
bool shown(Level level) { return level <= most_shown; }

void write(Level level, std::string_view text) {
    if (!shown(level) || (level != Level::debug && !within_bound())) return;
    std::string line = names[static_cast<int>(level)];
    line.append(": ").append(text).append("\n");
    std::clog << line << std::flush;  // whole lines, one write each
}

}  // namespace irismux::log
