// Why a request to a registry member brought no usable reply.
#pragma once

#include <string>
#include <string_view>

namespace irismux::registry {

enum class RequestFailureReason {
    connect_failed,         ///< no connection attempt was possible
    connection_lost,        ///< closed or reset before the reply was complete
    malformed_http,         ///< not HTTP/1.1 with a length or chunks
    unexpected_data,        ///< bytes on a connection without a pending request
    reply_too_long,         ///< a reply over max_reply_bytes
    record_too_long,        ///< one record alone is over max_reply_bytes
    authentication_failed,  ///< no token for this user and password
    error_reply,            ///< an error reported by the member, or a reply that cannot be parsed
    watch_refused,          ///< a reply in place of a watch stream
    watch_cancelled,        ///< cancelled by the member
    watch_ended,            ///< the stream ended without a cancellation
    empty_page,             ///< a page without records that announces more
    reply_timeout,          ///< no reply within PollPolicy::reply_timeout
    watch_timeout           ///< an open watch brought nothing within PollPolicy::watch_timeout
};

/// The reason in snake_case, for the log.
std::string_view to_string(RequestFailureReason reason);

/// The request may have been carried out or not.
struct RequestFailure {
    RequestFailureReason reason = RequestFailureReason::connection_lost;
    std::string detail;  ///< the member's own message, if there is one
};

}  // namespace irismux::registry
