#include "fleet/membership.hpp"

namespace irismux::fleet {
namespace {

// With this interval a member's term does not end if two consecutive heartbeats are lost and the next
// heartbeat is late.
constexpr double heartbeat_interval_share_of_term = 0.25;
// Length of the last part of a term, as a share of the term. A member begins no new work in this part, since
// the heartbeats that would have renewed the term are overdue by then.
constexpr double renewal_margin_share_of_term = 0.25;
constexpr double suspected_after_intervals = 2.5;

}  // namespace

Membership::Membership(const SharedConfig& config, MemberName self)
    : self_(std::move(self)),
      term_less_drift_(config.term * (1 - config.drift)),
      eviction_timeout_(config.term * (1 + config.drift)),
      heartbeat_interval_(config.term * heartbeat_interval_share_of_term),
      renewal_margin_(config.term * renewal_margin_share_of_term) {}

void Membership::on_heartbeat_sent(TimePoint now, HeartbeatNumber heartbeat) {
    if (unconfirmed_.size() >= max_unconfirmed) unconfirmed_.erase(unconfirmed_.begin());
    unconfirmed_[heartbeat] = now;
}

void Membership::on_heartbeat_confirmed(TimePoint now, HeartbeatNumber heartbeat) {
    const auto it = unconfirmed_.find(heartbeat);
    // A heartbeat whose sending time is no longer stored does not extend the term.
    const bool term_had_ended = !joined_ || it == unconfirmed_.end() || it->second >= term_end_;
    joined_ = true;
    last_confirmed_ = heartbeat;
    if (it != unconfirmed_.end()) term_end_ = std::max(term_end_, it->second + term_less_drift_);
    if (term_had_ended) grace_period_end_ = now + eviction_timeout_;
    unconfirmed_.erase(unconfirmed_.begin(), unconfirmed_.upper_bound(heartbeat));
}

bool Membership::on_member_record(TimePoint now, registry::Revision at, const MemberName& name,
                                  const std::optional<std::string>& text) {
    if (name == self_) return false;
    const auto it = members_.find(name);
    const auto removed = removed_.find(name);
    if ((it != members_.end() && at < it->second.revision) ||
        (removed != removed_.end() && at < removed->second))
        return false;
    const auto parsed = text ? parse_member(*text) : std::nullopt;
    if (!text) {
        if (removed_.size() >= max_members) removed_.clear();
        removed_[name] = at;
        return members_.erase(name) > 0;
    }
    if (it == members_.end() && members_.size() >= max_members) return false;
    const MemberRecord record = parsed.value_or(MemberRecord{});
    const bool same_instance = it != members_.end() && it->second.readable == parsed.has_value() &&
                               it->second.member.incarnation == record.incarnation &&
                               it->second.member.instance_id == record.instance_id;
    Member& member = members_[name];
    if (!same_instance) {
        const bool returned = it != members_.end() || removed != removed_.end();
        member = Member{};
        member.first_seen = now;
        member.returned = returned;
    }
    member.text = *text;
    member.readable = parsed.has_value();
    member.member = record;
    member.revision = at;
    removed_.erase(name);
    return !same_instance;
}

void Membership::on_full_list(TimePoint now, const std::set<MemberName>& listed) {
    removed_.clear();
    for (auto& [name, member] : members_) member.revision = {};
    std::vector<MemberName> missing;
    for (const auto& [name, member] : members_)
        if (!listed.contains(name)) missing.push_back(name);
    for (const MemberName& name : missing) on_member_record(now, {}, name, std::nullopt);
}

void Membership::on_heartbeat(TimePoint now, const MemberName& name, const std::optional<std::string>& text,
                              bool keep_observing) {
    const auto it = members_.find(name);
    if (it == members_.end()) return;
    Member& member = it->second;
    if (!member.observed || member.heartbeat_text != text) {
        member.observed = keep_observing || !member.observed;
        member.heartbeat_text = text;
        member.unchanged_since = now;
    }
    member.last_seen = now;
}

void Membership::restart_observations() {
    for (auto& [name, member] : members_) member.observed = false;
}

bool Membership::suspected(const Member& member) const {
    return member.observed &&
           member.last_seen - member.unchanged_since > heartbeat_interval_ * suspected_after_intervals;
}

MemberStatus Membership::status_of(TimePoint now, const MemberName& name) const {
    const auto it = members_.find(name);
    if (it == members_.end()) return MemberStatus::removed;
    const Member& member = it->second;
    if (suspected(member)) return MemberStatus::suspected;
    return member.returned && !settled(now, member) ? MemberStatus::rejoined : MemberStatus::joined;
}

}  // namespace irismux::fleet
