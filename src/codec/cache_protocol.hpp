// The protocol between the gateway and caches: writes attempts, cancellations and health checks, and parses
// responses. Performs no I/O. The protocol's keywords appear only in cache_protocol.cpp.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "codec/buffer.hpp"
#include "codec/parse_status.hpp"
#include "codec/resp.hpp"
#include "irismux/attempt.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"
#include "request/active_request.hpp"

namespace irismux::cache_protocol {

/// The parts of an attempt that are sent to the cache in addition to the client's request.
struct AttemptOptions {
    const AttemptPlan* plan = nullptr;  ///< null to write no cache options
    Duration timeout;  ///< time left for the attempt; written in whole milliseconds, at least one
    Duration max_age;  ///< maximum age of the served copy; zero to let the cache decide
};
void write_attempt(Buffer& out, const ClientRequest& request, const AttemptOptions& options);
void write_cancellation(Buffer& out, const ClientRequestId& id);
/// @param tag is returned in the reply; must not be the id of a request.
void write_health_check(Buffer& out, std::string_view tag);

/// A message from a cache. Holds views into the bytes from which it was parsed.
struct Message {
    std::string_view id;  ///< a request's id or a health check's tag
    resp::Arguments arguments;
};
/// Parses the first message of `bytes` and sets `used` to its length.
/// @return ParseStatus::invalid if no message of the protocol begins with these bytes.
[[nodiscard]] ParseStatus parse_message(std::string_view bytes, Message& message, std::size_t& used);
/// Whether the reply to a health check reports that the cache is healthy.
[[nodiscard]] bool is_healthy(const Message& message);
/// Parses the response to an attempt. The body of the result is a view into the bytes of the message.
/// @return std::nullopt if the response is invalid, so that its meaning is unknown.
[[nodiscard]] std::optional<AttemptEnd> parse_response(const Message& message, const ClientRequest& request);
/// @return the id of a response that is cut off at the end of `bytes`, or std::nullopt if no response is cut
/// off there or the id of the response has not arrived.
[[nodiscard]] std::optional<ClientRequestId> find_partial_response(std::string_view bytes);

}  // namespace irismux::cache_protocol
