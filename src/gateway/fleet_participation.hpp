// Makes this gateway a member of the fleet: owns the fleet client, reports endpoint state and the progress of
// notice polls to the fleet, and runs the health checks that this gateway may run for other members.
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

/// If the gateway has no fleet settings, no call has any effect.
class FleetParticipation final : public EndpointHealthObserver, private fleet::GatewayCallbacks {
public:
    /// All references must outlive this object. The dispatcher and the pool are not used before start(), so
    /// they may be constructed after this object.
    FleetParticipation(EventLoop& loop, EndpointTable& endpoints, RequestDispatcher& dispatcher,
                       CacheConnectionPool& cache_connections, const Configuration& configuration,
                       std::optional<fleet::Settings> settings);

    /// Opens the client without connecting.
    void open_client();
    /// Joins the fleet.
    void start();
    /// Leaves the fleet permanently, because the process is shutting down.
    void leave();
    /// Applies new settings. If only the number of the configuration has changed, the gateway announces the
    /// new number; after any other change it leaves the fleet and joins again.
    void reload(const std::optional<fleet::Settings>& settings);

    /// Returns whether this gateway has fleet settings and thus a fleet client.
    [[nodiscard]] bool is_member() const { return client_ != nullptr; }
    /// Returns whether the gateway may serve requests. Failure prevented: the fleet counts a notice, for
    /// example a purge, as in force at this gateway because the gateway's previous process had applied the
    /// notice. A new process that has not read the notice yet would serve stale copies. Therefore a gateway
    /// with a site serves no request until it has read all notices of the notice board, or until the fleet no
    /// longer counts the previous process.
    [[nodiscard]] bool may_serve() const { return !client_ || client_->may_serve(); }
    /// Returns the time from which on may_serve() returns true at the latest. Call this function only while
    /// may_serve() returns false.
    [[nodiscard]] TimePoint may_serve_from() const { return client_->serves_from(); }

    void on_endpoint_removed(const CacheId& cache);
    // Events of the gateway's polls of the notice board; see NoticeObserver.
    [[nodiscard]] bool wants_full_history() const;
    void on_poll_started(bool from_start);
    void on_poll_completed(std::int64_t newest, std::int64_t polled_from);
    void on_poll_failed();
    void on_notice_skipped();

    // Functions of EndpointHealthObserver:
    void on_ejection_changed(const CacheId& cache, bool ejected) override;
    void on_health_check_done(const CacheId& cache, bool passed) override;

private:
    // Functions of fleet::GatewayCallbacks:
    bool start_health_check(const CacheId& cache) override;
    void postpone_recovery_probe(const CacheId& cache, TimePoint not_before) override;
    void on_fleet_event(const fleet::FleetEvent& event) override;

    // The endpoints whose health this gateway may check. They are the edge caches of the gateway's location
    // or, if the gateway may send requests to parents and the origin directly, all endpoints.
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
    // The former client, kept after a reload so that its last write can complete on its connection.
    std::unique_ptr<fleet::FleetClient> leaving_client_;
    ScopedTimer leave_timer_;
};

}  // namespace irismux
