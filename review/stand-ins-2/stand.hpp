// Stand-ins that the cases 6 to 10 share: caches (RESP), a notice board (HTTP), a client (FastCGI) and the
// processes that a case starts. They follow the users' protocol page. Each object has threads of its own;
// every address is a loopback address. A record of what was sent, answered and run goes to a file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace stand {

using nlohmann::json;

inline std::int64_t unix_us() {
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}
inline double now_ms() { return static_cast<double>(unix_us()) / 1000; }
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
}
inline void sleep_until(double at_ms) { sleep_ms(at_ms - now_ms()); }

// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// --- the record
// ------------------------------------------------------------------------------------------------

class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now_ms()) {
        if (!file_) throw CannotRun("cannot write " + path);
    }
    ~Record() { std::fclose(file_); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.1f ms  ", now_ms() - start_);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }
    // A line of the result, which is printed too.
    void result(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        line("%s", text);
        std::puts(text);
        std::fflush(stdout);
    }
    [[nodiscard]] double since_start(double at_ms) const { return at_ms - start_; }

private:
    std::FILE* file_;
    double start_;
    std::mutex mutex_;
};

// --- sockets
// ---------------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int open_listener(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
        throw CannotRun("cannot listen on loopback");
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

// A port that was free a moment ago.
inline int free_port() {
    int port = 0;
    ::close(open_listener(port));
    return port;
}

inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// --- caches
// ----------------------------------------------------------------------------------------------------

struct Pull {
    double first_byte_ms = 0, whole_ms = 0;
    std::string id, fields, body;
    [[nodiscard]] std::string field(const std::string& name) const {
        const std::string wanted = name + "=";
        std::size_t at = 0;
        while (at < fields.size()) {
            const std::size_t end = std::min(fields.find(',', at), fields.size());
            if (fields.compare(at, wanted.size(), wanted) == 0)
                return fields.substr(at + wanted.size(), end - at - wanted.size());
            at = end + 1;
        }
        return {};
    }
};

struct Answer {
    double after_ms = 0;
    std::string word = "HIT", fields, body;
    bool silent = false;
    bool after_its_time = false;      // it comes in spite of a KILL, and the connection ends behind it
    double second_copy_after_ms = 0;  // more than 0: the same answer comes once more, so much later
};

inline std::string resp_array(const std::vector<std::string>& arguments) {
    std::string out = "*" + std::to_string(arguments.size()) + "\r\n";
    for (const std::string& a : arguments) out += "$" + std::to_string(a.size()) + "\r\n" + a + "\r\n";
    return out;
}

