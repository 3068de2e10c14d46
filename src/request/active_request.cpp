#include "request/active_request.hpp"

#include <algorithm>
#include <utility>

namespace irismux {

ActiveRequest::ActiveRequest(ResponseSender& response_sender, ClientStream stream,
                             ClientRequest client_request)
    : response_sender_(response_sender), client_stream_(stream), client_request_(std::move(client_request)) {}

void ActiveRequest::shorten_deadline(TimePoint deadline) {
    client_request_.request.deadline = std::min(client_request_.request.deadline, deadline);
}

std::size_t ActiveRequest::add_attempt(Attempt attempt) {
    attempts_.push_back(std::move(attempt));
    return attempts_.size() - 1;
}

bool ActiveRequest::claim_final_response() {
    if (answered_) return false;
    answered_ = true;
    return true;
}

bool ActiveRequest::respond(const AttemptEnd& end) {
    if (!claim_final_response()) return false;
    response_sender_.send_response(client_stream_, end.body, end.not_modified);
    return true;
}

bool ActiveRequest::reject(Duration retry_after) {
    if (!claim_final_response()) return false;
    response_sender_.send_rejection(client_stream_, retry_after);
    return true;
}

bool ActiveRequest::fail() {
    if (!claim_final_response()) return false;
    response_sender_.send_failure(client_stream_);
    return true;
}

void ActiveRequest::delay_reuse_until(TimePoint time) {
    reuse_delayed_until_ = std::max(reuse_delayed_until_, time);
}

bool ActiveRequest::finished() const {
    return answered_ && std::all_of(attempts_.begin(), attempts_.end(), [](const Attempt& attempt) {
               return attempt.state == AttemptState::reported;
           });
}

bool ActiveRequest::has_unreported_result() const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const Attempt& attempt) { return attempt.state == AttemptState::ended; });
}

}  // namespace irismux
