#include "bench/process_usage.hpp"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace irismux::bench {
namespace {

std::string proc(pid_t id, const char* what) { return "/proc/" + std::to_string(id) + '/' + what; }

}  // namespace

double processor_seconds(pid_t id) {
    // Fields behind the name, which may hold anything, counted from the state on.
    constexpr std::size_t user_time = 11, system_time = 12;
    std::ifstream in(proc(id, "stat"));
    std::string line;
    std::getline(in, line);
    const std::size_t name_end = line.rfind(')');
    if (name_end == std::string::npos) return 0;
    std::istringstream rest(line.substr(name_end + 1));
    std::vector<std::string> fields;
    for (std::string field; rest >> field;) fields.push_back(field);
    if (fields.size() <= system_time) return 0;
    const double ticks = std::atof(fields[user_time].c_str()) + std::atof(fields[system_time].c_str());
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t id) {
    constexpr double kib_a_mb = 1024;
    const std::string label = "VmRSS:";
    std::ifstream in(proc(id, "status"));
    for (std::string line; std::getline(in, line);)
        if (line.rfind(label, 0) == 0) return std::atof(line.c_str() + label.size()) / kib_a_mb;
    return 0;
}

std::size_t descriptors(pid_t id) {
    std::error_code gone;
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(proc(id, "fd"), gone))
        ++count;
    return count;
}

}  // namespace irismux::bench
