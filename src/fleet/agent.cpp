#include "fleet/agent.hpp"

#include <algorithm>

#include "fleet/agent_timing.hpp"

namespace irismux::fleet {
namespace {

constexpr double start_spread_intervals = 0.25;
// The pause after a missing reply doubles with each further missing reply in a row, up to a heartbeat
// interval.
constexpr int max_retry_doublings = 4;

}  // namespace

// In the worst case another member first reads the owner's last heartbeat one heartbeat interval late. That
// member detects another heartbeat interval late that the eviction timeout has passed without a new
// heartbeat. An eviction and a claim follow, each after a sleep of the agent.
Duration longest_without_owner(const SharedConfig& shared_config, Duration reply_time,
                               std::size_t ranks_ahead) {
    const Membership membership(shared_config, MemberName{});
    const double intervals =
        2 + claim_delay_intervals_per_rank * static_cast<double>(ranks_ahead) + 2 * max_sleep_intervals;
    return membership.eviction_timeout() + membership.heartbeat_interval() * intervals + reply_time * 4;
}

Agent::Agent(AgentTransport& transport, AgentObserver& observer, const SharedConfig& shared_config,
             MemberIdentity identity, std::uint64_t seed)
    : transport_(&transport),
      observer_(&observer),
      shared_config_(shared_config),
      identity_(std::move(identity)),
      random_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      membership_(shared_config, identity_.name) {}

Agent::Agent(const Agent& other, AgentTransport& transport, AgentObserver& observer) : Agent(other) {
    transport_ = &transport;
    observer_ = &observer;
}

// --- events

// The random delay spreads the first transactions of members that start at the same time, for example after a
// power failure.
void Agent::start(TimePoint now) {
    started_ = true;
    if (identity_.randomized)
        next_submit_at_ =
            now + membership_.heartbeat_interval() * (start_spread_intervals * random_fraction());
    advance(now);
}

void Agent::leave(TimePoint now) {
    leaving_ = true;
    advance(now);
}

void Agent::set_duties(TimePoint now, const std::set<DutyName>& names) {
    if (!duties_.set_names(names)) observer_->on_event(DutyLimitExceeded{Duties::max_duties});
    std::vector<DutyName> finished;
    for (auto& [name, duty] : duties_.all()) {
        if (duty.wanted) continue;
        // From here on this member does nothing under the duty's token. A later transaction of this member
        // gives the duty up in the registry.
        if (owned_here(duty)) duty.given_up = std::max(duty.given_up, duty.record->token);
        if (duty.lease.state() != LeaseState::idle)
            observer_->on_lease_state(name, LeaseState::idle, FencingToken{});
        duty.lease = Lease{};
        if (!owned_here(duty)) finished.push_back(name);
    }
    for (const DutyName& name : finished) duties_.remove(name);
    advance(now);
}

void Agent::set_ejected_caches(TimePoint now, std::set<CacheId> caches) {
    while (caches.size() > max_published_ejections) caches.erase(std::prev(caches.end()));
    ejected_caches_ = std::move(caches);
    advance(now);
}

void Agent::set_applied_revisions(TimePoint now, const std::optional<AppliedRevisions>& revisions) {
    if (revisions == applied_revisions_) return;
    applied_revisions_ = revisions;
    acknowledge_soon(now);
    advance(now);
}

void Agent::set_heartbeat_reads(TimePoint now, HeartbeatReads reads) {
    if (reads == heartbeat_reads_) return;
    heartbeat_reads_ = std::move(reads);
    if (heartbeat_reads_.frequent) acknowledge_soon(now);
    advance(now);
}

// One heartbeat reports all changes within the acknowledgement interval.
void Agent::acknowledge_soon(TimePoint now) {
    if (in_site())
        next_heartbeat_at_ =
            std::min(next_heartbeat_at_, std::max(now, heartbeat_sent_at_ + identity_.acknowledge_interval));
}

void Agent::on_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records,
                       bool full_list) {
    if (full_list) on_full_list(now, records);
    apply_records(now, at, records);
    advance(now);
}

void Agent::on_transaction_result(TimePoint now, registry::Revision at, bool succeeded,
                                  const std::vector<KeyValue>& records) {
    const Purpose purpose = std::exchange(purpose_, Purpose::none);
    if (purpose == Purpose::none) return;
    consecutive_timeouts_ = 0;
    if (at < newest_revision_) observer_->on_registry_restored();
    newest_revision_ = at;
    if (purpose == Purpose::write) finish_write(succeeded ? WriteOutcome::written : WriteOutcome::refused);
    if (purpose == Purpose::join) join_outcome_unknown_ = false;
    // The heartbeat is confirmed before the duties are updated, since a committed heartbeat extends the term.
    if (succeeded && (purpose == Purpose::join || purpose == Purpose::heartbeat)) on_heartbeat_landed(now);
    if (succeeded && purpose != Purpose::read_own_records) apply_records(now, at, transaction_.writes);
    apply_records(now, at, records);
    if (succeeded && purpose == Purpose::heartbeat)
        observer_->on_heartbeat_result(heartbeat_sent_at_, heartbeat_in_transaction_, records);
    if (!succeeded) check_own_heartbeat(now, records);
    if (purpose == Purpose::read_own_records) on_own_records(now, at, records);
    if (purpose == Purpose::publish && succeeded) record_text_ = transaction_.writes.front().second;
    if (purpose == Purpose::leave) drop_membership(now, MembershipEnd::left);
    // The failure may have a cause that this member can't see, such as a record in a newer format, so the
    // transaction is not repeated at once.
    const bool may_fail_again =
        purpose == Purpose::claim || purpose == Purpose::evict || purpose == Purpose::publish;
    if (!succeeded && may_fail_again)
        next_submit_at_ = now + membership_.heartbeat_interval() * retry_pause_intervals;
    advance(now);
}

