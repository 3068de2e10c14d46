#include "gateway/process_signals.hpp"

#include <initializer_list>

namespace irismux {
namespace {

volatile std::sig_atomic_t shutdown_flag = 0, reload_flag = 0;

void on_shutdown_signal(int) { shutdown_flag = 1; }
void on_reload_signal(int) { reload_flag = 1; }

}  // namespace

ProcessSignals::ProcessSignals() {
    ::sigemptyset(&blocked_);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) ::sigaddset(&blocked_, signal);
    ::pthread_sigmask(SIG_BLOCK, &blocked_, nullptr);
    std::signal(SIGTERM, on_shutdown_signal);
    std::signal(SIGINT, on_shutdown_signal);
    std::signal(SIGHUP, on_reload_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals() { ::pthread_sigmask(SIG_UNBLOCK, &blocked_, nullptr); }

void ProcessSignals::deliver() const {
    ::pthread_sigmask(SIG_UNBLOCK, &blocked_, nullptr);
    ::pthread_sigmask(SIG_BLOCK, &blocked_, nullptr);
}

bool ProcessSignals::shutdown_requested() const { return shutdown_flag != 0; }

bool ProcessSignals::take_reload_request() {
    const bool requested = reload_flag != 0;
    reload_flag = 0;
    return requested;
}

}  // namespace irismux
