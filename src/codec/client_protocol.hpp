// The protocol of clients: what FastCGI parameters ask for, and the heads of responses. Without I/O. The
// protocol's words stand in client_protocol.cpp alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"
#include "request/active_request.hpp"

namespace irismux {

/// An object kind as clients may request it.
struct ServedKind {
    ObjectKindIndex index;
    Duration deadline;  ///< the longest that a client may ask for
    bool is_write = false;
};
/// By the name that clients use.
using ServedKinds = std::map<std::string, ServedKind>;

}  // namespace irismux

namespace irismux::client_protocol {

constexpr std::size_t max_body_bytes = 48'000;
/// Enough for the parameters of a request and whatever else a web server passes on.
constexpr std::size_t max_parameter_bytes = 16'384;
constexpr std::size_t max_open_requests = 32;  ///< on one connection

/// Why a client's request is refused before it reaches the router.
enum class RequestError {
    record_too_long,        ///< a FastCGI record longer than any body
    parameters_too_long,    ///< more than max_parameter_bytes
    body_too_long,          ///< more than max_body_bytes
    incomplete_in_time,     ///< the rest of it has not come
    request_memory_full,    ///< the memory for requests is in use
    unreadable_parameters,  ///< cut off, or not name-value pairs
    unknown_path,
    unknown_kind,
    invalid_field,     ///< missing, malformed, out of range, or given twice
    id_in_use,         ///< another request with this id is open on the connection
    duplicate_request  ///< the same request is open or was run before
};
/// For logs, in snake_case.
[[nodiscard]] std::string_view to_string(RequestError error);
/// The HTTP status that the client gets.
[[nodiscard]] int status_code(RequestError error);

/// A request that asks whether the process is alive.
struct HealthCheck {};

using ParsedRequest = std::variant<ClientRequest, HealthCheck, RequestError>;

/// Reads a request and checks every field against the protocol and the settings. Its RequestId stays unset.
/// @param parameters the whole PARAMS stream.
/// @param now what its deadline counts from.
[[nodiscard]] ParsedRequest parse_request(std::string_view parameters, std::string body,
                                          const ServedKinds& kinds, TimePoint now);

/// Heads of responses, up to and with the empty line.
[[nodiscard]] std::string response_head(std::size_t body_bytes);
[[nodiscard]] std::string not_modified_head();
/// @param retry_after rounded up to milliseconds; zero: not said.
[[nodiscard]] std::string rejection_head(Duration retry_after);
[[nodiscard]] std::string failure_head();
[[nodiscard]] std::string healthy_head();
[[nodiscard]] std::string error_head(RequestError error);

/// The content of the reply to FCGI_GET_VALUES.
/// @param requested the names that were asked for, as pairs with empty values.
[[nodiscard]] std::variant<std::string, RequestError> get_values_reply(std::string_view requested,
                                                                       std::size_t max_connections);

}  // namespace irismux::client_protocol
