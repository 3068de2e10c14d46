// Reasons why a request to a registry member did not lead to a usable reply.
#pragma once

#include <string>
#include <string_view>

namespace irismux::registry {

enum class RequestFailureReason {
    connect_failed,         ///< no connection attempt was possible
    connection_lost,        ///< closed or reset before the reply was complete
    malformed_http,         ///< the reply is not HTTP/1.1 with a length or chunks
    unexpected_data,        ///< bytes on a connection without a pending request
    reply_too_long,         ///< the reply exceeds max_reply_bytes
    record_too_long,        ///< one record alone exceeds max_reply_bytes
    authentication_failed,  ///< no token for this user and password
    error_reply,            ///< an error reported by the registry member, or a reply that cannot be parsed
    watch_refused,          ///< the registry member sent a reply instead of a watch stream
    watch_cancelled,        ///< the registry member cancelled the watch
    watch_ended,            ///< the stream ended without a cancellation
    empty_page,             ///< a page without records that announces more
    reply_timeout,          ///< no reply within PollPolicy::reply_timeout
    watch_timeout           ///< an open watch delivered nothing within PollPolicy::watch_timeout
};

/// Returns the reason in snake_case, for the log.
std::string_view to_string(RequestFailureReason reason);

/// The failure of a request, which the registry may nevertheless have carried out.
struct RequestFailure {
    RequestFailureReason reason = RequestFailureReason::connection_lost;
    std::string detail;  ///< the registry member's own message, if there is one
};

}  // namespace irismux::registry
