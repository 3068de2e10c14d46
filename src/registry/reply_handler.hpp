// Receives the replies to requests to a registry member.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "registry/request_failure.hpp"

namespace irismux::registry {

/// Limit of a whole reply, and of one message of a stream, in whatever chunks they arrive.
constexpr std::size_t max_reply_bytes = 1 << 20;

/// A whole reply, or a stream of messages that does not end.
enum class ReplyForm { whole, stream };

/// Never called from within the calls that send or close.
class ReplyHandler {
public:
    virtual ~ReplyHandler() = default;
    virtual void on_reply(int status, const std::string& body) = 0;
    /// One message of a stream, which goes on.
    virtual void on_stream_message(std::string_view message) = 0;
    /// A message of a stream is over max_reply_bytes.
    virtual void on_message_too_long() = 0;
    /// The reply is over max_reply_bytes; the same request would bring the same reply.
    virtual void on_reply_too_long() { on_request_failed({RequestFailureReason::reply_too_long, {}}); }
    virtual void on_request_failed(const RequestFailure& failure) = 0;
};

}  // namespace irismux::registry
