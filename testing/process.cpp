#include "testing/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace irismux::test_support {
namespace {

namespace fs = std::filesystem;

std::string proc_path(pid_t id, const char* what) { return "/proc/" + std::to_string(id) + '/' + what; }

std::vector<char*> pointers(const std::vector<std::string>& words) {
    std::vector<char*> all;
    all.reserve(words.size() + 1);
    for (const std::string& w : words) all.push_back(const_cast<char*>(w.c_str()));
    all.push_back(nullptr);
    return all;
}

// Converts an address from the kernel's tables: "0100007F:1F90" becomes 127.0.0.1:8080. Returns longer
// addresses (IPv6) unchanged.
std::string address_of(const std::string& hex) {
    unsigned ip = 0, port = 0;
    if (hex.size() != 13 || std::sscanf(hex.c_str(), "%8X:%4X", &ip, &port) != 2) return hex;
    std::ostringstream text;
    text << (ip & 255) << '.' << (ip >> 8 & 255) << '.' << (ip >> 16 & 255) << '.' << (ip >> 24) << ':'
         << port;
    return text.str();
}

std::set<std::string> socket_inodes(pid_t id) {
    std::set<std::string> found;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(proc_path(id, "fd"), error)) {
        const std::string to = fs::read_symlink(entry.path(), error).string();
        if (!error && to.rfind("socket:[", 0) == 0) found.insert(to.substr(8, to.size() - 9));
    }
    return found;
}

}  // namespace

Process::Process(const Options& options) {
    const std::vector<char*> argv = pointers(options.command), env = pointers(options.environment);
    const std::string log = options.log.empty() ? "/dev/null" : options.log;
    id_ = ::fork();
    if (id_ < 0) throw std::runtime_error("cannot create a process to run " + options.command.front());
    if (id_ > 0) return;
    // The caller may have several threads, so the child makes only calls that are safe between fork and exec.
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (out >= 0) {
        ::dup2(out, 1);
        ::dup2(out, 2);
    }
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    if (options.kill_with_parent) ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit none{0, 0};
    if ((options.folder.empty() || ::chdir(options.folder.c_str()) == 0) &&
        (options.may_write || ::setrlimit(RLIMIT_FSIZE, &none) == 0))
        ::execve(argv[0], argv.data(), env.data());
    ::_exit(127);
}

Process::~Process() { kill_and_wait(); }

bool Process::running() {
    int status = 0;
    if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_) status_ = status;
    return !status_;
}

void Process::signal(int number) {
    if (running()) ::kill(id_, number);
}

void Process::kill_and_wait() {
    if (!running()) return;
    ::kill(id_, SIGKILL);
    int status = 0;
    if (::waitpid(id_, &status, 0) == id_) status_ = status;
}

std::vector<SocketInfo> sockets_of(pid_t id) {
    constexpr const char* listening = "0A";  // TCP state in the kernel's tables
    const std::set<std::string> inodes = socket_inodes(id);
    std::vector<SocketInfo> found;
    for (const char* family : {"tcp", "tcp6", "udp", "udp6", "raw", "raw6", "unix", "netlink", "packet"}) {
        std::ifstream table(proc_path(id, "net/") + family);
        std::string line;
        std::getline(table, line);  // the heading
        while (std::getline(table, line)) {
            std::istringstream in(line);
            std::vector<std::string> words;
            for (std::string word; in >> word;) words.push_back(word);
            const bool by_address = std::string(family).find_first_of("tur") == 0 && family[1] != 'n';
            const std::size_t at = by_address ? 9 : std::string(family) == "unix" ? 6 : words.size() - 1;
            if (words.size() <= at || !inodes.contains(words[at])) continue;
            if (by_address)
                found.push_back({family, address_of(words[1]), address_of(words[2]), words[3] == listening});
            else
                found.push_back({family, words.back(), "", false});
        }
    }
    return found;
}

std::size_t threads_of(pid_t id) {
    std::error_code error;
    std::size_t n = 0;
    for (const auto& entry : fs::directory_iterator(proc_path(id, "task"), error))
        n += entry.is_directory(error);
    return n;
}

std::size_t children_of(pid_t id) {
    std::error_code error;
    std::size_t n = 0;
    for (const auto& entry : fs::directory_iterator("/proc", error)) {
        std::ifstream stat(entry.path() / "stat");
        std::string line;
        if (!std::getline(stat, line)) continue;
        // The line begins with PID (NAME) STATE PPID. NAME may contain any character, so the parsing starts
        // after the last parenthesis.
        std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 1)));
        std::string state;
        pid_t parent = 0;
        n += (rest >> state >> parent) && parent == id;
    }
    return n;
}

std::string program_of(pid_t id) {
    std::error_code error;
    return fs::read_symlink(proc_path(id, "exe"), error).string();
}

double processor_seconds(pid_t id) {
    std::ifstream stat(proc_path(id, "stat"));
    std::string line;
    if (!std::getline(stat, line)) return 0;
    // The line holds PID (NAME) STATE PPID ... UTIME STIME; the last two are fields 14 and 15. NAME may
    // contain any character, so the parsing starts after the last parenthesis.
    std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 1)));
    std::string skipped;
    for (int field = 3; field < 14; ++field) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t resident_bytes(pid_t id) {
    std::ifstream statm(proc_path(id, "statm"));
    std::size_t all = 0, resident = 0;
    statm >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t descriptors_of(pid_t id) {
    std::error_code error;
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& entry : fs::directory_iterator(proc_path(id, "fd"), error)) ++n;
    return n;
}

bool maps(pid_t id, const std::string& part_of_name) {
    std::ifstream all(proc_path(id, "maps"));
    for (std::string line; std::getline(all, line);)
        if (line.find(part_of_name) != std::string::npos) return true;
    return false;
}

}  // namespace irismux::test_support