void Agent::on_transaction_timeout(TimePoint now) {
    const Purpose purpose = std::exchange(purpose_, Purpose::none);
    if (purpose == Purpose::none) return;
    if (purpose == Purpose::write) finish_write(WriteOutcome::unknown);
    for (const auto& [key, value] : transaction_.writes)
        if (keys_of_unknown_outcome_.size() < max_overdue_heartbeats_read && (duty_of(key) || member_of(key)))
            keys_of_unknown_outcome_.insert(key);
    schedule_retry(now);
    if (purpose == Purpose::heartbeat) next_heartbeat_at_ = next_submit_at_;
    advance(now);
}

void Agent::on_wake(TimePoint now) {
    if (purpose_ != Purpose::none && now >= reply_deadline_) return on_transaction_timeout(now);
    advance(now);
}

// --- records

void Agent::on_full_list(TimePoint now, const std::vector<KeyValue>& records) {
    std::set<MemberName> members;
    std::set<DutyName> duties;
    bool floor_listed = false;
    for (const auto& [key, text] : records) {
        if (const auto name = member_of(key)) members.insert(*name);
        if (const auto name = duty_of(key)) duties.insert(*name);
        floor_listed = floor_listed || key == floor_key();
    }
    membership_.on_full_list(now, members);
    duties_.on_full_list(duties);
    token_floor_revision_ = {};
    if (!floor_listed) token_floor_.reset();
}

void Agent::apply_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records) {
    const bool keep_observing = reads_all_heartbeats();
    for (const auto& [key, text] : records) {
        if (const auto name = member_of(key)) membership_.on_member_record(now, at, *name, text);
        if (const auto name = duty_of(key))
            if (duties_.on_record(at, *name, text)) on_duty_record(*name, duties_.all().at(*name));
        if (const auto name = released_duty_of(key))
            if (const auto it = duties_.all().find(*name); it != duties_.all().end())
                it->second.released_instance = text ? parse_release(*text) : std::nullopt;
        if (key == floor_key() && at >= token_floor_revision_) {
            token_floor_ = text;
            token_floor_revision_ = at;
        }
    }
    for (const auto& [key, text] : records)
        if (const auto name = heartbeat_owner(key))
            membership_.on_heartbeat(now, *name, text, keep_observing);
}

// --- one transaction at a time

void Agent::advance(TimePoint now) {
    update_leases(now);
    if (!started_) return;
    if (purpose_ == Purpose::none && now >= next_submit_at_) submit_next(now);
    schedule_next(now);
}

void Agent::submit_next(TimePoint now) {
    if (!membership_.joined()) {
        if (!leaving_) read_own_records(now);
    } else if (leaving_) {
        submit_leave(now);
    } else if (now >= next_heartbeat_at_) {
        send_heartbeat(now);
    } else if (membership_.in_term(now)) {
        submit_next_of_term(now);
    }
}

// Submits the first transaction that is due. Each called function returns whether it has submitted a
// transaction.
void Agent::submit_next_of_term(TimePoint now) {
    if (next_write(now)) return;
    if (next_duty(now)) return;
    if (next_eviction(now)) return;
    next_publication(now);
}

void Agent::schedule_next(TimePoint now) {
    TimePoint at = now + membership_.heartbeat_interval() * max_sleep_intervals;
    if (purpose_ != Purpose::none)
        at = std::min(at, reply_deadline_);
    else
        at = std::min(at,
                      std::max(next_submit_at_, membership_.joined() ? next_heartbeat_at_ : next_submit_at_));
    if (membership_.in_term(now)) at = std::min(at, membership_.term_end());
    if (membership_.in_grace_period(now)) at = std::min(at, membership_.grace_period_end());
    transport_->schedule_wake(std::max(at, now + Duration::micros(1)));
}

void Agent::submit(TimePoint now, Purpose purpose, Transaction transaction) {
    purpose_ = purpose;
    transaction_ = std::move(transaction);
    reply_deadline_ = now + identity_.reply_timeout;
    transport_->submit(transaction_);
}

void Agent::schedule_retry(TimePoint now) {
    const double doubled = 1 << std::min(consecutive_timeouts_++, max_retry_doublings);
    const double drawn = identity_.randomized ? random_fraction() : 1.0;
    next_submit_at_ =
        now + membership_.heartbeat_interval() * (retry_pause_intervals * doubled * (0.5 + drawn / 2));
}

double Agent::random_fraction() {
    return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
}

}  // namespace irismux::fleet
