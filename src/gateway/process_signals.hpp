// Delivers SIGTERM, SIGINT and SIGHUP only at the times that the event loop chooses.
#pragma once

#include <csignal>

namespace irismux {

/// Blocks the signals during its lifetime. A process has at most one object of this class.
///
/// Failure prevented: POCO 1.11 computes the remaining time of an interrupted wait from the wall clock. If
/// the wall clock is set back by an hour, the event loop waits for an hour. Therefore no signal may interrupt
/// the wait.
class ProcessSignals {
public:
    ProcessSignals();
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;

    /// Unblocks the signals for a moment, so that pending signals are handled.
    void deliver() const;
    /// Returns whether SIGTERM or SIGINT has been delivered.
    [[nodiscard]] bool shutdown_requested() const;
    /// Returns whether SIGHUP has been delivered since the last call of this function.
    [[nodiscard]] bool take_reload_request();

private:
    sigset_t blocked_{};
};

}  // namespace irismux
