// A shim library that makes system calls of a process fail, each with an error that Linux documents for this
// call. LD_PRELOAD loads the library into the process. The failures are drawn from a seed;
// testing/failing_calls.hpp describes the settings.
#include "testing/failing_calls.hpp"

#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <string_view>

namespace {

using irismux::test_support::Call;
using irismux::test_support::call_count;
using irismux::test_support::CallFaults;

template <class Function>
Function real(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

int real_open(const char* path, int flags, mode_t mode) {
    static const auto next = real<int (*)(const char*, int, mode_t)>("open");
    return next(path, flags, mode);
}

const volatile CallFaults* faults() {
    static const CallFaults* const shared = [] {
        const char* path = std::getenv("IRISMUX_CALL_FAULTS_FILE");
        const int file = path ? real_open(path, O_RDONLY | O_CLOEXEC, 0) : -1;
        if (file < 0) return static_cast<const CallFaults*>(nullptr);
        void* at = ::mmap(nullptr, sizeof(CallFaults), PROT_READ, MAP_SHARED, file, 0);
        ::close(file);
        return at == MAP_FAILED ? nullptr : static_cast<const CallFaults*>(at);
    }();
    return shared;
}

std::uint64_t next_random() {
    static std::uint64_t state = faults() ? faults()->seed * 0x9e3779b97f4a7c15ULL + 1 : 1;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

bool fails(Call call) {
    static std::uint32_t counts[call_count] = {};
    if (!faults()) return false;
    const auto n = static_cast<std::size_t>(call);
    const std::uint32_t one_in = faults()->one_in[n];
    if (++counts[n] == faults()->nth[n]) return true;
    return one_in > 0 && next_random() % one_in == 0;
}

template <std::size_t N>
int fail_with(const int (&errors)[N]) {
    errno = errors[next_random() % N];
    return -1;
}

constexpr int accept_errors[] = {ECONNABORTED, EINTR,  ENFILE,      EMFILE,      ENOBUFS,
                                 ENOMEM,       EPROTO, ENETUNREACH, EHOSTUNREACH};
constexpr int socket_errors[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
constexpr int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, EAGAIN};
constexpr int memory_errors[] = {ENOBUFS, ENOMEM};
constexpr int address_errors[] = {EADDRINUSE, ENOMEM};
constexpr int wait_errors[] = {EINTR};
constexpr int watch_errors[] = {ENOMEM, ENOSPC};
constexpr int open_errors[] = {EINTR, ENFILE, EMFILE, ENOMEM};
constexpr int read_errors[] = {EINTR, EIO, ENOMEM};
constexpr int write_errors[] = {EINTR, EIO, ENOSPC};

// Whether a send on this socket is to fail because of its peer's port.
bool send_fails_to_peer(int s) {
    if (!faults() || faults()->send_fails_to_port == 0) return false;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (::getpeername(s, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return false;
    if (ntohs(peer.sin_port) != faults()->send_fails_to_port) return false;
    static std::uint32_t fault_number = 0, failures = 0;
    if (fault_number != faults()->send_fault_number) failures = 0;
    fault_number = faults()->send_fault_number;
    return faults()->send_failures == 0 || failures++ < faults()->send_failures;
}

bool is_file(int descriptor) {
    struct stat s {};
    return ::fstat(descriptor, &s) == 0 && S_ISREG(s.st_mode);
}

}  // namespace

extern "C" {

int accept(int s, sockaddr* a, socklen_t* n) {
    static const auto next = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
    return fails(Call::accept) ? fail_with(accept_errors) : next(s, a, n);
}

int accept4(int s, sockaddr* a, socklen_t* n, int flags) {
    static const auto next = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    return fails(Call::accept) ? fail_with(accept_errors) : next(s, a, n, flags);
}

int socket(int domain, int type, int protocol) {
    static const auto next = real<int (*)(int, int, int)>("socket");
    return fails(Call::socket) ? fail_with(socket_errors) : next(domain, type, protocol);
}

int bind(int s, const sockaddr* a, socklen_t n) {
    static const auto next = real<int (*)(int, const sockaddr*, socklen_t)>("bind");
    return fails(Call::bind) ? fail_with(address_errors) : next(s, a, n);
}

int listen(int s, int backlog) {
    static const auto next = real<int (*)(int, int)>("listen");
    return fails(Call::listen) ? fail_with(address_errors) : next(s, backlog);
}

// A quarter of the failures are EINTR. The shim then starts the connection nevertheless, because Linux goes
// on to establish a connection whose connect() call a signal has interrupted.
int connect(int s, const sockaddr* a, socklen_t n) {
    static const auto next = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    if (!fails(Call::connect)) return next(s, a, n);
    if (next_random() % 4 != 0) return fail_with(connect_errors);
    const int result = next(s, a, n);
    if (result != 0 && errno == EINPROGRESS) errno = EINTR;
    return result;
}

// Half of the failures are short reads and a quarter are EINTR. The other quarter are ENOMEM, as if the
// kernel had given up the connection.
ssize_t recv(int s, void* to, size_t n, int flags) {
    static const auto next = real<ssize_t (*)(int, void*, size_t, int)>("recv");
    if (!fails(Call::recv)) return next(s, to, n, flags);
    const std::uint64_t how = next_random() % 8;
    if (how < 4) return next(s, to, n > 1 ? 1 + next_random() % (n - 1) : n, flags);
    if (how < 6) return errno = EINTR, -1;
    return errno = ENOMEM, -1;
}

ssize_t send(int s, const void* from, size_t n, int flags) {
    static const auto next = real<ssize_t (*)(int, const void*, size_t, int)>("send");
    if (send_fails_to_peer(s)) return errno = faults()->send_error, -1;
    if (!fails(Call::send)) return next(s, from, n, flags);
    const std::uint64_t how = next_random() % 8;
    if (how < 4) return next(s, from, n > 1 ? 1 + next_random() % (n - 1) : n, flags);
    if (how < 6) return errno = EINTR, -1;
    return fail_with(memory_errors);
}

int setsockopt(int s, int level, int option, const void* value, socklen_t n) {
    static const auto next = real<int (*)(int, int, int, const void*, socklen_t)>("setsockopt");
    return fails(Call::setsockopt) ? fail_with(memory_errors) : next(s, level, option, value, n);
}

int epoll_wait(int e, epoll_event* events, int most, int wait_ms) {
    static const auto next = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    return fails(Call::epoll_wait) ? fail_with(wait_errors) : next(e, events, most, wait_ms);
}

int epoll_ctl(int e, int what, int s, epoll_event* event) {
    static const auto next = real<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
    if (what != EPOLL_CTL_DEL && fails(Call::epoll_ctl)) return fail_with(watch_errors);
    return next(e, what, s, event);
}

// Lets only the opening of the configuration file fail, whose path the environment variable NODE_CONFIG
// holds. All other calls pass through unchanged, because the libraries in the process open files of their
// own.
int open(const char* path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? static_cast<mode_t>(va_arg(rest, int)) : 0;
    va_end(rest);
    const char* configuration = std::getenv("NODE_CONFIG");
    const bool counts = configuration && std::string_view(path) == configuration;
    return counts && fails(Call::open) ? fail_with(open_errors) : real_open(path, flags, mode);
}

ssize_t read(int descriptor, void* to, size_t n) {
    static const auto next = real<ssize_t (*)(int, void*, size_t)>("read");
    if (!is_file(descriptor) || !fails(Call::read)) return next(descriptor, to, n);
    if (next_random() % 2 == 0) return next(descriptor, to, n > 1 ? 1 + next_random() % (n - 1) : n);
    return fail_with(read_errors);
}

// Lets only writes to standard error fail. The process writes its log there.
ssize_t write(int descriptor, const void* from, size_t n) {
    static const auto next = real<ssize_t (*)(int, const void*, size_t)>("write");
    if (descriptor != STDERR_FILENO || !fails(Call::write)) return next(descriptor, from, n);
    return fail_with(write_errors);
}

}  // extern "C"
