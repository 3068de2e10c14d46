// Receives the replies to requests to a registry member.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "registry/request_failure.hpp"

namespace irismux::registry {

/// Size limit of a whole reply and of one message of a stream, however they are divided into chunks.
constexpr std::size_t max_reply_bytes = 1 << 20;

/// The form in which a reply is read: as a whole, or as a stream of messages that does not end.
enum class ReplyForm { whole, stream };

/// These functions are never called from within a call that sends a request or closes the connection.
class ReplyHandler {
public:
    virtual ~ReplyHandler() = default;
    virtual void on_reply(int status, const std::string& body) = 0;
    /// Receives one message of a stream. The stream continues.
    virtual void on_stream_message(std::string_view message) = 0;
    /// Called if a message of a stream exceeds max_reply_bytes.
    virtual void on_message_too_long() = 0;
    /// Called if the reply exceeds max_reply_bytes. The same request would lead to the same reply again.
    virtual void on_reply_too_long() { on_request_failed({RequestFailureReason::reply_too_long, {}}); }
    virtual void on_request_failed(const RequestFailure& failure) = 0;
};

}  // namespace irismux::registry
