// The settings of the shim testing/failing_calls.cpp: which system calls fail, and how often. The process
// maps a file of this layout, whose path the environment variable IRISMUX_CALL_FAULTS_FILE holds; the file
// may change while the process runs.
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
    // One in this many calls fails, at random; zero disables random failures.
    std::uint32_t one_in[call_count] = {};
    // The call with this number fails, counted from one since the process started; zero selects no call.
    std::uint32_t nth[call_count] = {};
};

}  // namespace irismux::test_support
