/// One gateway as a member of its fleet: it joins, sends heartbeats, evicts members that send none, claims
/// and gives up duties, and writes on behalf of the fleet. It combines Membership, Lease, Fence and Duties.
/// No I/O and no clock: each call passes the time of the gateway's steady clock (boot_time()).
///
/// Who may write what, and what stops a former owner:
///   member/ME, beat/ME   only the member itself; an eviction removes them if the heartbeat has not changed
///   duty/NAME            a member that claims the duty; the transaction compares the record, its own newest
///                        heartbeat and that the former owner's membership is gone
///   any fenced write     the duty's owner; the transaction compares its newest heartbeat and the duty's
///                        record as it was claimed: the write of an evicted or replaced owner fails
///
/// Guarantees; docs/fleet.md has the premises. may_act() must be called right before acting.
///   1  at no time may two members act on one duty
///   2  a fenced write lands only while its writer owns the duty, in the registry's own order
///   3  no fencing token of a duty is given to two owners, also across restores of the registry
///
/// One transaction is under way at a time. A missing answer is neither success nor failure: the transaction
/// may have landed, may land later, or never. Each compares enough for a late one to do no harm, and the next
/// read shows its outcome.
///
/// Source files: agent.cpp (events, one transaction at a time), agent_join.cpp, agent_heartbeat.cpp (with
/// evictions), agent_leases.cpp, agent_writes.cpp (with publications), agent_debug.cpp.
#pragma once

#include <deque>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/agent_callbacks.hpp"
#include "fleet/digest.hpp"
#include "fleet/duties.hpp"
#include "fleet/fence.hpp"
#include "fleet/member_identity.hpp"
#include "fleet/membership.hpp"
#include "fleet/transaction.hpp"

namespace irismux::fleet {

/// The longest time for which a duty has no owner after its owner has stopped, if the registry answers within
/// `reply_time` and `ranks_ahead` live members come before the first that can claim it. Holds for fleets
/// whose heartbeats are all read in each interval; in larger ones each interval in which the stopped owner's
/// is not read adds one.
[[nodiscard]] Duration longest_without_owner(const SharedConfig& shared_config, Duration reply_time,
                                             std::size_t ranks_ahead);

class Agent {
public:
    /// The transport and the observer must outlive it.
    Agent(AgentTransport& transport, AgentObserver& observer, const SharedConfig& shared_config,
          MemberIdentity identity, std::uint64_t seed);
    /// A copy of the state with other callbacks, for exhaustive exploration.
    Agent(const Agent& other, AgentTransport& transport, AgentObserver& observer);

    void start(TimePoint now);
    /// Stops acting at once, then removes this member's records.
    void leave(TimePoint now);
    /// The duties that this member may own; one that is not named any more is given up. The records of duties
    /// that are new here must be delivered again through on_records().
    void set_duties(TimePoint now, const std::set<DutyName>& names);
    /// The caches that this gateway has ejected; published at most once a heartbeat interval.
    void set_ejected_caches(TimePoint now, std::set<CacheId> caches);
    /// What this gateway has applied, for its heartbeats.
    void set_applied_revisions(TimePoint now, const std::optional<AppliedRevisions>& revisions);
    void set_heartbeat_reads(TimePoint now, HeartbeatReads reads);

    /// Watched records as of a revision; they may lag behind transactions. `full_list`: there are no others.
    /// Unknown kinds of keys are ignored.
    void on_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records,
                    bool full_list);
    /// `succeeded`: the comparison succeeded and all is written. `records`: see Transaction.
    void on_transaction_result(TimePoint now, registry::Revision at, bool succeeded,
                               const std::vector<KeyValue>& records);
    /// There is no answer: the transaction may have landed, may still land, or never.
    void on_transaction_timeout(TimePoint now);
    void on_wake(TimePoint now);

    /// Whether this member owns the duty at that time.
    [[nodiscard]] bool may_act(TimePoint now, const DutyName&) const;
    /// As may_act(), and the lease runs for long enough to begin something new.
    [[nodiscard]] bool may_begin_work(TimePoint now, const DutyName&) const;
    /// The token of the duty's newest known record; zero: none.
    [[nodiscard]] FencingToken token_of(const DutyName&) const;
    /// Whether an order that another member gives as that holder is to be obeyed.
    [[nodiscard]] bool accepts_holder(const DutyName& duty, const LeaseHolder& holder) {
        return fence_.accepts(duty, holder);
    }
    /// Queues a write that lands only if the duty is still owned then; the observer is told the outcome.
    /// False: the duty is not owned, or 64 writes wait already.
    bool write_fenced(TimePoint now, const DutyName&, const Key&, const std::string& value);
    /// As above; the outcome names `key`.
    bool write_fenced(TimePoint now, const DutyName&, const Key& key, FencedWrite write_request);

    [[nodiscard]] const Membership& membership() const { return membership_; }
    [[nodiscard]] const Duties& duties() const { return duties_; }
    [[nodiscard]] Fence& fence() { return fence_; }
    [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
    [[nodiscard]] const std::set<CacheId>& ejected_caches() const { return ejected_caches_; }
    [[nodiscard]] Instance self() const { return {identity_.name, incarnation_}; }
    /// The record that holds the highest token of all removed duties, as last known.
    [[nodiscard]] const RecordValue& token_floor() const { return token_floor_; }
    /// Whether that very instance is a member, as far as is known. One whose record can't be parsed counts.
    [[nodiscard]] bool is_member(const Instance&) const;
    /// The whole state as text, times relative to `now`: equal texts, equal behaviour.
    [[nodiscard]] std::string debug_state(TimePoint now) const;

private:
    // Only for the copy with other callbacks.
    Agent(const Agent&) = default;

    // What the transaction under way is for.
    enum class Purpose {
        none,
        read_own_records,
        write_shared_config,
        join,
        heartbeat,
        publish,
        claim,
        give_up,
        evict,
        write,
        leave
    };
    struct PendingWrite {
        DutyName duty;
        Key key;
        FencedWrite write_request;
    };

    // agent.cpp
    void advance(TimePoint now);
    void submit_next(TimePoint now);
    void submit_next_of_term(TimePoint now);
    void schedule_next(TimePoint now);
    void submit(TimePoint now, Purpose purpose, Transaction transaction);
    void schedule_retry(TimePoint now);
    double random_fraction();  // from 0 to 1
    void on_full_list(TimePoint now, const std::vector<KeyValue>& records);
    void apply_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records);

