// The server side: web servers speak FastCGI to us. Knows nothing of caches.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "codec/fastcgi.hpp"
#include "net/connection.hpp"
#include "request/active_request.hpp"

namespace irismux {

// Who takes the lookups that clients send.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    enum class Admission { accepted, id_in_use, duplicate };
    virtual Admission on_client_request(const ClientStream&, ClientRequest) = 0;
    virtual void on_client_closed(const ClientStream&) = 0;
};

struct FastCgiServerLimits {
    std::size_t connections = 0;  // connections at once
    std::size_t request_bytes =
        0;                  // requests, and as much again of answers not read yet, of all clients together
    Duration accept_pause;  // after the descriptors have run out
};

// An object kind as clients may ask for it.
struct ServedKind {
    ObjectKindIndex index;
    Duration deadline;
    bool is_write = false;
};
using ServedKinds = std::map<std::string, ServedKind>;

class FastCgiConnection;

class FastCgiServer final : public ResponseSender {
public:
    FastCgiServer(EventLoop& loop, RequestHandler& lookups, ServedKinds kinds, FastCgiServerLimits limits);
    ~FastCgiServer() override;

    // Why that is not possible for now; none: it listens.
    std::optional<std::string> listen(const Poco::Net::SocketAddress& at);
    // Whether all answers have left and no request is on its way.
    bool drained() const;
    // No connection is accepted any more; those that wait to be are.
    void stop_listening();
    // Ends every connection; on none a request is heard any more.
    void close_all();
    std::size_t connection_count() const { return connections_.size(); }
    bool listening() const { return listening_; }

    void send_response(const ClientStream&, std::string_view body, bool client_copy_holds) override;
    void send_rejection(const ClientStream&, Duration come_back_in) override;
    void send_failure(const ClientStream&) override;

private:
    friend class FastCgiConnection;
    void on_acceptable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    // What came of one call: a connection, none that waits, a trouble of that one connection or moment, or no
    // descriptor or memory for it.
    enum class Accepted { one, none, failed, no_descriptor, no_memory };
    Accepted accept_one();
    void accept_connection(Poco::Net::StreamSocket accepted);
    void pause_accepting(Duration pause);
    void set_accepting(bool wanted);
    void write_response(const ClientStream&, std::string_view head, std::string_view body);
    void on_connection_closed(std::uint64_t link);
    void enforce_memory_limit();
    void check_idle_connections();
    std::shared_ptr<FastCgiConnection> longest_idle() const;
    bool close_idle_connection();
    void keep_descriptors_free();

    EventLoop& event_loop_;
    RequestHandler& request_handler_;
    ServedKinds kinds_;
    FastCgiServerLimits limits_;
    Poco::Net::ServerSocket socket_;
    bool accepting_ = false, listening_ = false;
    bool short_of_descriptors_ = false;  // when a connection was to be accepted last
    ScopedTimer idle_check_, resume_accepting_;
    std::size_t request_bytes_ = 0;  // bytes of requests that have not been answered
    std::uint64_t next_connection_ = 1;
    std::map<std::uint64_t, std::shared_ptr<FastCgiConnection>> connections_;
};

}  // namespace irismux
