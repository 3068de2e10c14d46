// irismux_simhost: the simulator's wire on standard input and output. It only reads, calls and writes.
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "irismux/rules.hpp"

namespace {

using namespace irismux;
using nlohmann::json;

[[noreturn]] void bad(const std::string& what) { throw std::runtime_error(what); }

const json& need(const json& o, const char* key) {
    if (!o.is_object()) bad(std::string("expected an object that holds '") + key + "'");
    const auto it = o.find(key);
    if (it == o.end() || it->is_null()) bad(std::string("missing field '") + key + "'");
    return *it;
}

template <class T>
T get(const json& o, const char* key) {
    const json& v = need(o, key);
    if constexpr (std::is_same_v<T, bool>) {
        if (!v.is_boolean()) bad(std::string("field '") + key + "' is not true or false");
    } else if constexpr (std::is_arithmetic_v<T>) {
        if (!v.is_number()) bad(std::string("field '") + key + "' is not a number");
    } else if (!v.is_string()) {
        bad(std::string("field '") + key + "' is not text");
    }
    return v.get<T>();
}

template <class T>
T get_or(const json& o, const char* key, T other) {
    const auto it = o.find(key);
    return it == o.end() || it->is_null() ? other : get<T>(o, key);
}

Span span_of(const json& o, const char* key) { return Span::seconds(get_or(o, key, 0.0)); }

const json& list_of(const json& o, const char* key) {
    const json& v = need(o, key);
    if (!v.is_array()) bad(std::string("field '") + key + "' is not a list");
    return v;
}

// A value that stands in a table of words; an unknown word is an error.
template <class T, std::size_t N>
T word(const std::string& said, const char* what, const std::pair<const char*, T> (&known)[N]) {
    for (const auto& [name, value] : known)
        if (said == name) return value;
    bad(std::string("unknown ") + what + " '" + said + "'");
}

constexpr std::pair<const char*, Outcome> outcomes[] = {
    {"completed", Outcome::completed},       {"errored", Outcome::errored},
    {"saturated", Outcome::saturated},       {"overdue", Outcome::overdue},
    {"refused_conn", Outcome::refused_conn}, {"severed", Outcome::severed},
    {"recalled", Outcome::recalled},         {"superseded", Outcome::superseded},
    {"lookup_miss", Outcome::lookup_miss}};
constexpr std::pair<const char*, Phase> phases[] = {
    {"in_service", Phase::in_service}, {"terminating", Phase::draining}, {"terminated", Phase::gone}};
constexpr std::pair<const char*, Effect> effects[] = {
    {"repeatable", Effect::idempotent}, {"by_key", Effect::deduplicated}, {"once", Effect::side_effecting}};
constexpr std::pair<const char*, DedupGroup> groups[] = {
    {"all", DedupGroup::all}, {"zone", DedupGroup::location}, {"cell", DedupGroup::cell}};
constexpr std::pair<const char*, Siblings> sibling_words[] = {
    {"off", Siblings::none}, {"location", Siblings::location}, {"any", Siblings::any}};
constexpr std::pair<const char*, Notes> note_words[] = {
    {"off", Notes::none}, {"hit", Notes::hits}, {"all", Notes::all}};

std::optional<MachineId> machine_at(const json& names, std::int64_t place) {
    if (place < 0 || place >= static_cast<std::int64_t>(names.size())) return std::nullopt;
    return MachineId{names[static_cast<std::size_t>(place)].get<std::string>()};
}

template <class T>
T nth_or(const json& o, const char* key, std::size_t n, T other) {
    const auto it = o.find(key);
    return it == o.end() || !it->is_array() || n >= it->size() ? other : (*it)[n].get<T>();
}

struct Reading {
    Deployment deployment;
    std::map<std::string, std::size_t> kind_places;
};

Reading read_deployment(const json& s) {
    Reading r;
    Deployment& d = r.deployment;
    const json none = json::object();
    const json& special = s.contains("specifics") ? s.at("specifics") : none;
    const json& limits = need(s, "ceilings");
    const json& safety = need(s, "safety");
    d.gateways = get_or(s, "balancers", 1);
    d.location = LocationId{get_or<std::string>(s, "zone", "")};
    const json& zones = list_of(s, "dcs");
    d.locations = 0;
    for (std::size_t z = 0; z < zones.size(); ++z) {
        const int here = nth_or(special, "zoneBalancers", z, 0);
        d.locations += here > 0;
        const double pipe = nth_or(special, "pipeKbPerS", z, 0.0);
        d.pipes_all_kb_per_s += pipe;
        if (zones[z].get<std::string>() != d.location.raw()) continue;
        d.gateways_here = here;
        d.pipe_here_kb_per_s = pipe;
    }
    const json& lanes = list_of(s, "lanes");
    for (std::size_t n = 0; n < lanes.size(); ++n) {
        const json& lane = lanes[n];
        ObjectKind k;
        k.effect = word(get<std::string>(lane, "effect"), "effect", effects);
        k.group = word(get_or<std::string>(lane, "group", "all"), "group", groups);
        k.window = span_of(lane, "windowS");
        k.budget = Span::seconds(get<double>(lane, "aimS"));
        k.budget_stretch = get_or(lane, "aimStretch", 0.0);
        k.deadline = Span::seconds(get<double>(lane, "hardLimitS"));
        k.utility = get_or(lane, "credit", 1.0);
        k.late_share = get_or(lane, "lateWorth", 0.0);
        k.fresh = Span::seconds(nth_or(special, "goodForS", n, 0.0));
        k.grace = Span::seconds(nth_or(special, "staleForS", n, 0.0));
        k.stale_share = nth_or(special, "classStaleWorth", n, 1.0);
        k.uncacheable = nth_or(special, "neverKept", n, false);
        d.kinds.push_back(k);
        r.kind_places[get<std::string>(lane, "name")] = n;
    }
    const json& machines = list_of(s, "kinds");
    d.parent_machine = machine_at(machines, get_or<std::int64_t>(special, "secondTierKind", -1));
    d.origin_machine = machine_at(machines, get_or<std::int64_t>(special, "originKind", -1));
    d.permits.cancel = get_or(limits, "cancel", false);
    d.permits.probes = get_or(limits, "probes", false);
    d.permits.retry_after = get_or(limits, "retryAfter", false);
    d.permits.second_copies = get_or(limits, "parallelTries", false);
    d.permits.direct = get_or(special, "passThroughOk", false);
    d.permits.joins = get_or(special, "canJoin", false);
    d.permits.siblings = word(get_or<std::string>(special, "neighbours", "off"), "neighbours", sibling_words);
    d.permits.notes = word(get_or<std::string>(special, "says", "off"), "says", note_words);
    d.permits.sends = get_or(limits, "attemptsCap", 1);
    d.permits.longest_retry_after = span_of(limits, "maxRetryAfterS");
    d.list_on_request = get_or<std::string>(s, "discovery", "pushed") == "on_request";
    d.weights_told = get_or<std::string>(s, "weightSource", "off") != "off";
    d.cold_edge = {get_or(safety, "coldFrom", 1.0), span_of(safety, "coldS"),
                   get_or(safety, "fallMultiple", 1.0)};
    d.cold_parent = {get_or(special, "parentFloor", 1.0), span_of(special, "upperColdS"),
                     get_or(special, "parentBreaksAt", 1.0)};
    d.origin_falls = get_or(special, "rootFallMultiple", 0.0) > 0;
    d.fall_window = span_of(safety, "fallS");
    d.drain_grace = span_of(safety, "drainGraceS");
    d.purge_grace = span_of(special, "purgeGraceS");
    d.purge_done = span_of(special, "purgeDoneS");
    d.tick = span_of(s, "tickS");
    d.flow_kb_per_s = get_or(special, "oneFlowKbPerS", 0.0);
    return r;
}

Listing read_listing(const json& e) {
    Listing l;
    l.cache = CacheId{get<std::string>(e, "cache")};
    l.location = LocationId{get_or<std::string>(e, "locality", "")};
    l.machine = MachineId{get_or<std::string>(e, "type", "")};
    l.cell = CellNo{get_or<std::int64_t>(e, "group", 0)};
    l.weight = get_or(e, "nominal", 1.0);
    l.phase = word(get<std::string>(e, "mode"), "mode", phases);
    l.started = Instant::at_seconds(get_or(e, "startedAtS", 0.0));
    return l;
}

std::optional<LoadReport> read_load(const json& item) {
    const auto it = item.find("report");
    if (it == item.end() || !it->is_object()) return std::nullopt;
    const auto value = [&](const char* key) -> std::optional<double> {
        const auto v = it->find(key);
        if (v == it->end() || !v->is_number()) return std::nullopt;
        return v->get<double>();
    };
    return LoadReport{value("busy_reqs"), value("pending"), value("cpu_share"), value("x1"), value("x0")};
}

// Writes each answer of the Router as one message of the reply.
class WirePort final : public Port {
public:
    json outbox = json::array();

