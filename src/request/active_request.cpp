#include "request/active_request.hpp"

#include <algorithm>
#include <utility>

namespace irismux {

ActiveRequest::ActiveRequest(ResponseSender& clients, ClientStream caller, ClientRequest asked)
    : response_sender_(clients), client_stream_(caller), client_request_(std::move(asked)) {}

std::size_t ActiveRequest::add_attempt(Attempt send) {
    attempts_.push_back(std::move(send));
    return attempts_.size() - 1;
}

bool ActiveRequest::respond(const AttemptEnd& end) {
    if (std::exchange(answered_, true)) return false;
    response_sender_.send_response(client_stream_, end.body, end.not_modified);
    return true;
}

bool ActiveRequest::reject(Duration come_back_in) {
    if (std::exchange(answered_, true)) return false;
    response_sender_.send_rejection(client_stream_, come_back_in);
    return true;
}

bool ActiveRequest::fail() {
    if (std::exchange(answered_, true)) return false;
    response_sender_.send_failure(client_stream_);
    return true;
}

bool ActiveRequest::finished() const {
    return answered_ && std::all_of(attempts_.begin(), attempts_.end(),
                                    [](const Attempt& s) { return s.router_notified; });
}

bool ActiveRequest::has_used_connection(std::uint64_t link) const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [&](const Attempt& s) { return s.connection == link; });
}

bool ActiveRequest::has_unreported_result() const {
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const Attempt& s) { return s.ended && !s.router_notified; });
}

}  // namespace irismux
