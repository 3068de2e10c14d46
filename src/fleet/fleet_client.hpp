/// Connects one gateway to its fleet: the client runs the Agent and the tasks of the agent's duties on the
/// event loop, and connects them to the registry and the gateway. The client makes no decisions: Agent,
/// HealthMonitor, GarbageCollector and SiteReporter determine what is due and how a reply is handled.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/agent.hpp"
#include "fleet/clocks.hpp"
#include "fleet/garbage_collector.hpp"
#include "fleet/gateway_callbacks.hpp"
#include "fleet/health_monitor.hpp"
#include "fleet/record_mirror.hpp"
#include "fleet/record_paths.hpp"
#include "fleet/settings.hpp"
#include "fleet/site_reporter.hpp"
#include "fleet/token_store.hpp"
#include "fleet/transaction_client.hpp"
#include "registry/registry_client.hpp"

namespace irismux::fleet {

/// The loop and the gateway must outlive the client. All times in the interface are times of the event loop's
/// clock.
class FleetClient final : private AgentTransport,
                          private AgentObserver,
                          private HealthCheckCallbacks,
                          private TransactionObserver,
                          private registry::WatchObserver {
public:
    FleetClient(EventLoop& loop, GatewayCallbacks& gateway, const Settings& settings,
                const std::string& version, std::uint64_t seed);

    void start();
    /// Stops acting at once, removes this member's records, and closes the token store, so that a new
    /// FleetClient of this process may open the store.
    void leave();

    /// Called when the router has ejected or readmitted the cache.
    void on_ejection_changed(const CacheId&, bool ejected);
    /// Called when the cache is removed from the endpoint list.
    void on_endpoint_removed(const CacheId& cache) { on_ejection_changed(cache, false); }
    /// Called with the outcome of a health check that was started.
    void on_health_check_done(const CacheId&, bool answered);
    /// Returns whether this member's lease still permits a health check of the cache. Must be called right
    /// before the check's first byte is sent.
    [[nodiscard]] bool may_check_health(const CacheId& cache) const;

    // --- for a member of a site: the notices and the configuration that it has applied

    /// Returns whether the gateway may accept requests yet. If the function returns false, the gateway may
    /// accept requests from serves_from() on at the latest.
    [[nodiscard]] bool may_serve() const { return !site_reporter_ || site_reporter_->may_serve(boot_time()); }
    [[nodiscard]] TimePoint serves_from() const {
        return to_event_loop_time(site_reporter_->serving_allowed_at());
    }
    [[nodiscard]] bool needs_full_notice_history() const;
    void on_poll_started(bool from_start);
    void on_poll_completed(std::int64_t newest, std::int64_t asked_from);
    void on_poll_failed();
    void on_notice_skipped();
    void set_configuration(ConfigurationNumber);

    [[nodiscard]] const Agent& agent() const { return agent_; }

private:
    // Functions of AgentTransport:
    void submit(const Transaction& transaction) override { transaction_client_.submit(transaction); }
    void schedule_wake(TimePoint at) override;
    // Functions of AgentObserver:
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override;
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override;
    void on_event(const FleetEvent& event) override { gateway_.on_fleet_event(event); }
    void on_heartbeat_result(TimePoint sent, HeartbeatNumber, const std::vector<KeyValue>& records) override;
    void on_registry_restored() override;
    // Functions of HealthCheckCallbacks:
    void start_health_check(const CacheId&) override;
    void postpone_recovery_probe(const CacheId&, TimePoint) override;
    // Functions of TransactionObserver:
    void on_transaction_result(registry::Revision, bool succeeded, const std::vector<KeyValue>&) override;
    void on_transaction_lost() override;
    // Functions of registry::WatchObserver:
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>&, bool) override {}
    void on_records(TimePoint, registry::Revision, const std::vector<registry::Change>&, bool all) override;
    void on_sync_state(TimePoint, registry::SyncState, TimePoint as_of) override;
    void on_watch_warning(const registry::WatchWarning& warning) override;

    TimePoint to_event_loop_time(TimePoint boot) const { return event_loop_.now() + (boot - boot_time()); }
    void call_soon(std::function<void()> callback);
    void apply_health_record(const CacheId& cache, const RecordValue& value);
    void run_due_tasks();
    TimePoint collect_garbage(TimePoint now, TimePoint next_task_at);
    void update_duties();
    void save_tokens();
    void report_store_error(TokenStoreOperation operation, const StoreError& error);
    MemberIdentity identity(const std::string& version) const;

    EventLoop& event_loop_;
    GatewayCallbacks& gateway_;
    Settings settings_;
    TokenStore token_store_;  // declared before agent_, whose identity is read from it
    std::string instance_id_;
    Agent agent_;
    std::optional<SiteReporter> site_reporter_;  // std::nullopt outside of a site
    HealthMonitor health_monitor_;
    GarbageCollector garbage_collector_;
    RecordMirror record_mirror_;
    registry::Revision mirrored_revision_;
    std::set<DutyName> followed_duties_;
    TransactionClient transaction_client_;
    registry::RegistryClient watch_client_;
    ScopedTimer wake_timer_;
    ScopedTimer due_tasks_timer_;
    ScopedTimer save_timer_;
    std::shared_ptr<bool> liveness_token_ = std::make_shared<bool>(true);
    bool registry_disconnected_ = false;
};

}  // namespace irismux::fleet
