// One request at a time to one member of a registry, with its connection and its authentication token. Which
// request goes to which member is up to the caller.
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
    /// All three must outlive it.
    RegistryConnection(EventLoop& loop, ReplyHandler& handler, const Settings& settings);
    ~RegistryConnection() override;
    RegistryConnection(const RegistryConnection&) = delete;
    RegistryConnection& operator=(const RegistryConnection&) = delete;

    /// Replaces the pending request, whose reply is not passed on any more.
    void send_request(MemberIndex member, etcd::Request request, ReplyForm form);
    /// Drops the pending request and closes the connection.
    void close();
    /// Repeats a request that was refused for its token, with a new one; at most once per request.
    /// @return false if it cannot be repeated.
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
    bool token_renewed_ = false;  // for the pending request
    std::shared_ptr<RegistrySocket> socket_;
    ScopedTimer failure_timer_;
};

}  // namespace irismux::registry