// A cache, parent or origin. It answers each PULL by the rule that the case sets, after the time that the
// rule says; a KILL takes an answer back. It counts each PULL with the time of its first byte.
class Cache {
public:
    using Rule = std::function<Answer(const Pull&)>;
    Cache(std::string id, Record& record, Rule rule)
        : id_(std::move(id)), record_(record), rule_(std::move(rule)) {
        listener_ = open_listener(port_);
        std::thread([this] { accept_all(); }).detach();
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::string address() const { return address_of(port_); }
    [[nodiscard]] std::vector<Pull> pulls() const {
        const std::lock_guard lock(mutex_);
        return pulls_;
    }
    // While it is set, the cache takes what comes and answers nothing.
    std::atomic<bool> hangs{false};

private:
    struct Peer {
        int fd = -1;
        std::mutex mutex;
        std::set<std::string> killed;
        bool open = true;
    };
    void accept_all() {
        for (;;) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            auto peer = std::make_shared<Peer>();
            peer->fd = fd;
            std::thread([this, peer] { serve(peer); }).detach();
        }
    }
    void serve(const std::shared_ptr<Peer>& peer) {
        std::string in;
        char bytes[65536];
        double first_byte = 0;
        for (;;) {
            const ssize_t n = ::recv(peer->fd, bytes, sizeof bytes, 0);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) break;
            if (in.empty()) first_byte = now_ms();
            in.append(bytes, static_cast<std::size_t>(n));
            std::vector<std::string> arguments;
            while (take(in, arguments)) {
                handle(peer, arguments, first_byte);
                first_byte = now_ms();
            }
        }
        const std::lock_guard lock(peer->mutex);
        peer->open = false;
        ::close(peer->fd);
    }
    static bool take(std::string& in, std::vector<std::string>& arguments) {
        arguments.clear();
        std::size_t at = 0;
        const auto number = [&](char mark) -> long {
            const std::size_t end = in.find("\r\n", at);
            if (end == std::string::npos || in[at] != mark) return -1;
            const long value = std::atol(in.c_str() + at + 1);
            at = end + 2;
            return value;
        };
        if (in.empty()) return false;
        const long count = number('*');
        if (count < 0) return false;
        for (long i = 0; i < count; ++i) {
            if (at >= in.size()) return false;
            const long length = number('$');
            if (length < 0 || in.size() < at + static_cast<std::size_t>(length) + 2) return false;
            arguments.push_back(in.substr(at, static_cast<std::size_t>(length)));
            at += static_cast<std::size_t>(length) + 2;
        }
        in.erase(0, at);
        return true;
    }
    void handle(const std::shared_ptr<Peer>& peer, const std::vector<std::string>& a, double first_byte) {
        if (a.size() >= 2 && a[0] == "ECHO") return write(peer, resp_array({a[1], "PONG", "-", ""}));
        if (a.size() >= 2 && a[0] == "KILL") {
            record_.line("cache %s: KILL %s", id_.c_str(), a[1].c_str());
            const std::lock_guard lock(peer->mutex);
            peer->killed.insert(a[1]);
            return;
        }
        if (a.size() < 4 || a[0] != "PULL") return;
        const Pull pull{first_byte, now_ms(), a[1], a[2], a[3]};
        record_.line("cache %s: PULL %s %s (%zu bytes)", id_.c_str(), a[1].c_str(), a[2].c_str(),
                     a[3].size());
        {
            const std::lock_guard lock(mutex_);
            pulls_.push_back(pull);
        }
        {
            const std::lock_guard lock(peer->mutex);
            peer->killed.erase(pull.id);
        }
        const Answer answer = rule_(pull);
        if (answer.silent) return;
        std::thread([this, peer, pull, answer] {
            sleep_ms(answer.after_ms);
            {
                const std::lock_guard lock(peer->mutex);
                if (peer->killed.contains(pull.id) && !answer.after_its_time) return;
            }
            const std::string bytes =
                resp_array({pull.id, answer.word, answer.fields.empty() ? "-" : answer.fields, answer.body});
            record_.line("cache %s: %s %s", id_.c_str(), answer.word.c_str(), pull.id.c_str());
            write(peer, bytes);
            if (answer.after_its_time) {
                const std::lock_guard lock(peer->mutex);
                if (peer->open) ::shutdown(peer->fd, SHUT_RDWR);
            }
            if (answer.second_copy_after_ms <= 0) return;
            sleep_ms(answer.second_copy_after_ms);
            record_.line("cache %s: %s %s once more", id_.c_str(), answer.word.c_str(), pull.id.c_str());
            write(peer, bytes);
        }).detach();
    }
    void write(const std::shared_ptr<Peer>& peer, const std::string& bytes) const {
        const std::lock_guard lock(peer->mutex);
        if (peer->open && !hangs) send_all(peer->fd, bytes);
    }

    std::string id_;
    Record& record_;
    Rule rule_;
    int port_ = 0, listener_ = -1;
    mutable std::mutex mutex_;
    std::vector<Pull> pulls_;
};

// A good answer to a read: a copy that the origin gave out just now.
inline Answer good_answer(const Pull&, double after_ms, std::size_t bytes) {
    return {after_ms,
            "HIT",
            "n=cached,tag=00000000000000aa,minted=" + std::to_string(unix_us() / 1000),
            std::string(bytes, 'x'),
            false,
            false,
            0};
}

// --- the notice board
// ------------------------------------------------------------------------------------------

