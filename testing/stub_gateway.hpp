// A gateway without its data path: the program's own classes for control (the notice board's poll, the
// registry's client, the fleet's member and its store) with its own connections, seed and store folder. No
// lookups, no Router: what the Router would decide of a cache (that it is marked) is ordered from outside.
//
// Many share one loop and one process; each has connections of its own, as a gateway has.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "endpoint/endpoint_table.hpp"
#include "fleet/fleet_client.hpp"
#include "net/notice_client.hpp"
#include "registry/registry_client.hpp"

namespace irismux::test_support {

// What a hollow gateway goes by; the same as a configuration and a file of parts tell a real one.
struct StubGatewaySettings {
    std::string name;
    std::uint64_t seed = 1;
    std::string notice_board;                                 // address
    Duration notice_board_pause = Duration::micros(400'000);  // after a failed poll
    nlohmann::json known = {{"rev", 0},
                            {"notices", nlohmann::json::array()}};  // what the board knew at the start
    std::optional<registry::Settings> registry;                     // the list of caches; none: the board's
    std::optional<fleet::Settings> fleet;
};

// Told when something has come into force at a hollow gateway.
class StubGatewayObserver {
public:
    virtual ~StubGatewayObserver() = default;
    virtual void on_endpoints_applied(const std::string& gateway, TimePoint at) = 0;
    virtual void on_purge_applied(const std::string& gateway, TimePoint purged_at, TimePoint at) = 0;
    virtual void on_recovery_probe_postponed(const std::string& gateway, const CacheId& cache,
                                             TimePoint at) = 0;
};

class StubGateway final : private NoticeObserver,
                          private registry::WatchObserver,
                          private fleet::GatewayCallbacks {
public:
    StubGateway(EventLoop& loop, StubGatewayObserver& observer, const StubGatewaySettings& settings);
    ~StubGateway() override;
    StubGateway(const StubGateway&) = delete;
    StubGateway& operator=(const StubGateway&) = delete;

    void start();
    // As if its Router had found the cache to be silent, or answering again.
    void set_ejected(const CacheId& cache, bool is);
    // From now on its probes of that cache are answered; others are not.
    void set_cache_answers(const CacheId& cache, bool is);

    // --- what is in force here
    const std::map<CacheId, EndpointUpdate>& endpoints() const { return endpoints_by_id_; }
    std::uint64_t purge_count() const { return purge_count_; }    // told, those of a catch-up too
    std::uint64_t purge_digest() const { return purge_digest_; }  // of all that were told, in any order
    bool joined() const;
    std::size_t known_members() const;    // itself among them once it has joined
    std::uint64_t member_digest() const;  // of their names and starts
    bool follows_endpoints() const;
    const fleet::Agent* member() const { return fleet_client_ ? &fleet_client_->agent() : nullptr; }

private:
    // BoardObserver
    void on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) override;
    void on_purge_notice(const PurgeNotice& purge) override;
    // registry::Knows
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& lines, bool complete) override;
    void on_sync_state(TimePoint, registry::SyncState, TimePoint) override {}
    void on_watch_warning(const registry::WatchWarning&) override {}
    // fleet::GatewayCallbacks
    bool start_health_check(const CacheId& cache) override;
    void postpone_recovery_probe(const CacheId& cache, TimePoint at) override;
    void on_fleet_event(const fleet::FleetEvent&) override {}

    void apply_endpoints(const std::vector<EndpointRecord>& lines, bool complete);

    EventLoop& event_loop_;
    StubGatewayObserver& observer_;
    StubGatewaySettings settings_;
    EndpointTable roster_;
    std::map<CacheId, EndpointUpdate> endpoints_by_id_;
    std::map<CacheId, bool> answers_;
    std::uint64_t purge_count_ = 0, purge_digest_ = 0;
    irismux::NoticeClient notice_client_;  // not the stand-in of this namespace
    std::unique_ptr<registry::RegistryClient> registry_;
    std::unique_ptr<fleet::FleetClient> fleet_client_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace irismux::test_support
