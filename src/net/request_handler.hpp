// The interface through which the server passes on the requests of clients.
#pragma once

#include "request/active_request.hpp"

namespace irismux {

class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    enum class Admission {
        accepted,   ///< the response follows through the server's ResponseSender
        id_in_use,  ///< another request with this id is open
        duplicate   ///< an equal request is open or was run before
    };
    /// Called for each complete request. The response may be sent from within this call.
    virtual Admission on_client_request(const ClientStream&, ClientRequest) = 0;
    /// Called if the client of an accepted request has closed the connection or aborted the request. No
    /// response can reach the client any more.
    virtual void on_client_closed(const ClientStream&) = 0;
    /// Called when the responses that clients have not read yet exceed their memory limit. No further
    /// responses should be received from caches until resume_responses() is called.
    virtual void pause_responses() = 0;
    virtual void resume_responses() = 0;
};

}  // namespace irismux
