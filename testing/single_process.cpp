#include "testing/single_process.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "codec/fastcgi.hpp"
#include "codec/resp.hpp"

namespace irismux::test_support {

namespace fs = std::filesystem;

// --- caches ---------------------------------------------------------------------------------------------

ScriptedCache::ScriptedCache(EventLoop& loop, std::string id, int backlog) : loop_(loop), id_(std::move(id)) {
    listen(backlog);
}

void ScriptedCache::listen(int backlog) {
    const std::string at = address_.empty() ? "127.0.0.1:0" : address_;
    acceptor_ = std::make_unique<Acceptor>(
        loop_,
        [this](const Poco::Net::StreamSocket& s) {
            peers.insert(s.peerAddress().toString());
            auto connection = std::make_shared<TestConnection>(loop_, s);
            connection->on_received = [this, weak = std::weak_ptr<TestConnection>(connection)](Buffer& in) {
                if (const auto locked = weak.lock()) on_data(locked, in);
            };
            connections.push_back(connection);
            connection->start();
            if (silent_) connection->enable_reading(false);
        },
        backlog, at);
    address_ = acceptor_->address();
}

void ScriptedCache::on_data(const std::shared_ptr<TestConnection>& connection, Buffer& in) {
    resp::Arguments arguments;
    std::size_t used = 0;
    while (connection->state() == ConnectionState::open &&
           resp::parse_array(in.view(), arguments, used) == ParseStatus::complete) {
        const bool pull = arguments[0] == "PULL" && arguments.size() > 2;
        if (pull)
            received.push_back({loop_.now(), std::string(arguments[1]), std::string(arguments[2]),
                                std::string(arguments.size() > 3 ? arguments[3] : ""), connection});
        if (arguments[0] == "KILL" && arguments.size() > 1) cancelled.emplace_back(arguments[1]);
        in.consume(used);
        if (pull) on_attempt(received.back());
    }
}

std::size_t ScriptedCache::count_received(const std::string& request_id) const {
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(),
                      [&](const ReceivedAttempt& p) { return p.request_id == request_id; }));
}

void ScriptedCache::answer(const ReceivedAttempt& p, const std::string& result, const std::string& body) {
    if (p.connection->state() != ConnectionState::open) return;
    const bool hit = result == "HIT";
    resp::write_array(p.connection->output(),
                      {p.request_id, result, hit ? "tag=t1,minted=1,n=cached" : "-", hit ? body : ""});
    p.connection->write();
}

