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
constexpr std::size_t gateways_per_relay_process = 100;
constexpr std::size_t max_processes = 200;
constexpr std::size_t max_resident_bytes = std::size_t{12} << 30;  // half of a machine with 24 GB
const Duration lookup_interval = ms * 20;    // interval of the lookups sent to each real gateway
constexpr std::size_t reachable_caches = 4;  // number of listed caches that the real gateways can connect to
// Interval of the progress messages on the registry's watches. Two of them fit into the shortest `quiet`
// time, 2 s.
constexpr std::int64_t watch_progress_ms = 800;
const std::string registry_prefix = "/caches/", real_zone = "plant";

volatile std::sig_atomic_t termination_requested = 0;
void on_termination_signal(int) { termination_requested = 1; }

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
    if (sites + topology().gateways / gateways_per_relay_process + 5 + settings_.real_gateways >
        max_processes)
        throw std::runtime_error("more than " + std::to_string(max_processes) + " processes would be needed");
    check_descriptors();
    std::signal(SIGTERM, on_termination_signal);
    std::signal(SIGINT, on_termination_signal);
    acceptor_ = std::make_unique<test_support::Acceptor>(
        loop_, [this](const Poco::Net::StreamSocket& s) { on_accept(s); }, static_cast<int>(max_processes));
    loop_runner_ = std::make_unique<test_support::LoopRunner>(loop_);
    start_registry();
    notice_board_address_ = ask(start_child("board", 0), json::object()).at("address");
    start_relays();
    if (settings_.real_gateways > 0) {
        json caches = json::array();
        for (std::size_t c = 0; c < reachable_caches; ++c) caches.push_back(Topology::cache_name(c));
        cache_addresses_ =
            ask(start_child("data", 0), {{"caches", caches}}).at("addresses").get<std::vector<std::string>>();
    }
    write_endpoint_list();
    set_up_stub_gateways();
    set_up_real_gateways();
}

Rig::~Rig() {
    for (auto& [number, real] : real_) real.process.reset();
    for (auto& child : children_) child->process.reset();
    loop_runner_.reset();
    acceptor_.reset();
    children_.clear();
}

// Checks the descriptor limit against the need of the process that uses most descriptors. A relay process
// needs two descriptors for each connection of a gateway and one listener per control machine.
void Rig::check_descriptors() const {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t machines = settings_.members + 1;
    const std::size_t relay =
        std::min(gateways_per_relay_process, topology().gateways) * (machines + std::size_t{2} * 6) + 64;
    const std::size_t registry = topology().gateways * 4 + 64;
    const std::size_t needed = std::max(relay, registry);
    if (limit.rlim_cur < needed)
        throw std::runtime_error("the file descriptor limit is too low: " + std::to_string(limit.rlim_cur) +
                                 " per process are allowed, " + std::to_string(needed) + " are needed for " +
                                 std::to_string(topology().gateways) + " gateways");
}

void Rig::check_memory() {
    std::size_t all = 0;
    for (const auto& [role, bytes] : resident_bytes()) all += bytes;
    if (all > max_resident_bytes)
        throw std::runtime_error("the rig's processes use " + std::to_string(all >> 20) + " MB; at most " +
                                 std::to_string(max_resident_bytes >> 20) + " MB are allowed");
}

// --- children --------------------------------------------------------------------------------------------

void Rig::on_accept(const Poco::Net::StreamSocket& socket) {
    auto connection = std::make_shared<test_support::TestConnection>(loop_, socket);
    const auto child = std::make_shared<Child*>(nullptr);
    auto channel = std::make_unique<ControlChannel>(
        connection,
        [this, child, weak = std::weak_ptr<test_support::TestConnection>(connection)](const json& m) {
            on_message(child, m, weak.lock());
        },
        [] {});
    *child = nullptr;
    unidentified_channels_.push_back(std::move(channel));
    unidentified_connections_.push_back(connection);
    connection->start();
}