    void send(const LookupId& id, const CacheId& cache, Span time_out) override {
        put({{"t", "Dispatch"},
             {"xid", id.raw()},
             {"cache", cache.raw()},
             {"giveUpAfterS", time_out.seconds()}});
    }
    void fill(const LookupId& id, const Fill& f) override {
        const int bits =
            (f.join ? 1 : 0) + (f.held_only ? 2 : 0) + (f.pass_parent ? 4 : 0) + (f.renew ? 8 : 0);
        put({{"t", "ServeOrFill"},
             {"xid", id.raw()},
             {"ageS", f.oldest.seconds()},
             {"cache", f.cache.raw()},
             {"switches", bits},
             {"storeAs", f.rank},
             {"fillFrom", f.source.raw()},
             {"giveUpAfterS", f.time_out.seconds()}});
    }
    void cancel(const LookupId& id, SendNo n) override {
        put({{"t", "DropAttempt"}, {"xid", id.raw()}, {"trial", n.raw()}});
    }
    void nack(const LookupId& id, Span in) override {
        put({{"t", "Bounce"}, {"xid", id.raw()}, {"coolDownS", in.seconds()}});
    }
    void fail(const LookupId& id) override { put({{"t", "Abort"}, {"xid", id.raw()}}); }
    void probe(const CacheId& cache) override { put({{"t", "Test"}, {"cache", cache.raw()}}); }
    void alarm(AlarmNo n, Instant at) override {
        put({{"t", "NotifyMe"}, {"tag", n.raw()}, {"alarmTimeS", at.seconds()}});
    }
    void watch_list() override { put({{"t", "Subscribe"}, {"active", true}}); }
    void note_down(std::string_view text) override {
        put({{"t", "NoteDown"}, {"bodyText", std::string(text)}});
    }

private:
    void put(json message) { outbox.push_back(std::move(message)); }
};

struct Instance {
    WirePort port;
    std::map<std::string, std::size_t> kind_places;
    std::optional<Router> router;
};

class Host {
public:
    json reply_to(const json& batch) {
        const Instant now = Instant::at_seconds(get<double>(batch, "clockS"));
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
    void take(Instant now, const std::string& name, const json& item) {
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
            router.on_lookup(now, read_arrival(in, item));
        } else if (t == "Resolved") {
            router.on_answer(now, read_answer(item));
        } else if (t == "Due") {
            router.on_alarm(now, AlarmNo{get<std::uint64_t>(item, "tag")});
        } else if (t == "View") {
            view(now, router, item);
        } else if (t == "Outdated") {
            std::optional<ObjectName> object;
            if (const auto key = get_or<std::string>(item, "contentId", ""); !key.empty())
                object = ObjectName{key};
            router.on_purge(now, span_of(item, "ageS"), GroupNo{get_or<std::int64_t>(item, "setNo", 0)},
                            object);
        } else if (t == "ClientGone") {
            router.on_client_gone(now, LookupId{get<std::string>(item, "xid")});
        } else if (t == "Opened") {
            router.on_opened(now, LookupId{get<std::string>(item, "xid")},
                             SendNo{get_or<std::size_t>(item, "trial", 0)});
        } else if (t == "ProbeDone") {
            router.on_probe(now, {CacheId{get<std::string>(item, "cache")},
                                  word(get<std::string>(item, "verdict"), "verdict", outcomes),
                                  span_of(item, "timeTakenS"), read_load(item)});
        } else if (t != "NoteFrom") {
            bad("unknown message '" + t + "'");
        }
    }

