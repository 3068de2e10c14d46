// The last events of the process, in a ring of fixed size that a fatal signal prints before the process ends.
//
// Noting an event takes no lock and allocates nothing; printing uses only calls that are safe in a signal
// handler. Only one thread may note events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace irismux::flight_recorder {

constexpr std::size_t max_events = 64;
constexpr std::size_t max_text_bytes = 95;  ///< of an event; the rest is cut off

/// Notes an event by its name, an id and a further number.
void note(std::string_view event, std::uint64_t id, std::uint64_t detail = 0);
/// Notes a log record.
void note(std::string_view record);

/// Installs handlers of SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT, which print the signal and the last
/// events on standard error. The signal then has the effect that it had before.
void report_fatal_signals();

}  // namespace irismux::flight_recorder
