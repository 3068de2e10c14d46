// Where the endpoint list comes from: the registry if one is configured, else the notice board.
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

/// Receives the endpoint list of the source in force.
class EndpointListObserver {
public:
    virtual ~EndpointListObserver() = default;
    /// @param complete the records are the whole list, not only those that changed.
    virtual void on_endpoint_list(const std::vector<EndpointRecord>& records, bool complete) = 0;
    /// The source is silent. The list known stays in force and ages.
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
    /// Follows the settings from now on. Without a registry the notice board's list counts from its next
    /// notice.
    void reload(const std::optional<registry::Settings>& settings);
    /// The notice board's list. It is ignored while a registry is followed.
    void on_endpoint_notice(const std::vector<EndpointRecord>& records, bool complete);

    /// Null without a registry.
    [[nodiscard]] const registry::RegistryClient* registry() const { return registry_.get(); }

private:
    // registry::WatchObserver
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& records, bool complete) override;
    void on_sync_state(TimePoint now, registry::SyncState state, TimePoint as_of) override;
    void on_watch_warning(const registry::WatchWarning& warning) override;

    EventLoop& event_loop_;
    EndpointListObserver& observer_;
    LocationId location_;
    std::uint64_t seed_;
    std::optional<registry::Settings> settings_;
    std::unique_ptr<registry::RegistryClient> registry_;
    std::optional<StoredEndpointList> stored_list_;  // of registry_
};

}  // namespace irismux
