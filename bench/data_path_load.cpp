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

/// Links so wide that no decision turns a lookup away: the cost of passing on is measured, not a limit.
constexpr double wide_link_kb_per_s = 8.3e10;
/// Lookups that one connection of a client may carry at once (of the front's protocol).
constexpr std::size_t most_on_a_connection = 32;
/// Of a tick: bounds how many lookups start in a burst.
constexpr std::size_t most_a_tick = 64;
const Duration tick_every = Duration::micros(1'000), over_every = Duration::micros(20'000);

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

LoopThread::LoopThread() : keeps_alarms_running_(loop, [](const Poco::Net::StreamSocket&) {}) {}

LoopThread::~LoopThread() { end(); }

void LoopThread::start() {
    look_whether_over();
    thread_ = std::thread([this] { loop.run(); });
}

void LoopThread::end() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
}

void LoopThread::look_whether_over() {
    if (over_) return loop.stop();
    loop.schedule_at(loop.now() + over_every, [this] { look_whether_over(); });
}

// --- clients ---------------------------------------------------------------------------------------------

LoadClients::LoadClients(EventLoop& loop, const Load& load, std::size_t share_of, std::uint64_t number)
    : outstanding(load.outstanding / share_of),
      loop_(loop),
      load_(load),
      share_of_(share_of),
      number_(number),
      random_(load.seed + number) {}

void LoadClients::start(const std::string& gateway) {
    for (std::size_t n = 0; n < load_.connections / share_of_; ++n) {
        connections_.push_back(std::make_unique<Connection>());
        Connection& c = *connections_.back();
        for (std::size_t slot = most_on_a_connection; slot > 0; --slot)
            c.free.push_back(static_cast<std::uint16_t>(slot));
        c.asker = std::make_shared<test_support::FastCgiClient>(loop_, gateway);
        c.asker->connection->on_received = [this, &c, read = c.asker->connection->on_received](Buffer& in) {
            read(in);
            answered(c);
        };
    }
    ticked_ = loop_.now();
    tick();
}

void LoadClients::tick() {
    loop_.schedule_at(loop_.now() + tick_every, [this] { tick(); });
    const TimePoint now = loop_.now();
    owed_ += (now - ticked_).seconds() * load_.per_second / static_cast<double>(share_of_);
    ticked_ = now;
    ask_as_wanted();
}

void LoadClients::ask_as_wanted() {
    for (std::size_t n = 0; n < most_a_tick; ++n) {
        const bool paced = load_.per_second > 0;
        if (paced ? owed_ < 1 : under_way_ >= outstanding) return;
        if (!ask_one()) return;
        if (paced) owed_ -= 1;
    }
}

// False where all connections are full.
bool LoadClients::ask_one() {
    for (std::size_t n = 0; n < connections_.size(); ++n) {
        Connection& c = *connections_[next_connection_++ % connections_.size()];
        if (c.free.empty()) continue;
        const std::uint64_t count = asked++;
        test_support::FastCgiClient::Request q;
        q.id = hex16(number_ << 48 | count);
        q.object = hex16(load_.objects > 0 ? random_() % load_.objects : number_ << 48 | count);
        q.timeout_ms = static_cast<int>(load_.patience_s * 1000);
        c.asker->send(c.free.back(), q);
        c.free.pop_back();
        ++under_way_;
        return true;
    }
    return false;
}

void LoadClients::answered(Connection& on) {
    for (const test_support::FastCgiClient::Response& a : on.asker->responses) {
        on.free.push_back(a.number);
        --under_way_;
        ++(a.head.rfind("Status: 200", 0) == 0 ? satisfied : refused);
    }
    on.asker->responses.clear();
    ask_as_wanted();
}

// --- the gateway -----------------------------------------------------------------------------------------

LoadedGateway::LoadedGateway(const Load& load)
    : folder_((fs::temp_directory_path() / "irismux-load-XXXXXX").string()),
      listen_(free_address()),
      answer_(load.answer_bytes, 'x') {
    if (!::mkdtemp(folder_.data())) throw std::runtime_error("no folder can be made");
    board_ = std::make_unique<test_support::FakeNoticeBoard>(board_thread_.loop);
    for (std::size_t n = 0; n < cache_threads; ++n) cache_loops_.push_back(std::make_unique<LoopThread>());
    for (std::size_t n = 0; n < stand_ins; ++n) {
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
                                                    caches_[n % stand_ins]->address(), "Ready"));
    lines.push_back(test_support::endpoint_json("parent", "parent", "hub", "127.0.0.1:9", "Ready"));
    lines.push_back(test_support::endpoint_json("origin", "origin", "hub", "127.0.0.1:9", "Ready"));
    board_->post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
    json config = test_support::configuration(listen_, board_->address(), board_->known());
    config["limits"]["memory_mb"] = load.memory_mb;
    config["limits"]["sockets"] = load.sockets;
    config["settings"]["lanes"][0]["hardLimitS"] = load.patience_s;
    config["settings"]["specifics"]["pipeKbPerS"] = {0.0, wide_link_kb_per_s};
    std::ofstream(folder_ + "/config.json") << config.dump();
}

void LoadedGateway::wait_until_it_serves() {
    constexpr int most_looks = 500;
    for (int n = 0; n < most_looks && process_->running(); ++n) {
        std::ifstream log(folder_ + "/log");
        for (std::string line; std::getline(log, line);)
            if (line.find("listening gateway=") != std::string::npos) return;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    throw std::runtime_error("the gateway does not serve");
}

std::uint64_t LoadedGateway::asked() const {
    std::uint64_t sum = 0;
    for (const auto& c : clients_) sum += c->asked;
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

void LoadedGateway::keep_under_way(std::size_t lookups) {
    for (const auto& c : clients_) c->outstanding = lookups / clients_.size();
}

}  // namespace irismux::bench
