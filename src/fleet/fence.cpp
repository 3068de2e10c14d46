#include "fleet/fence.hpp"

#include <nlohmann/json.hpp>

namespace irismux::fleet {

using nlohmann::json;

FencingToken Fence::conflicting_token(const DutyName& duty, const LeaseHolder& holder) const {
    const auto it = holders_.find(duty);
    if (it == holders_.end() || holder.token > it->second.token || holder == it->second)
        return FencingToken{};
    return it->second.token;
}

bool Fence::accepts(const DutyName& duty, const LeaseHolder& holder) {
    return (holders_.contains(duty) || holder.token > highest_forgotten_) && on_record(duty, holder);
}

void Fence::forget(const DutyName& duty) {
    const auto it = holders_.find(duty);
    if (it == holders_.end()) return;
    highest_forgotten_ = std::max(highest_forgotten_, it->second.token);
    holders_.erase(it);
}

bool Fence::on_record(const DutyName& duty, const LeaseHolder& holder) {
    if (holder.token == FencingToken{} || conflicting_token(duty, holder) != FencingToken{}) return false;
    if (holders_.size() >= max_duties_ && !holders_.contains(duty)) return false;
    holders_[duty] = holder;
    return true;
}

FencingToken Fence::highest(const DutyName& duty) const {
    const auto it = holders_.find(duty);
    return it == holders_.end() ? FencingToken{} : it->second.token;
}

std::string Fence::serialize() const {
    json all = json::object();
    for (const auto& [duty, holder] : holders_)
        all[duty.raw()] = {holder.token.raw(), holder.owner.raw(), holder.incarnation.raw()};
    if (highest_forgotten_ > FencingToken{}) all[""] = {highest_forgotten_.raw(), "", 0};
    return all.dump();
}

bool Fence::restore(std::string_view bytes) {
    const json all = json::parse(bytes, nullptr, false);
    if (!all.is_object()) return false;
    std::map<DutyName, LeaseHolder> read;
    for (const auto& [duty, holder] : all.items()) {
        if (!holder.is_array() || holder.size() != 3 || !holder[0].is_number_integer() ||
            !holder[1].is_string() || !holder[2].is_number_integer())
            return false;
        read[DutyName{duty}] = {FencingToken{holder[0].get<std::int64_t>()},
                                MemberName{holder[1].get<std::string>()},
                                Incarnation{holder[2].get<std::int64_t>()}};
    }
    if (const auto it = read.find(DutyName{}); it != read.end()) {
        highest_forgotten_ = std::max(highest_forgotten_, it->second.token);
        read.erase(it);
    }
    for (const auto& [duty, holder] : read) on_record(duty, holder);
    return true;
}

}  // namespace irismux::fleet
