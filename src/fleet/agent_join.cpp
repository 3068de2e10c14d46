// Joins and leaves the fleet.
#include <algorithm>

#include "fleet/agent.hpp"

namespace irismux::fleet {
namespace {

// Number of bytes of another fleet's shared configuration that a log line quotes at most.
constexpr std::size_t max_quoted_bytes = 200;

const RecordValue& value_of(const std::vector<KeyValue>& records, const Key& key) {
    static const RecordValue none;
    const auto it =
        std::find_if(records.begin(), records.end(), [&](const KeyValue& e) { return e.first == key; });
    return it == records.end() ? none : it->second;
}

}  // namespace

void Agent::read_own_records(TimePoint now) {
    std::vector<Key> keys{shared_config_key(), member_key(identity_.name), heartbeat_key(identity_.name)};
    if (in_site()) keys.push_back(roster_key());
    submit(now, Purpose::read_own_records, {{}, {}, std::move(keys)});
}

void Agent::on_own_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records) {
    // All earlier incarnations of this name have numbers below the registry's revision, including
    // incarnations whose records have been removed.
    identity_.last_incarnation = std::max(identity_.last_incarnation, Incarnation{at.raw()});
    next_submit_at_ = now + membership_.heartbeat_interval();
    const std::string own_config = serialize(shared_config_);
    const RecordValue& config = value_of(records, shared_config_key());
    const RecordValue& member = value_of(records, member_key(identity_.name));
    const RecordValue& heartbeat = value_of(records, heartbeat_key(identity_.name));
    if (!config)
        return submit(now, Purpose::write_shared_config,
                      {{{shared_config_key(), std::nullopt}}, {{shared_config_key(), own_config}}, {}});
    if (*config != own_config)
        return refuse_to_join(JoinRefusal::shared_config_differs, config->substr(0, max_quoted_bytes));
    const RecordValue& roster = value_of(records, roster_key());
    if (roster && !parse_site_roster(*roster)) return refuse_to_join(JoinRefusal::roster_unreadable);
    if (!member && !heartbeat) return join(now, member, heartbeat, roster);
    const auto record = member ? parse_member(*member) : std::nullopt;
    if (record) identity_.last_incarnation = std::max(identity_.last_incarnation, record->incarnation);
    if (record && record->instance_id == identity_.instance_id)
        return on_own_instance_found(now, record->incarnation, member, heartbeat, roster);
    wait_for_name(now, member, heartbeat, roster);
}

// Either a join of this instance was committed and its reply was lost, or the registry was restored to a
// state that has an earlier join of this instance.
void Agent::on_own_instance_found(TimePoint now, Incarnation incarnation, const RecordValue& member,
                                  const RecordValue& heartbeat, const RecordValue& roster) {
    const auto record = heartbeat ? parse_heartbeat(*heartbeat) : std::nullopt;
    const bool own_join = join_outcome_unknown_ && incarnation == incarnation_ && record &&
                          record->instance_id == identity_.instance_id;
    if (!own_join) return join(now, member, heartbeat, roster);
    join_outcome_unknown_ = false;
    heartbeat_text_ = heartbeat;
    membership_.on_heartbeat_confirmed(now, record->number);
}

// Another instance uses this member's name: either this gateway's former process, which is dead, or another
// gateway. A new heartbeat shows that the other instance is alive. If there is no new heartbeat for the
// eviction timeout, the other instance is dead.
void Agent::wait_for_name(TimePoint now, const RecordValue& member, const RecordValue& heartbeat,
                          const RecordValue& roster) {
    const std::pair<RecordValue, RecordValue> holder{member, heartbeat};
    if (name_holder_ == holder) {
        if (now - name_holder_unchanged_since_ >= membership_.eviction_timeout())
            join(now, member, heartbeat, roster);
        return;
    }
    if (name_holder_ && name_holder_->first == member) refuse_to_join(JoinRefusal::name_in_use);
    name_holder_ = holder;
    name_holder_unchanged_since_ = now;
}

void Agent::join(TimePoint now, const RecordValue& member, const RecordValue& heartbeat,
                 const RecordValue& roster) {
    identity_.last_incarnation = Incarnation{identity_.last_incarnation.raw() + 1};
    incarnation_ = identity_.last_incarnation;
    record_text_ = serialize(own_record());
    join_outcome_unknown_ = true;
    duties_.forget_given_up();
    next_submit_at_ = heartbeat_sent_at_ = now;
    const std::string first_heartbeat = serialize(next_heartbeat_record());
    membership_.on_heartbeat_sent(now, heartbeat_in_transaction_);
    const Key own = member_key(identity_.name);
    const Key own_heartbeat = heartbeat_key(identity_.name);
    Transaction transaction{
        {{shared_config_key(), serialize(shared_config_)}, {own, member}, {own_heartbeat, heartbeat}},
        {},
        {}};
    // The transaction of a member's first join also adds the member's name to the roster, so that no digest
    // omits a member that serves requests.
    const SiteRoster known = roster ? parse_site_roster(*roster).value_or(SiteRoster{}) : SiteRoster{};
    if (const auto next = in_site() ? add_to_roster(known, identity_.name) : std::nullopt) {
        transaction.compares.emplace_back(roster_key(), roster);
        transaction.writes.emplace_back(roster_key(), serialize(*next));
    }
    transaction.writes.emplace_back(own, record_text_);
    transaction.writes.emplace_back(own_heartbeat, first_heartbeat);
    submit(now, Purpose::join, std::move(transaction));
}

void Agent::submit_leave(TimePoint now) {
    const Key own = member_key(identity_.name);
    submit(now, Purpose::leave,
           {{own_heartbeat()}, {{own, std::nullopt}, {heartbeat_key(identity_.name), std::nullopt}}, {}});
}

void Agent::drop_membership(TimePoint now, MembershipEnd reason) {
    membership_.on_removed();
    membership_.restart_observations();
    name_holder_.reset();
    join_outcome_unknown_ = false;
    keys_of_unknown_outcome_.clear();
    for (const PendingWrite& write : std::exchange(pending_writes_, {}))
        observer_->on_write_outcome(write.duty, write.key, WriteOutcome::refused);
    observer_->on_event(MembershipEnded{reason, identity_.name});
    update_leases(now);
}

// Consecutive equal refusals are reported once.
void Agent::refuse_to_join(JoinRefusal reason, std::string registry_config) {
    JoinRefused refused{reason, identity_.name, std::move(registry_config)};
    if (last_refusal_ == refused) return;
    last_refusal_ = std::move(refused);
    observer_->on_event(*last_refusal_);
}

MemberRecord Agent::own_record() const {
    return {incarnation_, identity_.instance_id, identity_.version, refused_tokens_, ejected_caches_};
}

}  // namespace irismux::fleet
