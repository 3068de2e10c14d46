// Claims and hands over duties, and derives this member's leases from the duties' records.
#include <algorithm>

#include "fleet/agent.hpp"
#include "fleet/agent_timing.hpp"

namespace irismux::fleet {

// --- queries

bool Agent::may_act(TimePoint now, const DutyName& name) const {
    const auto it = duties_.all().find(name);
    return it != duties_.all().end() && record_grants_lease(now, it->second) && membership_.in_term(now) &&
           !leaving_;
}

bool Agent::may_begin_work(TimePoint now, const DutyName& name) const {
    return may_act(now, name) && !membership_.near_term_end(now);
}

FencingToken Agent::token_of(const DutyName& name) const {
    const auto it = duties_.all().find(name);
    return it != duties_.all().end() && it->second.record ? it->second.record->token : FencingToken{};
}

bool Agent::is_member(const Instance& instance) const {
    if (instance.name == identity_.name) return membership_.joined() && instance.incarnation == incarnation_;
    const auto it = membership_.members().find(instance.name);
    if (it == membership_.members().end()) return false;
    return !it->second.readable || it->second.member.incarnation == instance.incarnation;
}

// Returns whether the record names this exact instance.
bool Agent::owned_here(const Duties::Duty& duty) const {
    return membership_.joined() && duty.record && duty.record->owner == identity_.name &&
           duty.record->incarnation == incarnation_;
}

// Returns whether the record names this instance and is known to be current.
bool Agent::record_grants_lease(TimePoint now, const Duties::Duty& duty) const {
    return owned_here(duty) && duty.wanted && duty.record->token > duty.given_up &&
           !membership_.in_grace_period(now);
}

// Returns whether the duty was never owned, was given up, or its owner is no longer a member.
bool Agent::unowned(const Duties::Duty& duty) const {
    if (!duty.known || (duty.text && !duty.record)) return false;
    if (!duty.record || duty.record->owner.raw().empty()) return true;
    if (duty.record->owner == identity_.name) return !owned_here(duty) || duty.record->token <= duty.given_up;
    return !is_member({duty.record->owner, duty.record->incarnation});
}

std::size_t Agent::rank(TimePoint now, const DutyName& name, const Duties::Duty& duty, bool settled) const {
    const bool released_by_us = duty.released_instance && *duty.released_instance == self();
    std::size_t ahead = 0;
    for (const auto& [other, member] : membership_.members()) {
        if (membership_.suspected(member) || (settled && !membership_.settled(now, member))) continue;
        if (duty.released_instance && duty.released_instance->name == other &&
            is_member(*duty.released_instance))
            continue;
        ahead += released_by_us || Duties::ranks_before(name, other, identity_.name);
    }
    return ahead;
}

FencingToken Agent::highest_refused_by_others(const DutyName& name) const {
    FencingToken highest;
    for (const auto& [other, member] : membership_.members())
        if (const auto it = member.member.refused_tokens.find(name); it != member.member.refused_tokens.end())
            highest = std::max(highest, it->second);
    return highest;
}

// Returns a token above every token that this duty can have had. If the duty's record was removed, the token
// in the record was at most the floor.
FencingToken Agent::next_token(const DutyName& name, const Duties::Duty& duty) const {
    FencingToken recorded;
    if (duty.record)
        recorded = duty.record->token;
    else if (token_floor_)
        recorded = parse_floor(*token_floor_);
    const FencingToken highest =
        std::max({recorded, duty.given_up, fence_.highest(name), highest_refused_by_others(name)});
    return FencingToken{highest.raw() + 1};
}

LeaseConditions Agent::lease_conditions(TimePoint now, const DutyName& name, const Duties::Duty& duty) const {
    LeaseConditions conditions;
    conditions.record_names_us = record_grants_lease(now, duty);
    conditions.in_term = membership_.in_term(now) && !leaving_;
    conditions.near_term_end = membership_.near_term_end(now);
    conditions.should_claim =
        !conditions.record_names_us && duty.wanted && unowned(duty) && rank(now, name, duty, false) == 0;
    return conditions;
}

// --- records

void Agent::on_duty_record(const DutyName& name, const Duties::Duty& duty) {
    if (duty.text && !duty.record) return observer_->on_event(DutyRecordUnreadable{name});
    if (!duty.text) fence_.forget(name);
    if (!duty.record || duty.record->owner.raw().empty()) return;
    const LeaseHolder holder{duty.record->token, duty.record->owner, duty.record->incarnation};
    const FencingToken seen = fence_.conflicting_token(name, holder);
    if (seen != FencingToken{}) return on_lower_token(name, holder.token, seen);
    fence_.on_record(name, holder);
    refused_tokens_.erase(name);
}

// Called if the duty's record has a lower token than this member has seen, because the registry was restored
// from a backup. This member publishes the highest token seen, and the owner then claims the duty again under
// a higher token.
void Agent::on_lower_token(const DutyName& name, FencingToken shown, FencingToken seen) {
    if (refused_tokens_.size() < max_published_refusals || refused_tokens_.contains(name))
        refused_tokens_[name] = seen;
    observer_->on_event(FencingTokenRegressed{name, shown, seen});
}

void Agent::update_leases(TimePoint now) {
    for (auto& [name, duty] : duties_.all()) {
        if (!unowned(duty))
            duty.unowned_since.reset();
        else if (!duty.unowned_since)
            duty.unowned_since = now;
        const LeaseState before = duty.lease.state();
        const LeaseState after = duty.lease.update(lease_conditions(now, name, duty));
        if (after != before && duty.wanted) observer_->on_lease_state(name, after, token_of(name));
    }
}

// --- claims and handovers

bool Agent::next_duty(TimePoint now) {
    if (membership_.in_grace_period(now)) return false;
    auto& all = duties_.all();
    for (auto it = all.begin(); it != all.end();) {
        auto& [name, duty] = *it;
        if (!duty.wanted && !owned_here(duty)) {
            const DutyName finished = name;
            ++it;
            duties_.remove(finished);
            continue;
        }
        if (advance_duty(now, name, duty)) return true;
        ++it;
    }
    return false;
}

bool Agent::advance_duty(TimePoint now, const DutyName& name, Duties::Duty& duty) {
    if (!duty.wanted) {
        give_up_duty(now, name, duty);
        return true;
    }
    if (unowned(duty)) {
        const auto before_us = static_cast<double>(rank(now, name, duty, false));
        const Duration delay =
            membership_.heartbeat_interval() * (claim_delay_intervals_per_rank * before_us);
        if (now - *duty.unowned_since < delay) return false;
        claim_duty(now, name, duty);
        return true;
    }
    if (!owned_here(duty)) return false;
    // Other members refuse the owner's token. The owner replaces the token by one that is higher than all
    // tokens that the other members have seen.
    if (highest_refused_by_others(name) > duty.record->token) {
        claim_duty(now, name, duty);
        return true;
    }
    // The owner hands the duty to the first member in the order once that member has been in the fleet for
    // long enough. The owner hands over at most one duty per heartbeat interval.
    if (now < next_give_up_at_ || rank(now, name, duty, true) == 0) return false;
    give_up_duty(now, name, duty);
    return true;
}

void Agent::claim_duty(TimePoint now, const DutyName& name, const Duties::Duty& duty) {
    const Key key = duty_key(name);
    const DutyRecord claim{next_token(name, duty), identity_.name, incarnation_};
    Transaction transaction{{own_heartbeat(), {key, duty.text}}, {{key, serialize(claim)}}, {}};
    // The transaction itself checks that the former owner is no longer a member.
    if (duty.record && !duty.record->owner.raw().empty() && duty.record->owner != identity_.name) {
        const auto it = membership_.members().find(duty.record->owner);
        const RecordValue member =
            it == membership_.members().end() ? RecordValue{} : RecordValue{it->second.text};
        transaction.compares.emplace_back(member_key(duty.record->owner), member);
    }
    // If the duty's record was removed, its tokens were at most the floor. The transaction checks that the
    // floor has not changed since this member read it.
    if (!duty.text) transaction.compares.emplace_back(floor_key(), token_floor_);
    submit(now, Purpose::claim, std::move(transaction));
}

// From here on this member does nothing under the duty's token, whatever the outcome of the transaction that
// gives the duty up.
void Agent::give_up_duty(TimePoint now, const DutyName& name, Duties::Duty& duty) {
    duty.given_up = duty.record->token;
    if (duty.wanted) next_give_up_at_ = now + membership_.heartbeat_interval();
    update_leases(now);
    const Key key = duty_key(name);
    const DutyRecord given_up{duty.record->token, MemberName{}, Incarnation{}};
    submit(now, Purpose::give_up, {{own_heartbeat(), {key, duty.text}}, {{key, serialize(given_up)}}, {}});
}

}  // namespace irismux::fleet
