#include "gateway/request_admission.hpp"

#include <algorithm>

namespace irismux {

Duration longest_deadline(const Deployment& deployment) {
    Duration longest;
    for (const ObjectKind& kind : deployment.kinds) longest = std::max(longest, kind.deadline);
    return longest;
}

RequestAdmission::RequestAdmission(const Deployment& deployment)
    : longest_deadline_(longest_deadline(deployment)) {
    for (const ObjectKind& kind : deployment.kinds) effects_.push_back(kind.effect);
}

bool RequestAdmission::is_non_idempotent(ObjectKindIndex kind) const {
    return effects_[kind.raw()] == Effect::non_idempotent;
}

// At most one open request has a given client request id, whatever connection it comes on. A repeated
// non-idempotent request is refused for longer: until the first request's deadline plus the longest deadline
// of any object kind.
RequestHandler::Admission RequestAdmission::admit(const ClientRequest& client_request, TimePoint now) {
    const ClientRequestId& id = client_request.client_request_id;
    if (open_client_request_ids_.contains(id)) return RequestHandler::Admission::id_in_use;
    const Request& request = client_request.request;
    const RequestFingerprint fingerprint{id, client_request.kind_name, request.object.raw(),
                                         client_request.object_part, client_request.body};
    const Duration remembered_after_deadline =
        is_non_idempotent(request.kind) ? longest_deadline_ : Duration{};
    if (!duplicate_filter_.accept(fingerprint, request.id, request.deadline + remembered_after_deadline, now))
        return RequestHandler::Admission::duplicate;
    open_client_request_ids_[id] = request.id;
    return RequestHandler::Admission::accepted;
}

void RequestAdmission::release(const ActiveRequest& request, bool without_effect) {
    const auto open = open_client_request_ids_.find(request.client_request_id());
    if (open != open_client_request_ids_.end() && open->second == request.id())
        open_client_request_ids_.erase(open);
    if (without_effect || !is_non_idempotent(request.client_request().request.kind))
        duplicate_filter_.forget_request(request.id());
}

}  // namespace irismux
