// Sends this member's heartbeats, reads those of other members and evicts members that send none.
#include <algorithm>

#include "fleet/agent.hpp"
#include "fleet/agent_timing.hpp"

namespace irismux::fleet {
namespace {

// Each heartbeat is sent earlier by a random time of up to this share of the heartbeat interval.
constexpr double heartbeat_spread = 0.2;

}  // namespace

void Agent::send_heartbeat(TimePoint now) {
    Duration pause = membership_.heartbeat_interval();
    if (identity_.randomized) pause = pause * (1 - heartbeat_spread * random_fraction());
    if (in_site() && heartbeat_reads_.frequent) pause = std::min(pause, identity_.acknowledge_interval);
    next_heartbeat_at_ = now + pause;
    heartbeat_sent_at_ = now;
    const std::string heartbeat =
        with_applied_revisions(serialize(next_heartbeat_record()), applied_revisions_);
    membership_.on_heartbeat_sent(now, heartbeat_in_transaction_);
    std::vector<Key> reads = keys_to_read(now);
    reads.insert(reads.end(), keys_of_unknown_outcome_.begin(), keys_of_unknown_outcome_.end());
    submit(now, Purpose::heartbeat,
           {{own_heartbeat()}, {{heartbeat_key(identity_.name), heartbeat}}, std::move(reads)});
}

// A heartbeat that is sent early as an acknowledgement reads other members' heartbeats only if the site's
// digest needs them.
std::vector<Key> Agent::keys_to_read(TimePoint now) {
    std::set<Key> keys(heartbeat_reads_.records.begin(), heartbeat_reads_.records.end());
    for (const MemberName& name : heartbeat_reads_.heartbeats)
        if (name != identity_.name) keys.insert(heartbeat_key(name));
    if (!in_site() || now >= next_member_reads_at_) {
        next_member_reads_at_ = now + membership_.heartbeat_interval() * (1 - heartbeat_spread);
        for (const Key& key : heartbeats_to_read(now)) keys.insert(key);
    }
    return {keys.begin(), keys.end()};
}

HeartbeatRecord Agent::next_heartbeat_record() {
    last_heartbeat_ = HeartbeatNumber{last_heartbeat_.raw() + 1};
    heartbeat_in_transaction_ = last_heartbeat_;
    return {incarnation_, identity_.instance_id, last_heartbeat_};
}

void Agent::on_heartbeat_landed(TimePoint now) {
    heartbeat_text_ = transaction_.writes.back().second;
    membership_.on_heartbeat_confirmed(now, heartbeat_in_transaction_);
    keys_of_unknown_outcome_.clear();
}

// Called after a transaction of which a comparison failed. If the returned records show another heartbeat
// under this member's name, either the registry committed a later heartbeat of this member whose reply was
// lost, or this member is no longer in the fleet.
void Agent::check_own_heartbeat(TimePoint now, const std::vector<KeyValue>& records) {
    const Key own = heartbeat_key(identity_.name);
    const auto it =
        std::find_if(records.begin(), records.end(), [&](const KeyValue& e) { return e.first == own; });
    if (!membership_.joined() || it == records.end() || it->second == heartbeat_text_) return;
    const RecordValue& text = it->second;
    const auto record = text ? parse_heartbeat(*text) : std::nullopt;
    const bool ours =
        record && record->instance_id == identity_.instance_id && record->incarnation == incarnation_;
    if (ours && record->number > membership_.last_confirmed()) {
        heartbeat_text_ = text;
        return membership_.on_heartbeat_confirmed(now, record->number);
    }
    drop_membership(now, ours ? MembershipEnd::registry_restored : MembershipEnd::evicted);
}

bool Agent::reads_all_heartbeats() const {
    return membership_.members().size() <= heartbeats_read_at_random + max_overdue_heartbeats_read;
}

std::vector<Key> Agent::heartbeats_to_read(TimePoint now) {
    const auto& members = membership_.members();
    std::set<Key> keys;
    for (const auto& [name, member] : members) {
        const bool overdue =
            member.observed && now - member.unchanged_since > membership_.heartbeat_interval();
        if (reads_all_heartbeats() || (overdue && keys.size() < max_overdue_heartbeats_read))
            keys.insert(heartbeat_key(name));
    }
    for (std::size_t n = 0; n < heartbeats_read_at_random && keys.size() < members.size(); ++n) {
        auto it = members.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_() % members.size()));
        keys.insert(heartbeat_key(it->first));
    }
    return {keys.begin(), keys.end()};
}

// The transaction compares the heartbeat that was found unchanged, so a heartbeat committed since then makes
// the eviction fail.
bool Agent::next_eviction(TimePoint now) {
    if (membership_.in_grace_period(now)) return false;
    for (const auto& [name, member] : membership_.members()) {
        if (!membership_.evictable(member)) continue;
        const Key record_key = member_key(name);
        const Key last_heartbeat_key = heartbeat_key(name);
        submit(now, Purpose::evict,
               {{own_heartbeat(), {record_key, member.text}, {last_heartbeat_key, member.heartbeat_text}},
                {{record_key, std::nullopt}, {last_heartbeat_key, std::nullopt}},
                {}});
        return true;
    }
    return false;
}

}  // namespace irismux::fleet
