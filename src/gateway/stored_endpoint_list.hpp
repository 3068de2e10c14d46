// Stores the registry's endpoint list on disk. After a restart the gateway uses the stored list until the
// registry replies.
#pragma once

#include <optional>
#include <string>

#include "irismux/ids.hpp"
#include "net/event_loop.hpp"
#include "registry/endpoint_snapshot.hpp"
#include "registry/settings.hpp"
#include "registry/watch.hpp"
#include "store/store.hpp"

namespace irismux {

/// Reads the list once and writes it periodically. Failures are logged. They affect only the stored list, not
/// the list in use.
class StoredEndpointList {
public:
    /// Stores nothing if the settings name no folder.
    /// @param watch the watch whose list is stored; must outlive this object.
    StoredEndpointList(EventLoop& loop, const registry::Settings& settings, const LocationId& location,
                       const registry::Watch& watch);
    StoredEndpointList(const StoredEndpointList&) = delete;
    StoredEndpointList& operator=(const StoredEndpointList&) = delete;

    /// Returns the list that an earlier process stored, if it is complete and not too old.
    [[nodiscard]] std::optional<registry::EndpointSnapshot> read() const;

private:
    void schedule_write();
    void write_if_changed();

    EventLoop& event_loop_;
    const registry::Watch& watch_;
    std::string owner_;  // location and prefix of the list; the list of another owner is not read
    Duration max_age_;
    std::optional<Store> store_;
    registry::Revision written_revision_;
    TimePoint written_as_of_;
    bool write_failure_logged_ = false;
    ScopedTimer write_timer_;
};

}  // namespace irismux
