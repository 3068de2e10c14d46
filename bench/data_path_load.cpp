#include "bench/data_path_load.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace irismux::bench {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

/// A link capacity at which the gateway rejects no lookup, so that the measurement shows the cost of
/// forwarding and not the effect of a limit.
constexpr double wide_link_kb_per_s = 8.3e10;
/// Maximum number of concurrent lookups that the client protocol (FastCGI) allows on one connection.
constexpr std::size_t max_lookups_per_connection = 32;
/// Maximum number of lookups that the clients send in one burst.
constexpr std::size_t max_lookups_per_tick = 64;
const Duration tick_interval = Duration::micros(1'000), stop_check_interval = Duration::micros(20'000);

std::string hex16(std::uint64_t n) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

std::string free_address() {
    const Poco::Net::ServerSocket any(Poco::Net::SocketAddress("127.0.0.1:0"));
    return any.address().toString();
}

}  // namespace

// --- threads ---------------------------------------------------------------------------------------------

LoopThread::LoopThread() : keeps_timers_running_(loop, [](const Poco::Net::StreamSocket&) {}) {}

LoopThread::~LoopThread() { end(); }

void LoopThread::start() {
    check_for_end();
    thread_ = std::thread([this] { loop.run(); });
}

void LoopThread::end() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
}

void LoopThread::check_for_end() {
    if (stopping_) return loop.stop();
    loop.schedule_at(loop.now() + stop_check_interval, [this] { check_for_end(); });
}

// --- clients ---------------------------------------------------------------------------------------------

LoadClients::LoadClients(EventLoop& loop, const Load& load, std::size_t group_count, std::uint64_t number)
    : outstanding(load.outstanding / group_count),
      loop_(loop),
      load_(load),
      group_count_(group_count),
      number_(number),
      random_(load.seed + number) {}

void LoadClients::start(const std::string& gateway) {
    for (std::size_t n = 0; n < load_.connections / group_count_; ++n) {
        connections_.push_back(std::make_unique<Connection>());
        Connection& c = *connections_.back();
        for (std::size_t slot = max_lookups_per_connection; slot > 0; --slot)
            c.free.push_back(static_cast<std::uint16_t>(slot));
        c.client = std::make_shared<test_support::FastCgiClient>(loop_, gateway);
        c.client->connection->on_received = [this, &c, read = c.client->connection->on_received](Buffer& in) {
            read(in);
            on_responses(c);
        };
    }
    ticked_ = loop_.now();
    tick();
}

void LoadClients::tick() {
    loop_.schedule_at(loop_.now() + tick_interval, [this] { tick(); });
    const TimePoint now = loop_.now();
    due_lookups_ += (now - ticked_).seconds() * load_.per_second / static_cast<double>(group_count_);
    ticked_ = now;
    send_due_lookups();
}

void LoadClients::send_due_lookups() {
    for (std::size_t n = 0; n < max_lookups_per_tick; ++n) {
        const bool paced = load_.per_second > 0;
        if (paced ? due_lookups_ < 1 : in_flight_ >= outstanding) return;
        if (!send_lookup()) return;
        if (paced) due_lookups_ -= 1;
    }
}

// Sends a lookup. Returns false if every connection carries its maximum number of concurrent lookups.
bool LoadClients::send_lookup() {
    for (std::size_t n = 0; n < connections_.size(); ++n) {
        Connection& c = *connections_[next_connection_++ % connections_.size()];
        if (c.free.empty()) continue;
        const std::uint64_t count = requests_sent++;
        test_support::FastCgiClient::Request q;
        q.id = hex16(number_ << 48 | count);
        q.object = hex16(load_.objects > 0 ? random_() % load_.objects : number_ << 48 | count);
        q.timeout_ms = static_cast<int>(load_.client_timeout_s * 1000);
        c.client->send(c.free.back(), q);
        c.free.pop_back();
        ++in_flight_;
        return true;
    }
    return false;
}

void LoadClients::on_responses(Connection& on) {
    for (const test_support::FastCgiClient::Response& a : on.client->responses) {
        on.free.push_back(a.number);
        --in_flight_;
        ++(a.head.rfind("Status: 200", 0) == 0 ? satisfied : refused);
    }
    on.client->responses.clear();
    send_due_lookups();
}

// --- the gateway -----------------------------------------------------------------------------------------

