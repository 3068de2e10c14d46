// irismux_simhost: the simulator's wire on standard input and output. It only reads, calls and writes.
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "base/json_reader.hpp"
#include "gateway/deployment_reader.hpp"
#include "irismux/router.hpp"
#include "sim/request_names.hpp"

namespace {

using namespace irismux;
using nlohmann::json;

constexpr std::pair<const char*, Outcome> outcomes[] = {{"completed", Outcome::completed},
                                                        {"errored", Outcome::errored},
                                                        {"saturated", Outcome::overloaded},
                                                        {"overdue", Outcome::deadline_exceeded},
                                                        {"refused_conn", Outcome::connection_refused},
                                                        {"severed", Outcome::connection_reset},
                                                        {"recalled", Outcome::cancelled},
                                                        {"superseded", Outcome::superseded},
                                                        {"lookup_miss", Outcome::cache_miss}};
constexpr std::pair<const char*, EndpointStatus> phases[] = {{"in_service", EndpointStatus::active},
                                                             {"terminating", EndpointStatus::draining},
                                                             {"terminated", EndpointStatus::removed}};
EndpointUpdate read_listing(const json& e) {
    EndpointUpdate l;
    l.cache = CacheId{get<std::string>(e, "cache")};
    l.location = LocationId{get_or<std::string>(e, "locality", "")};
    l.machine_type = MachineType{get_or<std::string>(e, "type", "")};
    l.cell = CellId{get_or<std::int64_t>(e, "group", 0)};
    l.weight = get_or(e, "nominal", 1.0);
    l.status = word(get<std::string>(e, "mode"), "mode", phases);
    l.started_at = TimePoint::at_seconds(get_or(e, "startedAtS", 0.0));
    return l;
}

// Writes each answer of the Router as one message of the reply.
class WirePort final : public RouterCallbacks {
public:
    json outbox = json::array();
    sim::LookupNames lookups;

    void start_direct_attempt(const RequestId& id, const CacheId& cache, Duration time_out) override {
        lookups.send_began(id);
        put({{"t", "Dispatch"},
             {"xid", lookups.name_of(id)},
             {"cache", cache.raw()},
             {"giveUpAfterS", time_out.seconds()}});
    }
    void start_attempt(const RequestId& id, const AttemptPlan& f) override {
        const int bits = (f.coalesce ? 1 : 0) + (f.only_if_cached ? 2 : 0) + (f.bypass_parent_cache ? 4 : 0) +
                         (f.revalidate ? 8 : 0);
        lookups.send_began(id);
        put({{"t", "ServeOrFill"},
             {"xid", lookups.name_of(id)},
             {"ageS", f.max_age.seconds()},
             {"cache", f.cache.raw()},
             {"switches", bits},
             {"storeAs", f.storage_rank},
             {"fillFrom", f.source.raw()},
             {"giveUpAfterS", f.timeout.seconds()}});
    }
    void cancel_attempt(const RequestId& id, AttemptIndex n) override {
        put({{"t", "DropAttempt"}, {"xid", lookups.name_of(id)}, {"trial", n.raw()}});
    }
    void reject(const RequestId& id, Duration in) override {
        put({{"t", "Bounce"}, {"xid", lookups.name_of(id)}, {"coolDownS", in.seconds()}});
        lookups.lookup_ended(id);
    }
    void fail(const RequestId& id) override {
        put({{"t", "Abort"}, {"xid", lookups.name_of(id)}});
        lookups.lookup_ended(id);
    }
    void set_timer(TimerId n, TimePoint at) override {
        put({{"t", "NotifyMe"}, {"tag", n.raw()}, {"alarmTimeS", at.seconds()}});
    }
    void subscribe_to_endpoints() override { put({{"t", "Subscribe"}, {"active", true}}); }

private:
    void put(json message) { outbox.push_back(std::move(message)); }
};

struct Instance {
    WirePort port;
    std::map<std::string, ObjectKindIndex> kind_places;
    std::optional<Router> router;
};

// Messages that no decision depends on.
bool is_ignored(std::string_view type) {
    return type == "Opened" || type == "ProbeDone" || type == "NoteFrom";
}

class Host {
public:
    json reply_to(const json& batch) {
        const TimePoint now = TimePoint::at_seconds(get<double>(batch, "clockS"));
        json all = json::array();
        for (const json& g : list_of(batch, "gateways")) {
            const std::string name = get<std::string>(g, "gatewayId");
            for (const json& item : list_of(g, "items")) take(now, name, item);
            const auto it = instances_.find(name);
            if (it == instances_.end() || it->second->port.outbox.empty()) continue;
            all.push_back({{"gatewayId", name}, {"outbox", std::move(it->second->port.outbox)}});
            it->second->port.outbox = json::array();
        }
        return {{"gateways", std::move(all)}};
    }

private:
    void take(TimePoint now, const std::string& name, const json& item) {
        const std::string t = get<std::string>(item, "t");
        if (t == "Ledger") return read_ledger(item);
        if (t == "OpenInstance") return open(now, name, item);
        if (t == "Exit") {
            instances_.erase(name);
            return;
        }
        const auto it = instances_.find(name);
        if (it == instances_.end()) bad("'" + t + "' for '" + name + "', which is not running");
        Instance& in = *it->second;
        Router& router = *in.router;
        if (t == "Ingress") {
            const Request arrival = read_arrival(in, item);
            router.on_request(now, arrival);
            in.port.lookups.forget_if_over(arrival.id);
        } else if (t == "Resolved") {
            resolved(now, in, item);
        } else if (t == "Due") {
            router.on_timer(now, TimerId{get<std::uint64_t>(item, "tag")});
        } else if (t == "View") {
            view(now, router, item);
        } else if (t == "Outdated") {
            std::optional<ObjectName> object;
            if (const auto key = get_or<std::string>(item, "contentId", ""); !key.empty())
                object = ObjectName{key};
            router.on_purge(now, span_of(item, "ageS"), PurgeGroupId{get_or<std::int64_t>(item, "setNo", 0)},
                            object);
        } else if (t == "ClientGone") {
            client_gone(now, in, item);
        } else if (!is_ignored(t)) {
            bad("unknown message '" + t + "'");
        }
    }

