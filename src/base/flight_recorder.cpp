#include "base/flight_recorder.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstring>
#include <ctime>

namespace irismux::flight_recorder {
namespace {

struct Event {
    std::int64_t at_us = 0;  // CLOCK_MONOTONIC
    std::size_t length = 0;
    char text[max_text_bytes] = {};
};

std::array<Event, max_events> ring;
std::size_t event_count = 0;  // includes overwritten events

struct FatalSignal {
    int number;
    const char* name;
    struct sigaction former_action;
};
FatalSignal fatal_signals[] = {{SIGSEGV, "SIGSEGV", {}},
                               {SIGBUS, "SIGBUS", {}},
                               {SIGFPE, "SIGFPE", {}},
                               {SIGILL, "SIGILL", {}},
                               {SIGABRT, "SIGABRT", {}}};

std::int64_t monotonic_us() {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

// Builds text in a buffer of fixed size. Longer text is truncated. The class may be used in a signal handler.
class TextBuilder {
public:
    TextBuilder(char* buffer, std::size_t capacity) : buffer_(buffer), capacity_(capacity) {}

    void append(std::string_view text) {
        const std::size_t bytes = std::min(text.size(), capacity_ - length_);
        std::memcpy(buffer_ + length_, text.data(), bytes);
        length_ += bytes;
    }
    template <class Number>
    void append_number(Number number, int base = 10) {
        char digits[24];
        const auto [end, error] = std::to_chars(digits, digits + sizeof digits, number, base);
        append({digits, static_cast<std::size_t>(end - digits)});
    }
    std::size_t length() const { return length_; }

private:
    char* buffer_;
    std::size_t capacity_;
    std::size_t length_ = 0;
};

Event& next_event() {
    Event& event = ring[event_count % max_events];
    ++event_count;
    event.at_us = monotonic_us();
    return event;
}

void write_to_stderr(const char* bytes, std::size_t size) {
    while (size > 0) {
        const ssize_t written = ::write(STDERR_FILENO, bytes, size);
        if (written <= 0) return;
        bytes += written;
        size -= static_cast<std::size_t>(written);
    }
}

void print_event(const Event& event, std::int64_t now_us) {
    char line[max_text_bytes + 64];
    TextBuilder text(line, sizeof line);
    text.append("fatal: ");
    text.append_number(now_us - event.at_us);
    text.append(" us before: ");
    text.append({event.text, std::min(event.length, max_text_bytes)});
    text.append("\n");
    write_to_stderr(line, text.length());
}

void print_last_events() {
    const std::int64_t now_us = monotonic_us();
    const std::size_t first = event_count > max_events ? event_count - max_events : 0;
    for (std::size_t n = first; n < event_count; ++n) print_event(ring[n % max_events], now_us);
}

// Restores the signal's former action, which takes effect when this handler returns: the signal is raised
// again, or its cause occurs again.
void on_fatal_signal(int number, siginfo_t* info, void*) {
    char line[160];
    TextBuilder text(line, sizeof line);
    text.append("fatal: signal ");
    text.append_number(number);
    for (const FatalSignal& signal : fatal_signals) {
        if (signal.number != number) continue;
        text.append(" (");
        text.append(signal.name);
        text.append(")");
        ::sigaction(number, &signal.former_action, nullptr);
    }
    text.append(" at 0x");
    text.append_number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    text.append("; the last of ");
    text.append_number(event_count);
    text.append(" events:\n");
    write_to_stderr(line, text.length());
    print_last_events();
    ::raise(number);
}

}  // namespace

void note(std::string_view event_name, std::uint64_t id, std::uint64_t detail) {
    Event& event = next_event();
    TextBuilder text(event.text, max_text_bytes);
    text.append(event_name);
    text.append(" ");
    text.append_number(id);
    text.append(" ");
    text.append_number(detail);
    event.length = text.length();
}

void note(std::string_view record) {
    Event& event = next_event();
    TextBuilder text(event.text, max_text_bytes);
    text.append(record);
    event.length = text.length();
}

void report_fatal_signals() {
    // The handler needs its own stack, because the stack of the process may have overflowed.
    constexpr std::size_t stack_bytes = std::size_t{64} * 1024;
    static std::array<char, stack_bytes> stack;
    stack_t handler_stack{};
    handler_stack.ss_sp = stack.data();
    handler_stack.ss_size = stack.size();
    ::sigaltstack(&handler_stack, nullptr);
    for (FatalSignal& signal : fatal_signals) {
        struct sigaction action {};
        action.sa_sigaction = on_fatal_signal;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK;
        ::sigaction(signal.number, &action, &signal.former_action);
    }
}

}  // namespace irismux::flight_recorder
