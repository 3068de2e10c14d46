// The protocol of caches: attempts, cancellations and health checks out, responses in. Without I/O. The
// protocol's words stand in cache_protocol.cpp alone.
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

/// What an attempt tells its cache besides the client's request.
struct AttemptOptions {
    const AttemptPlan* plan = nullptr;  ///< none: no cache options are written
    Duration timeout;                   ///< what is left of it; written in whole milliseconds, at least one
    Duration max_age;                   ///< oldest copy that may be served; zero: as the cache sees fit
};
void write_attempt(Buffer& out, const ClientRequest& request, const AttemptOptions& options);
void write_cancellation(Buffer& out, const ClientRequestId& id);
/// @param tag comes back in the reply; must not be the id of a request.
void write_health_check(Buffer& out, std::string_view tag);

/// One message of a cache. Holds views into the bytes that it was parsed from.
struct Message {
    std::string_view id;  ///< a request's id or a health check's tag
    resp::Arguments arguments;
};
/// The first message of `bytes`; `used` is its length. Invalid: no message of the protocol begins so.
[[nodiscard]] ParseStatus parse_message(std::string_view bytes, Message& message, std::size_t& used);
/// Whether the reply to a health check says that the cache is well.
[[nodiscard]] bool is_healthy(const Message& message);
/// The response to an attempt; its body is a view. None: it is not valid, and what the cache meant is
/// unknown.
[[nodiscard]] std::optional<AttemptEnd> parse_response(const Message& message, const ClientRequest& request);
/// The id of a response that broke off in the middle of `bytes`; none: none did, or its id had not come.
[[nodiscard]] std::optional<ClientRequestId> find_partial_response(std::string_view bytes);

}  // namespace irismux::cache_protocol
