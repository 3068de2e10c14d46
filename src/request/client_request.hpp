// What a client has asked for, and where its response goes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "irismux/request.hpp"

namespace irismux {

/// One request on a client's connection. Clients choose FastCGI request ids and use them again, so a stream
/// is told apart from earlier ones by its sequence number.
struct ClientStream {
    std::uint64_t connection = 0;
    std::uint16_t fastcgi_request = 0;
    std::uint64_t sequence = 0;  ///< counted on the connection
    auto operator<=>(const ClientStream&) const = default;
};

struct ClientRequest {
    Request request;                    ///< its id is set when it is admitted
    ClientRequestId client_request_id;  ///< passed on to caches
    std::string kind_name;
    std::string object_part;
    std::string client_etag;      ///< of the copy that the client has
    std::string idempotency_key;  ///< empty: none
    std::string body;
};

/// Writes final responses to clients. Streams that are gone are ignored.
class ResponseSender {
public:
    virtual ~ResponseSender() = default;
    /// @param not_modified the client's copy is still valid, so no body is needed.
    virtual void send_response(const ClientStream& stream, std::string_view body, bool not_modified) = 0;
    /// The request is refused and has had no effect.
    /// @param retry_after zero: not said.
    virtual void send_rejection(const ClientStream& stream, Duration retry_after) = 0;
    /// The request has failed and may have had an effect.
    virtual void send_failure(const ClientStream& stream) = 0;
};

}  // namespace irismux
