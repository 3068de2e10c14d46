// The Router's Port and alarms, between the server and the client component.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "endpoint/endpoint_table.hpp"
#include "fleet/fleet_client.hpp"
#include "gateway/configuration.hpp"
#include "gateway/parts.hpp"
#include "gateway/request_dispatcher.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"
#include "net/notice_client.hpp"
#include "registry/client.hpp"
#include "store/store.hpp"

namespace irismux {

class Gateway final : private EndpointHealthObserver,
                      private NoticeObserver,
                      private registry::WatchObserver,
                      private fleet::GatewayCallbacks {
public:
    Gateway(EventLoop& loop, const Configuration& configuration, const Parts& parts = {});
    ~Gateway() override;

    // Begins; where no listener can be had for now, again and again, up to a bound.
    void serve();
    // Why it never came to serve; none: it has, or may yet.
    const std::optional<std::string>& start_failure() const { return start_failure_; }
    // From now on the gateway leaves as soon as nothing can come any more and all is answered.
    void begin_shutdown();
    // The configuration has been replaced: of it, the board's address and the registry may change while the
    // program runs.
    void reload(const Configuration& configuration, const Parts& parts);
    std::size_t pending_request_count() const { return dispatcher_.pending_request_count(); }
    const registry::RegistryClient* registry() const { return registry_.get(); }

private:
    // fleet::GatewayPort
    bool start_health_check(const CacheId&) override;
    void postpone_recovery_probe(const CacheId&, TimePoint) override;
    void on_duty_state(const fleet::DutyName&, fleet::LeaseState, fleet::FencingToken) override;
    void on_fleet_message(std::string_view plain_line, bool trouble) override;
    void start_fleet();
    void stop_fleet();

    void on_ejection_changed(const CacheId&, bool) override;
    void on_health_check_done(const CacheId&, bool passed) override;
    void on_endpoint_notice(const std::vector<EndpointRecord>&, bool complete) override;
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>&, bool complete) override;
    void on_sync_state(TimePoint now, registry::SyncState, TimePoint as_of) override;
    void on_warning(std::string_view plain_line) override;
    void start_registry();
    void store_endpoints();
    void apply_endpoints(const std::vector<EndpointRecord>&, bool complete);
    void on_purge_notice(const PurgeNotice& purge) override;
    bool wants_full_history() const override {
        return fleet_client_ && fleet_client_->needs_full_notice_history();
    }
    void on_poll_started(bool from_start) override;
    void on_poll_completed(std::int64_t newest, std::int64_t asked_from) override;
    void on_poll_failed() override;
    void on_notice_skipped() override;
    void start_listening();
    void retry_listening(const std::string& why);

    void check_shutdown_progress();

    EventLoop& event_loop_;
    Duration longest_deadline_;
    std::string listen_;
    EndpointTable endpoints_;
    RequestDispatcher dispatcher_;
    FastCgiServer server_;
    CacheConnectionPool cache_connections_;
    NoticeClient notice_client_;
    std::uint64_t seed_;
    std::optional<registry::Settings> registry_settings_;
    std::unique_ptr<registry::RegistryClient> registry_;  // the list's one source, where there is one
    std::string snapshot_owner_;                          // of the list that is kept
    std::optional<Store> store_;
    registry::Revision stored_revision_;  // of the list kept last
    TimePoint stored_as_of_;
    bool store_failure_logged_ = false;  // said once: it can't be written
    EventLoop::Timer snapshot_timer_{};
    std::optional<fleet::Settings> fleet_settings_;
    std::string name_;
    // Whom a look may go to: edge caches here, parents and the origin only where lookups may.
    struct HealthCheckScope {
        bool allowed = false, direct = false;
        LocationId here;
        std::optional<MachineType> parent, origin;
    };
    HealthCheckScope health_check_scope_;
    std::unique_ptr<fleet::FleetClient> fleet_client_, leaving_fleet_client_;
    EventLoop::Timer fleet_leave_timer_{};
    EventLoop::Timer listen_timer_{};
    TimePoint start_by_;
    bool start_held_up_ = false;
    std::optional<std::string> start_failure_;
    // Working: lookups are taken and answered. Ending: no connection is accepted or listened to any more, and
    // each is ended in peace.
    enum class Shutdown { none, draining, closing };
    Shutdown shutdown_ = Shutdown::none;
    TimePoint drain_started_at_, drain_deadline_;
};

}  // namespace irismux
