#include "registry/registry_log.hpp"

#include "base/log.hpp"

namespace irismux::registry {

std::string_view to_string(RequestFailureReason reason) {
    constexpr std::string_view names[] = {"connect_failed",        "connection_lost", "malformed_http",
                                          "unexpected_data",       "reply_too_long",  "record_too_long",
                                          "authentication_failed", "error_reply",     "watch_refused",
                                          "watch_cancelled",       "watch_ended",     "empty_page",
                                          "reply_timeout",         "watch_timeout"};
    return names[static_cast<std::size_t>(reason)];
}

std::string_view event_name(WatchWarningKind kind) {
    constexpr std::string_view names[] = {"registry_request_failed",       "registry_rolled_back",
                                          "registry_history_diverged",     "registry_list_too_long",
                                          "registry_change_too_large",     "registry_list_doubtful",
                                          "registry_doubtful_list_applied"};
    return names[static_cast<std::size_t>(kind)];
}

void log_watch_warning(const WatchWarning& warning, const Settings& settings) {
    const std::string_view name = event_name(warning.kind);
    const std::string& member = settings.members[warning.member.raw()];
    if (!warning.failure) return log::event(log::Level::warning, name, {{"member", member}});
    log::event(log::Level::warning, name,
               {{"member", member},
                {"reason", to_string(warning.failure->reason)},
                {"detail", warning.failure->detail}});
}

void log_sync_state(TimePoint now, SyncState state, TimePoint complete_at) {
    const auto level = state == SyncState::disconnected ? log::Level::warning : log::Level::info;
    constexpr std::string_view name = "registry_sync_state";
    if (complete_at == TimePoint{}) return log::event(level, name, {{"state", to_string(state)}});
    log::event(level, name,
               {{"state", to_string(state)}, {"list_age_ms", (now - complete_at).micros() / 1000}});
}

}  // namespace irismux::registry
