// The log events of a registry connection.
#pragma once

#include <string_view>

#include "registry/settings.hpp"
#include "registry/watch_callbacks.hpp"

namespace irismux::registry {

/// Returns the name of the log event for the warning.
std::string_view event_name(WatchWarningKind kind);

/// Logs a warning with the address of the registry member that the warning is about.
/// @param settings the settings of the registry that the warning is about.
void log_watch_warning(const WatchWarning& warning, const Settings& settings);

/// Logs a new state. The state SyncState::disconnected is logged as a warning.
/// @param complete_at when the view was last known to be complete; zero: never.
void log_sync_state(TimePoint now, SyncState state, TimePoint complete_at);

}  // namespace irismux::registry
