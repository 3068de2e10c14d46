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
#include "registry/client.hpp"

namespace irismux::lab {

// What a hollow gateway goes by; the same as a configuration and a file of parts tell a real one.
struct HollowSettings {
    std::string name;
    std::uint64_t seed = 1;
    std::string board;                         // address
    Span board_pause = Span::micros(400'000);  // after a failed poll
    nlohmann::json known = {{"rev", 0},
                            {"notices", nlohmann::json::array()}};  // what the board knew at the start
    std::optional<registry::Settings> registry;                     // the list of caches; none: the board's
    std::optional<fleet::Settings> fleet;
};

// Told when something has come into force at a hollow gateway.
class HollowObserver {
public:
    virtual ~HollowObserver() = default;
    virtual void list_in_force(const std::string& gateway, Instant at) = 0;
    virtual void purge_in_force(const std::string& gateway, Instant purged_at, Instant at) = 0;
    virtual void trial_put_off(const std::string& gateway, const CacheId& cache, Instant at) = 0;
};

class HollowGateway final : private BoardObserver, private registry::Knows, private fleet::GatewayPort {
public:
    HollowGateway(Loop& loop, HollowObserver& observer, const HollowSettings& settings);
    ~HollowGateway() override;
    HollowGateway(const HollowGateway&) = delete;
    HollowGateway& operator=(const HollowGateway&) = delete;

    void start();
    // As if its Router had found the cache to be silent, or answering again.
    void mark(const CacheId& cache, bool is);
    // From now on its probes of that cache are answered; others are not.
    void cache_answers(const CacheId& cache, bool is);

    // --- what is in force here
    const std::map<CacheId, Listing>& list() const { return list_; }
    std::uint64_t purges() const { return purges_; }              // told, those of a catch-up too
    std::uint64_t purge_digest() const { return purge_digest_; }  // of all that were told, in any order
    bool joined() const;
    std::size_t members_known() const;    // itself among them once it has joined
    std::uint64_t member_digest() const;  // of their names and starts
    bool follows_list() const;
    const fleet::Agent* member() const { return fleet_client_ ? &fleet_client_->agent() : nullptr; }

private:
    // BoardObserver
    void on_board_list(const std::vector<ListLine>& lines, bool complete) override;
    void on_board_purge(const PurgeNotice& purge) override;
    // registry::Knows
    void list_told(Instant now, const std::vector<ListLine>& lines, bool complete) override;
    void sight_told(Instant, registry::Sight, Instant) override {}
    void remark(std::string_view) override {}
    // fleet::GatewayPort
    bool send_probe(const CacheId& cache) override;
    void trial_from(const CacheId& cache, Instant at) override;
    void on_duty_state(const fleet::DutyName&, fleet::LeaseState, fleet::FencingToken) override {}
    void on_fleet_message(std::string_view, bool) override {}

    void list_in_force(const std::vector<ListLine>& lines, bool complete);

    Loop& loop_;
    HollowObserver& observer_;
    HollowSettings settings_;
    Roster roster_;
    std::map<CacheId, Listing> list_;
    std::map<CacheId, bool> answers_;
    std::uint64_t purges_ = 0, purge_digest_ = 0;
    irismux::Board board_;  // not the stand-in of this namespace
    std::unique_ptr<registry::Client> registry_;
    std::unique_ptr<fleet::FleetClient> fleet_client_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace irismux::lab
