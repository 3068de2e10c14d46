#include "testing/shims.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace irismux::test_support {
namespace {

namespace fs = std::filesystem;

// Overwrites the file in place, because the process has this file mapped and would not see a new file.
template <class Settings>
void write_settings(const std::string& path, const Settings& settings) {
    if (!fs::exists(path)) std::ofstream(path).flush();
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.write(reinterpret_cast<const char*>(&settings), sizeof settings);
}

}  // namespace

Shims::Shims(ShimLibraries libraries) : libraries_(std::move(libraries)) {
    folder_ = (fs::temp_directory_path() / "irismux-shims-XXXXXX").string();
    if (!::mkdtemp(folder_.data()))
        throw std::runtime_error("cannot create a temporary folder for the shims in " +
                                 fs::temp_directory_path().string());
    clock_file_ = folder_ + "/clock";
    calls_file_ = folder_ + "/calls";
    set_clock({});
    set_calls({});
}

Shims::~Shims() {
    std::error_code gone;
    fs::remove_all(folder_, gone);
}

std::vector<std::string> Shims::environment() const {
    return {"LD_PRELOAD=" + libraries_.clock + ':' + libraries_.calls,
            "IRISMUX_CLOCK_SKEW_FILE=" + clock_file_, "IRISMUX_CALL_FAULTS_FILE=" + calls_file_,
            "ASAN_OPTIONS=verify_asan_link_order=0"};
}

void Shims::set_calls(const CallFaults& faults) { write_settings(calls_file_, faults); }
void Shims::set_clock(const ClockSkew& skew) { write_settings(clock_file_, skew); }

}  // namespace irismux::test_support
