// The part of FastCgiServer that keeps connections and memory free: which connections are closed and which
// requests are refused for others, and when the responses of the caches wait.
#include <algorithm>

#include "base/log.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {
namespace {

// Interval between the checks whether the clients have read enough for the caches' responses to go on.
constexpr Duration memory_check_interval = Duration::micros(5'000);
// The number of connections that are kept free is the maximum number divided by this. Idle connections can
// thus be closed gracefully before all connections are in use.
constexpr std::size_t free_connections_divisor = 16;

}  // namespace

// --- connections -----------------------------------------------------------------------------------------

// Finds the connection to close first. Without this choice, clients that connect and send nothing, or only a
// part of a request, could take all connections from clients that send requests.
FastCgiServer::ConnectionPtr FastCgiServer::find_evictable() const {
    const TimePoint now = event_loop_.now();
    ConnectionPtr lowest;
    for (const auto& [number, connection] : connections_) {
        if (!connection->evictable(now)) continue;
        if (lowest && connection->eviction_rank() >= lowest->eviction_rank()) continue;
        // Unread data is checked last, because the check is a system call. A flood of clients then costs one
        // call per client.
        if (!connection->has_unread_data()) lowest = connection;
    }
    return lowest;
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
    if (!connection) connection = find_evictable();
    if (!connection) return false;
    connection->refuse_incomplete(client_protocol::RequestError::connections_full);
    connection->flush();
    connection->close_now();
    return true;
}

// Closes the evictable connection of the lowest rank if few connections are free. A graceful close
// takes time, so the close begins before all connections are in use.
void FastCgiServer::keep_connections_free() {
    const std::size_t limit = context_.limits.connections;
    const std::size_t kept_free = limit / free_connections_divisor;
    if (connections_.size() + kept_free < limit) return;
    const auto lingering =
        static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                               [](const auto& entry) { return entry.second->lingering(); }));
    if (connections_.size() - lingering + kept_free < limit) return;
    const ConnectionPtr evicted = find_evictable();
    if (!evicted) return;
    evicted->refuse_incomplete(client_protocol::RequestError::connections_full);
    evicted->close_gracefully();
}

// --- memory of requests ----------------------------------------------------------------------------------

// Requests that have been incomplete for long make room first, the longest before the others. Then the
// connection that uses the most memory makes room, if it uses more than the connection that needs the memory.
bool FastCgiServer::make_room(const FastCgiConnection& connection, std::size_t bytes) {
    const std::size_t limit = context_.limits.request_bytes;
    while (context_.request_bytes + bytes > limit) {
        const std::size_t before = context_.request_bytes;
        ConnectionPtr refused = find_longest_incomplete(connection);
        if (!refused) refused = find_largest_incomplete(connection, connection.request_bytes() + bytes);
        if (!refused) return false;
        refused->refuse_incomplete(client_protocol::RequestError::request_memory_full);
        if (context_.request_bytes >= before) return false;
    }
    return true;
}

FastCgiServer::ConnectionPtr FastCgiServer::find_longest_incomplete(const FastCgiConnection& except) const {
    const TimePoint now = event_loop_.now();
    ConnectionPtr longest;
    for (const auto& [number, connection] : connections_) {
        if (connection.get() == &except || !connection->may_be_refused_for_others(now)) continue;
        if (!longest || connection->incomplete_since() < longest->incomplete_since()) longest = connection;
    }
    return longest;
}

// @return the connection with incomplete requests that uses the most memory, or null if none uses more than
// `bytes`.
FastCgiServer::ConnectionPtr FastCgiServer::find_largest_incomplete(const FastCgiConnection& except,
                                                                    std::size_t bytes) const {
    ConnectionPtr largest;
    std::size_t largest_bytes = bytes;
    for (const auto& [number, connection] : connections_) {
        if (connection.get() == &except || connection->request_bytes() <= largest_bytes) continue;
        if (!connection->incomplete_since()) continue;
        largest = connection;
        largest_bytes = connection->request_bytes();
    }
    return largest;
}

// --- memory of responses ---------------------------------------------------------------------------------

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

}  // namespace irismux
