#include "net/outstanding_responses.hpp"

#include <algorithm>

namespace irismux {

ResponseConflict OutstandingResponses::begin(const ClientRequestId& id, AttemptId attempt, TimePoint now) {
    const ResponseConflict found = conflict(id, attempt.request, now);
    if (found != ResponseConflict::none) return found;
    if (entries_.size() >= erase_threshold_) erase_over(now);
    entries_[id] = {.attempt = attempt};
    return ResponseConflict::none;
}

ResponseConflict OutstandingResponses::conflict(const ClientRequestId& id, RequestId request,
                                                TimePoint now) const {
    const auto it = entries_.find(id);
    if (it == entries_.end() || is_over(it->second, now)) return ResponseConflict::none;
    return it->second.attempt.request == request ? ResponseConflict::same_request
                                                 : ResponseConflict::other_request;
}

void OutstandingResponses::on_taken_back(const ClientRequestId& id, AttemptId attempt) {
    if (find(id, attempt)) entries_.erase(id);
}

void OutstandingResponses::on_cancelled(const ClientRequestId& id, AttemptId attempt) {
    Entry* const entry = find(id, attempt);
    if (!entry || entry->state != State::outstanding) return;
    entry->state = State::abandoned;
    ++abandoned_;
}

void OutstandingResponses::on_response(const ClientRequestId& id, TimePoint copies_until) {
    const auto it = entries_.find(id);
    if (it == entries_.end()) return;
    Entry& entry = it->second;
    if (entry.state == State::abandoned) --abandoned_;
    entry.state = State::answered;
    entry.copies_until = copies_until;
}

bool OutstandingResponses::is_over(const Entry& entry, TimePoint now) {
    return entry.state == State::answered && now >= entry.copies_until;
}

OutstandingResponses::Entry* OutstandingResponses::find(const ClientRequestId& id, AttemptId attempt) {
    const auto it = entries_.find(id);
    return it != entries_.end() && it->second.attempt == attempt ? &it->second : nullptr;
}

void OutstandingResponses::erase_over(TimePoint now) {
    std::erase_if(entries_, [&](const auto& entry) { return is_over(entry.second, now); });
    erase_threshold_ = std::max(entries_.size() * 2, min_erase_threshold);
}

}  // namespace irismux
