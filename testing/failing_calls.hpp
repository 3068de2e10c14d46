// Settings of the shim library testing/failing_calls.cpp: which system calls fail, and how often. A process
// that runs under the shim maps a file of this layout into its memory. The environment variable
// IRISMUX_CALL_FAULTS_FILE holds the path of the file. A test may change the file while the process runs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace irismux::test_support {

enum class Call : std::size_t {
    accept,
    socket,
    bind,
    listen,
    connect,
    recv,
    send,
    setsockopt,
    epoll_wait,
    epoll_ctl,
    open,
    read,
    write,
    count
};
constexpr std::size_t call_count = static_cast<std::size_t>(Call::count);

struct CallFaults {
    std::uint64_t seed = 1;
    // An entry of n lets one in n calls of its system call fail, at random. Zero disables random failures.
    std::uint32_t one_in[call_count] = {};
    // An entry of n lets the n-th call of its system call fail, counted from one since the process started.
    // Zero selects no call.
    std::uint32_t nth[call_count] = {};
    // send() to a peer with the port `send_fails_to_port` fails with the error `send_error` (errno). Port
    // zero disables this. Only the first `send_failures` calls fail, or all calls if this is zero; a new
    // `send_fault_number` begins a new count.
    std::uint16_t send_fails_to_port = 0;
    std::int32_t send_error = 0;
    std::uint32_t send_failures = 0, send_fault_number = 0;
};

}  // namespace irismux::test_support
