// Starts a program as a child process and ends it, and reads its state from outside through Linux's /proc:
// sockets, threads, children, executable. The process itself does not take part.
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
        /// Working directory; empty is the caller's.
        std::string folder;
        /// File to which the process appends its output; empty discards it.
        std::string log;
        /// If false, the first byte that the process writes to a file kills it (SIGXFSZ).
        bool may_write = true;
        /// Kills the process when the thread that started it ends for any reason.
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
    // Whether the process has exited by itself with code 0.
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

// Omits sockets that no table lists: those that are neither bound nor connected.
std::vector<SocketInfo> sockets_of(pid_t id);
std::size_t threads_of(pid_t id);
std::size_t children_of(pid_t id);
std::string program_of(pid_t id);
double processor_seconds(pid_t id);    // user and system time used so far
std::size_t resident_bytes(pid_t id);  // resident set size
std::size_t descriptors_of(pid_t id);
bool maps(pid_t id, const std::string& part_of_name);  // whether a file with such a name is mapped

}  // namespace irismux::test_support
