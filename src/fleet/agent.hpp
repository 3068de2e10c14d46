/// One gateway as a member of its fleet: it joins, sends heartbeats, evicts members that send none, claims
/// and gives up duties, and writes on behalf of the fleet. It combines Membership, Lease, Fence and Duties.
/// It does no I/O and reads no clock: each call passes the time of the gateway's steady clock (boot_time()).
///
/// The writer of each record, and the comparisons that reject a former owner:
///   member/ME, beat/ME   written only by the member itself; an eviction removes them if the heartbeat has
///                        not changed
///   duty/NAME            written by a member that claims the duty; the transaction compares the record and
///                        the claimant's newest heartbeat, and checks that the former owner is no longer a
///                        member
///   any fenced write     done by the duty's owner; the transaction compares the owner's newest heartbeat and
///                        the duty's record as it was claimed, so the write of an evicted or replaced owner
///                        fails
///
/// Guarantees, whose premises are in docs/fleet.md; may_act() must be called right before acting:
///   1  at no time may two members act on one duty
///   2  a fenced write is committed only while its writer owns the duty, in the registry's own order
///   3  no fencing token of a duty is given to two owners, also across restores of the registry
///
/// One transaction is in flight at a time. A transaction without a reply has neither succeeded nor failed:
/// the registry may have committed the transaction, may commit it later, or may never commit it. Each
/// transaction compares enough records for a late commit to do no harm, and the next read shows its outcome.
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

/// Returns the longest time for which a duty has no owner after its owner has stopped. Premises: the registry
/// replies within `reply_time`, and `ranks_ahead` live members rank before the first member that can claim
/// the duty. The bound holds for a fleet in which each member reads all heartbeats in each heartbeat
/// interval. In a larger fleet each heartbeat interval in which the stopped owner's heartbeat is not read
/// adds one heartbeat interval to the bound.
[[nodiscard]] Duration longest_without_owner(const SharedConfig& shared_config, Duration reply_time,
                                             std::size_t ranks_ahead);

class Agent {
public:
    /// The transport and the observer must outlive the agent.
    Agent(AgentTransport& transport, AgentObserver& observer, const SharedConfig& shared_config,
          MemberIdentity identity, std::uint64_t seed);
    /// Copies the state of another agent but uses other callbacks. Exhaustive models use this constructor.
    Agent(const Agent& other, AgentTransport& transport, AgentObserver& observer);

    void start(TimePoint now);
    /// Stops acting at once, then removes this member's records.
    void leave(TimePoint now);
    /// Sets the duties that this member may own. A duty that is no longer named is given up. The caller must
    /// deliver the records of newly named duties again through on_records().
    void set_duties(TimePoint now, const std::set<DutyName>& names);
    /// Sets the caches that this gateway has ejected. The member publishes these caches at most once per
    /// heartbeat interval.
    void set_ejected_caches(TimePoint now, std::set<CacheId> caches);
    /// Sets the revisions that this gateway has applied. The member's heartbeats report these revisions.
    void set_applied_revisions(TimePoint now, const std::optional<AppliedRevisions>& revisions);
    void set_heartbeat_reads(TimePoint now, HeartbeatReads reads);

    /// Applies watched records with their values at revision `at`, which may be lower than the revisions of
    /// earlier transaction results. If `full_list` is true, the registry has no other records. Unknown kinds
    /// of keys are ignored.
    void on_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records,
                    bool full_list);
    /// `succeeded` is true if the comparisons held and all writes are committed. `records` are the records
    /// shown by the result, see Transaction.
    void on_transaction_result(TimePoint now, registry::Revision at, bool succeeded,
                               const std::vector<KeyValue>& records);
    /// Called if the transaction in flight will have no reply. The registry may have committed the
    /// transaction, may commit it later, or may never commit it.
    void on_transaction_timeout(TimePoint now);
    void on_wake(TimePoint now);

    /// Returns whether this member owns the duty at time `now`.
    [[nodiscard]] bool may_act(TimePoint now, const DutyName&) const;
    /// Returns whether may_act() holds and the lease lasts long enough to begin new work.
    [[nodiscard]] bool may_begin_work(TimePoint now, const DutyName&) const;
    /// Returns the token of the duty's newest known record, or zero if there is none.
    [[nodiscard]] FencingToken token_of(const DutyName&) const;
    /// Returns whether a record or an instruction that names `holder` as the duty's owner is to be accepted.
    [[nodiscard]] bool accepts_holder(const DutyName& duty, const LeaseHolder& holder) {
        return fence_.accepts(duty, holder);
    }
    /// Queues a write that is committed only if this member still owns the duty at the time of the commit.
    /// The outcome is passed to the observer.
    /// @return false if this member does not own the duty or 64 writes are queued already.
    bool write_fenced(TimePoint now, const DutyName&, const Key&, const std::string& value);
    /// Queues a write of several records under the same conditions as the other write_fenced(). The outcome
    /// that is passed to the observer names `key`.
    bool write_fenced(TimePoint now, const DutyName&, const Key& key, FencedWrite write_request);

    [[nodiscard]] const Membership& membership() const { return membership_; }
    [[nodiscard]] const Duties& duties() const { return duties_; }
    [[nodiscard]] Fence& fence() { return fence_; }
    [[nodiscard]] Incarnation incarnation() const { return incarnation_; }
    [[nodiscard]] const std::set<CacheId>& ejected_caches() const { return ejected_caches_; }
    [[nodiscard]] Instance self() const { return {identity_.name, incarnation_}; }
    /// The last known value of the record that holds the highest token of all removed duties.
    [[nodiscard]] const RecordValue& token_floor() const { return token_floor_; }
    /// Returns whether this exact instance is a member, according to the records received so far. If the
    /// record under the instance's name can't be parsed, the instance counts as a member.
    [[nodiscard]] bool is_member(const Instance&) const;
    /// Returns the whole state as text with times relative to `now`. Agents with equal texts behave equally.
    [[nodiscard]] std::string debug_state(TimePoint now) const;

