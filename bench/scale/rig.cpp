#include "bench/scale/rig.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include "testing/fake_services.hpp"
#include "testing/registry_model.hpp"

namespace irismux::scale {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

const Duration ms = Duration::micros(1000);
constexpr std::size_t relays_a_process = 100;  // gateways
constexpr std::size_t most_processes = 200;
constexpr std::size_t most_resident = std::size_t{12} << 30;  // half of a machine of 24 GB
const Duration lookup_every = ms * 20;                        // of each real gateway
constexpr std::size_t reachable_caches = 4;                   // of those listed, by the real gateways
constexpr std::int64_t progress_ms = 800;  // of the registry's watches: twice within the shortest quiet, 2 s
const std::string registry_prefix = "/caches/", real_zone = "plant";

volatile std::sig_atomic_t told_to_end = 0;
void on_end(int) { told_to_end = 1; }

std::string free_address() {
    Poco::Net::ServerSocket s(Poco::Net::SocketAddress("127.0.0.1:0"));
    return s.address().toString();
}

std::string replaced(std::string text, const std::string& what, const std::string& by) {
    for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += by.size())
        text.replace(at, what.size(), by);
    return text;
}

}  // namespace

Rig::Folder::Folder() : path(fs::temp_directory_path() / ("irismux_scale." + std::to_string(::getpid()))) {
    fs::create_directories(path);
}

Rig::Folder::~Folder() {
    std::error_code failed;
    fs::remove_all(path, failed);
}

Rig::Rig(const RigSettings& settings) : settings_(settings) {
    const std::size_t sites = topology().sites();
    if (sites + topology().gateways / relays_a_process + 5 + settings_.real_gateways > most_processes)
        throw std::runtime_error("more than " + std::to_string(most_processes) +
                                 " processes would be needed");
    check_descriptors();
    std::signal(SIGTERM, on_end);
    std::signal(SIGINT, on_end);
    acceptor_ = std::make_unique<test_support::Acceptor>(
        loop_, [this](const Poco::Net::StreamSocket& s) { taken(s); }, static_cast<int>(most_processes));
    stretches_ = std::make_unique<test_support::LoopRunner>(loop_);
    start_registry();
    board_ = ask(start_child("board", 0), json::object()).at("address");
    start_relays();
    if (settings_.real_gateways > 0) {
        json caches = json::array();
        for (std::size_t c = 0; c < reachable_caches; ++c) caches.push_back(Topology::cache_name(c));
        cache_addresses_ =
            ask(start_child("data", 0), {{"caches", caches}}).at("addresses").get<std::vector<std::string>>();
    }
    put_list();
    set_up_hollow();
    set_up_real();
}

Rig::~Rig() {
    for (auto& [number, real] : real_) real.process.reset();
    for (auto& child : children_) child->process.reset();
    stretches_.reset();
    acceptor_.reset();
    children_.clear();
}

// The process with the most: a relay's, with two ends for each of a gateway's connections and a listener a
// machine.
void Rig::check_descriptors() const {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t machines = settings_.members + 1;
    const std::size_t relay =
        std::min(relays_a_process, topology().gateways) * (machines + std::size_t{2} * 6) + 64;
    const std::size_t registry = topology().gateways * 4 + 64;
    const std::size_t needed = std::max(relay, registry);
    if (limit.rlim_cur < needed)
        throw std::runtime_error("descriptors do not suffice: " + std::to_string(limit.rlim_cur) +
                                 " a process are permitted, " + std::to_string(needed) + " are needed for " +
                                 std::to_string(topology().gateways) + " gateways");
}

void Rig::check_memory() {
    std::size_t all = 0;
    for (const auto& [role, bytes] : resident_bytes()) all += bytes;
    if (all > most_resident)
        throw std::runtime_error("the processes hold " + std::to_string(all >> 20) + " MB, more than the " +
                                 std::to_string(most_resident >> 20) + " that are set aside");
}

// --- children --------------------------------------------------------------------------------------------

void Rig::taken(const Poco::Net::StreamSocket& socket) {
    auto wire = std::make_shared<test_support::TestConnection>(loop_, socket);
    const auto child = std::make_shared<Child*>(nullptr);
    auto channel = std::make_unique<ControlChannel>(
        wire,
        [this, child, weak = std::weak_ptr<test_support::TestConnection>(wire)](const json& m) {
            heard(child, m, weak.lock());
        },
        [] {});
    *child = nullptr;
    unnamed_.push_back(std::move(channel));
    strangers_.push_back(wire);
    wire->start();
}

