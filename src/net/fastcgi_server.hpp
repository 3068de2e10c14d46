// The FastCGI server that web servers connect to: the listening socket, the connections, and their limits.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "net/fastcgi_connection.hpp"
#include "net/slow_reader_detector.hpp"
#include "request/active_request.hpp"

namespace irismux {

/// The server accepts connections.
struct Listening {};
/// Why the server can't listen. A later call of listen() may succeed.
struct ListenError {
    int error_number = 0;  ///< errno
    std::string message;
};
using ListenResult = std::variant<Listening, ListenError>;

class FastCgiServer final : public ResponseSender {
public:
    /// @param request_handler must outlive the server.
    FastCgiServer(EventLoop& loop, RequestHandler& request_handler, ServedKinds kinds,
                  FastCgiServerLimits limits);
    ~FastCgiServer() override;
    FastCgiServer(const FastCgiServer&) = delete;
    FastCgiServer& operator=(const FastCgiServer&) = delete;

    [[nodiscard]] ListenResult listen(const Poco::Net::SocketAddress& address);
    [[nodiscard]] bool listening() const { return listen_state_ != ListenState::stopped; }
    /// Accepts the connections that wait in the system's queue, then closes the listening socket.
    void stop_listening();

    [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
    /// Whether the client of the stream has closed its connection, even if this has not been read yet.
    [[nodiscard]] bool client_has_left(const ClientStream& stream) const;
    /// Memory for responses that clients have not read.
    [[nodiscard]] std::size_t unsent_bytes() const { return context_.unsent_bytes; }
    /// Whether all responses have been written and no request is partially received.
    [[nodiscard]] bool drained() const;
    /// Closes every connection gracefully and discards further input.
    void close_all();

    void send_response(const ClientStream&, std::string_view body, bool not_modified) override;
    void send_rejection(const ClientStream&, Duration retry_after) override;
    void send_failure(const ClientStream&) override;

private:
    enum class ListenState {
        stopped,
        paused,  // new connections wait in the system's queue
        accepting
    };
    enum class AcceptResult {
        accepted,
        none_waiting,
        failed,         // the client has closed the connection again, or the network failed temporarily
        no_descriptor,  // this process has no descriptor left
        no_memory       // the system has no memory or no descriptor left
    };
    using ConnectionPtr = std::shared_ptr<FastCgiConnection>;

    void on_acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    AcceptResult accept_one();
    void add_connection(const Poco::Net::StreamSocket& accepted);
    void start_accepting();
    void pause_accepting(Duration pause);
    void stop_watching();

    void write_response(const ClientStream& stream, std::string_view head, std::string_view body);
    [[nodiscard]] std::vector<PendingOutput> pending_outputs() const;
    void pause_responses();
    void check_response_memory();
    std::size_t close_slow_readers(std::vector<PendingOutput> outputs, TimePoint now);
    void check_idle_connections();
    void keep_connections_free();
    bool close_idle_connection();
    [[nodiscard]] ConnectionPtr find_lingering() const;
    [[nodiscard]] ConnectionPtr find_evictable() const;
    [[nodiscard]] bool make_room(const FastCgiConnection& connection, std::size_t bytes);
    [[nodiscard]] ConnectionPtr find_longest_incomplete(const FastCgiConnection& except) const;
    [[nodiscard]] ConnectionPtr find_largest_incomplete(const FastCgiConnection& except,
                                                        std::size_t bytes) const;
    [[nodiscard]] std::vector<ConnectionPtr> all_connections() const;

    EventLoop& event_loop_;
    FastCgiContext context_;
    Poco::Net::ServerSocket socket_;
    ListenState listen_state_ = ListenState::stopped;
    bool descriptors_exhausted_ = false;  // whether the last accept() found no descriptor
    ScopedTimer idle_check_, resume_accepting_, memory_check_;
    SlowReaderDetector slow_readers_;
    bool responses_paused_ = false;  // whether the caches' responses wait until clients have read theirs
    std::uint64_t next_connection_ = 1;
    std::map<std::uint64_t, ConnectionPtr> connections_;
};

}  // namespace irismux
