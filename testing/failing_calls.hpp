// What a process under lab/failing_calls.cpp is told of the calls that fail in it: a file of this form, named
// by IRISMUX_CALL_FAULTS_FILE, which may change while the process runs.
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
    // One in so many calls fails, by chance; zero: none does.
    std::uint32_t one_in[call_count] = {};
    // The call of this number fails, counted from one at the start of the process; zero: none does.
    std::uint32_t nth[call_count] = {};
};

}  // namespace irismux::test_support
