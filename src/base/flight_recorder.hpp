// The last events of the process in a ring of fixed size, which a fatal signal prints before the process
// dies.
//
// Noting an event takes no lock and no memory; printing uses calls that are safe in a signal handler only.
// One thread notes events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace irismux::flight_recorder {

constexpr std::size_t most_events = 64;
constexpr std::size_t longest_text = 95;  // of an event; the rest is cut off

// An event by name, with the numbers of what it concerns.
void note(std::string_view event, std::uint64_t subject, std::uint64_t detail = 0);
// A line as it was logged, or left out of the log.
void note(std::string_view line);

// From now on SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT are told on standard error, with the last events,
// before they take the course that they had.
void report_fatal_signals();

}  // namespace irismux::flight_recorder