    void open(Instant now, const std::string& name, const json& item) {
        auto in = std::make_unique<Instance>();
        Reading r = read_deployment(need(item, "setup"));
        in->kind_places = std::move(r.kind_places);
        in->router.emplace(in->port, r.deployment, get<std::uint64_t>(item, "seed"), now);
        instances_[name] = std::move(in);
    }

    void read_ledger(const json& item) {
        std::vector<Listing> lines;
        for (const json& e : list_of(item, "elements")) lines.push_back(read_listing(e));
        ledgers_[get_or<std::int64_t>(item, "ref", 0)] = std::move(lines);
    }

    void view(Instant now, Router& router, const json& item) {
        const std::string how = get<std::string>(item, "how");
        if (how == "lost") return router.on_list_lost(now);
        if (how != "incr" && how != "total" && how != "warm_copy") bad("unknown kind of list '" + how + "'");
        const auto number = get_or<std::int64_t>(item, "ref", 0);
        const auto it = ledgers_.find(number);
        if (it == ledgers_.end()) bad("unknown list number " + std::to_string(number));
        router.on_list(now, it->second, how != "incr");
    }

    static Arrival read_arrival(const Instance& in, const json& item) {
        Arrival a;
        a.id = LookupId{get<std::string>(item, "xid")};
        const std::string kind = get<std::string>(item, "kind");
        const auto place = in.kind_places.find(kind);
        if (place == in.kind_places.end()) bad("unknown kind '" + kind + "'");
        a.kind = KindNo{place->second};
        a.object = ObjectName{get_or<std::string>(item, "contentId", "")};
        a.group = GroupNo{get_or<std::int64_t>(item, "labelNo", 0)};
        a.expires = Instant::at_seconds(get<double>(item, "expiresS"));
        a.kbytes = get_or(item, "kbytes", 0.0);
        a.repeated = get_or(item, "isRetry", false);
        a.write = get_or(item, "update", false);
        return a;
    }

    static Answer read_answer(const json& item) {
        Answer a;
        a.id = LookupId{get<std::string>(item, "xid")};
        a.send = SendNo{get_or<std::size_t>(item, "trial", 0)};
        a.cache = CacheId{get<std::string>(item, "cache")};
        a.outcome = word(get<std::string>(item, "verdict"), "verdict", outcomes);
        const int note = get_or(item, "remark", 0);
        a.note =
            note >= 0 && note <= static_cast<int>(Note::origin_failed) ? static_cast<Note>(note) : Note::none;
        a.took = span_of(item, "timeTakenS");
        a.fill_wait = span_of(item, "fillWaitS");
        a.last = get_or(item, "last", false);
        a.load = read_load(item);
        return a;
    }

    std::map<std::string, std::unique_ptr<Instance>> instances_;
    std::map<std::int64_t, std::vector<Listing>> ledgers_;
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
