#include "net/fastcgi_server.hpp"

#include <Poco/Exception.h>
#include <Poco/NObserver.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/log.hpp"

namespace irismux {
namespace {

// Not longer than SlowReaderDetector::max_sample_interval.
constexpr Duration idle_check_interval = Duration::micros(200'000);
// Maximum number of connections that the system queues until they are accepted.
constexpr int listen_backlog = 1024;
// While the server stops, the queue is treated as empty after this many failures of accept().
constexpr int max_accept_failures = 256;
// The delay before a retry while the system is out of memory or descriptors, which is a temporary state.
constexpr Duration memory_retry_delay = Duration::micros(10'000);

}  // namespace

FastCgiServer::FastCgiServer(EventLoop& loop, RequestHandler& request_handler, ServedKinds kinds,
                             FastCgiServerLimits limits)
    : event_loop_(loop),
      context_{.event_loop = loop,
               .request_handler = request_handler,
               .kinds = std::move(kinds),
               .limits = limits,
               .on_connection_closed =
                   [this](std::uint64_t number) {
                       connections_.erase(number);
                       context_.connection_count = connections_.size();
                   },
               .make_room = [this](const FastCgiConnection& connection,
                                   std::size_t bytes) { return make_room(connection, bytes); }},
      slow_readers_(limits.max_read_time) {}

FastCgiServer::~FastCgiServer() {
    stop_watching();
    for (auto& [number, connection] : connections_) connection->close();
}

// --- listening -------------------------------------------------------------------------------------------

ListenResult FastCgiServer::listen(const Poco::Net::SocketAddress& address) {
    try {
        socket_ = Poco::Net::ServerSocket();
        socket_.bind(address, true);
        socket_.listen(listen_backlog);
        socket_.setBlocking(false);
    } catch (const Poco::Exception& e) {
        return ListenError{e.code(), e.displayText()};
    }
    start_accepting();
    check_idle_connections();
    return Listening{};
}

void FastCgiServer::start_accepting() {
    if (listen_state_ == ListenState::accepting) return;
    try {
        event_loop_.addEventHandler(socket_, Poco::NObserver<FastCgiServer, Poco::Net::ReadableNotification>(
                                                 *this, &FastCgiServer::on_acceptable));
        listen_state_ = ListenState::accepting;
    } catch (const Poco::Exception&) {
        // The system is out of memory. Connections wait in the system's queue until the retry.
        pause_accepting(memory_retry_delay);
    }
}

void FastCgiServer::stop_watching() {
    if (listen_state_ != ListenState::accepting) return;
    try {
        event_loop_.removeEventHandler(socket_,
                                       Poco::NObserver<FastCgiServer, Poco::Net::ReadableNotification>(
                                           *this, &FastCgiServer::on_acceptable));
        listen_state_ = ListenState::paused;
    } catch (const Poco::Exception&) {
        // The event loop still watches the socket.
    }
}

void FastCgiServer::pause_accepting(Duration pause) {
    stop_watching();
    if (listen_state_ == ListenState::stopped) listen_state_ = ListenState::paused;
    resume_accepting_ = ScopedTimer(event_loop_, event_loop_.now() + pause, [this] {
        if (listen_state_ == ListenState::paused) start_accepting();
    });
}

// Accepts one connection per call, so that other events wait for at most one iteration. The loop calls this
// function again for the next connection.
//
// Prevents a busy loop while accept() fails: the connection stays in the queue and would wake the loop at
// once. A system-wide shortage is not relieved by closing connections of this process. A shortage of the
// process's own descriptors may be temporary, so the first failure only delays accepting for a short time.
// The second failure in a row closes an idle connection or, if no connection is idle, pauses accepting for
// longer.
void FastCgiServer::on_acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    const AcceptResult result = accept_one();
    const bool no_descriptor = result == AcceptResult::no_descriptor;
    const bool exhausted_before = std::exchange(descriptors_exhausted_, no_descriptor);
    if (result == AcceptResult::no_memory || (no_descriptor && !exhausted_before)) {
        pause_accepting(memory_retry_delay);
    } else if (no_descriptor && !close_idle_connection()) {
        log::event(log::Level::warning, "accept_paused",
                   {{"reason", "no_descriptor"},
                    {"duration_ms", context_.limits.accept_pause.micros() / 1000},
                    {"connections", connections_.size()}});
        pause_accepting(context_.limits.accept_pause);
    }
    event_loop_.run_due_timers();
}

FastCgiServer::AcceptResult FastCgiServer::accept_one() {
    try {
        add_connection(socket_.acceptConnection());
        return AcceptResult::accepted;
    } catch (const Poco::Exception& e) {
        switch (e.code()) {
            case EAGAIN:
                return AcceptResult::none_waiting;
            case EMFILE:
                return AcceptResult::no_descriptor;
            case ENFILE:
            case ENOBUFS:
            case ENOMEM:
                return AcceptResult::no_memory;
            default:
                return AcceptResult::failed;
        }
    }
}

void FastCgiServer::add_connection(const Poco::Net::StreamSocket& accepted) {
    keep_connections_free();
    if (connections_.size() >= context_.limits.connections && !close_idle_connection())
        return log::event(log::Level::info, "client_connection_rejected",
                          {{"reason", "connection_limit"}, {"connections", connections_.size()}});
    const std::uint64_t number = next_connection_++;
    const auto connection = std::make_shared<FastCgiConnection>(context_, number, accepted);
    connections_.emplace(number, connection);
    context_.connection_count = connections_.size();
    connection->start();
}

// Accepts the whole queue, so that no request is lost at shutdown: a client whose connection the system has
// established may already have sent a request. accept() may fail temporarily while more connections are
// queued.
void FastCgiServer::stop_listening() {
    if (listen_state_ == ListenState::stopped) return;
    stop_watching();
    listen_state_ = ListenState::stopped;
    int accepted = 0;
    int failures = 0;
    while (accepted < listen_backlog && failures < max_accept_failures) {
        const AcceptResult result = accept_one();
        if (result == AcceptResult::none_waiting) break;
        if (result == AcceptResult::accepted) {
            ++accepted;
            continue;
        }
        ++failures;
        if (result == AcceptResult::no_descriptor) close_idle_connection();
    }
    socket_.close();
}

// --- connections -----------------------------------------------------------------------------------------

std::vector<FastCgiServer::ConnectionPtr> FastCgiServer::all_connections() const {
    std::vector<ConnectionPtr> all;
    all.reserve(connections_.size());
    for (const auto& [number, connection] : connections_) all.push_back(connection);
    return all;
}

void FastCgiServer::check_idle_connections() {
    for (const ConnectionPtr& connection : all_connections())
        if (connection->state() == ConnectionState::open && !connection->lingering())
            connection->check_timeouts(event_loop_.now());
    slow_readers_.sample(pending_outputs(), event_loop_.now());
    idle_check_ = ScopedTimer(event_loop_, event_loop_.now() + idle_check_interval,
                              [this] { check_idle_connections(); });
}

bool FastCgiServer::client_has_left(const ClientStream& stream) const {
    const auto it = connections_.find(stream.connection);
    return it == connections_.end() || it->second->peer_has_left();
}

bool FastCgiServer::drained() const {
    return std::all_of(connections_.begin(), connections_.end(), [](const auto& entry) {
        const FastCgiConnection& connection = *entry.second;
        if (connection.lingering()) return true;
        return connection.unsent_response_bytes() == 0 && !connection.has_incomplete_request();
    });
}

void FastCgiServer::close_all() {
    for (const ConnectionPtr& connection : all_connections()) connection->close_gracefully();
}

// --- responses -------------------------------------------------------------------------------------------

void FastCgiServer::write_response(const ClientStream& stream, std::string_view head, std::string_view body) {
    const auto it = connections_.find(stream.connection);
    if (it == connections_.end()) return;
    const ConnectionPtr connection = it->second;
    connection->write_response(stream, head, body);
    if (responses_paused_ || connection->unsent_response_bytes() == 0) return;
    if (context_.unsent_bytes > context_.limits.request_bytes) pause_responses();
}

void FastCgiServer::send_response(const ClientStream& stream, std::string_view body, bool not_modified) {
    if (not_modified) return write_response(stream, client_protocol::not_modified_head(), {});
    write_response(stream, client_protocol::response_head(body.size()), body);
}

void FastCgiServer::send_rejection(const ClientStream& stream, Duration retry_after) {
    write_response(stream, client_protocol::rejection_head(retry_after), {});
}

void FastCgiServer::send_failure(const ClientStream& stream) {
    write_response(stream, client_protocol::failure_head(), {});
}

}  // namespace irismux