// A board that holds each poll until there is a later event or its time is over. `stop_in_answer` may tell it
// to stop in the middle of an answer and to keep that connection open.
class Board {
public:
    explicit Board(Record& record) : record_(record) {
        listener_ = open_listener(port_);
        std::thread([this] { accept_all(); }).detach();
    }
    [[nodiscard]] std::string address() const { return address_of(port_); }
    // Publishes an event and returns its number.
    std::int64_t post(json event) {
        const std::lock_guard lock(mutex_);
        event["rev"] = events_.size() + 1;
        events_.push_back(std::move(event));
        changed_.notify_all();
        record_.line("board: event %zu %s", events_.size(), events_.back().dump().substr(0, 160).c_str());
        return static_cast<std::int64_t>(events_.size());
    }
    [[nodiscard]] json known() const {
        const std::lock_guard lock(mutex_);
        return {{"rev", events_.size()}, {"notices", events_}};
    }
    // Of an answer to a poll behind event `watch` whose body this is: the number of its bytes after which the
    // board stops, or std::nullopt for a whole answer.
    std::function<std::optional<std::size_t>(std::int64_t watch, const std::string& body)> stop_in_answer =
        [](std::int64_t, const std::string&) { return std::nullopt; };
    // How long each answer takes longer than it should; polls whose connection has been closed meanwhile get
    // none.
    std::atomic<int> answers_late_by_ms{0};

private:
    void accept_all() {
        for (;;) {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) return;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }
    void serve(int fd) {
        std::string in;
        char bytes[4096];
        for (;;) {
            const std::size_t end = in.find("\r\n\r\n");
            if (end == std::string::npos) {
                const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
                if (n < 0 && errno == EINTR) continue;
                if (n <= 0) break;
                in.append(bytes, static_cast<std::size_t>(n));
                continue;
            }
            const std::size_t watch = in.find("watch="), linger = in.find("linger=");
            const std::int64_t since = std::atoll(in.c_str() + watch + 6);
            const double linger_ms = std::min(5000.0, std::atof(in.c_str() + linger + 7));
            in.erase(0, end + 4);
            if (!answer(fd, since, linger_ms)) break;
        }
        ::close(fd);
    }
    bool answer(int fd, std::int64_t since, double linger_ms) {
        std::string body;
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, std::chrono::microseconds(static_cast<std::int64_t>(linger_ms * 1000)),
                              [&] { return static_cast<std::int64_t>(events_.size()) > since; });
            json notices = json::array();
            for (std::size_t n = static_cast<std::size_t>(std::max<std::int64_t>(0, since));
                 n < events_.size(); ++n)
                notices.push_back(events_[n]);
            body = json{{"rev", events_.size()}, {"notices", notices}}.dump();
            if (!notices.empty())
                record_.line("board: answers the poll behind event %lld with %zu events",
                             static_cast<long long>(since), notices.size());
        }
        if (const int late = answers_late_by_ms.load(); late > 0) {
            pollfd p{fd, POLLIN | POLLRDHUP, 0};
            if (::poll(&p, 1, late) > 0) {
                record_.line("board: the poller has gone, %s",
                             body.find("\"notices\":[]") == std::string::npos
                                 ? "an answer WITH EVENTS is not taken"
                                 : "an empty answer is not taken");
                return false;
            }
        }
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n";
        const auto stop = stop_in_answer(since, body);
        if (!stop) return send_all(fd, head + body);
        record_.line("board: stops in the middle of this answer, after %zu of %zu bytes, and stays open",
                     *stop, body.size());
        send_all(fd, head + body.substr(0, *stop));
        char byte = 0;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
        return false;
    }

    Record& record_;
    int port_ = 0, listener_ = -1;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<json> events_;
};

inline json server(const std::string& id, const std::string& kind, const std::string& zone,
                   const std::string& address, const std::string& state) {
    return {{"id", id},  {"addr", address}, {"zone", zone}, {"kind", kind},
            {"cell", 0}, {"state", state},  {"weight", 1},  {"started_ms", 0}};
}
inline json pool_event(bool full, const json& servers) {
    static std::atomic<int> version{0};
    return {{"pool", {{"version", ++version}, {"full", full}, {"servers", servers}}}};
}

// --- a client
// --------------------------------------------------------------------------------------------------

