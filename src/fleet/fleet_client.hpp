// Connects an Agent and the duties that it may own to the registry and to the gateway, on the event loop. It
// takes no decisions: the cores say what is due and what an answer means.
//
// Its clock is CLOCK_BOOTTIME, which also counts the time during which the machine is suspended.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/agent.hpp"
#include "fleet/garbage_collector.hpp"
#include "fleet/health_monitor.hpp"
#include "fleet/record_mirror.hpp"
#include "fleet/settings.hpp"
#include "fleet/site_reporter.hpp"
#include "fleet/token_store.hpp"
#include "registry/registry_client.hpp"

namespace irismux::fleet {

// What a FleetClient needs of its gateway. Never called from within a call to the FleetClient.
class GatewayCallbacks {
public:
    virtual ~GatewayCallbacks() = default;
    // Probes the cache if the settings permit it; the outcome comes back through FleetClient::probed().
    // False: not permitted.
    virtual bool start_health_check(const CacheId&) = 0;
    // The gateway's own next trial of the marked cache is due at that instant of the loop's clock.
    virtual void postpone_recovery_probe(const CacheId&, TimePoint to_loop_time) = 0;
    // The lease of a duty at this gateway has changed.
    virtual void on_duty_state(const DutyName&, LeaseState, FencingToken) = 0;
    // One line for the log.
    virtual void on_fleet_message(std::string_view plain_line, bool trouble) = 0;
};

// Paths of the records behind the fleet's prefix. Heartbeats lie outside the watched prefix, so that they are
// not delivered to every member.
std::string path_of(const Key& key);
Key key_at(const std::string& path);
std::string watched_prefix(const std::string& prefix);
// A site's records lie behind a prefix of its own; its digest and the board's generation stand apart.
std::string site_prefix(const std::string& prefix, const SiteName& site);
std::string path_of(const Key& key, const SiteName& site);
std::string digest_prefix(const std::string& prefix);

class FleetClient final : private AgentTransport,
                          private AgentObserver,
                          private HealthCheckCallbacks,
                          private registry::ReplyHandler,
                          private registry::WatchObserver {
public:
    FleetClient(EventLoop& loop, GatewayCallbacks& gateway, const Settings& settings,
                const std::string& version, std::uint64_t seed);
    ~FleetClient() override;

    void start();
    // Stops acting, removes this member's records, and closes its store, so that a successor may open it.
    void leave();
    // The Router has begun or ended to pass over that cache.
    void on_ejection_changed(const CacheId&, bool);
    // The cache has left the list.
    void on_endpoint_removed(const CacheId& cache) { on_ejection_changed(cache, false); }
    // The outcome of a probe that was sent.
    void on_health_check_done(const CacheId&, bool answered);
    // Whether the lease still covers a probe; asked right before its first byte is sent.
    bool may_check_health(const CacheId& cache) const;

    // --- of a site's member: what it has in force
    // Whether lookups may be taken yet; if not, from when on at the latest.
    bool may_serve() const { return !site_reporter_ || site_reporter_->may_serve(clock()); }
    TimePoint serves_from() const { return to_event_loop_time(site_reporter_->serving_allowed_at()); }
    bool needs_full_notice_history() const;
    void on_poll_started(bool from_start);
    void on_poll_completed(std::int64_t newest, std::int64_t asked_from);
    void on_poll_failed();
    void on_notice_skipped();
    void set_configuration(ConfigurationNumber);

    const Agent& agent() const { return agent_; }

private:
    // RegistryPort
    void submit(const Transaction&) override;
    void schedule_wake(TimePoint at) override;
    // AgentObserver
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override;
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override;
    void on_warning(std::string_view plain_line) override;
    void on_heartbeat_result(TimePoint sent, HeartbeatNumber, const std::vector<Entry>& shown) override;
    void on_registry_restored() override;
    // ProbePort
    void start_health_check(const CacheId&) override;
    void postpone_recovery_probe(const CacheId&, TimePoint) override;
    // registry::Replies: the answer to a transaction
    void on_reply(int status, const std::string& body) override;
    void on_stream_message(std::string_view) override {}
    void on_message_too_long() override {}
    void on_request_failed(const registry::RequestFailure& failure) override;
    // registry::Knows
    void on_endpoints(TimePoint, const std::vector<EndpointRecord>&, bool) override {}
    void on_records(TimePoint, registry::Revision, const std::vector<registry::Change>&, bool all) override;
    void on_sync_state(TimePoint, registry::SyncState, TimePoint as_of) override;
    void on_watch_warning(const registry::WatchWarning& warning) override;

    TimePoint clock() const;
    TimePoint to_event_loop_time(TimePoint by_clock) const {
        return event_loop_.now() + (by_clock - clock());
    }
    void call_soon(std::function<void()> then);
    void use_next_registry_member();
    void run_due_tasks();
    void update_duties();
    void store_tokens_seen();
    MemberIdentity identity(const std::string& version);

    EventLoop& event_loop_;
    GatewayCallbacks& gateway_;
    Settings settings_;
    TokenStore token_store_;  // before agent_, whose identity is read from it
    registry::Settings watch_settings_;
    std::string instance_id_;
    Agent agent_;
    std::optional<SiteReporter> site_reporter_;
    HealthMonitor health_monitor_;
    GarbageCollector garbage_collector_;
    RecordMirror record_mirror_;
    registry::Revision mirrored_revision_;
    std::set<DutyName> followed_duties_;
    registry::RegistryConnection connection_;
    std::optional<Transaction> pending_transaction_;
    registry::MemberIndex registry_member_;
    registry::RegistryClient watch_client_;
    EventLoop::Timer wake_timer_{}, due_tasks_timer_{}, store_timer_{};
    std::shared_ptr<bool> liveness_token_ = std::make_shared<bool>(true);
    bool registry_silent_ = false;
};

}  // namespace irismux::fleet
