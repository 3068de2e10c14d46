#include "fleet/duties.hpp"

#include <xxhash.h>

#include <algorithm>

namespace irismux::fleet {
namespace {

// The hashes of both names are hashed once more together, so that no two duties share an order.
std::uint64_t score(const DutyName& duty, const MemberName& member) {
    const std::uint64_t both[] = {XXH64(duty.raw().data(), duty.raw().size(), 0),
                                  XXH64(member.raw().data(), member.raw().size(), 0)};
    return XXH64(both, sizeof both, 0);
}

}  // namespace

bool Duties::set_names(const std::set<DutyName>& names) {
    for (auto& [name, duty] : all_) duty.wanted = names.contains(name);
    bool all_followed = true;
    for (const DutyName& name : names) {
        const bool room = all_.size() + given_up_.size() < max_duties;
        all_followed = all_followed && (room || all_.contains(name));
        if (!room) continue;
        const auto [it, inserted] = all_.try_emplace(name);
        if (const auto former = given_up_.find(name); inserted && former != given_up_.end()) {
            it->second.given_up = former->second;
            given_up_.erase(former);
        }
    }
    return all_followed;
}

void Duties::remove(const DutyName& name) {
    const auto it = all_.find(name);
    if (it == all_.end()) return;
    if (it->second.given_up > FencingToken{}) given_up_[name] = it->second.given_up;
    all_.erase(it);
}

bool Duties::on_record(registry::Revision at, const DutyName& name, const std::optional<std::string>& text) {
    const auto it = all_.find(name);
    if (it == all_.end() || at < it->second.revision) return false;
    Duty& duty = it->second;
    duty.revision = at;
    if (duty.known && duty.text == text) return false;
    duty.known = true;
    duty.text = text;
    duty.record = text ? parse_duty(*text) : std::nullopt;
    return true;
}

void Duties::on_full_list(const std::set<DutyName>& listed) {
    for (auto& [name, duty] : all_) {
        duty.revision = {};
        if (!listed.contains(name)) on_record({}, name, std::nullopt);
    }
}

bool Duties::ranks_before(const DutyName& duty, const MemberName& one, const MemberName& other) {
    const std::uint64_t first = score(duty, one), second = score(duty, other);
    return first > second || (first == second && one < other);
}

std::size_t Duties::rank(const DutyName& duty, const MemberName& self,
                         const std::vector<MemberName>& others) {
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const MemberName& other) {
        return ranks_before(duty, other, self);
    }));
}

}  // namespace irismux::fleet
