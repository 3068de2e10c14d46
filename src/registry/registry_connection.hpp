// Sends one request at a time to a registry member, and manages the connection and the authentication token.
// The caller chooses the member for each request.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"
#include "registry/etcd_codec.hpp"
#include "registry/reply_handler.hpp"
#include "registry/settings.hpp"

namespace irismux::registry {

class RegistrySocket;

class RegistryConnection final : private ReplyHandler {
public:
    /// All three arguments must outlive the connection.
    RegistryConnection(EventLoop& loop, ReplyHandler& handler, const Settings& settings);
    ~RegistryConnection() override;
    RegistryConnection(const RegistryConnection&) = delete;
    RegistryConnection& operator=(const RegistryConnection&) = delete;

    /// Sends a request in place of the pending request. A reply to the replaced request is no longer passed
    /// on.
    void send_request(MemberIndex member, etcd::Request request, ReplyForm form);
    /// Drops the pending request and closes the connection.
    void close();
    /// Fetches a new token and sends the pending request again with the new token. Call this function if the
    /// registry member has refused the token of the request.
    /// @return false, and sends nothing, if the settings name no user or if this request has been repeated
    /// before: a request is repeated at most once.
    [[nodiscard]] bool retry_with_new_token();

private:
    enum class Phase { idle, authenticating, requesting };

    void write_request();
    bool connect(const std::string& address);
    void close_socket();

    void on_reply(int status, const std::string& body) override;
    void on_stream_message(std::string_view message) override;
    void on_message_too_long() override;
    void on_reply_too_long() override;
    void on_request_failed(const RequestFailure& failure) override;

    EventLoop& event_loop_;
    ReplyHandler& reply_handler_;
    const Settings& settings_;
    MemberIndex member_;
    etcd::Request request_;
    ReplyForm reply_form_ = ReplyForm::whole;
    Phase phase_ = Phase::idle;
    std::string token_;
    bool token_renewed_ = false;  // whether the pending request has been repeated with a new token
    std::shared_ptr<RegistrySocket> socket_;
    ScopedTimer failure_timer_;
};

}  // namespace irismux::registry
