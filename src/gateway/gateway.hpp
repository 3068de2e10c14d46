// One gateway: constructs its components, connects them, and starts, reloads and stops them in order. The
// rules are implemented in the components.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "endpoint/endpoint_table.hpp"
#include "gateway/configuration.hpp"
#include "gateway/endpoint_source.hpp"
#include "gateway/fleet_participation.hpp"
#include "gateway/listener_start.hpp"
#include "gateway/parts.hpp"
#include "gateway/request_dispatcher.hpp"
#include "gateway/shutdown.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"
#include "net/notice_client.hpp"

namespace irismux {

class Gateway final : private NoticeObserver, private EndpointListObserver {
public:
    /// @param loop must outlive the gateway.
    Gateway(EventLoop& loop, const Configuration& configuration, const Parts& parts = {});

    /// Connects to the notice board, the registry and the fleet, and opens the listener as soon as possible.
    void serve();
    /// Returns the reason why the listener could not be opened, if the event loop was stopped for this
    /// reason.
    [[nodiscard]] const std::optional<ListenFailure>& start_failure() const {
        return listener_start_.failure();
    }
    /// Answers the pending requests, then stops the event loop. A second call does nothing.
    void begin_shutdown();
    /// Applies the new address of the notice board and the new settings of the registry and the fleet. All
    /// other settings stay as they were at the start. The call is ignored during a shutdown.
    void reload(const Configuration& configuration, const Parts& parts);

    [[nodiscard]] std::size_t pending_request_count() const { return dispatcher_.pending_request_count(); }
    /// Returns null if no registry is configured.
    [[nodiscard]] const registry::RegistryClient* registry() const { return endpoint_source_.registry(); }

private:
    // Functions of NoticeObserver:
    void on_endpoint_notice(const std::vector<EndpointRecord>& records, bool complete) override;
    void on_purge_notice(const PurgeNotice& purge) override;
    bool wants_full_history() const override { return fleet_.wants_full_history(); }
    void on_poll_started(bool from_start) override { fleet_.on_poll_started(from_start); }
    void on_poll_completed(std::int64_t newest, std::int64_t polled_from) override;
    void on_poll_failed() override { fleet_.on_poll_failed(); }
    void on_notice_skipped() override { fleet_.on_notice_skipped(); }
    // Functions of EndpointListObserver:
    void on_endpoint_list(const std::vector<EndpointRecord>& records, bool complete) override;
    void on_endpoint_source_lost(TimePoint now) override { dispatcher_.on_endpoint_updates_lost(now); }

    EventLoop& event_loop_;
    EndpointTable endpoints_;
    FleetParticipation fleet_;
    RequestDispatcher dispatcher_;
    FastCgiServer server_;
    CacheConnectionPool cache_connections_;
    NoticeClient notice_client_;
    EndpointSource endpoint_source_;
    ListenerStart listener_start_;
    Shutdown shutdown_;
};

}  // namespace irismux
