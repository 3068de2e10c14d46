#include "request/active_request.hpp"

#include <algorithm>
#include <utility>

namespace irismux {

Exchange::Exchange(Clients& clients, Caller caller, Asked asked)
    : clients_(clients), caller_(caller), asked_(std::move(asked)) {}

std::size_t Exchange::add(Send send) {
    sends_.push_back(std::move(send));
    return sends_.size() - 1;
}

bool Exchange::satisfy(const End& end) {
    if (std::exchange(answered_, true)) return false;
    clients_.satisfied(caller_, end.body, end.client_copy_holds);
    return true;
}

bool Exchange::nack(Span come_back_in) {
    if (std::exchange(answered_, true)) return false;
    clients_.nacked(caller_, come_back_in);
    return true;
}

bool Exchange::fail() {
    if (std::exchange(answered_, true)) return false;
    clients_.failed(caller_);
    return true;
}

bool Exchange::over() const {
    return answered_ && std::all_of(sends_.begin(), sends_.end(), [](const Send& s) { return s.told; });
}

bool Exchange::has_used(std::uint64_t link) const {
    return std::any_of(sends_.begin(), sends_.end(), [&](const Send& s) { return s.link == link; });
}

bool Exchange::owes_word() const {
    return std::any_of(sends_.begin(), sends_.end(), [](const Send& s) { return s.ended && !s.told; });
}

}  // namespace irismux