void Rig::heard(const std::shared_ptr<Child*>& child, const json& message,
                const std::shared_ptr<test_support::TestConnection>& wire) {
    if (message.contains("hello")) {
        for (auto& c : children_)
            if (c->role == message["hello"] && c->number == message["number"]) *child = c.get();
        const auto at = std::find(strangers_.begin(), strangers_.end(), wire);
        if (!*child || at == strangers_.end()) return;
        const auto n = at - strangers_.begin();
        (*child)->channel = std::move(unnamed_[static_cast<std::size_t>(n)]);
        unnamed_.erase(unnamed_.begin() + n);
        strangers_.erase(at);
        return;
    }
    if (message.contains("traffic")) return add_from_json(traffic_, message);
    if (message.contains("force")) {
        // The first time counts.
        for (const json& f : message["force"])
            forced_[{f[1].get<std::string>(), f[2].get<std::int64_t>()}].try_emplace(
                f[0].get<std::size_t>(), f[3].get<std::int64_t>());
        return;
    }
    if (message.contains("done") && *child) (*child)->answers[message["done"].get<std::int64_t>()] = message;
}

Rig::Child& Rig::start_child(const std::string& role, std::size_t number) {
    children_.push_back(std::make_unique<Child>());
    Child& child = *children_.back();
    child.role = role;
    child.number = number;
    child.process = std::make_unique<test_support::Process>(test_support::Process::Options{
        .command = {settings_.self, "role", role, acceptor_->address(), std::to_string(number)},
        .environment = {},
        .folder = {},
        .log = (folder_.path / (role + std::to_string(number) + ".log")).string(),
        .kill_with_parent = true});
    return child;
}

void Rig::start_children(const std::string& role, std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) start_child(role, n);
}

std::vector<Rig::Child*> Rig::all_of(const std::string& role) {
    std::vector<Child*> found;
    for (const auto& child : children_)
        if (child->role == role) found.push_back(child.get());
    return found;
}

