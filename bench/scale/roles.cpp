#include "bench/scale/roles.hpp"

#include <cmath>
#include <csignal>
#include <iostream>
#include <memory>
#include <set>
#include <stdexcept>

#include "base/log.hpp"
#include "bench/scale/control_channel.hpp"
#include "bench/scale/counting.hpp"
#include "bench/scale/topology.hpp"
#include "gateway/parts.hpp"
#include "testing/fake_registry.hpp"
#include "testing/fake_services.hpp"
#include "testing/fault_proxy.hpp"
#include "testing/stub_gateway.hpp"

namespace irismux::scale {
namespace {

using nlohmann::json;

const Duration ms = Duration::micros(1000);

Duration milliseconds(const json& count) { return Duration::micros(count.get<std::int64_t>() * 1000); }

std::int64_t unix_us(TimePoint at) { return (at - TimePoint{}).micros(); }

// Base of all roles. It has an event loop and the control channel, and confirms each order with the id of the
// order.
class Role {
public:
    virtual ~Role() = default;
    void run(const std::string& control, const std::string& role, std::size_t number) {
        channel_ = ControlChannel::connect(
            loop_, control, [this](const json& order) { on_order(order); }, [this] { loop_.stop(); });
        channel_->send({{"hello", role}, {"number", number}});
        loop_.run();
    }

protected:
    virtual json handle_order(const json& order) = 0;
    void send(const json& message) { channel_->send(message); }
    EventLoop loop_;

private:
    void on_order(const json& order) {
        json answer = handle_order(order);
        answer["done"] = order.at("id");
        send(answer);
    }
    std::unique_ptr<ControlChannel> channel_;
};

// --- the registry ----------------------------------------------------------------------------------------

// All registry members share one history, so one process runs all of them. Each registry member has its own
// listener and connections.
class RegistryRole final : public Role {
    static constexpr std::int64_t min_history = 600;  // minimum number of revisions kept

