// A gateway without its data path. It runs the program's classes for control (notice client, registry client,
// fleet member and token store) with its own connections, seed and store folder. It serves no requests and
// has no Router. The test sets the ejection state that a Router would decide on.
//
// Many stub gateways share one event loop and one process. Each stub gateway has its own connections, like a
// gateway.
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

// The settings of a stub gateway, as a gateway reads them from its configuration and its parts file.
struct StubGatewaySettings {
    std::string name;
    std::uint64_t seed = 1;
    std::string notice_board;                                 // address of the notice board
    Duration notice_board_pause = Duration::micros(400'000);  // pause after a failed poll
    nlohmann::json known = {{"rev", 0},
                            {"notices", nlohmann::json::array()}};  // the board's events at the start
    std::optional<registry::Settings> registry;  // source of the endpoint list; unset: the notice board
    std::optional<fleet::Settings> fleet;
};

// Receives a call when a stub gateway applies an endpoint list or a purge, or postpones a recovery probe.
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
    // Tells the fleet client that a Router has ejected or readmitted the cache.
    void set_ejected(const CacheId& cache, bool ejected);
    // Sets whether the cache answers this gateway's health checks. By default no cache answers them.
    void set_cache_answers(const CacheId& cache, bool answers);

    // --- the state in force
    const std::map<CacheId, EndpointUpdate>& endpoints() const { return endpoints_by_id_; }
    std::uint64_t purge_count() const { return purge_count_; }    // includes the purges of a catch-up
    std::uint64_t purge_digest() const { return purge_digest_; }  // digest of all purges in any order
    bool joined() const;
    std::size_t known_members() const;    // includes this gateway after it has joined
    std::uint64_t member_digest() const;  // digest of the members' names and incarnations
    bool follows_endpoints() const;
    const fleet::Agent* member() const { return fleet_client_ ? &fleet_client_->agent() : nullptr; }

private:
    // Functions of NoticeObserver:
    void on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) override;
    void on_purge_notice(const PurgeNotice& purge) override;
    // Functions of registry::WatchObserver:
    void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& lines, bool complete) override;
    void on_sync_state(TimePoint, registry::SyncState, TimePoint) override {}
    void on_watch_warning(const registry::WatchWarning&) override {}
    // Functions of fleet::GatewayCallbacks:
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
    irismux::NoticeClient notice_client_;
    std::unique_ptr<registry::RegistryClient> registry_;
    std::unique_ptr<fleet::FleetClient> fleet_client_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace irismux::test_support
