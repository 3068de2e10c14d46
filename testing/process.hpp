// A program as a process of its own, started and ended by whoever holds it, and what the system shows of it
// from outside (Linux, /proc): its sockets, threads, children and program. Nothing here asks the process.
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
        std::vector<std::string> command;  // a path, then the arguments
        std::vector<std::string> environment;
        std::string folder;             // to start in; empty: the caller's
        std::string log;                // file that its output is added to; empty: nowhere
        bool may_write = true;          // false: the first byte written to any file kills it (SIGXFSZ)
        bool kill_with_parent = false;  // killed once the thread that started it has ended, however it did
    };
    // Throws std::runtime_error where no process can be made.
    explicit Process(const Options& start);
    ~Process();  // killed, if it still runs
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t id() const { return id_; }
    bool running();
    std::optional<int> status() const { return status_; }  // as waitpid() tells it, once it has ended
    bool exited_cleanly() const { return status_ == 0; }   // by itself, with exit code 0
    void signal(int number);
    void kill_and_wait();

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

struct SocketInfo {
    std::string family;  // the table of /proc/net that names it: tcp, tcp6, udp, ...
    std::string local, remote;
    bool listening = false;
    auto operator<=>(const SocketInfo&) const = default;
};

// Sockets that are not in any table (made, and neither bound nor connected) are left out.
std::vector<SocketInfo> sockets_of(pid_t id);
std::size_t threads_of(pid_t id);
std::size_t children_of(pid_t id);
std::string program_of(pid_t id);
double processor_seconds(pid_t id);    // used so far, in user and system mode
std::size_t resident_bytes(pid_t id);  // of its memory, in the machine's
std::size_t descriptors_of(pid_t id);
bool maps(pid_t id, const std::string& part_of_name);  // whether such a file is mapped into it

}  // namespace irismux::test_support
