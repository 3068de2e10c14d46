// The Router's Port and alarms, between the server and the client component.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "endpoint/endpoint_table.hpp"
#include "fleet/fleet_client.hpp"
#include "gateway/configuration.hpp"
#include "gateway/parts.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"
#include "net/notice_client.hpp"
#include "registry/registry_client.hpp"
#include "request/active_request.hpp"
#include "request/duplicate_request_filter.hpp"
#include "store/store.hpp"

namespace irismux {

class Gateway final : private RouterCallbacks,
                      private RequestHandler,
                      private AttemptObserver,
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
    std::size_t pending_request_count() const { return pending_requests_.size(); }
    const registry::RegistryClient* registry() const { return registry_.get(); }

private:
    // Port: what the Router wants done
    void start_direct_attempt(const RequestId&, const CacheId&, Duration time_out) override;
    void start_attempt(const RequestId&, const AttemptPlan&) override;
    void cancel_attempt(const RequestId&, AttemptIndex) override;
    void reject(const RequestId&, Duration come_back_in) override;
    void fail(const RequestId&) override;
    void set_timer(TimerId, TimePoint) override;
    void subscribe_to_endpoints() override {}  // the board is watched from the start
    void on_ejection_changed(const CacheId&, bool) override;

    // fleet::GatewayPort
    bool start_health_check(const CacheId&) override;
    void postpone_recovery_probe(const CacheId&, TimePoint) override;
    void on_fleet_event(const fleet::FleetEvent& event) override { fleet::write_to_log(event); }
    void start_fleet();
    void stop_fleet();

    // what happens
    Admission on_client_request(const ClientStream&, ClientRequest) override;
    void on_client_closed(const ClientStream&) override;
    void on_attempt_ended(ActiveRequest&, std::size_t n, const AttemptEnd&) override;
    void on_request_id_in_use(ActiveRequest&, std::size_t n) override;
    void on_health_check_result(const HealthCheckResult&) override;
    bool may_begin_attempt(ActiveRequest&, std::size_t n) override;
    void on_endpoint_notice(const std::vector<EndpointRecord>&, bool complete) override;
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>&, bool complete) override;
    void on_sync_state(TimePoint now, registry::SyncState, TimePoint as_of) override;
    void on_watch_warning(const registry::WatchWarning& warning) override;
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

    void start_pending_attempt(const RequestId&, Attempt);
    void on_attempt_timeout(RequestId, std::size_t n);
    void cancel_timeout(RequestId, std::size_t n);
    void on_deadline(const RequestId&);
    void end_attempt(ActiveRequest&, std::size_t n, const AttemptEnd&);
    void end_all_attempts(ActiveRequest&, Outcome);
    void report_to_router(const RequestId&, const AttemptResult&);
    void erase_if_finished(const RequestId&);
    void shorten_deadline(const RequestId&, TimePoint);
    bool has_unanswered_request() const;
    void check_shutdown_progress();

    struct PendingRequest {
        std::shared_ptr<ActiveRequest> active;  // shared with the connections that carry its sends
        EventLoop::Timer expiry;
        std::map<std::size_t, EventLoop::Timer> timeouts;  // of sends that are out
    };
    Admission admit(const ClientStream&, const ClientRequest&);
    bool has_effect(ObjectKindIndex kind) const;
    void on_request_answered(ActiveRequest&, bool without_effect);

    EventLoop& event_loop_;
    Duration longest_deadline_;
    std::vector<Effect> effects_;  // of the kinds
    std::size_t max_pending_requests_;
    std::string listen_;
    EndpointTable endpoints_;
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
    Router router_;
    bool inside_router_call_ = false;
    EventLoop::Timer listen_timer_{};
    TimePoint start_by_;
    bool start_held_up_ = false;
    std::optional<std::string> start_failure_;
    std::uint64_t last_request_ = 0;
    std::map<RequestId, PendingRequest> pending_requests_;
    std::map<ClientStream, RequestId> by_client_stream_;
    // Requests that wait for their answers, by connection and the client's name for them.
    std::map<std::pair<std::uint64_t, ClientRequestId>, RequestId> open_client_request_ids_;
    DuplicateRequestFilter duplicate_filter_;
    // Working: lookups are taken and answered. Ending: no connection is accepted or listened to any more, and
    // each is ended in peace.
    enum class Shutdown { none, draining, closing };
    Shutdown shutdown_ = Shutdown::none;
    TimePoint drain_started_at_, drain_deadline_;
};

}  // namespace irismux