namespace fcgi {
inline std::string record(int type, int request, std::string_view content) {
    std::string out;
    const auto size = content.size();
    const char head[8] = {1,
                          static_cast<char>(type),
                          static_cast<char>(request >> 8),
                          static_cast<char>(request),
                          static_cast<char>(size >> 8),
                          static_cast<char>(size),
                          0,
                          0};
    out.append(head, 8);
    out.append(content);
    return out;
}
inline std::string begin(int request) {
    return record(1, request, std::string_view("\0\1\1\0\0\0\0\0", 8));  // Responder, KEEP_CONN
}
inline std::string pair(const std::string& name, const std::string& value) {
    std::string out;
    for (const std::size_t size : {name.size(), value.size()}) {
        if (size < 128) {
            out += static_cast<char>(size);
        } else {
            out += static_cast<char>(0x80 | (size >> 24));
            out += static_cast<char>(size >> 16);
            out += static_cast<char>(size >> 8);
            out += static_cast<char>(size);
        }
    }
    return out + name + value;
}
inline std::string params(int request, const std::string& pairs) {
    return record(4, request, pairs) + record(4, request, "");
}
inline std::string body(int request, std::string_view bytes) { return record(5, request, bytes); }
}  // namespace fcgi

inline std::string hex16(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

struct Request {
    std::string id, kind, object;
    int timeout_ms = 0;
    std::string body;
};

inline std::string request_pairs(const Request& r) {
    std::string p = fcgi::pair("SCRIPT_NAME", "/api/v2/" + r.kind) + fcgi::pair("HTTP_X_REQUEST_ID", r.id) +
                    fcgi::pair("HTTP_X_TIMEOUT_MS", std::to_string(r.timeout_ms)) +
                    fcgi::pair("HTTP_X_OBJECT", r.object) + fcgi::pair("HTTP_X_BLOCK", "0") +
                    fcgi::pair("HTTP_X_FAMILY", "17");
    if (!r.body.empty()) p += fcgi::pair("CONTENT_LENGTH", std::to_string(r.body.size()));
    return p;
}

// One connection of a web server of the front, with up to 32 open requests. A thread reads what the gateway
// sends.
class Client {
public:
    struct Outcome {
        std::string text;  // status, headers and body
        double ended_ms = 0;
        int ends = 0;
        [[nodiscard]] std::string status() const {
            return text.compare(0, 8, "Status: ") == 0 ? text.substr(8, 3) : "none";
        }
    };
    explicit Client(int port) : fd_(connect_to(port)) {
        if (fd_ >= 0) reader_ = std::thread([this] { read_all(); });
    }
    ~Client() {
        if (fd_ < 0) return;
        ::shutdown(fd_, SHUT_RDWR);
        reader_.join();
        ::close(fd_);
    }
    [[nodiscard]] bool connected() const { return fd_ >= 0; }
    // Returns the time at which the last byte was written, or 0 if the connection took it no more.
    double send(std::string_view bytes) {
        const std::lock_guard lock(send_mutex_);
        if (fd_ < 0 || !send_all(fd_, bytes)) return 0;
        return now_ms();
    }
    double send_request(int number, const Request& r) {
        std::string bytes = fcgi::begin(number) + fcgi::params(number, request_pairs(r));
        if (!r.body.empty()) bytes += fcgi::body(number, r.body);
        return send(bytes + fcgi::body(number, ""));
    }
    // What came for the request with this number. Numbers are used once a connection.
    [[nodiscard]] Outcome outcome(int number) const {
        const std::lock_guard lock(mutex_);
        const auto it = outcomes_.find(number);
        return it == outcomes_.end() ? Outcome{} : it->second;
    }
    // Time at which the gateway's end of the connection was seen; 0 if it is open.
    [[nodiscard]] double closed_ms() const {
        const std::lock_guard lock(mutex_);
        return closed_ms_;
    }
    bool wait_for(int number, double until_ms) const {
        while (now_ms() < until_ms) {
            if (outcome(number).ends > 0) return true;
            if (closed_ms() > 0) return outcome(number).ends > 0;
            sleep_ms(1);
        }
        return outcome(number).ends > 0;
    }

private:
    void read_all() {
        std::string in;
        char bytes[65536];
        for (;;) {
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0 && errno == EINTR) continue;
            const std::lock_guard lock(mutex_);
            if (n <= 0) {
                closed_ms_ = now_ms();
                return;
            }
            in.append(bytes, static_cast<std::size_t>(n));
            while (in.size() >= 8) {
                const auto byte = [&](std::size_t at) { return static_cast<unsigned char>(in[at]); };
                const std::size_t length = static_cast<std::size_t>(byte(4)) << 8 | byte(5);
                const std::size_t size = 8 + length + byte(6);
                if (in.size() < size) break;
                Outcome& o = outcomes_[byte(2) << 8 | byte(3)];
                if (byte(1) == 6) o.text.append(in, 8, length);
                if (byte(1) == 3) {
                    ++o.ends;
                    o.ended_ms = now_ms();
                }
                in.erase(0, size);
            }
        }
    }
    int fd_;
    std::thread reader_;
    std::mutex send_mutex_;
    mutable std::mutex mutex_;
    std::map<int, Outcome> outcomes_;
    double closed_ms_ = 0;
};