    json handle_order(const json& order) override {
        if (order.contains("members")) {
            registry_ = std::make_unique<test_support::FakeRegistry>(
                loop_, order["members"].get<std::size_t>(), milliseconds(order["progress_ms"]));
            registry_->on_settled = [this](const test_support::FakeRegistry::SettledTransaction&) {
                compact();
            };
            json addresses = json::array();
            for (std::size_t m = 0; m < order["members"].get<std::size_t>(); ++m)
                addresses.push_back(registry_->address(m));
            return {{"addresses", addresses}};
        }
        if (order.contains("put")) {
            std::vector<std::pair<test_support::RecordKey, std::optional<std::string>>> writes;
            for (const auto& [key, value] : order["put"].items())
                writes.emplace_back(test_support::RecordKey{key},
                                    value.is_null() ? std::nullopt : std::optional(value.get<std::string>()));
            registry_->model.commit(writes);
            registry_->publish();
        }
        return json{
            {"transactions", registry_->ledger.transactions}, {"reads", registry_->ledger.reads},
            {"watches", registry_->ledger.watches},           {"told", registry_->ledger.delivered_changes},
            {"connections", registry_->ledger.connections},   {"revision", registry_->model.newest().raw()}};
    }
    void compact() {
        auto& model = registry_->model;
        if (model.newest().raw() - model.oldest().raw() > 2 * min_history)
            model.compact(test_support::Revision{model.newest().raw() - min_history});
        if (registry_->ledger.request_times.size() > 100'000) registry_->ledger.request_times.clear();
    }
    std::unique_ptr<test_support::FakeRegistry> registry_;
};

// --- the notice board ------------------------------------------------------------------------------------

class NoticeBoardRole final : public Role {
    json handle_order(const json& order) override {
        if (order.contains("post")) board_.post_all(order["post"].get<std::vector<json>>());
        return {{"address", board_.address()}};
    }
    test_support::FakeNoticeBoard board_{loop_};
};

// --- relays ----------------------------------------------------------------------------------------------

// Runs one relay per gateway and control machine, and counts the traffic through each relay.
class RelayRole final : public Role {
    json handle_order(const json& order) override {
        if (order.contains("targets")) {
            json addresses = json::object();
            for (const json& g : order["gateways"])
                addresses[std::to_string(g.get<std::size_t>())] = add(g, order["targets"]);
            report_traffic();
            return {{"addresses", addresses}};
        }
        for (const json& g : order.value("gateways", json::array()))
            for (const auto& relay : relays_.at(g.get<std::size_t>())) change(*relay, order);
        return json::object();
    }
    json add(std::size_t gateway, const json& targets) {
        json addresses = json::array();
        auto& all = relays_[gateway];
        for (std::size_t machine = 0; machine < targets.size(); ++machine) {
            auto relay =
                std::make_unique<test_support::FaultProxy>(loop_, targets[machine].get<std::string>());
            relay->on_connection_chunk = [this, gateway, machine](std::uint64_t connection,
                                                                  test_support::Direction way,
                                                                  std::string_view bytes) {
                auto& counter = connection_counters_[{gateway, machine, connection}];
                const Traffic traffic = counter.count(way, bytes);
                traffic_rows_[{gateway, machine, counter.channel()}] += traffic;
            };
            relay->on_connection_closed = [this, gateway, machine](std::uint64_t connection) {
                connection_counters_.erase({gateway, machine, connection});
            };
            addresses.push_back(relay->address());
            all.push_back(std::move(relay));
        }
        return addresses;
    }
    static void change(test_support::FaultProxy& relay, const json& order) {
        if (order.contains("cut")) relay.set_partitioned(order["cut"].get<bool>());
        if (order.contains("down")) relay.set_down(order["down"].get<bool>());
        if (order.contains("break")) relay.reset_all();
        for (const test_support::Direction way :
             {test_support::Direction::to_server, test_support::Direction::to_client}) {
            if (order.contains("delay_ms")) relay.faults(way).delay = milliseconds(order["delay_ms"]);
            if (order.contains("bytes_a_second"))
                relay.faults(way).bytes_per_second = order["bytes_a_second"].get<std::size_t>();
        }
    }
    // Reports at each full second the traffic of the previous second.
    void report_traffic() {
        const std::int64_t second = unix_us(loop_.now()) / 1'000'000;
        if (reported_second_ > 0 && second > reported_second_)
            send(to_json(reported_second_, std::exchange(traffic_rows_, {})));
        reported_second_ = second;
        loop_.schedule_at(TimePoint{} + Duration::micros((second + 1) * 1'000'000),
                          [this] { report_traffic(); });
    }
    std::map<std::size_t, std::vector<std::unique_ptr<test_support::FaultProxy>>> relays_;
    std::map<std::tuple<std::size_t, std::size_t, std::uint64_t>, ConnectionCounter> connection_counters_;
    std::map<TrafficKey, Traffic> traffic_rows_;
    std::int64_t reported_second_ = 0;
};

// --- stub gateways ---------------------------------------------------------------------------------------

// change_ejections() cycles through a range of listed caches; the constants are the index of the first cache
// and the number of caches.
constexpr std::size_t first_ejected_cache = 50, ejected_caches = 40;

class StubGatewayRole final : public Role, public test_support::StubGatewayObserver {
    struct Slot {
        std::size_t number = 0;
        test_support::StubGatewaySettings settings;
        std::unique_ptr<test_support::StubGateway> gateway;
        bool complete_reported = false;
        std::int64_t list_version = -1;
        CacheId ejected_cache;  // the cache ejected by change_ejections(), if any
    };
    struct Expected {
        std::int64_t id = 0;
        std::size_t members = 0;
        std::int64_t list_version = 0;
        std::uint64_t purges = 0;
    };

