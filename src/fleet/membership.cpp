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
      wait_(a.term * (1 + a.drift)),
      round_(a.term * round_of_term),
      rest_(a.term * rest_of_term) {}

void Membership::sent(Instant now, HeartbeatNumber heartbeat) {
    if (sent_.size() >= most_sent) sent_.erase(sent_.begin());
    sent_[heartbeat] = now;
}

void Membership::confirmed(Instant now, HeartbeatNumber heartbeat) {
    const auto it = sent_.find(heartbeat);
    // One so old that its sending is forgotten does not extend the term.
    const bool lapsed = !in_ || it == sent_.end() || it->second >= end_;
    in_ = true;
    confirmed_ = heartbeat;
    if (it != sent_.end()) end_ = std::max(end_, it->second + term_);
    if (lapsed) listen_until_ = now + wait_;
    sent_.erase(sent_.begin(), sent_.upper_bound(heartbeat));
}

bool Membership::record(Instant now, registry::Revision at, const MemberName& name,
                        const std::optional<std::string>& text) {
    if (name == self_) return false;
    const auto it = peers_.find(name);
    const auto went = gone_.find(name);
    if ((it != peers_.end() && at < it->second.at) || (went != gone_.end() && at < went->second))
        return false;
    const auto read = text ? read_member(*text) : std::nullopt;
    if (!text) {
        if (gone_.size() >= most_peers) gone_.clear();
        gone_[name] = at;
        return peers_.erase(name) > 0;
    }
    if (it == peers_.end() && peers_.size() >= most_peers) return false;
    const MemberRecord now_is = read.value_or(MemberRecord{});
    const bool same = it != peers_.end() && it->second.readable == read.has_value() &&
                      it->second.member.start == now_is.start &&
                      it->second.member.instance_id == now_is.instance_id;
    Peer& o = peers_[name];
    if (!same) {
        const bool returned = it != peers_.end() || went != gone_.end();
        o = Peer{};
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

void Membership::on_full_list(Instant now, const std::set<MemberName>& listed) {
    gone_.clear();
    for (auto& [name, o] : peers_) o.at = {};
    std::vector<MemberName> missing;
    for (const auto& [name, o] : peers_)
        if (!listed.contains(name)) missing.push_back(name);
    for (const MemberName& name : missing) record(now, {}, name, std::nullopt);
}

void Membership::on_heartbeat(Instant now, const MemberName& name, const std::optional<std::string>& text,
                              bool hold) {
    const auto it = peers_.find(name);
    if (it == peers_.end()) return;
    Peer& o = it->second;
    if (!o.observed || o.heartbeat_text != text) {
        o.observed = hold || !o.observed;
        o.heartbeat_text = text;
        o.unchanged_since = now;
    }
    o.last_seen = now;
}

void Membership::forget_waits() {
    for (auto& [name, o] : peers_) o.observed = false;
}

bool Membership::suspected(const Peer& peer) const {
    return peer.observed && peer.last_seen - peer.unchanged_since > round_ * suspected_after;
}

MemberStatus Membership::status_of(Instant now, const MemberName& name) const {
    const auto it = peers_.find(name);
    if (it == peers_.end()) return MemberStatus::gone;
    const Peer& o = it->second;
    if (suspected(o)) return MemberStatus::suspected;
    return o.returned && !settled(now, o) ? MemberStatus::back : MemberStatus::joined;
}

}  // namespace irismux::fleet
