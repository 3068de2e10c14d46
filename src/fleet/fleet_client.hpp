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
#include "fleet/health_watch.hpp"
#include "fleet/record_mirror.hpp"
#include "fleet/settings.hpp"
#include "fleet/site_reporter.hpp"
#include "registry/client.hpp"
#include "store/store.hpp"

namespace irismux::fleet {

// What a FleetClient needs of its gateway. Never called from within a call to the FleetClient.
class GatewayPort {
public:
    virtual ~GatewayPort() = default;
    // Probes the cache if the settings permit it; the outcome comes back through FleetClient::probed().
    // False: not permitted.
    virtual bool send_probe(const CacheId&) = 0;
    // The gateway's own next trial of the marked cache is due at that instant of the loop's clock.
    virtual void trial_from(const CacheId&, Instant to_loop_time) = 0;
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

class FleetClient final : private RegistryPort,
                          private AgentObserver,
                          private ProbePort,
                          private registry::Replies,
                          private registry::Knows {
public:
    FleetClient(Loop& loop, GatewayPort& gateway, const Settings& settings, const std::string& version,
                std::uint64_t seed);
    ~FleetClient() override;

    void start();
    // Stops acting, removes this member's records, and closes its store, so that a successor may open it.
    void leave();
    // The Router has begun or ended to pass over that cache.
    void marked(const CacheId&, bool);
    // The cache has left the list.
    void gone(const CacheId& cache) { marked(cache, false); }
    // The outcome of a probe that was sent.
    void probed(const CacheId&, bool answered);
    // Whether the lease still covers a probe; asked right before its first byte is sent.
    bool may_probe(const CacheId& cache) const;

    // --- of a site's member: what it has in force
    // Whether lookups may be taken yet; if not, from when on at the latest.
    bool may_serve() const { return !site_reporter_ || site_reporter_->may_serve(clock()); }
    Instant serves_from() const { return to_loop_time(site_reporter_->serves_from()); }
    bool ask_board_from_start() const;
    void on_board_asked(bool from_start);
    void on_board_told(std::int64_t newest, std::int64_t asked_from);
    void on_board_failed();
    void on_board_event_left_out();
    void set_configuration(ConfigurationNumber);

    const Agent& agent() const { return agent_; }

private:
    // RegistryPort
    void submit(const Transaction&) override;
    void schedule_wake(Instant at) override;
    // AgentObserver
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override;
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override;
    void remark(std::string_view plain_line) override;
    void on_heartbeat_result(Instant sent, HeartbeatNumber, const std::vector<Entry>& shown) override;
    void on_registry_went_back() override;
    // ProbePort
    void send_probe(const CacheId&) override;
    void trial_from(const CacheId&, Instant) override;
    // registry::Replies: the answer to a transaction
    void replied(int status, const std::string& body) override;
    void streamed(std::string_view) override {}
    void too_long() override {}
    void broke(const char* why) override;
    // registry::Knows
    void list_told(Instant, const std::vector<ListLine>&, bool) override {}
    void records_told(Instant, registry::Revision, const std::vector<registry::Change>&, bool all) override;
    void sight_told(Instant, registry::Sight, Instant as_of) override;

    Instant clock() const;
    Instant to_loop_time(Instant by_clock) const { return loop_.now() + (by_clock - clock()); }
    void call_soon(std::function<void()> then);
    void use_next_registry_member();
    void run_due_tasks();
    void update_duties();
    void store_tokens_seen();
    void open_store();
    MemberIdentity identity(const std::string& version);

    Loop& loop_;
    GatewayPort& gateway_;
    Settings settings_;
    std::optional<Store> store_;
    registry::Settings watch_settings_;
    std::string instance_id_;
    Agent agent_;
    std::optional<SiteReporter> site_reporter_;
    HealthWatch health_watch_;
    GarbageCollector garbage_collector_;
    RecordMirror record_mirror_;
    registry::Revision mirrored_revision_;
    std::set<DutyName> duties_;
    registry::Asker asker_;
    std::optional<Transaction> pending_transaction_;
    registry::MemberNo registry_member_;
    registry::Client client_;
    Loop::Alarm wake_alarm_{}, tasks_alarm_{}, store_alarm_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string stored_tokens_;
    bool store_failed_ = false;  // said once
    bool registry_silent_ = false;
};

}  // namespace irismux::fleet