    json handle_order(const json& order) override {
        if (order.contains("gateways")) return set_up(order["gateways"]);
        if (order.contains("start")) for_each_slot(order["start"], [this](Slot& s) { start(s); });
        if (order.contains("kill")) for_each_slot(order["kill"], [](Slot& s) { s.gateway.reset(); });
        if (order.contains("report_purges")) purge_reports_enabled_ = order["report_purges"].get<bool>();
        if (order.contains("mark")) set_ejected(order);
        if (order.contains("change_marks")) change_ejections(order["change_marks"].get<bool>());
        if (order.contains("expect")) expect(order["expect"]);
        if (order.contains("state")) return {{"state", state()}};
        return json::object();
    }
    json set_up(const json& gateways) {
        for (const json& g : gateways) {
            Slot slot;
            slot.number = g.at("number").get<std::size_t>();
            slot.settings.name = g.at("name").get<std::string>();
            slot.settings.seed = g.at("seed").get<std::uint64_t>();
            slot.settings.notice_board = g.at("board").get<std::string>();
            const auto read = read_parts_text(g.at("parts").get<std::string>(), slot.settings.name);
            if (const auto* error = std::get_if<PartsError>(&read)) throw std::runtime_error(error->text());
            slot.settings.registry = std::get<Parts>(read).registry;
            slot.settings.fleet = std::get<Parts>(read).fleet;
            numbers_[slot.settings.name] = slot.number;
            slots_[slot.number] = std::move(slot);
        }
        tick();
        return json::object();
    }
    template <class Step>
    void for_each_slot(const json& numbers, Step step) {
        for (const json& n : numbers)
            if (const auto it = slots_.find(n.get<std::size_t>()); it != slots_.end()) step(it->second);
    }
    void start(Slot& slot) {
        slot.gateway.reset();
        slot.list_version = -1;
        slot.complete_reported = false;
        slot.gateway = std::make_unique<test_support::StubGateway>(loop_, *this, slot.settings);
        slot.gateway->start();
    }
    void set_ejected(const json& order) {
        probes_reported_.clear();
        const CacheId cache{order["mark"].get<std::string>()};
        for_each_slot(order["by"], [&](Slot& s) {
            if (s.gateway) s.gateway->set_ejected(cache, order["is"].get<bool>());
        });
    }
    // Once per second, makes each stub gateway readmit the cache that it has ejected and eject the next one,
    // so that each stub gateway ejects exactly one cache at a time. Gateways with consecutive numbers eject
    // different caches. If `enabled` is false, all these caches are readmitted and no more are ejected.
    void change_ejections(bool enabled) {
        loop_.cancel(ejection_timer_);
        for (auto& [number, slot] : slots_) {
            if (!slot.gateway) continue;
            if (!slot.ejected_cache.raw().empty()) slot.gateway->set_ejected(slot.ejected_cache, false);
            slot.ejected_cache = CacheId{};
            if (!enabled) continue;
            slot.ejected_cache = CacheId{
                Topology::cache_name(first_ejected_cache + (number + ejection_round_) % ejected_caches)};
            slot.gateway->set_ejected(slot.ejected_cache, true);
        }
        ++ejection_round_;
        if (enabled)
            ejection_timer_ = loop_.schedule_at(loop_.now() + ms * 1000, [this] { change_ejections(true); });
    }
    void expect(const json& e) {
        expected_ = {e.at("id").get<std::int64_t>(), e.at("members").get<std::size_t>(),
                     e.at("list").get<std::int64_t>(), e.at("purges").get<std::uint64_t>()};
        for (auto& [number, slot] : slots_) slot.complete_reported = false;
    }
    json state() const {
        json all = json::object();
        for (const auto& [number, slot] : slots_) {
            if (!slot.gateway) continue;
            const test_support::StubGateway& g = *slot.gateway;
            all[std::to_string(number)] = {{"joined", g.joined()},
                                           {"members", g.known_members()},
                                           {"member_digest", g.member_digest()},
                                           {"listed", g.endpoints().size()},
                                           {"list_version", slot.list_version},
                                           {"purges", g.purge_count()},
                                           {"purge_digest", g.purge_digest()}};
        }
        return all;
    }

