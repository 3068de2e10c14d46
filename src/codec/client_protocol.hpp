// The protocol between clients and the gateway: parses requests from FastCGI parameters and builds the heads
// of responses. Performs no I/O. The protocol's keywords appear only in client_protocol.cpp.
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

/// An object kind that clients may request.
struct ServedKind {
    ObjectKindIndex index;
    Duration deadline;  ///< the longest timeout that a client may request
    bool is_write = false;
};
/// The object kinds by the name that clients use.
using ServedKinds = std::map<std::string, ServedKind>;

}  // namespace irismux

namespace irismux::client_protocol {

constexpr std::size_t max_body_bytes = 48'000;
/// Maximum size of the parameters that arrive with one request. This is enough for the parameters of this
/// protocol and for all other parameters that a web server passes on.
constexpr std::size_t max_parameter_bytes = 16'384;
constexpr std::size_t max_open_requests = 32;  ///< maximum number of open requests on one connection

/// Why a client's request is refused before it reaches the router.
enum class RequestError {
    record_too_long,        ///< a FastCGI record is longer than the longest allowed body
    parameters_too_long,    ///< the parameters are longer than max_parameter_bytes
    body_too_long,          ///< the body is longer than max_body_bytes
    incomplete_in_time,     ///< the rest of the request did not arrive in time
    request_memory_full,    ///< the memory for requests is exhausted
    unreadable_parameters,  ///< the parameters are truncated or are not name-value pairs
    unknown_path,
    unknown_kind,
    invalid_field,     ///< a field is missing, malformed, out of range, or given twice
    connections_full,  ///< the connection is needed for another client
    id_in_use,         ///< another request with this id is open
    duplicate_request  ///< an equal request is open or was run before
};
/// Returns the name of the error for logs, in snake_case.
[[nodiscard]] std::string_view to_string(RequestError error);
/// Returns the HTTP status that the client gets.
[[nodiscard]] int status_code(RequestError error);

/// A request that checks whether the process is alive.
struct HealthCheck {};

using ParsedRequest = std::variant<ClientRequest, HealthCheck, RequestError>;

/// Parses a request and checks every field against the protocol and the settings. The RequestId is left
/// unset.
/// @param parameters the whole PARAMS stream.
/// @param now the time from which the deadline is counted.
[[nodiscard]] ParsedRequest parse_request(std::string_view parameters, std::string body,
                                          const ServedKinds& kinds, TimePoint now);

/// These functions return the heads of responses, up to and including the empty line.
[[nodiscard]] std::string response_head(std::size_t body_bytes);
[[nodiscard]] std::string not_modified_head();
/// @param retry_after is rounded up to milliseconds; zero to send no retry time.
[[nodiscard]] std::string rejection_head(Duration retry_after);
[[nodiscard]] std::string failure_head();
[[nodiscard]] std::string healthy_head();
[[nodiscard]] std::string error_head(RequestError error);

/// Returns the content of the reply to FCGI_GET_VALUES.
/// @param requested the requested names, as pairs with empty values.
[[nodiscard]] std::variant<std::string, RequestError> get_values_reply(std::string_view requested,
                                                                       std::size_t max_connections);

}  // namespace irismux::client_protocol