private:
    // Only the public constructor that copies the state of another agent uses this constructor.
    Agent(const Agent&) = default;

    // The purpose of the transaction in flight.
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

    // Functions that are defined in agent.cpp.
    void advance(TimePoint now);
    void submit_next(TimePoint now);
    void submit_next_of_term(TimePoint now);
    void schedule_next(TimePoint now);
    void submit(TimePoint now, Purpose purpose, Transaction transaction);
    void schedule_retry(TimePoint now);
    double random_fraction();  // from 0 to 1
    void on_full_list(TimePoint now, const std::vector<KeyValue>& records);
    void apply_records(TimePoint now, registry::Revision at, const std::vector<KeyValue>& records);

    // Functions that are defined in agent_join.cpp.
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

    // Functions that are defined in agent_heartbeat.cpp.
    void send_heartbeat(TimePoint now);
    void on_heartbeat_landed(TimePoint now);
    void check_own_heartbeat(TimePoint now, const std::vector<KeyValue>& records);
    HeartbeatRecord next_heartbeat_record();
    std::vector<Key> keys_to_read(TimePoint now);
    std::vector<Key> heartbeats_to_read(TimePoint now);
    KeyValue own_heartbeat() const { return {heartbeat_key(identity_.name), heartbeat_text_}; }
    bool reads_all_heartbeats() const;
    bool next_eviction(TimePoint now);

    // Functions that are defined in agent_leases.cpp.
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
    // Returns the number of live members that rank before this member in the duty's order. If `settled` is
    // true, counts only members that have been in the fleet for long enough to be handed a duty.
    std::size_t rank(TimePoint now, const DutyName&, const Duties::Duty&, bool settled) const;

    // Functions that are defined in agent_writes.cpp.
    bool next_publication(TimePoint now);
    bool next_write(TimePoint now);
    void finish_write(WriteOutcome outcome);

    // Functions that are defined in agent_debug.cpp.
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
    RecordValue heartbeat_text_;  // this member's newest heartbeat that the registry is known to hold
    RecordValue record_text_;     // this member's record as last written
    std::map<DutyName, FencingToken> refused_tokens_;  // published, or to be published
    bool started_ = false;
    bool leaving_ = false;

    Purpose purpose_ = Purpose::none;
    Transaction transaction_;  // the transaction in flight
    HeartbeatNumber heartbeat_in_transaction_;
    TimePoint reply_deadline_;  // of the transaction in flight
    TimePoint next_submit_at_;  // no transaction is submitted before this time
    TimePoint next_heartbeat_at_;
    TimePoint next_give_up_at_;     // no duty is handed over before this time
    int consecutive_timeouts_ = 0;  // consecutive transactions without a reply

    // Keys of the records that transactions without a reply were to write. The next heartbeat transaction
    // reads these records, since their values are unknown.
    std::set<Key> keys_of_unknown_outcome_;

    bool join_outcome_unknown_ = false;  // a join was submitted and its result is not known
    // Member record and heartbeat of another instance that uses this member's name, and the time since which
    // both are unchanged.
    std::optional<std::pair<RecordValue, RecordValue>> name_holder_;
    TimePoint name_holder_unchanged_since_;
    std::optional<JoinRefused> last_refusal_;  // the last refusal that was reported
    std::deque<PendingWrite> pending_writes_;
    RecordValue token_floor_;
    registry::Revision token_floor_revision_;
    std::set<CacheId> ejected_caches_;
    TimePoint next_publication_at_;
    std::optional<AppliedRevisions> applied_revisions_;
    HeartbeatReads heartbeat_reads_;
    registry::Revision newest_revision_;
    TimePoint heartbeat_sent_at_;  // of the newest heartbeat
    // At or after this time the next heartbeat of a site's member also reads heartbeats of other members, to
    // detect members that send none.
    TimePoint next_member_reads_at_;
};

}  // namespace irismux::fleet