void Rig::on_message(const std::shared_ptr<Child*>& child, const json& message,
                     const std::shared_ptr<test_support::TestConnection>& connection) {
    if (message.contains("hello")) {
        for (auto& c : children_)
            if (c->role == message["hello"] && c->number == message["number"]) *child = c.get();
        const auto at =
            std::find(unidentified_connections_.begin(), unidentified_connections_.end(), connection);
        if (!*child || at == unidentified_connections_.end()) return;
        const auto n = at - unidentified_connections_.begin();
        (*child)->channel = std::move(unidentified_channels_[static_cast<std::size_t>(n)]);
        unidentified_channels_.erase(unidentified_channels_.begin() + n);
        unidentified_connections_.erase(at);
        return;
    }
    if (message.contains("traffic")) return add_from_json(traffic_, message);
    if (message.contains("force")) {
        // Only the first report of each gateway about a change counts.
        for (const json& f : message["force"])
            in_force_times_[{f[1].get<std::string>(), f[2].get<std::int64_t>()}].try_emplace(
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

std::int64_t Rig::send_order(Child& child, json order) {
    if (!wait_until([&] { return child.channel != nullptr; }, ms * 20'000))
        throw std::runtime_error("process " + child.role + ' ' + std::to_string(child.number) +
                                 " did not connect to the rig within 20 s");
    order["id"] = next_order_++;
    child.channel->send(order);
    return order["id"];
}

json Rig::answer(Child& child, std::int64_t id) {
    if (!wait_until([&] { return child.answers.contains(id); }, ms * 60'000))
        throw std::runtime_error("process " + child.role + ' ' + std::to_string(child.number) +
                                 " did not respond to an order within 60 s");
    json reply = std::move(child.answers[id]);
    child.answers.erase(id);
    return reply;
}

std::vector<json> Rig::ask_all(const std::string& role, const json& order) {
    std::vector<std::pair<Child*, std::int64_t>> sent_orders;
    for (Child* child : all_of(role)) sent_orders.emplace_back(child, send_order(*child, order));
    std::vector<json> answers;
    answers.reserve(sent_orders.size());
    for (const auto& [child, id] : sent_orders) answers.push_back(answer(*child, id));
    return answers;
}

// --- setting up ------------------------------------------------------------------------------------------

void Rig::start_registry() {
    Child& registry = start_child("registry", 0);
    registry_addresses_ =
        ask(registry, {{"members", settings_.members}, {"progress_ms", watch_progress_ms}}).at("addresses");
}

json Rig::endpoint_record_of(std::size_t cache) const {
    const bool reachable = cache < cache_addresses_.size();
    json line = test_support::endpoint_json(
        Topology::cache_name(cache), "node",
        reachable ? real_zone : "zone-" + std::to_string(cache / Topology::zone_caches),
        reachable ? cache_addresses_[cache] : "10.0.0.1:6379", "Ready");
    // The weight of the first cache in the endpoint list is the list's version divided by 1000.
    if (cache == 0) line["weight"] = static_cast<double>(list_version_) / 1000;
    return line;
}

void Rig::write_endpoint_list() {
    json all = json::object();
    for (std::size_t c = 0; c < topology().caches; ++c)
        all[registry_prefix + Topology::cache_name(c)] = endpoint_record_of(c).dump();
    ask(*all_of("registry").front(), {{"put", all}});
}

void Rig::start_relays() {
    json targets = registry_addresses_;
    targets.push_back(notice_board_address_);
    const std::size_t count =
        (topology().gateways + gateways_per_relay_process - 1) / gateways_per_relay_process;
    start_children("relay", count);
    std::vector<std::pair<Child*, std::int64_t>> sent_orders;
    for (Child* child : all_of("relay")) {
        json gateways = json::array();
        for (std::size_t g = child->number; g < topology().gateways; g += count) gateways.push_back(g);
        sent_orders.emplace_back(child, send_order(*child, {{"targets", targets}, {"gateways", gateways}}));
    }
    for (const auto& [child, id] : sent_orders) {
        const json reply = answer(*child, id);
        for (const auto& [gateway, addresses] : reply.at("addresses").items())
            relay_addresses_[static_cast<std::size_t>(std::stoul(gateway))] = addresses;
    }
}

std::string Rig::parts_file_text(std::size_t gateway, const json& addresses) const {
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

void Rig::set_up_stub_gateways() {
    start_children("hollow", topology().sites());
    ask_all("hollow", json::object());
    for (Child* child : all_of("hollow"))
        empty_stub_process_bytes_ =
            std::max(empty_stub_process_bytes_, test_support::resident_bytes(child->process->id()));
    std::vector<std::pair<Child*, std::int64_t>> sent_orders;
    for (Child* child : all_of("hollow")) {
        json gateways = json::array();
        for (const std::size_t g : topology().of_site(child->number))
            if (g >= settings_.real_gateways)
                gateways.push_back({{"number", g},
                                    {"name", Topology::gateway_name(g)},
                                    {"seed", settings_.seed * 100'003 + g},
                                    {"board", relay_addresses_[g][settings_.members]},
                                    {"parts", parts_file_text(g, relay_addresses_[g])}});
        sent_orders.emplace_back(child, send_order(*child, {{"gateways", gateways}}));
    }
    for (const auto& [child, id] : sent_orders) answer(*child, id);
}

void Rig::set_up_real_gateways() {
    for (std::size_t g = 0; g < settings_.real_gateways; ++g) {
        const std::string name = Topology::gateway_name(g), base = (folder_.path / name).string();
        json c = test_support::configuration(free_address(), relay_addresses_[g][settings_.members],
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
        std::ofstream(real.parts) << parts_file_text(g, relay_addresses_[g]);
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

void Rig::start_lookups() {
    json listening = json::array();
    for (const auto& [number, real] : real_) listening.push_back(real.listen);
    if (!real_.empty())
        ask(*all_of("data").front(), {{"ask", listening}, {"every_us", lookup_interval.micros()}});
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
    std::vector<std::pair<Child*, std::int64_t>> sent_orders;
    for (Child* child : relays) {
        json own = json::array();
        for (const std::size_t g : gateways)
            if (g % relays.size() == child->number) own.push_back(g);
        change["gateways"] = own;
        sent_orders.emplace_back(child, send_order(*child, change));
    }
    for (const auto& [child, id] : sent_orders) answer(*child, id);
}

void Rig::set_ejected(const std::string& cache, bool ejected, const std::vector<std::size_t>& gateways) {
    ask_all("hollow", {{"mark", cache}, {"is", ejected}, {"by", gateways}});
}

void Rig::set_continuous_ejections(bool enabled) { ask_all("hollow", {{"change_marks", enabled}}); }

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
        {{"put", {{registry_prefix + Topology::cache_name(0), endpoint_record_of(0).dump()}}}});
    return list_version_;
}

void Rig::set_caches_removed(std::size_t count, bool removed) {
    json writes = json::object();
    for (std::size_t c = topology().caches - std::min(count, topology().caches); c < topology().caches; ++c)
        writes[registry_prefix + Topology::cache_name(c)] =
            removed ? json(nullptr) : json(endpoint_record_of(c).dump());
    ask(*all_of("registry").front(), {{"put", writes}});
}

void Rig::set_purge_reports(bool enabled) { ask_all("hollow", {{"report_purges", enabled}}); }

bool Rig::membership_by_site() const {
    return std::any_of(settings_.fleet_lines.begin(), settings_.fleet_lines.end(),
                       [](const std::string& line) { return line.rfind("site ", 0) == 0; });
}

// Each process of stub gateways represents one site. With membership by site, the member list of a gateway
// holds only gateways of its own site.
std::int64_t Rig::expect(std::size_t members) {
    const std::int64_t id = next_expected_++;
    std::vector<std::pair<Child*, std::int64_t>> sent_orders;
    for (Child* child : all_of("hollow")) {
        const std::size_t here = topology().of_site(child->number).size();
        const std::size_t known = membership_by_site() ? std::min(members, here) : members;
        const json expected = {
            {"id", id}, {"members", known}, {"list", list_version_}, {"purges", purges_posted_}};
        sent_orders.emplace_back(child, send_order(*child, {{"expect", expected}}));
    }
    for (const auto& [child, answer_id] : sent_orders) answer(*child, answer_id);
    return id;
}

// --- time ------------------------------------------------------------------------------------------------

// A termination signal ends the wait with an exception. The destructor of the rig then ends the rig's
// processes and removes the rig's folder.
bool Rig::wait_until(std::function<bool()> condition, Duration most) {
    const bool fulfilled =
        loop_runner_->run_until([&] { return termination_requested || condition(); }, most);
    if (termination_requested) throw std::runtime_error("a termination signal interrupted the run");
    return fulfilled;
}

void Rig::run_for(Duration time) {
    const TimePoint end = loop_.now() + time;
    wait_until([&] { return loop_.now() >= end; }, time + time);
}

void Rig::to_next_second() {
    const std::int64_t next = now_second() + 1;
    wait_until([&] { return now_second() >= next; }, ms * 2'000);
}

// --- measurements ----------------------------------------------------------------------------------------

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