LoadedGateway::LoadedGateway(const Load& load)
    : folder_((fs::temp_directory_path() / "irismux-load-XXXXXX").string()),
      listen_(free_address()),
      answer_(load.answer_bytes, 'x') {
    if (!::mkdtemp(folder_.data()))
        throw std::runtime_error("cannot create a temporary folder for the gateway in " +
                                 fs::temp_directory_path().string());
    board_ = std::make_unique<test_support::FakeNoticeBoard>(board_thread_.loop);
    for (std::size_t n = 0; n < cache_threads; ++n) cache_loops_.push_back(std::make_unique<LoopThread>());
    for (std::size_t n = 0; n < cache_servers; ++n) {
        EventLoop& loop = cache_loops_[n % cache_threads]->loop;
        caches_.push_back(std::make_unique<test_support::ScriptedCache>(loop, "stand-in", 1024));
        if (load.answer_bytes == 0) continue;
        caches_.back()->on_attempt =
            [this, &cache = *caches_.back()](const test_support::ScriptedCache::ReceivedAttempt& pull) {
                cache.answer(pull, "HIT", answer_);
                cache.received.clear();
            };
    }
    write_configuration(load);
    for (std::size_t n = 0; n < client_threads; ++n) client_loops_.push_back(std::make_unique<LoopThread>());
    board_thread_.start();
    for (const auto& thread : cache_loops_) thread->start();
    process_ = std::make_unique<test_support::Process>(test_support::Process::Options{
        {load.program}, {"NODE_CONFIG=" + folder_ + "/config.json"}, "", folder_ + "/log"});
    wait_until_it_serves();
    for (std::size_t n = 0; n < client_threads; ++n) {
        clients_.push_back(
            std::make_unique<LoadClients>(client_loops_[n]->loop, load, client_threads, n + 1));
        clients_.back()->start(listen_);
        client_loops_[n]->start();
    }
}

LoadedGateway::~LoadedGateway() {
    for (const auto& thread : client_loops_) thread->end();
    process_.reset();
    for (const auto& thread : cache_loops_) thread->end();
    board_thread_.end();
    std::error_code gone;
    fs::remove_all(folder_, gone);
}

void LoadedGateway::write_configuration(const Load& load) {
    json lines = json::array();
    for (std::size_t n = 0; n < load.listed_caches; ++n)
        lines.push_back(test_support::endpoint_json("edge-" + std::to_string(n), "node", "plant",
                                                    caches_[n % cache_servers]->address(), "Ready"));
    lines.push_back(test_support::endpoint_json("parent", "parent", "hub", "127.0.0.1:9", "Ready"));
    lines.push_back(test_support::endpoint_json("origin", "origin", "hub", "127.0.0.1:9", "Ready"));
    board_->post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
    json config = test_support::configuration(listen_, board_->address(), board_->known());
    config["limits"]["memory_mb"] = load.memory_mb;
    config["limits"]["sockets"] = load.sockets;
    config["settings"]["lanes"][0]["hardLimitS"] = load.client_timeout_s;
    config["settings"]["specifics"]["pipeKbPerS"] = {0.0, wide_link_kb_per_s};
    std::ofstream(folder_ + "/config.json") << config.dump();
}

void LoadedGateway::wait_until_it_serves() {
    constexpr int max_checks = 500;
    for (int n = 0; n < max_checks && process_->running(); ++n) {
        std::ifstream log(folder_ + "/log");
        for (std::string line; std::getline(log, line);)
            if (line.find("listening gateway=") != std::string::npos) return;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    throw std::runtime_error("the gateway did not start to listen within 5 s, or its process ended");
}

std::uint64_t LoadedGateway::requests_sent() const {
    std::uint64_t sum = 0;
    for (const auto& c : clients_) sum += c->requests_sent;
    return sum;
}

std::uint64_t LoadedGateway::satisfied() const {
    std::uint64_t sum = 0;
    for (const auto& c : clients_) sum += c->satisfied;
    return sum;
}

std::uint64_t LoadedGateway::refused() const {
    std::uint64_t sum = 0;
    for (const auto& c : clients_) sum += c->refused;
    return sum;
}

void LoadedGateway::set_outstanding(std::size_t lookups) {
    for (const auto& c : clients_) c->outstanding = lookups / clients_.size();
}

}  // namespace irismux::bench
