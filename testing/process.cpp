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

std::string proc(pid_t id, const char* what) { return "/proc/" + std::to_string(id) + '/' + what; }

std::vector<char*> pointers(const std::vector<std::string>& words) {
    std::vector<char*> all;
    all.reserve(words.size() + 1);
    for (const std::string& w : words) all.push_back(const_cast<char*>(w.c_str()));
    all.push_back(nullptr);
    return all;
}

// "0100007F:1F90" is 127.0.0.1:8080; longer ones (IPv6) stay as they are.
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
    std::error_code gone;
    for (const auto& entry : fs::directory_iterator(proc(id, "fd"), gone)) {
        const std::string to = fs::read_symlink(entry.path(), gone).string();
        if (!gone && to.rfind("socket:[", 0) == 0) found.insert(to.substr(8, to.size() - 9));
    }
    return found;
}

}  // namespace

Process::Process(const Options& start) {
    const std::vector<char*> argv = pointers(start.command), env = pointers(start.environment);
    const std::string log = start.log.empty() ? "/dev/null" : start.log;
    id_ = ::fork();
    if (id_ < 0) throw std::runtime_error("no process can be made");
    if (id_ > 0) return;
    // Only calls that are safe between fork and exec: the caller may have threads.
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (out >= 0) {
        ::dup2(out, 1);
        ::dup2(out, 2);
    }
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    if (start.kill_with_parent) ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit none{0, 0};
    if ((start.folder.empty() || ::chdir(start.folder.c_str()) == 0) &&
        (start.may_write || ::setrlimit(RLIMIT_FSIZE, &none) == 0))
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
    constexpr const char* listening = "0A";  // of the kernel's states of TCP
    const std::set<std::string> inodes = socket_inodes(id);
    std::vector<SocketInfo> found;
    for (const char* family : {"tcp", "tcp6", "udp", "udp6", "raw", "raw6", "unix", "netlink", "packet"}) {
        std::ifstream table(proc(id, "net/") + family);
        std::string line;
        std::getline(table, line);  // of headings
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
    std::error_code gone;
    std::size_t n = 0;
    for (const auto& entry : fs::directory_iterator(proc(id, "task"), gone)) n += entry.is_directory(gone);
    return n;
}

std::size_t children_of(pid_t id) {
    std::error_code gone;
    std::size_t n = 0;
    for (const auto& entry : fs::directory_iterator("/proc", gone)) {
        std::ifstream stat(entry.path() / "stat");
        std::string line;
        if (!std::getline(stat, line)) continue;
        // PID (NAME) STATE PPID; a name may hold anything.
        std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 1)));
        std::string state;
        pid_t parent = 0;
        n += (rest >> state >> parent) && parent == id;
    }
    return n;
}

std::string program_of(pid_t id) {
    std::error_code gone;
    return fs::read_symlink(proc(id, "exe"), gone).string();
}

double processor_seconds(pid_t id) {
    std::ifstream stat(proc(id, "stat"));
    std::string line;
    if (!std::getline(stat, line)) return 0;
    // PID (NAME) STATE PPID ... UTIME STIME, the 14th and 15th; a name may hold anything.
    std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 1)));
    std::string passed_over;
    for (int field = 3; field < 14; ++field) rest >> passed_over;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t resident_bytes(pid_t id) {
    std::ifstream statm(proc(id, "statm"));
    std::size_t all = 0, resident = 0;
    statm >> all >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t descriptors_of(pid_t id) {
    std::error_code gone;
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& entry : fs::directory_iterator(proc(id, "fd"), gone)) ++n;
    return n;
}

bool maps(pid_t id, const std::string& part_of_name) {
    std::ifstream all(proc(id, "maps"));
    for (std::string line; std::getline(all, line);)
        if (line.find(part_of_name) != std::string::npos) return true;
    return false;
}

}  // namespace irismux::test_support