    // agent_join.cpp
    void read_own_records(TimePoint now);
    void on_own_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records);
    void on_own_instance_found(TimePoint now, Incarnation incarnation, const RecordValue& member,
                               const RecordValue& heartbeat, const RecordValue& roster);
    void wait_for_name(TimePoint now, const RecordValue& member, const RecordValue& heartbeat,
                       const RecordValue& roster);
    void join(TimePoint now, const RecordValue& member, const RecordValue& heartbeat,
              const RecordValue& roster);
    bool in_site() const { return identity_.acknowledge_interval > Duration{}; }
    void acknowledge_soon(TimePoint now);
    void submit_leave(TimePoint now);
    void drop_membership(TimePoint now, MembershipEnd reason);
    void refuse_to_join(JoinRefusal reason, std::string registry_config = {});
    MemberRecord own_record() const;

    // agent_heartbeat.cpp
    void send_heartbeat(TimePoint now);
    void on_heartbeat_landed(TimePoint now);
    void check_own_heartbeat(TimePoint now, const std::vector<KeyValue>& records);
    HeartbeatRecord next_heartbeat_record();
    std::vector<Key> keys_to_read(TimePoint now);
    std::vector<Key> heartbeats_to_read(TimePoint now);
    KeyValue own_heartbeat() const { return {heartbeat_key(identity_.name), heartbeat_text_}; }
    bool reads_all_heartbeats() const;
    bool next_eviction(TimePoint now);

    // agent_leases.cpp
    void on_duty_record(const DutyName&, const Duties::Duty&);
    void on_lower_token(const DutyName&, FencingToken shown, FencingToken seen);
    void update_leases(TimePoint now);
    bool next_duty(TimePoint now);
    bool advance_duty(TimePoint now, const DutyName&, Duties::Duty&);
    void claim_duty(TimePoint now, const DutyName&, const Duties::Duty&);
    void give_up_duty(TimePoint now, const DutyName&, Duties::Duty&);
    LeaseConditions lease_conditions(TimePoint now, const DutyName&, const Duties::Duty&) const;
    bool owned_here(const Duties::Duty&) const;
    bool record_grants_lease(TimePoint now, const Duties::Duty&) const;
    bool unowned(const Duties::Duty&) const;
    FencingToken next_token(const DutyName&, const Duties::Duty&) const;
    FencingToken highest_refused_by_others(const DutyName&) const;
    // Live members that come before this one in the duty's order; `settled`: only those that have been
    // members for long enough to be handed a duty.
    std::size_t rank(TimePoint now, const DutyName&, const Duties::Duty&, bool settled) const;

    // agent_writes.cpp
    bool next_publication(TimePoint now);
    bool next_write(TimePoint now);
    void finish_write(WriteOutcome outcome);

    // agent_debug.cpp
    std::string debug_members(TimePoint now) const;
    std::string debug_duties(TimePoint now) const;
    std::string debug_age(TimePoint now, TimePoint since) const;

    AgentTransport* transport_;
    AgentObserver* observer_;
    SharedConfig shared_config_;
    MemberIdentity identity_;
    std::ranlux24_base random_;
    Membership membership_;
    Duties duties_;
    Fence fence_;

    Incarnation incarnation_;
    HeartbeatNumber last_heartbeat_;
    RecordValue heartbeat_text_;                       // our newest that the registry is known to hold
    RecordValue record_text_;                          // our member record, as last written
    std::map<DutyName, FencingToken> refused_tokens_;  // to be published, or published already
    bool started_ = false;
    bool leaving_ = false;

    Purpose purpose_ = Purpose::none;
    Transaction transaction_;  // the one under way
    HeartbeatNumber heartbeat_in_transaction_;
    TimePoint reply_deadline_;  // of the one under way
    TimePoint next_submit_at_;  // nothing is submitted before
    TimePoint next_heartbeat_at_;
    TimePoint next_give_up_at_;     // no duty is handed over before
    int consecutive_timeouts_ = 0;  // transactions in a row

    // Records written by transactions without an answer; read with the next heartbeat.
    std::set<Key> keys_of_unknown_outcome_;

    bool join_outcome_unknown_ = false;  // a join went out, and its result is not known
    // Member record and heartbeat of another instance that has our name, and since when they are unchanged.
    std::optional<std::pair<RecordValue, RecordValue>> name_holder_;
    TimePoint name_holder_unchanged_since_;
    std::optional<JoinRefused> last_refusal_;  // reported once
    std::deque<PendingWrite> pending_writes_;
    RecordValue token_floor_;
    registry::Revision token_floor_revision_;
    std::set<CacheId> ejected_caches_;
    TimePoint next_publication_at_;
    std::optional<AppliedRevisions> applied_revisions_;
    HeartbeatReads heartbeat_reads_;
    registry::Revision newest_revision_;
    TimePoint heartbeat_sent_at_;     // the newest
    TimePoint next_member_reads_at_;  // the next heartbeat that reads those of others for the membership
};

}  // namespace irismux::fleet
