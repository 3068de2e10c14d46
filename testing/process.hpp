// Starts a program as a child process and ends the process. The functions below read the state of any process
// from Linux's /proc, without help from the process: its sockets, threads, children, executable and use of
// resources.
#pragma once

#include <sys/types.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace irismux::test_support {

class Process {
public:
    struct Options {
        std::vector<std::string> command;  // path and arguments
        std::vector<std::string> environment;
        /// Working directory of the process. If empty, the process keeps the caller's.
        std::string folder;
        /// File to which the process appends its output. If empty, the output is discarded.
        std::string log;
        /// If false, the kernel kills the process (SIGXFSZ) when the process writes the first byte to a file.
        bool may_write = true;
        /// If true, the kernel kills the process when the thread that started the process ends for any
        /// reason.
        bool kill_with_parent = false;
    };
    // Throws std::runtime_error if no process can be created.
    explicit Process(const Options& options);
    ~Process();  // kills the process if it still runs
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t id() const { return id_; }
    bool running();
    // The status from waitpid() after the process has ended.
    std::optional<int> status() const { return status_; }
    // Returns whether the process has exited by itself with code 0.
    bool exited_cleanly() const { return status_ == 0; }
    void signal(int number);
    void kill_and_wait();

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

struct SocketInfo {
    std::string family;  // the table in /proc/net that lists the socket: tcp, tcp6, udp, ...
    std::string local, remote;
    bool listening = false;
    auto operator<=>(const SocketInfo&) const = default;
};

// Returns the process's sockets that a table in /proc/net lists. No table lists sockets that are neither
// bound nor connected, so the result lacks these sockets.
std::vector<SocketInfo> sockets_of(pid_t id);
std::size_t threads_of(pid_t id);
std::size_t children_of(pid_t id);
std::string program_of(pid_t id);
double processor_seconds(pid_t id);    // user and system time used so far
std::size_t resident_bytes(pid_t id);  // resident set size
std::size_t descriptors_of(pid_t id);
// Returns whether the process maps a file whose path contains `part_of_name`.
bool maps(pid_t id, const std::string& part_of_name);

}  // namespace irismux::test_support
