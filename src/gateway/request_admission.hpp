// Which client requests are admitted beside those that are open: the rules for ids that are used twice and
// for requests that are sent twice. docs/architecture.md has the table of cases.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "irismux/deployment.hpp"
#include "net/fastcgi_server.hpp"
#include "request/active_request.hpp"
#include "request/duplicate_request_filter.hpp"

namespace irismux {

class RequestAdmission {
public:
    explicit RequestAdmission(const Deployment& deployment);

    /// Whether the request is run. It is remembered if it is; Request::id must be set.
    [[nodiscard]] RequestHandler::Admission admit(const ClientStream& stream, const ClientRequest& request,
                                                  TimePoint now);
    /// The request has its final response, or its client is gone: its id may be used again on its connection.
    /// @param without_effect it was rejected without having run, so the same request may come again.
    void release(const ActiveRequest& request, bool without_effect);

private:
    bool is_non_idempotent(ObjectKindIndex kind) const;

    std::vector<Effect> effects_;  // by ObjectKindIndex
    Duration longest_deadline_;
    // Requests without a final response, by the client's connection and id.
    std::map<std::pair<std::uint64_t, ClientRequestId>, RequestId> open_client_request_ids_;
    DuplicateRequestFilter duplicate_filter_;
};

/// The longest deadline of any object kind.
[[nodiscard]] Duration longest_deadline(const Deployment& deployment);

}  // namespace irismux
