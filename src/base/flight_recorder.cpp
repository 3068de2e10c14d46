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

struct Entry {
    std::int64_t at_us = 0;  // steady
    std::size_t length = 0;
    char text[longest_text] = {};
};

std::array<Entry, most_events> ring;
std::size_t noted = 0;  // events so far

struct FatalSignal {
    int number;
    const char* name;
    struct sigaction before;
};
FatalSignal fatal_signals[] = {{SIGSEGV, "SIGSEGV", {}},
                               {SIGBUS, "SIGBUS", {}},
                               {SIGFPE, "SIGFPE", {}},
                               {SIGILL, "SIGILL", {}},
                               {SIGABRT, "SIGABRT", {}}};

std::int64_t steady_us() {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

// Text in a buffer of fixed size; what does not fit is left out.
class Text {
public:
    Text(char* to, std::size_t most) : to_(to), most_(most) {}
    Text& add(std::string_view text) {
        const std::size_t n = std::min(text.size(), most_ - length_);
        std::memcpy(to_ + length_, text.data(), n);
        length_ += n;
        return *this;
    }
    template <class Number>
    Text& add_number(Number n, int base = 10) {
        char digits[24];
        const auto [end, error] = std::to_chars(digits, digits + sizeof digits, n, base);
        return add({digits, static_cast<std::size_t>(end - digits)});
    }
    std::size_t length() const { return length_; }

private:
    char* to_;
    std::size_t most_, length_ = 0;
};

Entry& next_entry() {
    Entry& entry = ring[noted++ % most_events];
    entry.at_us = steady_us();
    return entry;
}

void write_all(const char* from, std::size_t n) {
    while (n > 0) {
        const ssize_t written = ::write(STDERR_FILENO, from, n);
        if (written <= 0) return;
        from += written;
        n -= static_cast<std::size_t>(written);
    }
}

void print_last_events() {
    const std::int64_t now = steady_us();
    for (std::size_t n = noted > most_events ? noted - most_events : 0; n < noted; ++n) {
        const Entry& entry = ring[n % most_events];
        char line[longest_text + 64];
        Text text(line, sizeof line);
        text.add("fatal: ").add_number(now - entry.at_us).add(" us before: ");
        text.add({entry.text, std::min(entry.length, longest_text)}).add("\n");
        write_all(line, text.length());
    }
}

// What the signal did before happens once this has returned: it is still pending, or its cause occurs again.
void on_fatal_signal(int number, siginfo_t* info, void*) {
    char line[160];
    Text text(line, sizeof line);
    text.add("fatal: signal ").add_number(number);
    for (const FatalSignal& s : fatal_signals) {
        if (s.number != number) continue;
        text.add(" (").add(s.name).add(")");
        ::sigaction(number, &s.before, nullptr);
    }
    text.add(" at 0x").add_number(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
    text.add("; the last of ").add_number(noted).add(" events:\n");
    write_all(line, text.length());
    print_last_events();
    ::raise(number);
}

}  // namespace

void note(std::string_view event, std::uint64_t subject, std::uint64_t detail) {
    Entry& entry = next_entry();
    Text text(entry.text, longest_text);
    text.add(event).add(" ").add_number(subject).add(" ").add_number(detail);
    entry.length = text.length();
}

void note(std::string_view line) {
    Entry& entry = next_entry();
    Text text(entry.text, longest_text);
    text.add(line);
    entry.length = text.length();
}

void report_fatal_signals() {
    // A stack that has overflowed can't carry the handler.
    constexpr std::size_t stack_bytes = std::size_t{64} * 1024;
    static std::array<char, stack_bytes> stack;
    stack_t other{};
    other.ss_sp = stack.data();
    other.ss_size = stack.size();
    ::sigaltstack(&other, nullptr);
    for (FatalSignal& s : fatal_signals) {
        struct sigaction action {};
        action.sa_sigaction = on_fatal_signal;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK;
        ::sigaction(s.number, &action, &s.before);
    }
}

}  // namespace irismux::flight_recorder