std::int64_t Rig::tell(Child& child, json order) {
    if (!until([&] { return child.channel != nullptr; }, ms * 20'000))
        throw std::runtime_error("a process did not come up: " + child.role + ' ' +
                                 std::to_string(child.number));
    order["id"] = next_order_++;
    child.channel->say(order);
    return order["id"];
}

json Rig::answer(Child& child, std::int64_t id) {
    if (!until([&] { return child.answers.contains(id); }, ms * 60'000))
        throw std::runtime_error("no answer from " + child.role + ' ' + std::to_string(child.number));
    json said = std::move(child.answers[id]);
    child.answers.erase(id);
    return said;
}

std::vector<json> Rig::ask_all(const std::string& role, const json& order) {
    std::vector<std::pair<Child*, std::int64_t>> told;
    for (Child* child : all_of(role)) told.emplace_back(child, tell(*child, order));
    std::vector<json> answers;
    answers.reserve(told.size());
    for (const auto& [child, id] : told) answers.push_back(answer(*child, id));
    return answers;
}

// --- setting up ------------------------------------------------------------------------------------------

void Rig::start_registry() {
    Child& registry = start_child("registry", 0);
    members_ = ask(registry, {{"members", settings_.members}, {"progress_ms", progress_ms}}).at("addresses");
}

json Rig::list_line_of(std::size_t cache) const {
    const bool reachable = cache < cache_addresses_.size();
    json line = test_support::endpoint_json(
        Topology::cache_name(cache), "node",
        reachable ? real_zone : "zone-" + std::to_string(cache / Topology::zone_caches),
        reachable ? cache_addresses_[cache] : "10.0.0.1:6379", "Ready");
    // The version of the list is the weight of its first cache, in thousandths.
    if (cache == 0) line["weight"] = static_cast<double>(list_version_) / 1000;
    return line;
}

void Rig::put_list() {
    json all = json::object();
    for (std::size_t c = 0; c < topology().caches; ++c)
        all[registry_prefix + Topology::cache_name(c)] = list_line_of(c).dump();
    ask(*all_of("registry").front(), {{"put", all}});
}

void Rig::start_relays() {
    json targets = members_;
    targets.push_back(board_);
    const std::size_t count = (topology().gateways + relays_a_process - 1) / relays_a_process;
    start_children("relay", count);
    std::vector<std::pair<Child*, std::int64_t>> told;
    for (Child* child : all_of("relay")) {
        json gateways = json::array();
        for (std::size_t g = child->number; g < topology().gateways; g += count) gateways.push_back(g);
        told.emplace_back(child, tell(*child, {{"targets", targets}, {"gateways", gateways}}));
    }
    for (const auto& [child, id] : told) {
        const json said = answer(*child, id);
        for (const auto& [gateway, addresses] : said.at("addresses").items())
            by_gateway_[static_cast<std::size_t>(std::stoul(gateway))] = addresses;
    }
}

std::string Rig::parts_of(std::size_t gateway, const json& addresses) const {
    std::string members;
    for (std::size_t m = 0; m < settings_.members; ++m)
        members += (m > 0 ? ", \"" : "\"") + addresses[m].get<std::string>() + '"';
    const std::string name = Topology::gateway_name(gateway);
    std::string parts = "[registry]\nmembers = [" + members + "]\nprefix = \"" + registry_prefix +
                        "\"\n[fleet]\ninstallation = \"scale\"\nname = \"" + name +
                        "\"\nprefix = \"/fleet/\"\nterm = \"" + settings_.term + "\"\nkeep_in = \"" +
                        (folder_.path / "store" / name).string() + "\"\n";
    for (const std::string& line : settings_.fleet_lines)
        parts += replaced(line, "{site}", Topology::site_name(topology().site_of(gateway))) + '\n';
    return parts;
}

void Rig::set_up_hollow() {
    start_children("hollow", topology().sites());
    ask_all("hollow", json::object());
    for (Child* child : all_of("hollow"))
        empty_hollow_ = std::max(empty_hollow_, test_support::resident_bytes(child->process->id()));
    std::vector<std::pair<Child*, std::int64_t>> told;
    for (Child* child : all_of("hollow")) {
        json gateways = json::array();
        for (const std::size_t g : topology().of_site(child->number))
            if (g >= settings_.real_gateways)
                gateways.push_back({{"number", g},
                                    {"name", Topology::gateway_name(g)},
                                    {"seed", settings_.seed * 100'003 + g},
                                    {"board", by_gateway_[g][settings_.members]},
                                    {"parts", parts_of(g, by_gateway_[g])}});
        told.emplace_back(child, tell(*child, {{"gateways", gateways}}));
    }
    for (const auto& [child, id] : told) answer(*child, id);
}

void Rig::set_up_real() {
    for (std::size_t g = 0; g < settings_.real_gateways; ++g) {
        const std::string name = Topology::gateway_name(g), base = (folder_.path / name).string();
        json c = test_support::configuration(free_address(), by_gateway_[g][settings_.members],
                                             {{"rev", 0}, {"notices", json::array()}});
        c["name"] = name;
        c["seed"] = std::to_string(settings_.seed * 100'003 + g);
        c["settings"]["balancers"] = topology().gateways;
        c["settings"]["specifics"]["zoneBalancers"] = {0, topology().gateways};
        c["settings"]["ceilings"]["probes"] = true;
        RealGateway& real = real_[g];
        real.listen = c["listen"];
        real.configuration = base + ".json";
        real.parts = base + ".toml";
        real.log = base + ".log";
        std::ofstream(real.configuration) << c.dump();
        std::ofstream(real.parts) << parts_of(g, by_gateway_[g]);
    }
}

void Rig::RealGateway::end() {
    spent = processor_seconds();
    process.reset();
}

double Rig::RealGateway::processor_seconds() const {
    return spent + (process ? test_support::processor_seconds(process->id()) : 0);
}

// --- orders ----------------------------------------------------------------------------------------------

void Rig::start(const std::vector<std::size_t>& gateways) {
    for (const std::size_t g : gateways)
        if (const auto it = real_.find(g); it != real_.end()) {
            it->second.end();
            it->second.process = std::make_unique<test_support::Process>(test_support::Process::Options{
                .command = {settings_.program, "serve", "--parts", it->second.parts},
                .environment = {"NODE_CONFIG=" + it->second.configuration},
                .folder = {},
                .log = it->second.log,
                .kill_with_parent = true});
        }
    ask_all("hollow", {{"start", gateways}});
}

void Rig::ask_real_gateways() {
    json listening = json::array();
    for (const auto& [number, real] : real_) listening.push_back(real.listen);
    if (!real_.empty())
        ask(*all_of("data").front(), {{"ask", listening}, {"every_us", lookup_every.micros()}});
}

json Rig::lookups() {
    return real_.empty() ? json::array() : ask(*all_of("data").front(), json::object())["lookups"];
}

void Rig::kill(const std::vector<std::size_t>& gateways) {
    for (const std::size_t g : gateways)
        if (const auto it = real_.find(g); it != real_.end()) it->second.end();
    ask_all("hollow", {{"kill", gateways}});
}

void Rig::change_links(const std::vector<std::size_t>& gateways, json change) {
    const std::vector<Child*> relays = all_of("relay");
    std::vector<std::pair<Child*, std::int64_t>> told;
    for (Child* child : relays) {
        json own = json::array();
        for (const std::size_t g : gateways)
            if (g % relays.size() == child->number) own.push_back(g);
        change["gateways"] = own;
        told.emplace_back(child, tell(*child, change));
    }
    for (const auto& [child, id] : told) answer(*child, id);
}

void Rig::mark(const std::string& cache, bool is, const std::vector<std::size_t>& gateways) {
    ask_all("hollow", {{"mark", cache}, {"is", is}, {"by", gateways}});
}

void Rig::change_marks_all_the_time(bool is) { ask_all("hollow", {{"change_marks", is}}); }

std::vector<std::int64_t> Rig::purge(std::size_t count) {
    std::vector<std::int64_t> instants;
    json notices = json::array();
    for (std::size_t n = 0; n < count; ++n) {
        last_purge_ms_ = std::max(last_purge_ms_ + 1, now_us() / 1000);
        char object[17];
        std::snprintf(object, sizeof object, "%016llx", static_cast<unsigned long long>(++purges_posted_));
        notices.push_back({{"flush", {{"ms", last_purge_ms_}, {"collection", 0}, {"asset", object}}}});
        instants.push_back(last_purge_ms_);
    }
    ask(*all_of("board").front(), {{"post", notices}});
    return instants;
}

std::int64_t Rig::change_list() {
    ++list_version_;
    ask(*all_of("registry").front(),
        {{"put", {{registry_prefix + Topology::cache_name(0), list_line_of(0).dump()}}}});
    return list_version_;
}

void Rig::lose_caches(std::size_t count, bool is) {
    json writes = json::object();
    for (std::size_t c = topology().caches - std::min(count, topology().caches); c < topology().caches; ++c)
        writes[registry_prefix + Topology::cache_name(c)] = is ? json(nullptr) : json(list_line_of(c).dump());
    ask(*all_of("registry").front(), {{"put", writes}});
}

void Rig::report_purges(bool is) { ask_all("hollow", {{"report_purges", is}}); }

bool Rig::by_site() const {
    return std::any_of(settings_.fleet_lines.begin(), settings_.fleet_lines.end(),
                       [](const std::string& line) { return line.rfind("site ", 0) == 0; });
}

// A process of hollow gateways is one site; by site its members know only one another.
std::int64_t Rig::expect(std::size_t members) {
    const std::int64_t id = next_expected_++;
    std::vector<std::pair<Child*, std::int64_t>> told;
    for (Child* child : all_of("hollow")) {
        const std::size_t here = topology().of_site(child->number).size();
        const std::size_t known = by_site() ? std::min(members, here) : members;
        const json expected = {
            {"id", id}, {"members", known}, {"list", list_version_}, {"purges", purges_posted_}};
        told.emplace_back(child, tell(*child, {{"expect", expected}}));
    }
    for (const auto& [child, answer_id] : told) answer(*child, answer_id);
    return id;
}

// --- time ------------------------------------------------------------------------------------------------

// Told to end, the rig does so where it waits, and takes its processes and its folder with it.
bool Rig::until(std::function<bool()> so, Duration most) {
    const bool has_come = stretches_->run_until([&] { return told_to_end || so(); }, most);
    if (told_to_end) throw std::runtime_error("told to end");
    return has_come;
}

void Rig::pass(Duration time) {
    const TimePoint end = loop_.now() + time;
    until([&] { return loop_.now() >= end; }, time + time);
}

void Rig::to_next_second() {
    const std::int64_t next = now_second() + 1;
    until([&] { return now_second() >= next; }, ms * 2'000);
}

// --- what is seen ----------------------------------------------------------------------------------------

json Rig::states() {
    json all = json::object();
    for (const json& answer : ask_all("hollow", {{"state", true}})) all.update(answer.at("state"));
    return all;
}

json Rig::registry_ledger() { return ask(*all_of("registry").front(), json::object()); }

std::map<std::string, double> Rig::processor_seconds() {
    std::map<std::string, double> by_role;
    for (const auto& child : children_)
        by_role[child->role] += test_support::processor_seconds(child->process->id());
    for (const auto& [number, real] : real_) by_role["real"] += real.processor_seconds();
    return by_role;
}

std::map<std::string, std::size_t> Rig::resident_bytes() {
    std::map<std::string, std::size_t> by_role;
    for (const auto& child : children_)
        by_role[child->role] += test_support::resident_bytes(child->process->id());
    for (const auto& [number, real] : real_)
        if (real.process) by_role["real"] += test_support::resident_bytes(real.process->id());
    return by_role;
}

}  // namespace irismux::scale
