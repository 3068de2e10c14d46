// Decides whether a client request is admitted while other requests are open. Holds the rules for ids that
// are used twice and for requests that are sent twice; docs/connections.md has the table of cases.
#pragma once

#include <map>
#include <vector>

#include "irismux/deployment.hpp"
#include "net/fastcgi_server.hpp"
#include "request/active_request.hpp"
#include "request/duplicate_request_filter.hpp"

namespace irismux {

class RequestAdmission {
public:
    explicit RequestAdmission(const Deployment& deployment);

    /// Decides whether the request is run. If the request is accepted, this object remembers the request.
    /// Request::id must be set.
    [[nodiscard]] RequestHandler::Admission admit(const ClientRequest& request, TimePoint now);
    /// Must be called once the request has its final response or its client has disconnected. After this call
    /// a new request may use the client request id again.
    /// @param without_effect true if the request was rejected without having run. In this case a repetition
    /// of the request is accepted.
    void release(const ActiveRequest& request, bool without_effect);

private:
    bool is_non_idempotent(ObjectKindIndex kind) const;

    std::vector<Effect> effects_;  // by ObjectKindIndex
    Duration longest_deadline_;
    // Requests without a final response.
    std::map<ClientRequestId, RequestId> open_client_request_ids_;
    DuplicateRequestFilter duplicate_filter_;
};

/// The longest deadline of any object kind.
[[nodiscard]] Duration longest_deadline(const Deployment& deployment);

}  // namespace irismux
