// SIGTERM, SIGINT and SIGHUP, taken at a moment of the event loop's choice.
#pragma once

#include <csignal>

namespace irismux {

/// Blocks the signals while it lives. One object a process.
///
/// Failure: POCO 1.11 computes the rest of an interrupted wait from the wall clock; if that is stepped back
/// an hour, the loop stands still for an hour. So no signal may interrupt the wait.
class ProcessSignals {
public:
    ProcessSignals();
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;

    /// Handles the signals that have come.
    void deliver() const;
    /// Whether SIGTERM or SIGINT has been delivered.
    [[nodiscard]] bool shutdown_requested() const;
    /// Whether SIGHUP has been delivered since the last call.
    [[nodiscard]] bool take_reload_request();

private:
    sigset_t blocked_{};
};

}  // namespace irismux
