#include "testing/single_process.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "codec/fastcgi.hpp"
#include "codec/resp.hpp"

namespace irismux::lab {

namespace fs = std::filesystem;

// --- caches ----------------------------------------------------------------------------------------------

Puppet::Puppet(Loop& loop, std::string id, int backlog) : loop_(loop), id_(std::move(id)) { listen(backlog); }

void Puppet::listen(int backlog) {
    const std::string at = address_.empty() ? "127.0.0.1:0" : address_;
    acceptor_ = std::make_unique<Acceptor>(
        loop_,
        [this](Poco::Net::StreamSocket s) {
            peers.insert(s.peerAddress().toString());
            auto w = std::make_shared<Wire>(loop_, std::move(s));
            w->got = [this, raw = std::weak_ptr<Wire>(w)](Buffer& in) {
                if (const auto wire = raw.lock()) got(wire, in);
            };
            wires.push_back(w);
            w->start();
        },
        backlog, at);
    address_ = acceptor_->address();
}

void Puppet::got(const std::shared_ptr<Wire>& w, Buffer& in) {
    resp::Words words;
    std::size_t used = 0;
    while (w->state() == LinkState::open && resp::parse_array(in.view(), words, used) == Parsed::whole) {
        const bool pull = words[0] == "PULL" && words.size() > 2;
        if (pull)
            pulls.push_back({loop_.now(), std::string(words[1]), std::string(words[2]),
                             std::string(words.size() > 3 ? words[3] : ""), w});
        in.taken(used);
        if (pull) then(pulls.back());
    }
}

std::size_t Puppet::pulled(const std::string& lookup) const {
    return static_cast<std::size_t>(
        std::count_if(pulls.begin(), pulls.end(), [&](const Pull& p) { return p.lookup == lookup; }));
}

void Puppet::answer(const Pull& p, const std::string& word, const std::string& body) {
    if (p.wire->state() != LinkState::open) return;
    const bool hit = word == "HIT";
    resp::write_array(p.wire->out(),
                      {p.lookup, word, hit ? "tag=t1,minted=1,n=cached" : "-", hit ? body : ""});
    p.wire->say();
}

void Puppet::hold_connections() {
    acceptor_->stop();
    for (int i = 0; i < 3; ++i) in_the_way_.emplace_back().connectNB(Poco::Net::SocketAddress(address_));
}

void Puppet::take_again() {
    in_the_way_.clear();
    acceptor_->take_again();
}

// --- clients ---------------------------------------------------------------------------------------------

Asker::Asker(Loop& loop, const std::string& gateway) : wire(std::make_shared<Wire>(loop)), loop_(loop) {
    wire->got = [this](Buffer& in) { got(in); };
    wire->ended = [this] { ended = true; };
    wire->start(gateway);
}

std::string Asker::request(std::uint16_t number, const Question& q) const {
    std::string params;
    const auto put = [&](const char* k, const std::string& v) { fastcgi::write_pair(params, k, v); };
    put("SCRIPT_NAME", "/api/v2/" + q.kind);
    put("HTTP_X_REQUEST_ID", q.id);
    put("HTTP_X_TIMEOUT_MS", std::to_string(q.patience_ms));
    put("HTTP_X_OBJECT", q.object);
    put("HTTP_X_BLOCK", "0");
    put("HTTP_X_FAMILY", "1");
    if (!q.idempotency_key.empty()) put("HTTP_IDEMPOTENCY_KEY", q.idempotency_key);
    Buffer out;
    fastcgi::write_begin(out, number, {fastcgi::responder, true});
    fastcgi::write_record(out, fastcgi::Type::params, number, params);
    fastcgi::write_record(out, fastcgi::Type::params, number, {});
    fastcgi::write_stream(out, fastcgi::Type::std_in, number, q.body);
    fastcgi::write_record(out, fastcgi::Type::std_in, number, {});
    return std::string(out.view());
}

void Asker::ask(std::uint16_t number, const Question& q) { say(request(number, q)); }

void Asker::say(std::string_view bytes) {
    wire->out().append(bytes);
    wire->say();
}

void Asker::abort(std::uint16_t number) {
    fastcgi::write_record(wire->out(), fastcgi::Type::abort_request, number, {});
    wire->say();
}

void Asker::close() { wire->close(); }

bool Asker::answered(std::uint16_t number, const std::string& status) const {
    return std::any_of(answers.begin(), answers.end(),
                       [&](const Answer& a) { return a.number == number && a.head.find(status) == 0; });
}

void Asker::got(Buffer& in) {
    fastcgi::Record r;
    std::size_t used = 0;
    while (fastcgi::parse_record(in.view(), r, used) == Parsed::whole) {
        if (r.type == fastcgi::Type::std_out) heard_[r.request] += r.content;
        if (r.type == fastcgi::Type::end_request) {
            const std::string said = std::exchange(heard_[r.request], {});
            heard_.erase(r.request);
            const std::size_t head = said.find("\r\n\r\n");
            const std::size_t body = head == std::string::npos ? said.size() : head + 4;
            answers.push_back({r.request, said.substr(0, head), said.substr(body)});
        }
        in.taken(used);
    }
}

// --- the gateway -----------------------------------------------------------------------------------------

Solo::Solo(const Shape& shape) {
    folder = (fs::temp_directory_path() / ("irismux-solo-XXXXXX")).string();
    if (!::mkdtemp(folder.data())) throw std::runtime_error("no folder can be made");
    board = std::make_unique<Board>(loop);
    nlohmann::json lines = nlohmann::json::array();
    for (std::size_t c = 0; c < shape.caches; ++c) {
        caches.push_back(std::make_unique<Puppet>(loop, "e" + std::to_string(c + 1), shape.backlog));
        lines.push_back(list_line(caches[c]->id(), "node", "plant", caches[c]->address(), "Ready"));
    }
    lines.push_back(list_line("p1", "parent", "hub", "127.0.0.1:9", "Ready"));
    lines.push_back(list_line("o", "origin", "hub", "127.0.0.1:9", "Ready"));
    board->post({{"pool", {{"version", 1}, {"full", true}, {"servers", lines}}}});
    {
        Poco::Net::ServerSocket free(Poco::Net::SocketAddress("127.0.0.1:0"));
        listen = free.address().toString();
    }
    configured = configuration(listen, board->address(), board->known());
    shape.change(configured);
    configuration_file = folder + "/config.json";
    log = folder + "/log";
    std::ofstream(configuration_file) << configured.dump();
    std::vector<std::string> environment = {"NODE_CONFIG=" + configuration_file, "IRISMUX_LOG=debug"};
    environment.insert(environment.end(), shape.environment.begin(), shape.environment.end());
    process = std::make_unique<Process>(Process::Start{{shape.program}, environment, "", log});
    for (const auto& c : caches)
        if (shape.answers) c->then = [&c = *c](const Puppet::Pull& p) { c.answer(p); };
    if (!until([&] { return said("serves on"); }))
        throw std::runtime_error("the gateway does not serve, " +
                                 std::string(process->running() ? "and runs" : "its process has ended") +
                                 ":\n" + last_words());
}

Solo::~Solo() {
    process.reset();
    std::error_code gone;
    fs::remove_all(folder, gone);
}

std::shared_ptr<Asker> Solo::asker() {
    askers_.push_back(std::make_shared<Asker>(loop, listen));
    return askers_.back();
}

bool Solo::gone() {
    return until([&] { return !process->running(); }) && process->left();
}

Puppet* Solo::cache_of(const std::string& lookup) {
    const auto it =
        std::find_if(caches.begin(), caches.end(), [&](const auto& c) { return c->pulled(lookup) > 0; });
    return it == caches.end() ? nullptr : it->get();
}

std::size_t Solo::pulls(const std::string& lookup) const {
    std::size_t n = 0;
    for (const auto& c : caches) n += c->pulled(lookup);
    return n;
}

std::size_t Solo::coming_up(const Puppet& cache) const {
    std::size_t n = 0;
    for (const SeenSocket& s : sockets_of(process->id()))
        n += s.remote == cache.address() && !cache.peers.contains(s.local);
    return n;
}

bool Solo::said(const std::string& part_of_a_line) const {
    std::ifstream file(log);
    for (std::string line; std::getline(file, line);)
        if (line.find(part_of_a_line) != std::string::npos) return true;
    return false;
}

std::string Solo::last_words() const {
    constexpr std::size_t most = 6000;
    std::ifstream file(log);
    std::string text;
    for (std::string line; std::getline(file, line);)
        if (!line.starts_with("debug:")) text += line + '\n';
    return text.size() > most ? text.substr(text.size() - most) : text;
}

}  // namespace irismux::lab