// --- processes
// -------------------------------------------------------------------------------------------------

// A process started by /bin/sh -c in a folder. `keep_stdin` gives the case a pipe to its standard input and
// one from its standard output.
class Process {
public:
    Process(const std::string& command, const std::string& folder,
            const std::vector<std::pair<std::string, std::string>>& environment, const std::string& log,
            bool pipes = false) {
        int in[2] = {-1, -1}, out[2] = {-1, -1};
        if (pipes && (::pipe(in) != 0 || ::pipe(out) != 0)) throw CannotRun("no pipe");
        id_ = ::fork();
        if (id_ < 0) throw CannotRun("no process");
        if (id_ == 0) {
            if (::chdir(folder.c_str()) != 0) ::_exit(126);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 2);
            ::dup2(pipes ? out[1] : fd, 1);
            if (pipes) ::dup2(in[0], 0);
            for (int n = 3; n < 256; ++n) ::close(n);
            for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
            ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        if (pipes) {
            ::close(in[0]);
            ::close(out[1]);
            stdin_ = in[1];
            stdout_ = out[0];
        }
    }
    ~Process() { kill_and_wait(); }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;
    void signal(int number) const {
        if (id_ > 0) ::kill(id_, number);
    }
    void kill_and_wait() {
        if (id_ <= 0) return;
        ::kill(id_, SIGKILL);
        ::kill(id_, SIGCONT);
        ::waitpid(id_, nullptr, 0);
        id_ = 0;
        if (stdin_ >= 0) ::close(stdin_);
        if (stdout_ >= 0) ::close(stdout_);
        stdin_ = stdout_ = -1;
    }
    [[nodiscard]] bool running() const { return id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == 0; }
    void say(const std::string& line) const {
        (void)!::write(stdin_, (line + "\n").c_str(), line.size() + 1);
    }
    std::string read_line(double until_ms) {
        for (;;) {
            const std::size_t end = heard_.find('\n');
            if (end != std::string::npos) {
                std::string line = heard_.substr(0, end);
                heard_.erase(0, end + 1);
                return line;
            }
            pollfd p{stdout_, POLLIN, 0};
            const int wait = static_cast<int>(until_ms - now_ms());
            char bytes[4096];
            if (wait <= 0 || ::poll(&p, 1, wait) <= 0) throw CannotRun("a stand-in does not answer");
            const ssize_t n = ::read(stdout_, bytes, sizeof bytes);
            if (n <= 0) throw CannotRun("a stand-in has ended");
            heard_.append(bytes, static_cast<std::size_t>(n));
        }
    }

private:
    pid_t id_ = 0;
    int stdin_ = -1, stdout_ = -1;
    std::string heard_;
};

// --- a case
// ----------------------------------------------------------------------------------------------------

// What run.sh passes to a case: the root of the repository, the folder of the case and an empty temporary
// folder.
struct Place {
    std::string root, folder, temporary;
    bool trouble = true;
};

inline void write_file(const std::string& path, const std::string& text) {
    const std::string fresh = path + ".new";
    {
        std::ofstream file(fresh);
        file << text;
        if (!file) throw CannotRun("cannot write " + fresh);
    }
    if (std::rename(fresh.c_str(), path.c_str()) != 0) throw CannotRun("cannot write " + path);
}

