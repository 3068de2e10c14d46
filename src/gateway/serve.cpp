#include "gateway/serve.hpp"

#include <Poco/ErrorHandler.h>
#include <Poco/Exception.h>

#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

#include "base/flight_recorder.hpp"
#include "base/json_reader.hpp"
#include "base/log.hpp"
#include "gateway/gateway.hpp"
#include "gateway/process_signals.hpp"

namespace irismux {
namespace {

// Longest time for which a step of the start is retried after a temporary failure, and the interval between
// the retries.
constexpr std::chrono::milliseconds max_start_retry_time{8'000}, start_retry_interval{50};
constexpr Duration signal_check_interval = Duration::micros(50'000);
// Number of attempts to read a configuration that temporarily cannot be read. The gateway makes one attempt
// each time it checks for signals.
constexpr int max_reload_attempts = 20;
// Blocks of memory above these sizes are returned to the system when they are freed. Otherwise the process
// would keep the memory of the buffers that a burst of requests needed.
constexpr int mmap_threshold_bytes = 64 * 1024, trim_threshold_bytes = 128 * 1024;

// Logs exceptions that leave an event handler. Such an exception ends only the call of the handler, not the
// event loop.
class LoggingErrorHandler final : public Poco::ErrorHandler {
public:
    void exception(const Poco::Exception& e) override { log_exception(e.displayText()); }
    void exception(const std::exception& e) override { log_exception(e.what()); }
    void exception() override { log_exception("unknown exception"); }

private:
    static void log_exception(std::string_view reason) {
        log::event(log::Level::error, "unhandled_exception", {{"reason", reason}});
    }
};

// Applies the value of IRISMUX_LOG: a level, optionally followed by ":json" for records in JSON. Returns
// false if the value is invalid.
[[nodiscard]] bool set_log_level(std::string_view setting) {
    constexpr std::string_view json_suffix = ":json";
    if (setting.size() > json_suffix.size() && setting.ends_with(json_suffix)) {
        log::set_format(log::Format::json);
        setting.remove_suffix(json_suffix.size());
    }
    constexpr std::pair<std::string_view, log::Level> levels[] = {{"error", log::Level::error},
                                                                  {"warning", log::Level::warning},
                                                                  {"info", log::Level::info},
                                                                  {"debug", log::Level::debug}};
    for (const auto& [name, level] : levels) {
        if (setting != name) continue;
        log::set_level(level);
        return true;
    }
    return false;
}

struct ConfigurationFiles {
    const char* configuration = nullptr;
    std::string parts;                     // empty if there is no parts file
    bool parts_from_command_line = false;  // otherwise the path comes from the environment
};

// Reads the parts file. Fleet settings are ignored unless the command line names the file.
std::variant<Parts, PartsError> read_configured_parts(const ConfigurationFiles& files) {
    if (files.parts.empty()) return Parts{};
    auto read = read_parts(files.parts);
    auto* const parts = std::get_if<Parts>(&read);
    if (parts && parts->fleet && !files.parts_from_command_line) {
        parts->fleet.reset();
        log::event(log::Level::warning, "fleet_settings_ignored",
                   {{"reason", "not_named_by_option_parts"}, {"file", files.parts}});
    }
    return read;
}

// Retries a step of the start while it throws TransientError, for at most max_start_retry_time.
template <class Step>
auto retry_transient(Step step) {
    const auto give_up_at = std::chrono::steady_clock::now() + max_start_retry_time;
    for (bool logged = false;; logged = true) {
        try {
            return step();
        } catch (const TransientError& e) {
            if (std::chrono::steady_clock::now() >= give_up_at) throw;
            if (!logged) log::event(log::Level::warning, "start_retried", {{"reason", e.what()}});
        }
        std::this_thread::sleep_for(start_retry_interval);
    }
}

void create_event_loop(std::optional<EventLoop>& loop) {
    retry_transient([&] {
        try {
            loop.emplace();
        } catch (const Poco::Exception& e) {
            throw TransientError("cannot create the event loop: " + e.displayText());
        }
    });
}

// Checks for signals on a timer of the event loop and passes them on to the gateway.
class SignalHandling {
public:
    SignalHandling(EventLoop& loop, Gateway& gateway, const ConfigurationFiles& files,
                   ProcessSignals& signals)
        : event_loop_(loop), gateway_(gateway), files_(files), signals_(signals) {}

    void check() {
        signals_.deliver();
        if (signals_.take_reload_request()) reload_attempts_ = max_reload_attempts;
        if (reload_attempts_ > 0) try_reload();
        if (signals_.shutdown_requested()) gateway_.begin_shutdown();
        next_check_ =
            ScopedTimer(event_loop_, event_loop_.now() + signal_check_interval, [this] { check(); });
    }

private:
    // If the configuration or the parts file cannot be used, the running configuration stays unchanged.
    void try_reload() {
        --reload_attempts_;
        try {
            const auto parts = read_configured_parts(files_);
            if (const auto* error = std::get_if<PartsError>(&parts)) throw std::runtime_error(error->text());
            gateway_.reload(read_configuration(files_.configuration), std::get<Parts>(parts));
            reload_attempts_ = 0;
        } catch (const TransientError& e) {
            if (reload_attempts_ == 0) log_failure(e);
        } catch (const std::exception& e) {
            log_failure(e);
            reload_attempts_ = 0;
        }
    }
    static void log_failure(const std::exception& e) {
        log::event(log::Level::error, "reload_failed", {{"reason", e.what()}});
    }

    EventLoop& event_loop_;
    Gateway& gateway_;
    const ConfigurationFiles& files_;
    ProcessSignals& signals_;
    int reload_attempts_ = 0;  // remaining attempts; 0 if no reload is in progress
    ScopedTimer next_check_;
};

void run_gateway(const ConfigurationFiles& files, const Parts& parts, ProcessSignals& signals,
                 std::optional<ListenFailure>& start_failure) {
    Configuration configuration = retry_transient([&] { return read_configuration(files.configuration); });
    log::set_process_name(configuration.name);
    if (const char* address = std::getenv("NODE_LISTEN")) configuration.listen = address;
    std::optional<EventLoop> loop;
    create_event_loop(loop);
    Gateway gateway(*loop, configuration, parts);
    SignalHandling signal_handling(*loop, gateway, files, signals);
    gateway.serve();
    signal_handling.check();
    loop->run();
    start_failure = gateway.start_failure();
}

}  // namespace

int exit_with_error(const std::string& line) {
    std::cerr << "irismux: " << line << '\n';
    return 2;
}

int serve(std::string parts_path) {
    if (const char* level = std::getenv("IRISMUX_LOG"); level && !set_log_level(level))
        return exit_with_error(std::string("IRISMUX_LOG is '") + level +
                               "'; it must be error, warning, info or debug, optionally followed by :json");
    const bool from_command_line = !parts_path.empty();
    if (const char* path = std::getenv("IRISMUX_PARTS"); path && !from_command_line) parts_path = path;
    const ConfigurationFiles files{std::getenv("NODE_CONFIG"), std::move(parts_path), from_command_line};
    if (!files.configuration)
        return exit_with_error("NODE_CONFIG is not set; it must name a configuration file");
    const auto parts = read_configured_parts(files);
    if (const auto* error = std::get_if<PartsError>(&parts)) return exit_with_error(error->text());
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
    ProcessSignals signals;
    flight_recorder::report_fatal_signals();
    LoggingErrorHandler error_handler;
    Poco::ErrorHandler::set(&error_handler);
    try {
        std::optional<ListenFailure> start_failure;
        run_gateway(files, std::get<Parts>(parts), signals, start_failure);
        if (start_failure) return exit_with_error(start_failure->text());
    } catch (const Poco::Exception& e) {
        return exit_with_error(e.displayText());
    } catch (const std::exception& e) {
        return exit_with_error(e.what());
    }
    return 0;
}

}  // namespace irismux