    static void resolved(TimePoint now, Instance& in, const json& item) {
        const auto id = in.port.lookups.find(get<std::string>(item, "xid"));
        if (!id) return;
        const AttemptResult answer = read_answer(*id, item);
        in.port.lookups.send_ended(*id);
        if (answer.request_finished || answer.outcome == Outcome::completed)
            in.port.lookups.lookup_ended(*id);
        in.router->on_attempt_result(now, answer);
        in.port.lookups.forget_if_over(*id);
    }

    static void client_gone(TimePoint now, Instance& in, const json& item) {
        const auto id = in.port.lookups.find(get<std::string>(item, "xid"));
        if (!id) return;
        in.port.lookups.lookup_ended(*id);
        in.router->on_client_closed(now, *id);
        in.port.lookups.forget_if_over(*id);
    }

    void open(TimePoint now, const std::string& name, const json& item) {
        auto in = std::make_unique<Instance>();
        DeploymentSettings r = read_deployment(need(item, "setup"));
        in->kind_places = std::move(r.kind_indexes);
        in->router.emplace(in->port, r.deployment, get<std::uint64_t>(item, "seed"), now);
        instances_[name] = std::move(in);
    }

    void read_ledger(const json& item) {
        std::vector<EndpointUpdate> lines;
        for (const json& e : list_of(item, "elements")) lines.push_back(read_listing(e));
        ledgers_[get_or<std::int64_t>(item, "ref", 0)] = std::move(lines);
    }

    void view(TimePoint now, Router& router, const json& item) {
        const std::string how = get<std::string>(item, "how");
        if (how == "lost") return router.on_endpoint_updates_lost(now);
        if (how != "incr" && how != "total" && how != "warm_copy") bad("unknown kind of list '" + how + "'");
        const auto number = get_or<std::int64_t>(item, "ref", 0);
        const auto it = ledgers_.find(number);
        if (it == ledgers_.end()) bad("unknown list number " + std::to_string(number));
        router.on_endpoint_updates(now, it->second, how != "incr");
    }

    static Request read_arrival(Instance& in, const json& item) {
        Request a;
        const std::string kind = get<std::string>(item, "kind");
        const auto place = in.kind_places.find(kind);
        if (place == in.kind_places.end()) bad("unknown kind '" + kind + "'");
        a.id = in.port.lookups.begin(get<std::string>(item, "xid"));
        a.kind = place->second;
        a.object = ObjectName{get_or<std::string>(item, "contentId", "")};
        a.purge_group = PurgeGroupId{get_or<std::int64_t>(item, "labelNo", 0)};
        a.deadline = TimePoint::at_seconds(get<double>(item, "expiresS"));
        a.size_kb = get_or(item, "kbytes", 0.0);
        a.is_client_retry = get_or(item, "isRetry", false);
        a.is_write = get_or(item, "update", false);
        return a;
    }

    static AttemptResult read_answer(RequestId id, const json& item) {
        AttemptResult a;
        a.request = id;
        a.attempt = AttemptIndex{get_or<std::size_t>(item, "trial", 0)};
        a.cache = CacheId{get<std::string>(item, "cache")};
        a.outcome = word(get<std::string>(item, "verdict"), "verdict", outcomes);
        const int note = get_or(item, "remark", 0);
        a.cache_status = note >= 0 && note <= static_cast<int>(CacheStatus::origin_failed)
                             ? static_cast<CacheStatus>(note)
                             : CacheStatus::none;
        a.elapsed = span_of(item, "timeTakenS");
        a.fill_wait = span_of(item, "fillWaitS");
        a.request_finished = get_or(item, "last", false);
        return a;
    }

    std::map<std::string, std::unique_ptr<Instance>> instances_;
    std::map<std::int64_t, std::vector<EndpointUpdate>> ledgers_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Host host;
    std::string line;
    try {
        while (std::getline(std::cin, line)) {
            if (line.empty()) continue;
            const std::string reply = host.reply_to(json::parse(line)).dump();
            std::cout << reply << '\n' << std::flush;
        }
    } catch (const std::exception& e) {
        std::string text = e.what();
        for (char& c : text)
            if (c == '\n' || c == '\r') c = ' ';
        std::cerr << "irismux_simhost: " << text << '\n';
        return 1;
    }
    return 0;
}
