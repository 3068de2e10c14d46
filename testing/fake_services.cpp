#include "testing/fake_services.hpp"

#include <algorithm>

#include "codec/fastcgi.hpp"
#include "codec/resp.hpp"

namespace irismux::test_support {

using nlohmann::json;

namespace {

constexpr std::size_t max_kept_attempts = 4096;
constexpr int accept_backlog = 4096;  // backlog of a notice board's listening socket

void drop_ended(std::vector<std::shared_ptr<TestConnection>>& connections) {
    std::erase_if(connections,
                  [](const auto& connection) { return connection->state() == ConnectionState::closed; });
}

}  // namespace

// --- caches ---------------------------------------------------------------------------------------------

FakeCache::FakeCache(EventLoop& loop, std::string id, Duration response_delay)
    : loop_(loop), id_(std::move(id)), response_delay_(response_delay) {
    listen("127.0.0.1:0");
}

void FakeCache::listen(const std::string& address) {
    acceptor_ = std::make_unique<Acceptor>(
        loop_,
        [this](const Poco::Net::StreamSocket& s) {
            drop_ended(connections_);
            auto connection = std::make_shared<TestConnection>(loop_, s);
            connection->on_received = [this, weak = std::weak_ptr<TestConnection>(connection)](Buffer& in) {
                if (const auto locked = weak.lock()) on_data(locked, in);
            };
            connections_.push_back(connection);
            connection->start();
        },
        64, address);
    address_ = acceptor_->address();
}

void FakeCache::stop() {
    acceptor_.reset();
    for (const auto& connection : std::exchange(connections_, {})) connection->reset();
}

void FakeCache::restart() {
    if (!acceptor_) listen(address_);
}

void FakeCache::on_data(const std::shared_ptr<TestConnection>& connection, Buffer& in) {
    resp::Arguments arguments;
    std::size_t used = 0;
    while (resp::parse_array(in.view(), arguments, used) == ParseStatus::complete) {
        health_checks += arguments[0] == "ECHO";
        if (arguments[0] == "ECHO") resp::write_array(connection->output(), {arguments[1], "PONG", "-", ""});
        if (arguments[0] == "PULL" && arguments.size() > 2) {
            const std::string id(arguments[1]);
            received.push_back({loop_.now(), id});
            ++total;
            if (received.size() > max_kept_attempts) received.pop_front();
            loop_.schedule_at(
                loop_.now() + response_delay_, [id, weak = std::weak_ptr<TestConnection>(connection)] {
                    const auto to = weak.lock();
                    if (!to || to->state() != ConnectionState::open) return;
                    resp::write_array(to->output(), {id, "HIT", "tag=t1,minted=1,n=cached", "a body"});
                    to->write();
                });
        }
        in.consume(used);
    }
    connection->write();
}

// --- the notice board -----------------------------------------------------------------------------------

FakeNoticeBoard::FakeNoticeBoard(EventLoop& loop)
    : loop_(loop),
      acceptor_(
          loop,
          [this](const Poco::Net::StreamSocket& s) {
              drop_ended(connections_);
              auto connection = std::make_shared<TestConnection>(loop_, s);
              connection->on_received = [this, weak = std::weak_ptr<TestConnection>(connection)](Buffer& in) {
                  const std::string request(in.view());
                  if (request.find("\r\n\r\n") == std::string::npos) return;
                  in.consume(request.size());
                  const std::size_t watch = request.find("watch="), linger = request.find("linger=");
                  if (watch == std::string::npos || linger == std::string::npos) return;
                  polls_.push_back(
                      {weak, std::atoll(request.c_str() + watch + 6),
                       loop_.now() + Duration::micros(std::atoll(request.c_str() + linger + 7) * 1000)});
                  answer();
              };
              connections_.push_back(connection);
              connection->start();
          },
          accept_backlog) {
    check_polls();
}

std::int64_t FakeNoticeBoard::post(json event) { return post_all({std::move(event)}); }

std::int64_t FakeNoticeBoard::post_all(std::vector<json> events) {
    for (json& event : events) {
        event["rev"] = events_.size() + 1;
        events_.push_back(std::move(event));
    }
    answer();
    return static_cast<std::int64_t>(events_.size());
}

json FakeNoticeBoard::known() const { return {{"rev", events_.size()}, {"notices", events_}}; }

void FakeNoticeBoard::break_connections() {
    polls_.clear();
    for (const auto& connection : std::exchange(connections_, {})) connection->close();
}

void FakeNoticeBoard::check_polls() {
    answer();
    loop_.schedule_at(loop_.now() + Duration::micros(10'000), [this] { check_polls(); });
}

void FakeNoticeBoard::answer() {
    if (silent) return;
    const auto newest = static_cast<std::int64_t>(events_.size());
    // Encodes the response only once for all polls that wait for events after the same event number.
    std::map<std::int64_t, std::string> encoded;
    for (const Poll& p : std::exchange(polls_, {})) {
        const auto connection = p.connection.lock();
        if (!connection || connection->state() != ConnectionState::open) continue;
        if (p.since >= newest && loop_.now() < p.deadline) {
            polls_.push_back(p);
            continue;
        }
        const auto [it, fresh] = encoded.try_emplace(p.since);
        std::string& body = it->second;
        if (fresh) {
            json notices = json::array();
            const auto first = std::clamp<std::int64_t>(p.since, 0, newest);  // events are numbered from one
            for (auto e = events_.begin() + first; e != events_.end(); ++e) notices.push_back(*e);
            body = json{{"rev", newest}, {"notices", notices}}.dump();
        }
        connection->output().append("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                    "\r\n\r\n" + body);
        connection->write();
    }
}

// --- clients --------------------------------------------------------------------------------------------

ClientLoad::ClientLoad(EventLoop& loop, std::string gateway, std::string kind, Duration interval,
                       Duration timeout)
    : loop_(loop),
      gateway_(std::move(gateway)),
      kind_(std::move(kind)),
      interval_(interval),
      timeout_(timeout) {}

void ClientLoad::start() {
    connection_ = std::make_shared<TestConnection>(loop_);
    connection_->on_received = [this](Buffer& in) { on_data(in); };
    connection_->start(gateway_);
    running_ = true;
    loop_.schedule_at(loop_.now() + interval_, [this] { send_request(); });
}

void ClientLoad::send_request() {
    if (!running_) return;
    loop_.schedule_at(loop_.now() + interval_, [this] { send_request(); });
    if (open_requests_.contains(next_request_number_)) return;  // all 65,535 request numbers are in use
    const std::uint16_t request = next_request_number_;
    next_request_number_ =
        static_cast<std::uint16_t>(next_request_number_ == 65'535 ? 1 : next_request_number_ + 1);
    char id[17], object[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++requests_sent));
    std::snprintf(object, sizeof object, "%016llx",
                  static_cast<unsigned long long>(requests_sent * 7919 % 997));
    std::string params;
    const auto put = [&](const char* k, const std::string& v) { fastcgi::write_pair(params, k, v); };
    put("SCRIPT_NAME", "/api/v2/" + kind_);
    put("HTTP_X_REQUEST_ID", id);
    put("HTTP_X_TIMEOUT_MS", std::to_string(timeout_.micros() / 1000));
    put("HTTP_X_OBJECT", object);
    put("HTTP_X_BLOCK", "0");
    put("HTTP_X_FAMILY", "1");
    Buffer& out = connection_->output();
    fastcgi::write_begin_request(out, request, {fastcgi::responder, true});
    fastcgi::write_record(out, fastcgi::Type::params, request, params);
    fastcgi::write_record(out, fastcgi::Type::params, request, {});
    fastcgi::write_record(out, fastcgi::Type::std_in, request, {});
    open_requests_[request] = {loop_.now(), ""};
    connection_->write();
}

void ClientLoad::on_data(Buffer& in) {
    fastcgi::Record r;
    std::size_t used = 0;
    while (fastcgi::parse_record(in.view(), r, used) == ParseStatus::complete) {
        const auto it = open_requests_.find(r.request);
        if (it == open_requests_.end()) {
            duplicate_responses += r.type == fastcgi::Type::end_request;
        } else if (r.type == fastcgi::Type::std_out) {
            it->second.second += r.content;
        } else if (r.type == fastcgi::Type::end_request) {
            const std::string& response = it->second.second;
            if (response.find("Status: 200") == 0) {
                ++served;
                latencies_ms.push_back((loop_.now() - it->second.first).seconds() * 1000);
            } else {
                ++(response.find("Status: 503") == 0 ? rejected : failed);
            }
            open_requests_.erase(it);
        }
        in.consume(used);
    }
}

// --- the gateway's configuration ------------------------------------------------------------------------

json endpoint_json(const std::string& id, const std::string& kind, const std::string& zone,
                   const std::string& address, const std::string& state) {
    return {{"id", id},  {"addr", address}, {"zone", zone}, {"kind", kind},
            {"cell", 0}, {"state", state},  {"weight", 1}};
}

json configuration(const std::string& listen, const std::string& notice_board, const json& known) {
    return json{{"name", "lab"},
                {"listen", listen},
                {"board", notice_board},
                {"seed", "1"},
                {"limits", {{"cores", 1.0}, {"memory_mb", 32}, {"sockets", 256}}},
                {"known", known},
                {"settings",
                 {{"balancers", 1},
                  {"zone", "plant"},
                  {"dcs", {"hub", "plant"}},
                  {"kinds", {"node", "parent", "origin"}},
                  {"discovery", "pushed"},
                  {"weightSource", "off"},
                  {"tickS", 0.002},
                  {"lanes",
                   {{{"name", "pages"},
                     {"effect", "repeatable"},
                     {"aimS", 0.25},
                     {"aimStretch", 2.0},
                     {"hardLimitS", 3.0}}}},
                  {"ceilings",
                   {{"attemptsCap", 6},
                    {"cancel", true},
                    {"connIdleS", 30.0},
                    {"connectTimeoutS", 0.4},
                    {"maxOpen", 20000},
                    {"maxRetryAfterS", 0.5},
                    {"retryAfter", true},
                    {"streamsPerConn", 100}}},
                  {"safety",
                   {{"coldFrom", 0.2},
                    {"coldS", 18.0},
                    {"drainGraceS", 0.25},
                    {"fallMultiple", 4.0},
                    {"fallS", 2.0}}},
                  {"specifics",
                   {{"secondTierKind", 1},
                    {"originKind", 2},
                    {"says", "all"},
                    {"neverKept", {false}},
                    {"oneFlowKbPerS", 8300.0},
                    {"pipeKbPerS", {0.0, 80000.0}},
                    {"zoneBalancers", {0, 1}},
                    {"parentFloor", 0.06},
                    {"upperColdS", 21.0},
                    {"parentBreaksAt", 2.0},
                    {"purgeDoneS", 6.0},
                    {"purgeGraceS", 1.0}}}}}};
}

}  // namespace irismux::test_support