void ScriptedCache::limit_receive_buffers() {
    constexpr int segment_bytes = 1'460, receive_bytes = 8'192;
    ::setsockopt(acceptor_->descriptor(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    ::setsockopt(acceptor_->descriptor(), SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
}

void ScriptedCache::fall_silent() {
    silent_ = true;
    for (const auto& connection : connections)
        if (connection->state() == ConnectionState::open) connection->enable_reading(false);
}

void ScriptedCache::come_back() {
    silent_ = false;
    for (const auto& connection : std::exchange(connections, {})) connection->reset();
}

void ScriptedCache::hold_connections() {
    acceptor_->stop();
    for (int i = 0; i < 3; ++i) blockers_.emplace_back().connectNB(Poco::Net::SocketAddress(address_));
}

void ScriptedCache::resume_accepting() {
    blockers_.clear();
    acceptor_->resume();
}

// --- clients --------------------------------------------------------------------------------------------

FastCgiClient::FastCgiClient(EventLoop& loop, const std::string& gateway)
    : connection(std::make_shared<TestConnection>(loop)) {
    connection->on_received = [this](Buffer& in) { on_data(in); };
    connection->on_end = [this] { ended = true; };
    connection->start(gateway);
}

std::string FastCgiClient::request(std::uint16_t number, const Request& q) const {
    std::string params;
    const auto put = [&](const char* k, const std::string& v) { fastcgi::write_pair(params, k, v); };
    put("SCRIPT_NAME", "/api/v2/" + q.kind);
    put("HTTP_X_REQUEST_ID", q.id);
    put("HTTP_X_TIMEOUT_MS", std::to_string(q.timeout_ms));
    put("HTTP_X_OBJECT", q.object);
    put("HTTP_X_BLOCK", "0");
    put("HTTP_X_FAMILY", "1");
    if (!q.idempotency_key.empty()) put("HTTP_IDEMPOTENCY_KEY", q.idempotency_key);
    Buffer out;
    fastcgi::write_begin_request(out, number, {fastcgi::responder, true});
    fastcgi::write_record(out, fastcgi::Type::params, number, params);
    fastcgi::write_record(out, fastcgi::Type::params, number, {});
    fastcgi::write_stream(out, fastcgi::Type::std_in, number, q.body);
    fastcgi::write_record(out, fastcgi::Type::std_in, number, {});
    return std::string(out.view());
}

void FastCgiClient::send(std::uint16_t number, const Request& q) { write(request(number, q)); }

void FastCgiClient::write(std::string_view bytes) {
    connection->output().append(bytes);
    connection->write();
}

void FastCgiClient::abort(std::uint16_t number) {
    fastcgi::write_record(connection->output(), fastcgi::Type::abort_request, number, {});
    connection->write();
}

void FastCgiClient::close() { connection->close(); }

bool FastCgiClient::has_response(std::uint16_t number, const std::string& status) const {
    return std::any_of(responses.begin(), responses.end(),
                       [&](const Response& a) { return a.number == number && a.head.find(status) == 0; });
}

void FastCgiClient::on_data(Buffer& in) {
    fastcgi::Record r;
    std::size_t used = 0;
    while (fastcgi::parse_record(in.view(), r, used) == ParseStatus::complete) {
        if (r.type == fastcgi::Type::std_out) received_[r.request] += r.content;
        if (r.type == fastcgi::Type::end_request) {
            const std::string response = std::exchange(received_[r.request], {});
            received_.erase(r.request);
            const std::size_t head = response.find("\r\n\r\n");
            const std::size_t body = head == std::string::npos ? response.size() : head + 4;
            responses.push_back({r.request, response.substr(0, head), response.substr(body)});
        }
        in.consume(used);
    }
}

// --- the gateway process --------------------------------------------------------------------------------

SingleProcess::SingleProcess(const Options& options) {
    folder = (fs::temp_directory_path() / ("irismux-solo-XXXXXX")).string();
    if (!::mkdtemp(folder.data()))
        throw std::runtime_error("cannot create a temporary folder for the gateway in " +
                                 fs::temp_directory_path().string());
    notice_board = std::make_unique<FakeNoticeBoard>(loop);
    nlohmann::json lines = nlohmann::json::array();
    for (std::size_t c = 0; c < options.caches; ++c) {
        caches.push_back(std::make_unique<ScriptedCache>(loop, "e" + std::to_string(c + 1), options.backlog));
        lines.push_back(endpoint_json(caches[c]->id(), "node", "plant", caches[c]->address(), "Ready"));
    }
    lines.push_back(endpoint_json("p1", "parent", "hub", "127.0.0.1:9", "Ready"));
    lines.push_back(endpoint_json("o", "origin", "hub", "127.0.0.1:9", "Ready"));
    notice_board->post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
    {
        Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
        listen = free.address().toString();
    }
    configuration_json = configuration(listen, notice_board->address(), notice_board->known());
    options.adjust_configuration(configuration_json);
    configuration_file = folder + "/config.json";
    log = folder + "/log";
    std::ofstream(configuration_file) << configuration_json.dump();
    std::vector<std::string> environment = {"NODE_CONFIG=" + configuration_file, "IRISMUX_LOG=debug"};
    environment.insert(environment.end(), options.environment.begin(), options.environment.end());
    process = std::make_unique<Process>(Process::Options{{options.program}, environment, "", log});
    for (const auto& c : caches)
        if (options.answer_at_once)
            c->on_attempt = [&c = *c](const ScriptedCache::ReceivedAttempt& p) { c.answer(p); };
    if (!wait_until([&] { return logged("listening gateway="); }))
        throw std::runtime_error("the gateway did not start to listen within 10 s; its process " +
                                 std::string(process->running() ? "still runs" : "has ended") +
                                 "; its log:\n" + log_tail());
}

SingleProcess::~SingleProcess() {
    process.reset();
    std::error_code gone;
    fs::remove_all(folder, gone);
}

std::shared_ptr<FastCgiClient> SingleProcess::connect_client() {
    clients_.push_back(std::make_shared<FastCgiClient>(loop, listen));
    return clients_.back();
}

bool SingleProcess::exited_cleanly() {
    return wait_until([&] { return !process->running(); }) && process->exited_cleanly();
}

ScriptedCache* SingleProcess::cache_serving(const std::string& request_id) {
    const auto it = std::find_if(caches.begin(), caches.end(),
                                 [&](const auto& c) { return c->count_received(request_id) > 0; });
    return it == caches.end() ? nullptr : it->get();
}

std::size_t SingleProcess::attempts_received(const std::string& request_id) const {
    std::size_t n = 0;
    for (const auto& c : caches) n += c->count_received(request_id);
    return n;
}

std::size_t SingleProcess::pending_connections(const ScriptedCache& cache) const {
    std::size_t n = 0;
    for (const SocketInfo& s : sockets_of(process->id()))
        n += s.remote == cache.address() && !cache.peers.contains(s.local);
    return n;
}

bool SingleProcess::logged(const std::string& part_of_a_line) const {
    std::ifstream file(log);
    for (std::string line; std::getline(file, line);)
        if (line.find(part_of_a_line) != std::string::npos) return true;
    return false;
}

std::string SingleProcess::log_tail() const {
    constexpr std::size_t most = 6000;
    std::ifstream file(log);
    std::string text;
    for (std::string line; std::getline(file, line);)
        if (!line.starts_with("debug:")) text += line + '\n';
    return text.size() > most ? text.substr(text.size() - most) : text;
}

}  // namespace irismux::test_support
