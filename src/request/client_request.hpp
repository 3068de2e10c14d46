// A client's request and the interface through which its response is sent.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "irismux/request.hpp"

namespace irismux {

/// Identifies one request on a client's connection. Clients choose FastCGI request ids and reuse them, so the
/// sequence number distinguishes a stream from earlier streams with the same id.
struct ClientStream {
    std::uint64_t connection = 0;
    std::uint16_t fastcgi_request = 0;
    std::uint64_t sequence = 0;  ///< number of the stream on its connection
    auto operator<=>(const ClientStream&) const = default;
};

struct ClientRequest {
    Request request;                    ///< the id is set when the request is admitted
    ClientRequestId client_request_id;  ///< passed on to caches
    std::string kind_name;
    std::string object_part;
    std::string client_etag;      ///< ETag of the client's copy
    std::string idempotency_key;  ///< empty if the request has no key
    std::string body;
};

/// Sends final responses to clients. A response to a stream that no longer exists is discarded.
class ResponseSender {
public:
    virtual ~ResponseSender() = default;
    /// Sends the response of a cache.
    /// @param not_modified the client's copy is still valid, so no body is needed
    virtual void send_response(const ClientStream& stream, std::string_view body, bool not_modified) = 0;
    /// Reports that the request is refused and has had no effect.
    /// @param retry_after how long the client should wait before it retries; zero if not specified
    virtual void send_rejection(const ClientStream& stream, Duration retry_after) = 0;
    /// Reports that the request has failed. It is unknown whether the request has had an effect.
    virtual void send_failure(const ClientStream& stream) = 0;
};

}  // namespace irismux
