#include "fleet/membership.hpp"

namespace irismux::fleet {
namespace {

// Part of a term between two heartbeats: two in a row may be lost and one more be late.
constexpr double round_of_term = 0.25;
// Last part of a term in which nothing is begun, since the next heartbeat is overdue by then.
constexpr double rest_of_term = 0.25;
// Rounds without a new heartbeat after which a member is suspected.
constexpr double suspected_after = 2.5;

}  // namespace

Membership::Membership(const SharedConfig& a, MemberName self)
    : self_(std::move(self)),
      term_less_drift_(a.term * (1 - a.drift)),
      eviction_timeout_(a.term * (1 + a.drift)),
      heartbeat_interval_(a.term * round_of_term),
      renewal_margin_(a.term * rest_of_term) {}

void Membership::on_heartbeat_sent(TimePoint now, HeartbeatNumber heartbeat) {
    if (unconfirmed_.size() >= max_unconfirmed) unconfirmed_.erase(unconfirmed_.begin());
    unconfirmed_[heartbeat] = now;
}

void Membership::on_heartbeat_confirmed(TimePoint now, HeartbeatNumber heartbeat) {
    const auto it = unconfirmed_.find(heartbeat);
    // One so old that its sending is forgotten does not extend the term.
    const bool lapsed = !joined_ || it == unconfirmed_.end() || it->second >= term_end_;
    joined_ = true;
    last_confirmed_ = heartbeat;
    if (it != unconfirmed_.end()) term_end_ = std::max(term_end_, it->second + term_less_drift_);
    if (lapsed) grace_period_end_ = now + eviction_timeout_;
    unconfirmed_.erase(unconfirmed_.begin(), unconfirmed_.upper_bound(heartbeat));
}

bool Membership::on_member_record(TimePoint now, registry::Revision at, const MemberName& name,
                                  const std::optional<std::string>& text) {
    if (name == self_) return false;
    const auto it = members_.find(name);
    const auto went = removed_.find(name);
    if ((it != members_.end() && at < it->second.revision) || (went != removed_.end() && at < went->second))
        return false;
    const auto read = text ? parse_member(*text) : std::nullopt;
    if (!text) {
        if (removed_.size() >= max_members) removed_.clear();
        removed_[name] = at;
        return members_.erase(name) > 0;
    }
    if (it == members_.end() && members_.size() >= max_members) return false;
    const MemberRecord now_is = read.value_or(MemberRecord{});
    const bool same = it != members_.end() && it->second.readable == read.has_value() &&
                      it->second.member.incarnation == now_is.incarnation &&
                      it->second.member.instance_id == now_is.instance_id;
    Member& o = members_[name];
    if (!same) {
        const bool returned = it != members_.end() || went != removed_.end();
        o = Member{};
        o.first_seen = now;
        o.returned = returned;
    }
    o.text = *text;
    o.readable = read.has_value();
    o.member = now_is;
    o.revision = at;
    removed_.erase(name);
    return !same;
}

void Membership::on_full_list(TimePoint now, const std::set<MemberName>& listed) {
    removed_.clear();
    for (auto& [name, o] : members_) o.revision = {};
    std::vector<MemberName> missing;
    for (const auto& [name, o] : members_)
        if (!listed.contains(name)) missing.push_back(name);
    for (const MemberName& name : missing) on_member_record(now, {}, name, std::nullopt);
}

void Membership::on_heartbeat(TimePoint now, const MemberName& name, const std::optional<std::string>& text,
                              bool hold) {
    const auto it = members_.find(name);
    if (it == members_.end()) return;
    Member& o = it->second;
    if (!o.observed || o.heartbeat_text != text) {
        o.observed = hold || !o.observed;
        o.heartbeat_text = text;
        o.unchanged_since = now;
    }
    o.last_seen = now;
}

void Membership::restart_observations() {
    for (auto& [name, o] : members_) o.observed = false;
}

bool Membership::suspected(const Member& peer) const {
    return peer.observed && peer.last_seen - peer.unchanged_since > heartbeat_interval_ * suspected_after;
}

MemberStatus Membership::status_of(TimePoint now, const MemberName& name) const {
    const auto it = members_.find(name);
    if (it == members_.end()) return MemberStatus::removed;
    const Member& o = it->second;
    if (suspected(o)) return MemberStatus::suspected;
    return o.returned && !settled(now, o) ? MemberStatus::rejoined : MemberStatus::joined;
}

}  // namespace irismux::fleet
