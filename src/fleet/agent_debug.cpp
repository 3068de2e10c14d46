// Formats the Agent's state as text, for failure reports and for distinguishing states in exhaustive models.
// Ages are capped where they no longer affect behaviour, so that equal behaviour gives equal text.
#include <algorithm>

#include "fleet/agent.hpp"

namespace irismux::fleet {
namespace {

constexpr double max_shown_eviction_timeouts = 3;

// All times in the past give the same text.
std::string until(TimePoint now, TimePoint at) {
    return std::to_string(std::max((at - now).micros(), std::int64_t{-1})) + ' ';
}

}  // namespace

std::string Agent::debug_age(TimePoint now, TimePoint since) const {
    return std::to_string(
               std::min(now - since, membership_.eviction_timeout() * max_shown_eviction_timeouts).micros()) +
           ' ';
}

std::string Agent::debug_members(TimePoint now) const {
    std::string all;
    for (const auto& [name, member] : membership_.members()) {
        all += '\n' + name.raw() + ' ' + member.text + debug_age(now, member.first_seen);
        if (!member.observed) continue;
        all += member.heartbeat_text.value_or("-") + ' ';
        all += debug_age(now, member.unchanged_since) + debug_age(now, member.last_seen);
    }
    return all;
}

std::string Agent::debug_duties(TimePoint now) const {
    std::string all;
    for (const auto& [name, duty] : duties_.all()) {
        all += '\n' + name.raw() + ' ' + std::string(to_string(duty.lease.state()));
        all += (duty.known ? " k " : " u ") + duty.text.value_or("-") + std::to_string(duty.given_up.raw());
        if (duty.unowned_since) all += ' ' + debug_age(now, *duty.unowned_since);
    }
    return all;
}

std::string Agent::debug_state(TimePoint now) const {
    std::string all = std::to_string(static_cast<int>(purpose_)) + (leaving_ ? "L" : "");
    all += (membership_.joined() ? "in " : "out ") + std::to_string(incarnation_.raw()) + ' ';
    for (const TimePoint at : {membership_.term_end(), membership_.grace_period_end(), next_submit_at_,
                               next_heartbeat_at_, next_give_up_at_, reply_deadline_})
        all += until(now, at);
    all += heartbeat_text_.value_or("-") + record_text_.value_or("-");
    all += std::to_string(consecutive_timeouts_) + (join_outcome_unknown_ ? "j" : "");
    if (name_holder_)
        all += name_holder_->first.value_or("-") + name_holder_->second.value_or("-") +
               debug_age(now, name_holder_unchanged_since_);
    all += debug_members(now) + debug_duties(now) + '\n' + fence_.serialize();
    for (const auto& [name, token] : refused_tokens_) all += name.raw() + std::to_string(token.raw());
    for (const PendingWrite& write : pending_writes_) all += write.key.raw();
    for (const Key& key : keys_of_unknown_outcome_) all += key.raw();
    for (const CacheId& cache : ejected_caches_) all += cache.raw();
    all += token_floor_.value_or("-");
    return all;
}

}  // namespace irismux::fleet
