#include "fleet/tenure.hpp"

namespace irismux::fleet {

std::string_view word_of(Tenancy t) {
    constexpr std::string_view words[] = {"idle", "seeking", "owning", "resting", "lost"};
    return words[static_cast<std::size_t>(t)];
}

Tenancy Tenure::enter(const Grounds& g) {
    const bool had = tenancy_ == Tenancy::owning || tenancy_ == Tenancy::resting;
    if (g.named && g.in_term)
        tenancy_ = g.near_end ? Tenancy::resting : Tenancy::owning;
    else if (had || (g.named && tenancy_ == Tenancy::lost))
        tenancy_ = Tenancy::lost;
    else
        tenancy_ = g.wanted && g.in_term ? Tenancy::seeking : Tenancy::idle;
    return tenancy_;
}

}  // namespace irismux::fleet
