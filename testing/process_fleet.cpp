#include "testing/process_fleet.hpp"

#include <signal.h>

#include <algorithm>
#include <fstream>

#include "fleet/fleet_client.hpp"

namespace irismux::test_support {

using namespace irismux::fleet;
namespace fs = std::filesystem;

namespace {

constexpr std::int64_t max_history = 4000;
constexpr int max_late_health_checks = 1;

std::string instance_name(const Instance& i) {
    return i.name.raw() + '/' + std::to_string(i.incarnation.raw());
}

// Returns an address with a port on which no process listens now.
std::string free_address() {
    Poco::Net::ServerSocket s(Poco::Net::SocketAddress("127.0.0.1:0"));
    return s.address().toString();
}

}  // namespace

ProcessFleet::ProcessFleet(const Options& s, const std::string& folder)
    : registry(loop, s.members, Duration::micros(50'000)), options(s) {
    for (std::size_t c = 0; c < options.caches; ++c)
        caches.push_back(
            std::make_unique<FakeCache>(loop, "c" + std::to_string(c + 1), Duration::micros(2'000)));
    gateways.resize(options.gateways);
    for (std::size_t n = 0; n < options.gateways; ++n) build(n, folder + "/g" + std::to_string(n + 1));
    registry.on_settled = [this](const FakeRegistry::SettledTransaction& t) {
        check(t);
        on_transaction(t);
        if (registry.model.newest().raw() - registry.model.oldest().raw() > 2 * max_history)
            registry.model.compact(Revision{registry.model.newest().raw() - max_history});
    };
}

ProcessFleet::~ProcessFleet() {
    for (Gateway& g : gateways) g.process.reset();
}

void ProcessFleet::build(std::size_t n, const std::string& folder) {
    fs::create_directories(folder);
    Gateway& g = gateways[n];
    g.name = "g" + std::to_string(n + 1);
    g.notice_board = std::make_unique<FakeNoticeBoard>(loop);
    g.notice_board_proxy = std::make_unique<FaultProxy>(loop, g.notice_board->address());
    for (std::size_t m = 0; m < options.members; ++m)
        g.registry_proxies.push_back(std::make_unique<FaultProxy>(loop, registry.address(m)));
    nlohmann::json lines = nlohmann::json::array();
    for (std::size_t c = 0; c < options.caches; ++c) {
        g.cache_proxies.push_back(std::make_unique<FaultProxy>(loop, caches[c]->address()));
        g.cache_proxies[c]->on_chunk = [this, n, c](Direction w, std::string_view bytes) {
            if (w == Direction::to_server && bytes.find("ECHO") != std::string_view::npos)
                check_health_check(n, c);
        };
        lines.push_back(
            endpoint_json(caches[c]->id(), "node", "plant", g.cache_proxies[c]->address(), "Ready"));
    }
    g.notice_board->post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
    g.listen = free_address();
    g.client_proxy = std::make_unique<FaultProxy>(loop, g.listen);
    g.clients = std::make_unique<ClientLoad>(loop, g.client_proxy->address(), "pages",
                                             options.request_interval, Duration::micros(2'000'000));
    nlohmann::json c = configuration(g.listen, g.notice_board_proxy->address(), g.notice_board->known());
    c["name"] = g.name;
    c["seed"] = std::to_string(n + 1);
    c["settings"]["balancers"] = options.gateways;
    c["settings"]["specifics"]["zoneBalancers"] = {0, options.gateways};
    c["settings"]["ceilings"]["probes"] = options.probes;
    g.configuration = folder + "/config.json";
    std::ofstream(g.configuration) << c.dump();
    std::string members;
    for (const auto& r : g.registry_proxies)
        members += (members.empty() ? "\"" : ", \"") + r->address() + '"';
    const auto ms = [](Duration s) { return '"' + std::to_string(s.micros() / 1000) + "ms\"\n"; };
    g.parts = folder + "/parts.toml";
    std::ofstream parts(g.parts);
    parts << "[fleet]\nmembers = [" << members << "]\ninstallation = \"arena\"\nprefix = \"" << prefix
          << "\"\nterm = " << ms(options.term) << "drift = " << options.drift
          << "\nanswer_in = " << ms(options.term * 0.125) << "quiet = " << ms(options.term * 0.5)
          << "look_every = " << ms(options.health_check_interval)
          << "sweep_every = " << ms(options.collection_interval);
    if (options.stores_tokens) parts << "keep_in = \"" << folder << "/store\"\n";
    parts << options.fleet_lines(n);
    g.log = folder + "/log";
    g.clock_file = folder + "/clock";
    std::ofstream(g.clock_file) << std::string(2 * sizeof(double), '\0');
    set_clock(n, 1);
}

// --- control and fault injection ------------------------------------------------------------------------

void ProcessFleet::start(std::size_t n) {
    Gateway& g = gateways[n];
    g.stopped = false;
    std::vector<std::string> environment{"NODE_CONFIG=" + g.configuration};
    if (!options.clock_library.empty())
        for (const std::string& e :
             {"LD_PRELOAD=" + options.clock_library, "IRISMUX_CLOCK_SKEW_FILE=" + g.clock_file,
              std::string("ASAN_OPTIONS=verify_asan_link_order=0")})
            environment.push_back(e);
    g.process = std::make_unique<Process>(
        Process::Options{{options.program, "serve", "--parts", g.parts}, environment, "", g.log});
}

void ProcessFleet::start_all() {
    for (std::size_t n = 0; n < gateways.size(); ++n) start(n);
}

void ProcessFleet::kill(std::size_t n) { gateways[n].process.reset(); }

void ProcessFleet::stop(std::size_t n) {
    gateways[n].stopped = true;
    if (gateways[n].process) gateways[n].process->signal(SIGSTOP);
}

void ProcessFleet::resume(std::size_t n) {
    gateways[n].stopped = false;
    if (gateways[n].process) gateways[n].process->signal(SIGCONT);
}

void ProcessFleet::partition_registry(std::size_t n, bool outbound, bool inbound) {
    for (const auto& r : gateways[n].registry_proxies) {
        r->hold(Direction::to_server, outbound);
        r->hold(Direction::to_client, inbound);
    }
}

void ProcessFleet::partition_caches(std::size_t n, bool enabled) {
    for (const auto& r : gateways[n].cache_proxies) r->set_partitioned(enabled);
}

void ProcessFleet::set_cache_dead(std::size_t c, bool dead) {
    if (dead)
        caches[c]->stop();
    else
        caches[c]->restart();
    for (const Gateway& g : gateways) g.cache_proxies[c]->set_down(dead);
}

void ProcessFleet::set_clock(std::size_t n, double rate, Duration ahead) {
    const std::int64_t us = ahead.micros();
    // Overwrites the file in place, because the process has this file mapped and would not see a new file.
    std::fstream file(gateways[n].clock_file, std::ios::in | std::ios::out | std::ios::binary);
    file.write(reinterpret_cast<const char*>(&rate), sizeof rate);
    file.write(reinterpret_cast<const char*>(&us), sizeof us);
}

void ProcessFleet::start_clients(std::size_t n) {
    wait_until([&] {
        const auto seen = sockets_of(gateways[n].process->id());
        return std::any_of(seen.begin(), seen.end(), [](const SocketInfo& s) { return s.listening; });
    });
    gateways[n].clients->start();
}

bool ProcessFleet::wait_until(std::function<bool()> condition, Duration timeout) {
    return loop_runner_.run_until(std::move(condition), timeout);
}

void ProcessFleet::run_for(Duration time) {
    const TimePoint end = loop.now() + time;
    loop_runner_.run_until([&] { return loop.now() >= end; }, time + time);
}

// --- what the fakes and proxies observe -----------------------------------------------------------------

std::optional<std::string> ProcessFleet::record(const std::string& key) const {
    const auto* state = registry.model.at(registry.model.newest());
    const auto it = state->find(RecordKey{prefix + path_of(Key{key})});
    return it == state->end() ? std::nullopt : std::optional(it->second.value);
}

std::optional<DutyRecord> ProcessFleet::duty_record(const std::string& name) const {
    const auto text = record(duty_key(DutyName{name}).raw());
    return text ? parse_duty(*text) : std::nullopt;
}

std::optional<MemberRecord> ProcessFleet::member_record(std::size_t n) const {
    const auto text = record(member_key(MemberName{gateways[n].name}).raw());
    return text ? parse_member(*text) : std::nullopt;
}

std::optional<std::size_t> ProcessFleet::number_of(const MemberName& name) const {
    for (std::size_t n = 0; n < gateways.size(); ++n)
        if (gateways[n].name == name.raw()) return n;
    return std::nullopt;
}

std::optional<std::size_t> ProcessFleet::owner(const std::string& name) const {
    const auto d = duty_record(name);
    const auto n = d ? number_of(d->owner) : std::nullopt;
    const auto m = n ? member_record(*n) : std::nullopt;
    return m && m->incarnation == d->incarnation ? n : std::nullopt;
}

bool ProcessFleet::all_joined() const {
    for (std::size_t n = 0; n < gateways.size(); ++n)
        if (!member_record(n)) return false;
    return true;
}

std::size_t ProcessFleet::accepted_writes(const std::string& name, std::size_t n, Incarnation start) const {
    return static_cast<std::size_t>(
        std::count_if(fenced_writes.begin(), fenced_writes.end(), [&](const FencedWriteRecord& w) {
            return w.accepted && w.duty == name && w.by == Instance{MemberName{gateways[n].name}, start};
        }));
}

bool ProcessFleet::logged(std::size_t n, const std::string& part) const {
    std::ifstream in(gateways[n].log);
    const std::string all((std::istreambuf_iterator<char>(in)), {});
    return all.find(part) != std::string::npos;
}

void ProcessFleet::check_all_answered() {
    for (const Gateway& g : gateways) g.clients->stop();
    wait_until([&] {
        return std::all_of(gateways.begin(), gateways.end(),
                           [](const Gateway& g) { return g.clients->open_requests() == 0; });
    });
    for (const Gateway& g : gateways) {
        if (g.clients->open_requests() > 0)
            violations.insert(std::to_string(g.clients->open_requests()) + " requests of " + g.name +
                              " have no response");
        if (g.clients->duplicate_responses > 0)
            violations.insert("a request of " + g.name + " got more than one response");
    }
}

// Checks a transaction that the registry has run. Records its fenced writes and changes of owner.
void ProcessFleet::check(const FakeRegistry::SettledTransaction& t) {
    for (const auto& [path, value] : t.writes) {
        if (!value || path.rfind(prefix, 0) != 0) continue;
        const Key key = key_at(path.substr(std::string_view(prefix).size()));
        if (const auto d = duty_of(key)) {
            const auto r = parse_duty(*value);
            if (!r || !t.succeeded) continue;
            const Instance by{r->owner, r->incarnation};
            ownership_changes.push_back({t.at, d->raw(), r->token, by});
            if (by.name.raw().empty()) continue;
            const auto [it, fresh] = token_owners_.try_emplace({d->raw(), r->token}, by);
            if (!fresh && it->second != by)
                violations.insert("the registry gave the fencing token " + std::to_string(r->token.raw()) +
                                  " of duty " + d->raw() + " to " + instance_name(it->second) + " and " +
                                  instance_name(by));
        }
        std::optional<FencedWriteRecord> w;
        if (const auto s =
                key == collection_progress_key() ? parse_collection_progress(*value) : std::nullopt)
            w = FencedWriteRecord{t.at, "sweep", s->token, s->owner, t.succeeded};
        if (const auto c = health_record_cache(key))
            if (const auto f = parse_health_record(*value))
                w = FencedWriteRecord{t.at, health_check_duty(*c).raw(), f->token, f->owner, t.succeeded};
        if (!w) continue;
        fenced_writes.push_back(*w);
        if (!w->accepted) continue;
        const auto now_owns = duty_record(w->duty);
        if (!now_owns || now_owns->token != w->token || now_owns->owner != w->by.name ||
            now_owns->incarnation != w->by.incarnation)
            violations.insert("the registry accepted a write on duty " + w->duty + " by " +
                              instance_name(w->by) + " under the fencing token " +
                              std::to_string(w->token.raw()) +
                              ", but this instance does not own the duty under this token");
        FencingToken& highest = highest_token_[w->duty];
        if (w->token < highest)
            violations.insert("the registry accepted a write on duty " + w->duty +
                              " under the fencing token " + std::to_string(w->token.raw()) +
                              " after a write under the higher token " + std::to_string(highest.raw()));
        highest = std::max(highest, w->token);
    }
}

// Checks that no former owner goes on with health checks of the cache. A gateway that checked the cache
// before another gateway did is a former owner of the cache's health check duty until it owns the duty again.
// One late check is allowed, because it could already have been in flight when the other gateway took over.
void ProcessFleet::check_health_check(std::size_t gateway, std::size_t cache) {
    health_checks.push_back({loop.now(), gateway, cache});
    auto& order = health_checkers_[cache];
    if (!order.empty() && order.back() == gateway) return;
    const auto d = duty_record(health_check_duty(CacheId{caches[cache]->id()}).raw());
    const bool owns = d && d->owner.raw() == gateways[gateway].name;
    if (order.empty() || owns) {
        order.push_back(gateway);
        late_health_checks_[cache] = 0;
    } else if (++late_health_checks_[cache] > max_late_health_checks) {
        violations.insert(gateways[gateway].name + " continued its health checks of " + caches[cache]->id() +
                          " after another gateway had taken over these checks");
    }
}

}  // namespace irismux::test_support
