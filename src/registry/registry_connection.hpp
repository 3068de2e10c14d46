// One question at a time to one member of a registry: its connection, who asks, and the answer. Decides
// nothing.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"
#include "registry/etcd_codec.hpp"
#include "registry/settings.hpp"

namespace irismux::registry {

// Of an answer, and of a message of a stream, whatever the chunks that they come in.
constexpr std::size_t max_reply_bytes = 1 << 20;

// Who hears what comes of a question. Never called from within ask(), hang_up() or with_a_new_token().
class ReplyHandler {
public:
    virtual ~ReplyHandler() = default;
    virtual void on_reply(int status, const std::string& body) = 0;  // whole
    virtual void on_stream_message(std::string_view message) = 0;    // one of a stream, which goes on
    virtual void on_message_too_long() = 0;                          // a message of a stream
    // An answer that is not read to its end. Asked for again as it was, it would come again.
    virtual void on_reply_too_long() { on_connection_lost("an answer that is too long"); }
    virtual void on_connection_lost(const char* why) = 0;  // what was asked may have been done or not
};

class RegistrySocket;

class RegistryConnection {
public:
    // The settings must outlive it.
    RegistryConnection(EventLoop& loop, ReplyHandler& replies, const Settings& settings);
    ~RegistryConnection();
    RegistryConnection(const RegistryConnection&) = delete;
    RegistryConnection& operator=(const RegistryConnection&) = delete;

    // Replaces the question before, whose answer is not told any more.
    void send_request(MemberIndex member, etcd::Request request, bool stream);
    void close();
    // What was asked has been refused: asks it again under a new token, once each question. False: it can't
    // be.
    bool retry_with_new_token();

private:
    friend class RegistrySocket;
    void write_request();
    void on_reply(int status, const std::string& body);
    void on_refused();

    EventLoop& event_loop_;
    ReplyHandler& reply_handler_;
    const Settings& settings_;
    MemberIndex member_;
    etcd::Request request_;
    bool stream_ = false, request_pending_ = false;
    std::string token_;
    bool authenticating_ = false;
    bool token_tried_ = false;  // the question at hand was refused with a new token already
    EventLoop::Timer failure_timer_{};
    std::shared_ptr<RegistrySocket> socket_;
};

}  // namespace irismux::registry
