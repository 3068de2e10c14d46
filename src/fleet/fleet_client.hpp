// Carries an Agent, and the duties that it may own, between the registry and the gateway, on the loop.
// Decides nothing: what is due and what it means is asked of the cores.
//
// The clock is CLOCK_BOOTTIME: it counts time during which the machine sleeps.
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
#include "registry/client.hpp"
#include "store/store.hpp"

namespace irismux::fleet {

// The gateway, as its station needs it. Not called from within a call of the station's.
class GatewayPort {
public:
    virtual ~GatewayPort() = default;
    // Asks the cache for a sign of life, where that is permitted; the end is told by probed(). False: it is
    // not.
    virtual bool send_probe(const CacheId&) = 0;
    virtual void trial_from(const CacheId&, Instant by_loop) = 0;
    virtual void on_duty_state(const DutyName&, LeaseState, FencingToken) = 0;  // of this gateway
    virtual void on_fleet_message(std::string_view plain_line, bool trouble) = 0;
};

// Where the records lie, behind the fleet's prefix. Signs of life stand apart: the watch passes them over.
std::string path_of(const Key& key);
Key key_at(const std::string& path);
std::string watched_prefix(const std::string& prefix);

class FleetClient final : private RegistryPort,
                          private AgentObserver,
                          private ProbePort,
                          private registry::Replies,
                          private registry::Knows {
public:
    FleetClient(Loop& loop, GatewayPort& gateway, const Settings& settings, std::string version,
                std::uint64_t seed);
    ~FleetClient() override;

    void start();
    // Stops acting, takes its records away, and lets go of its store, which a successor may open.
    void leave();
    void marked(const CacheId&, bool);  // by the Router
    void gone(const CacheId& cache) { marked(cache, false); }
    void probed(const CacheId&, bool answered);
    // Asked at the first byte of a look that has waited: whether the term still covers it.
    bool may_probe(const CacheId& cache) const;

    const Agent& agent() const { return agent_; }

private:
    // Asks
    void submit(const Transaction&) override;
    void schedule_wake(Instant at) override;
    // Hears
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override;
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override;
    void remark(std::string_view plain_line) override;
    // Looks
    void send_probe(const CacheId&) override;
    void trial_from(const CacheId&, Instant) override;
    // registry::Replies, of deals
    void replied(int status, const std::string& body) override;
    void streamed(std::string_view) override {}
    void too_long() override {}
    void broke(const char* why) override;
    // registry::Knows
    void list_told(Instant, const std::vector<ListLine>&, bool) override {}
    void records_told(Instant, registry::Revision, const std::vector<registry::Change>&, bool all) override;
    void sight_told(Instant, registry::Sight, Instant as_of) override;

    Instant clock() const;
    Instant by_loop(Instant clock_says) const { return loop_.now() + (clock_says - clock()); }
    void later(std::function<void()> then);
    void next_member();
    void go_on();
    void know_duties();
    void keep();
    void open_store();
    MemberIdentity identity(const std::string& version);

    Loop& loop_;
    GatewayPort& gateway_;
    Settings settings_;
    std::optional<Store> store_;
    registry::Settings followed_;
    Agent agent_;
    HealthWatch health_watch_;
    GarbageCollector garbage_collector_;
    RecordMirror record_mirror_;
    registry::Revision told_;
    std::set<DutyName> duties_;
    registry::Asker asker_;
    std::optional<Transaction> out_;
    registry::MemberNo member_;
    registry::Client client_;
    Loop::Alarm wake_{}, go_on_{}, keep_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string kept_;
    bool not_kept_ = false;  // said once
    bool blind_ = false;
};

}  // namespace irismux::fleet
