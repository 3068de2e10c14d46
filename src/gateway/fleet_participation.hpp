// This gateway as a member of the fleet: its client, what it tells the fleet of caches and notices, and the
// health checks that it may run for others.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "endpoint/endpoint_table.hpp"
#include "fleet/fleet_client.hpp"
#include "gateway/configuration.hpp"
#include "gateway/request_dispatcher.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"

namespace irismux {

/// Without fleet settings every call does nothing.
class FleetParticipation final : public EndpointHealthObserver, private fleet::GatewayCallbacks {
public:
    /// All references must outlive this object. The dispatcher and the pool are not used before start(), so
    /// that they may be built after it.
    FleetParticipation(EventLoop& loop, EndpointTable& endpoints, RequestDispatcher& dispatcher,
                       CacheConnectionPool& cache_connections, const Configuration& configuration,
                       std::optional<fleet::Settings> settings);

    /// Opens the client without connecting.
    void open_client();
    /// Joins the fleet.
    void start();
    /// Leaves the fleet for good: the process ends.
    void leave();
    /// Follows the settings from now on. A new number of the configuration alone is announced; any other
    /// change makes this gateway leave and join again.
    void reload(const std::optional<fleet::Settings>& settings);

    /// Whether fleet settings are in force.
    [[nodiscard]] bool is_member() const { return client_ != nullptr; }
    /// Failure: a new process decides without a notice that the fleet counts as in force here; stale copies
    /// are served. So a site's member serves no request until the notice board has told all its notices, or
    /// the process before it no longer counts.
    [[nodiscard]] bool may_serve() const { return !client_ || client_->may_serve(); }
    /// When to ask may_serve() again at the latest, while it is false.
    [[nodiscard]] TimePoint may_serve_from() const { return client_->serves_from(); }

    void on_endpoint_removed(const CacheId& cache);
    // The progress of the notice board's polls, as NoticeObserver has it.
    [[nodiscard]] bool wants_full_history() const;
    void on_poll_started(bool from_start);
    void on_poll_completed(std::int64_t newest, std::int64_t polled_from);
    void on_poll_failed();
    void on_notice_skipped();

    // EndpointHealthObserver
    void on_ejection_changed(const CacheId& cache, bool ejected) override;
    void on_health_check_done(const CacheId& cache, bool passed) override;

private:
    // fleet::GatewayCallbacks
    bool start_health_check(const CacheId& cache) override;
    void postpone_recovery_probe(const CacheId& cache, TimePoint not_before) override;
    void on_fleet_event(const fleet::FleetEvent& event) override;

    // Which endpoints this gateway may check: edge caches of its location, and parents and the origin where
    // it may send requests to them.
    struct HealthCheckScope {
        bool allowed = false;
        bool parents_and_origin = false;
        LocationId location;
        std::optional<MachineType> parent, origin;
        [[nodiscard]] bool contains(const EndpointUpdate& endpoint) const;
    };
    void retire_client();

    EventLoop& event_loop_;
    EndpointTable& endpoints_;
    RequestDispatcher& dispatcher_;
    CacheConnectionPool& cache_connections_;
    std::string gateway_name_;
    std::uint64_t seed_;
    HealthCheckScope health_check_scope_;
    std::optional<fleet::Settings> settings_;
    std::unique_ptr<fleet::FleetClient> client_;
    std::unique_ptr<fleet::FleetClient>
        leaving_client_;  // keeps its connection until its last write is through
    ScopedTimer leave_timer_;
};

}  // namespace irismux