// The value of a key of the deploy file: "run" is the command that starts a gateway.
inline std::string deploy_value(const Place& place, const std::string& key) {
    std::ifstream file(place.root + "/deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line))
        if (line.rfind(key + " = \"", 0) == 0)
            return line.substr(key.size() + 4, line.rfind('"') - key.size() - 4);
    throw CannotRun("the deploy file has no " + key);
}

// The settings of a small deployment, with figures from the ranges of the site file plant-desk-net: one
// gateway in the plant "central" with three caches, one upper cache and the market core.
inline json settings() {
    return {
        {"balancers", 1},
        {"zone", "central"},
        {"dcs", {"west", "central"}},
        {"kinds", {"node", "upper", "core"}},
        {"discovery", "pushed"},
        {"weightSource", "off"},
        {"tickS", 0.002},
        {"lanes",
         {{{"name", "curve-files"},
           {"effect", "repeatable"},
           {"aimS", 0.4},
           {"aimStretch", 1.6},
           {"hardLimitS", 5.0}},
          {{"name", "price-pages"},
           {"effect", "repeatable"},
           {"aimS", 0.25},
           {"aimStretch", 2.0},
           {"hardLimitS", 3.0}},
          {{"name", "bid-submit"}, {"effect", "once"}, {"aimS", 0.7}, {"hardLimitS", 3.0}}}},
        {"ceilings",
         {{"attemptsCap", 6},
          {"cancel", true},
          {"connIdleS", 30.0},
          {"connectTimeoutS", 0.4},
          {"maxOpen", 20000},
          {"maxRetryAfterS", 0.5},
          {"parallelTries", false},
          {"probes", true},
          {"retryAfter", true},
          {"streamsPerConn", 100}}},
        {"safety",
         {{"coldFrom", 0.21}, {"coldS", 18.0}, {"drainGraceS", 0.25}, {"fallMultiple", 4.0}, {"fallS", 2.0}}},
        {"specifics",
         {{"secondTierKind", 1},
          {"originKind", 2},
          {"says", "all"},
          {"neighbours", "off"},
          {"neverKept", {false, false, true}},
          {"goodForS", {0.0, 20.0, 0.0}},
          {"staleForS", {0.0, 10.0, 0.0}},
          {"classStaleWorth", {1.0, 0.7, 1.0}},
          {"passThroughOk", false},
          {"canJoin", false},
          {"oneFlowKbPerS", 8300.0},
          {"pipeKbPerS", {0.0, 80000.0}},
          {"zoneBalancers", {0, 1}},
          {"homeHub", {0, 0}},
          {"parentFloor", 0.062},
          {"upperColdS", 21.0},
          {"parentBreaksAt", 2.0},
          {"purgeDoneS", 6.0},
          {"purgeGraceS", 1.0}}}};
}

inline json configuration(const std::string& name, int port, const std::string& board, const json& known) {
    return {{"name", name},
            {"listen", address_of(port)},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"board", board},
            {"flow_bytes_per_s", 8300000},
            {"link_bytes_per_s", 80000000},
            {"known", known},
            {"settings", settings()}};
}

// Waits until the gateway answers a request for /-/healthy with status 200, as the front does.
inline void wait_until_healthy(int port, double for_ms) {
    const double until = now_ms() + for_ms;
    while (now_ms() < until) {
        Client client(port);
        if (client.connected()) {
            client.send(fcgi::begin(1) + fcgi::params(1, fcgi::pair("SCRIPT_NAME", "/-/healthy")) +
                        fcgi::body(1, ""));
            if (client.wait_for(1, std::min(until, now_ms() + 500)) && client.outcome(1).status() == "200")
                return;
        }
        sleep_ms(20);
    }
    throw CannotRun("the gateway is not ready");
}

// Runs a case. Its function returns whether the rule was broken.
template <class Case>
int run_case(int argc, char** argv, Case play) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 4) return 2;
    const char* const trouble = std::getenv("TROUBLE");
    const Place place{argv[1], argv[2], argv[3], !(trouble && std::string_view(trouble) == "0")};
    int code = 2;
    try {
        Record record(place.folder + "/record.txt");
        record.line("%s the disruption", place.trouble ? "with" : "without");
        try {
            code = play(place, record) ? 1 : 0;
            record.result("%s", code == 1 ? "the rule was BROKEN" : "the rule held");
        } catch (const CannotRun& e) {
            record.result("the case could not run: %s", e.what());
        }
        std::fflush(nullptr);
        std::_Exit(code);  // the threads of the stand-ins end with the process
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
    }
    return code;
}

}  // namespace stand
