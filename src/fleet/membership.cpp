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
      term_(a.term * (1 - a.drift)),
      eviction_timeout_(a.term * (1 + a.drift)),
      heartbeat_interval_(a.term * round_of_term),
      renewal_margin_(a.term * rest_of_term) {}

void Membership::on_heartbeat_sent(TimePoint now, HeartbeatNumber heartbeat) {
    if (sent_.size() >= max_unconfirmed) sent_.erase(sent_.begin());
    sent_[heartbeat] = now;
}

void Membership::on_heartbeat_confirmed(TimePoint now, HeartbeatNumber heartbeat) {
    const auto it = sent_.find(heartbeat);
    // One so old that its sending is forgotten does not extend the term.
    const bool lapsed = !joined_ || it == sent_.end() || it->second >= end_;
    joined_ = true;
    confirmed_ = heartbeat;
    if (it != sent_.end()) end_ = std::max(end_, it->second + term_);
    if (lapsed) listen_until_ = now + eviction_timeout_;
    sent_.erase(sent_.begin(), sent_.upper_bound(heartbeat));
}

bool Membership::record(TimePoint now, registry::Revision at, const MemberName& name,
                        const std::optional<std::string>& text) {
    if (name == self_) return false;
    const auto it = members_.find(name);
    const auto went = gone_.find(name);
    if ((it != members_.end() && at < it->second.at) || (went != gone_.end() && at < went->second))
        return false;
    const auto read = text ? parse_member(*text) : std::nullopt;
    if (!text) {
        if (gone_.size() >= max_members) gone_.clear();
        gone_[name] = at;
        return members_.erase(name) > 0;
    }
    if (it == members_.end() && members_.size() >= max_members) return false;
    const MemberRecord now_is = read.value_or(MemberRecord{});
    const bool same = it != members_.end() && it->second.readable == read.has_value() &&
                      it->second.member.incarnation == now_is.incarnation &&
                      it->second.member.instance_id == now_is.instance_id;
    Member& o = members_[name];
    if (!same) {
        const bool returned = it != members_.end() || went != gone_.end();
        o = Member{};
        o.since = now;
        o.returned = returned;
    }
    o.text = *text;
    o.readable = read.has_value();
    o.member = now_is;
    o.at = at;
    gone_.erase(name);
    return !same;
}

void Membership::on_full_list(TimePoint now, const std::set<MemberName>& listed) {
    gone_.clear();
    for (auto& [name, o] : members_) o.at = {};
    std::vector<MemberName> missing;
    for (const auto& [name, o] : members_)
        if (!listed.contains(name)) missing.push_back(name);
    for (const MemberName& name : missing) record(now, {}, name, std::nullopt);
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
