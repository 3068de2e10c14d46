// HTTP/1.1 connection to one registry member. Writes a request and reads its reply, whole or as a stream.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <optional>
#include <string>

#include "codec/http.hpp"
#include "net/connection.hpp"
#include "registry/etcd_codec.hpp"
#include "registry/reply_handler.hpp"

namespace irismux::registry {

class RegistrySocket final : public Connection {
public:
    /// The handler must live until close_silently() is called.
    RegistrySocket(EventLoop& loop, ReplyHandler& handler, MemberIndex member);

    /// @param address a numeric address with a port.
    /// @throws Poco::Exception if the address is not numeric or has no port.
    /// @return false if no connection attempt was possible.
    [[nodiscard]] bool start(const std::string& address);
    MemberIndex member() const { return member_; }
    /// Returns whether the socket can take a request.
    bool idle() const;
    void write_request(const std::string& host, const etcd::Request& request, const std::string& token,
                       ReplyForm form);
    /// Closes the connection without a call to the handler.
    void close_silently();

protected:
    void on_open() override { schedule_write(); }
    void on_data() override;
    void on_closed() override { fail(RequestFailureReason::connection_lost); }

private:
    enum class State { idle, awaiting_head, reading_body };
    enum class Progress { parsed, needs_input };

    bool is_busy() const { return state_ != State::idle; }
    Progress parse_head();
    Progress parse_body();
    void finish_reply();
    void deliver_messages();
    void reject_long_reply();
    void fail(RequestFailureReason reason);
    // Closes the connection and returns the handler. Returns null if the connection was closed before.
    ReplyHandler* detach();

    ReplyHandler* handler_;  // null after the connection was closed
    MemberIndex member_;
    State state_ = State::idle;
    ReplyForm form_ = ReplyForm::whole;
    http::Head head_;
    std::optional<http::BodyReader> body_reader_;
    std::string body_;  // received part of the reply, or of the stream's next message
};

}  // namespace irismux::registry
