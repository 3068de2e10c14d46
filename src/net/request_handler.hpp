// Who serves the requests that clients send.
#pragma once

#include "request/active_request.hpp"

namespace irismux {

class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    enum class Admission {
        accepted,   ///< the response follows through the server's ResponseSender
        id_in_use,  ///< another request with this id is open on the connection
        duplicate   ///< the same request is open or was run before
    };
    /// A whole request has come. The response may be sent from within this call.
    virtual Admission on_client_request(const ClientStream&, ClientRequest) = 0;
    /// The client of an accepted request has gone, or has taken it back: no response can reach it any more.
    virtual void on_client_closed(const ClientStream&) = 0;
};

}  // namespace irismux
