// Records the last events of the process in a ring buffer of fixed size. When a fatal signal ends the
// process, the signal's handler first prints the recorded events.
//
// Recording an event takes no lock and allocates no memory; printing uses only async-signal-safe calls. Only
// one thread may record events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace irismux::flight_recorder {

constexpr std::size_t max_events = 64;
/// Maximum length of an event's text; longer text is truncated.
constexpr std::size_t max_text_bytes = 95;

/// Records an event with its name, an id and one more number.
void note(std::string_view event, std::uint64_t id, std::uint64_t detail = 0);
/// Records the text of a log record.
void note(std::string_view record);

/// Installs handlers for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT, which print the signal and the last
/// events on standard error. After the handler has returned, the signal's previous action is carried out.
void report_fatal_signals();

}  // namespace irismux::flight_recorder