    // Functions of test_support::StubGatewayObserver:
    void on_endpoints_applied(const std::string& gateway, TimePoint at) override {
        Slot& slot = slots_.at(numbers_.at(gateway));
        if (!slot.gateway) return;
        std::int64_t version = 0;
        // The weight of the first cache in the endpoint list is the list's version divided by 1000.
        const auto first = slot.gateway->endpoints().find(CacheId{Topology::cache_name(0)});
        if (first != slot.gateway->endpoints().end()) version = std::llround(first->second.weight * 1000);
        if (version <= slot.list_version) return;
        slot.list_version = version;
        add_report("list", slot.number, version, at);
    }
    void on_purge_applied(const std::string& gateway, TimePoint purged_at, TimePoint at) override {
        if (purge_reports_enabled_) add_report("purge", numbers_.at(gateway), unix_us(purged_at) / 1000, at);
    }
    void on_recovery_probe_postponed(const std::string& gateway, const CacheId&, TimePoint at) override {
        if (probes_reported_.insert(gateway).second) add_report("trial", numbers_.at(gateway), 0, at);
    }
    void add_report(const char* kind, std::size_t gateway, std::int64_t id, TimePoint at) {
        pending_reports_.push_back({gateway, kind, id, unix_us(at)});
    }

    void tick() {
        const TimePoint now = loop_.now();
        for (auto& [number, slot] : slots_) {
            if (!slot.gateway || slot.complete_reported || expected_.id == 0) continue;
            const test_support::StubGateway& g = *slot.gateway;
            if (!g.joined() || g.known_members() != expected_.members ||
                slot.list_version < expected_.list_version || g.purge_count() < expected_.purges)
                continue;
            slot.complete_reported = true;
            add_report("whole", number, expected_.id, now);
        }
        if (!pending_reports_.empty() && now - reports_sent_at_ >= ms * 200) {
            send({{"force", std::exchange(pending_reports_, json::array())}});
            reports_sent_at_ = now;
        }
        loop_.schedule_at(now + ms * 50, [this] { tick(); });
    }

    std::map<std::size_t, Slot> slots_;
    std::map<std::string, std::size_t> numbers_;
    std::set<std::string> probes_reported_;
    Expected expected_;
    json pending_reports_ = json::array();
    TimePoint reports_sent_at_;
    EventLoop::Timer ejection_timer_{};
    std::size_t ejection_round_ = 0;
    bool purge_reports_enabled_ = false;
};

// --- clients and caches of the real gateways -------------------------------------------------------------

class DataPathRole final : public Role {
    json handle_order(const json& order) override {
        if (order.contains("caches")) {
            json addresses = json::array();
            for (const json& name : order["caches"]) {
                caches_.push_back(
                    std::make_unique<test_support::FakeCache>(loop_, name.get<std::string>(), ms * 2));
                addresses.push_back(caches_.back()->address());
            }
            return {{"addresses", addresses}};
        }
        if (order.contains("ask"))
            for (const json& address : order["ask"]) {
                clients_.push_back(std::make_unique<test_support::ClientLoad>(
                    loop_, address.get<std::string>(), "pages",
                    Duration::micros(order["every_us"].get<std::int64_t>()), ms * 2000));
                clients_.back()->start();
            }
        json counts = json::array();
        for (const auto& c : clients_) {
            c->latencies_ms.clear();
            counts.push_back({c->requests_sent, c->served, c->rejected, c->failed});
        }
        return {{"lookups", counts}};
    }
    std::vector<std::unique_ptr<test_support::FakeCache>> caches_;
    std::vector<std::unique_ptr<test_support::ClientLoad>> clients_;
};

}  // namespace

int run_role(const std::string& role, const std::string& control, std::size_t number) {
    std::signal(SIGPIPE, SIG_IGN);
    log::set_level(log::Level::error);
    std::unique_ptr<Role> made;
    if (role == "registry") made = std::make_unique<RegistryRole>();
    if (role == "board") made = std::make_unique<NoticeBoardRole>();
    if (role == "relay") made = std::make_unique<RelayRole>();
    if (role == "hollow") made = std::make_unique<StubGatewayRole>();
    if (role == "data") made = std::make_unique<DataPathRole>();
    if (!made) return std::cerr << "scale: the rig has no role named " << role << '\n', 2;
    try {
        made->run(control, role, number);
    } catch (const std::exception& e) {
        return std::cerr << "scale: " << role << ' ' << number << ": " << e.what() << '\n', 1;
    }
    return 0;
}

}  // namespace irismux::scale
