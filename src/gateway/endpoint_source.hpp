// Provides the endpoint list: from the registry if one is configured, otherwise from the notice board.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "gateway/stored_endpoint_list.hpp"
#include "net/event_loop.hpp"
#include "registry/registry_client.hpp"

namespace irismux {

/// Receives the endpoint list from the source that is in use.
class EndpointListObserver {
public:
    virtual ~EndpointListObserver() = default;
    /// @param complete true if `records` is the whole list, false if it has only the changed records.
    virtual void on_endpoint_list(const std::vector<EndpointRecord>& records, bool complete) = 0;
    /// The connection to the source is lost. The last list stays in use, but is no longer updated.
    virtual void on_endpoint_source_lost(TimePoint now) = 0;
};

class EndpointSource final : private registry::WatchObserver {
public:
    /// @param observer must outlive the source.
    EndpointSource(EventLoop& loop, EndpointListObserver& observer, LocationId location, std::uint64_t seed,
                   std::optional<registry::Settings> settings);

    /// Opens the configured registry without connecting, and delivers the list stored by an earlier process.
    void open_registry();
    /// Connects to the registry.
    void start();
    /// Applies new settings. If the new settings have no registry, the source delivers the notice board's
    /// list from the next notice on.
    void reload(const std::optional<registry::Settings>& settings);
    /// Passes the notice board's list on to the observer. Ignored while a registry is configured.
    void on_endpoint_notice(const std::vector<EndpointRecord>& records, bool complete);

    /// Returns null if no registry is configured.
    [[nodiscard]] const registry::RegistryClient* registry() const { return registry_.get(); }

private:
    // Functions of registry::WatchObserver:
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& records, bool complete) override;
    void on_sync_state(TimePoint now, registry::SyncState state, TimePoint as_of) override;
    void on_watch_warning(const registry::WatchWarning& warning) override;

    EventLoop& event_loop_;
    EndpointListObserver& observer_;
    LocationId location_;
    std::uint64_t seed_;
    std::optional<registry::Settings> settings_;
    std::unique_ptr<registry::RegistryClient> registry_;
    std::optional<StoredEndpointList> stored_list_;  // stores the list of registry_
};

}  // namespace irismux
