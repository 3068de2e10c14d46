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
// Interval between the checks whether the clients have read enough for the caches' responses to go on.
constexpr Duration memory_check_interval = Duration::micros(5'000);
// The number of connections that are kept free is the maximum number divided by this. Idle connections can
// thus be closed gracefully before all connections are in use.
constexpr std::size_t free_connections_divisor = 16;
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
               .on_connection_closed = [this](std::uint64_t number) { connections_.erase(number); }},
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

// Finds the connection to close first. Without this choice, clients that connect and send nothing could take
// all connections from clients that send requests.
FastCgiServer::ConnectionPtr FastCgiServer::find_longest_idle() const {
    ConnectionPtr longest;
    for (const auto& [number, connection] : connections_) {
        if (!connection->idle()) continue;
        if (longest && connection->eviction_rank() >= longest->eviction_rank()) continue;
        // Unread data is checked last, because the check is a system call. A flood of clients then costs one
        // call per client.
        if (!connection->has_unread_data()) longest = connection;
    }
    return longest;
}

FastCgiServer::ConnectionPtr FastCgiServer::find_lingering() const {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [](const auto& entry) { return entry.second->lingering(); });
    return it == connections_.end() ? nullptr : it->second;
}

// Frees a descriptor immediately.
// @return false if no connection can be closed without losing requests or responses.
bool FastCgiServer::close_idle_connection() {
    ConnectionPtr connection = find_lingering();
    if (!connection) connection = find_longest_idle();
    if (!connection) return false;
    connection->close_now();
    return true;
}

// Closes the connection that has been idle for the longest time if few connections are free. A graceful close
// takes time, so the close begins before all connections are in use.
void FastCgiServer::keep_connections_free() {
    const std::size_t limit = context_.limits.connections;
    const std::size_t kept_free = limit / free_connections_divisor;
    if (connections_.size() + kept_free < limit) return;
    const auto lingering =
        static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                               [](const auto& entry) { return entry.second->lingering(); }));
    if (connections_.size() - lingering + kept_free < limit) return;
    if (const ConnectionPtr idle = find_longest_idle()) idle->close_gracefully();
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
    if (unsent_response_bytes() > context_.limits.request_bytes) pause_responses();
}

std::size_t FastCgiServer::unsent_response_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [number, connection] : connections_) bytes += connection->unsent_response_bytes();
    return bytes;
}

std::vector<PendingOutput> FastCgiServer::pending_outputs() const {
    std::vector<PendingOutput> outputs;
    for (const auto& [number, connection] : connections_)
        if (connection->unsent_response_bytes() > 0) outputs.push_back(connection->pending_output());
    return outputs;
}

// Limits the memory for responses that clients have not read yet. A client that reads at full speed may fill
// the memory too, if many of its responses arrive together. The caches' responses therefore wait until there
// is room, and only clients that read too slowly are closed. The check runs after the current handler,
// because closing a client ends requests that the handler may be using.
void FastCgiServer::pause_responses() {
    responses_paused_ = true;
    context_.request_handler.pause_responses();
    memory_check_ = ScopedTimer(event_loop_, event_loop_.now(), [this] { check_response_memory(); });
}

void FastCgiServer::check_response_memory() {
    const TimePoint now = event_loop_.now();
    const std::vector<PendingOutput> outputs = pending_outputs();
    slow_readers_.sample(outputs, now);
    if (close_slow_readers(outputs, now) <= context_.limits.request_bytes) {
        responses_paused_ = false;
        return context_.request_handler.resume_responses();
    }
    memory_check_ =
        ScopedTimer(event_loop_, now + memory_check_interval, [this] { check_response_memory(); });
}

// Closes slow clients, the one with the most unsent bytes first, until the other responses fit into the
// memory. A client with less than an even share of the memory stays, since closing it would free little.
// @return the number of unsent bytes that remain.
std::size_t FastCgiServer::close_slow_readers(std::vector<PendingOutput> outputs, TimePoint now) {
    const std::size_t limit = context_.limits.request_bytes;
    std::size_t unsent_bytes = 0;
    for (const PendingOutput& output : outputs) unsent_bytes += output.unsent_bytes;
    if (unsent_bytes <= limit) return unsent_bytes;
    const std::size_t even_share = limit / outputs.size();
    std::sort(outputs.begin(), outputs.end(), [](const PendingOutput& one, const PendingOutput& other) {
        return one.unsent_bytes > other.unsent_bytes;
    });
    for (const PendingOutput& output : outputs) {
        if (unsent_bytes <= limit || output.unsent_bytes <= even_share) break;
        const auto it = connections_.find(output.connection);
        if (it == connections_.end() || !slow_readers_.is_slow(output, now)) continue;
        // If the loop runs late, the socket may have had room for long.
        it->second->flush();
        slow_readers_.sample(pending_outputs(), now);
        if (!slow_readers_.is_slow(it->second->pending_output(), now)) continue;
        const std::int64_t blocked_ms = (now - output.blocked_from->at).micros() / 1000;
        log::event(log::Level::warning, "slow_client_closed",
                   {{"reason", "response_memory_full"},
                    {"connection", output.connection},
                    {"unsent_bytes", output.unsent_bytes},
                    {"unsent_bytes_of_all", unsent_bytes},
                    {"written_bytes", output.written_bytes - output.blocked_from->written_bytes},
                    {"duration_ms", blocked_ms}});
        const ConnectionPtr connection = it->second;
        connection->close_now();
        unsent_bytes -= output.unsent_bytes;
    }
    return unsent_bytes;
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
