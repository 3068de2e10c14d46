// One gateway among its fellows: joins, gives signs of life, evicts those that give none, claims, hands on
// and gives up duties, and writes on behalf of the fleet. Round Membership, Lease, Fence and Duties; no I/O,
// no clock: the instant is that of the gateway's own steady clock and comes with each call.
//
// One deal with the registry is out at a time. A deal is a transaction: it compares, and writes only if all
// holds. An answer that does not come is neither yes nor no: the deal may have been done, may be done later,
// or never; each deal compares enough that a late one does no harm, and the next look shows which it was.
//
// Guarantees (premises in docs/fleet.md; may_act is judged at the instant given, never from before):
//   1  at no instant may two members act on one duty
//   2  a write on behalf of the fleet lands only while its writer owns the duty, by the registry's own order
//   3  no epoch of a duty is given to two owners, across restores of the registry too
#pragma once

#include <deque>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/digest.hpp"
#include "fleet/duties.hpp"
#include "fleet/fence.hpp"
#include "fleet/membership.hpp"

namespace irismux::fleet {

using Text = std::optional<std::string>;  // none: there is no such record
using Entry = std::pair<Key, Text>;

// Writes only if all that it holds is so; shows those records, as they are then, and if it fails all that it
// compared.
struct Transaction {
    std::vector<Entry> compares;
    std::vector<Entry> writes;
    std::vector<Key> reads;
};

// What an Agent asks of its carrier. Each deal replaces the one before: answers to a former one must not be
// told. Answers never come from within a call.
class RegistryPort {
public:
    virtual ~RegistryPort() = default;
    virtual void submit(const Transaction&) = 0;
    virtual void schedule_wake(Instant at) = 0;  // one at a time
};

// What is written on behalf of the fleet, and what must be so besides the writer's owning the duty.
struct FencedWrite {
    std::vector<Entry> compares;
    std::vector<Entry> writes;
};

enum class WriteOutcome { written, refused, unknown };

// Who is told what comes of it.
class AgentObserver {
public:
    virtual ~AgentObserver() = default;
    virtual void on_lease_state(const DutyName&, LeaseState, FencingToken) = 0;
    virtual void on_write_outcome(const DutyName&, const Key&, WriteOutcome) = 0;
    virtual void remark(std::string_view plain_line) = 0;
    // A heartbeat has landed: when it was sent, its number, and what its transaction showed.
    virtual void on_heartbeat_result(Instant, HeartbeatNumber, const std::vector<Entry>&) {}
    // An answer is of a lower revision than one before: the registry was restored.
    virtual void on_registry_went_back() {}
};

// A gateway's own part of the fleet's table.
struct MemberIdentity {
    MemberName name;
    InstanceId instance_id;        // drawn anew at each start
    std::string version;           // of the program
    Incarnation last_incarnation;  // the highest start that is known of that name; zero: none
    Span answer_in = Span::micros(1'000'000);
    bool spread = true;  // by chance: when signs of life go out, and whose are looked at
    // Of a site's member: a heartbeat goes out so soon after a change of what it claims, and the first join
    // enters the name in the site's roster. Zero: of no site.
    Span acknowledge_every = {};
};

// What each heartbeat of a site's member reads besides, and whether they go out as often as acknowledgements.
struct HeartbeatReads {
    std::set<MemberName> heartbeats;
    std::vector<Key> records;
    bool frequent = false;
    bool operator==(const HeartbeatReads&) const = default;
};

// For how long a duty may have no owner after its owner has stopped, while the registry answers within
// `answer` and the members counted on before the first that can claim are `places`. Holds for fleets that are
// looked at whole; in larger ones a look comes by chance, and each round without one adds a round.
Span longest_without_owner(const SharedConfig& shared_config, Span answer, std::size_t places);

class Agent {
public:
    Agent(RegistryPort& registry, AgentObserver& observer, const SharedConfig& shared_config,
          MemberIdentity identity, std::uint64_t seed);
    // The same at this instant, with other ports: for those who explore what may come of it.
    Agent(const Agent& as_is, RegistryPort& registry, AgentObserver& observer);

    void start(Instant now);
    void leave(Instant now);  // stops acting, then takes its records away
    // What this member knows of; an owner gives up what is not named any more. Of duties that are new here
    // the records must be told once more.
    void set_duties(Instant now, const std::set<DutyName>& names);
    // The caches that this gateway passes over; published at its own pace.
    void set_marked_caches(Instant now, std::set<CacheId> caches);
    // What this gateway has in force, for its heartbeats.
    void set_claim(Instant now, const std::optional<InForce>& claim);
    void set_heartbeat_reads(Instant now, HeartbeatReads reads);
    // Records as a watch shows them; they may lag. Keys of no sort known here are passed over.
    void on_records(Instant now, registry::Revision at, const std::vector<Entry>& records, bool full_list);
    void on_transaction_result(Instant now, registry::Revision at, bool held,
                               const std::vector<Entry>& shown);
    void on_no_answer(Instant now);  // the deal may have been done, or not, or may be done yet
    void on_wake(Instant now);

    bool may_act(Instant now, const DutyName&) const;
    bool may_begin(Instant now, const DutyName&) const;
    FencingToken token_of(const DutyName&) const;
    // Whether an order that another gives under that epoch is to be heeded.
    bool accepts(const DutyName& duty, const Holder& holder) { return fence_.accepts(duty, holder); }
    // Written if the duty is still ours when it lands; the answer is told. False: not ours, or too many wait.
    bool write_fenced(Instant now, const DutyName&, const Key&, const std::string& value);
    // As above; the answer names the key.
    bool write_fenced(Instant now, const DutyName&, const Key&, FencedWrite write_request);

    const Membership& membership() const { return membership_; }
    const Duties& duties() const { return duties_; }
    Fence& fence() { return fence_; }
    Incarnation incarnation() const { return start_; }
    const std::set<CacheId>& marked_caches() const { return marks_; }
    Instance self() const { return {identity_.name, start_}; }
    const Text& floor() const { return floor_; }
    // Whether that very instance is a member, as far as is known; those that can't be read are.
    bool is_member(const Instance&) const;
    std::string debug_state(Instant now) const;  // all that it goes by, times relative to now

private:
    enum class Step {
        none,
        read_own_records,
        found,
        join,
        heartbeat,
        publish,
        claim,
        yield,
        evict,
        write,
        leave
    };
    struct PendingWrite {
        DutyName duty;
        Key key;
        FencedWrite write_request;
    };

    void advance(Instant now);
    void begin_join(Instant now);
    bool next_duty(Instant now);
    bool next_eviction(Instant now);
    bool next_publication(Instant now);
    bool next_write(Instant now);
    void finish_write(WriteOutcome done);
    void submit(Instant now, Step step, Transaction transaction);
    void read_own_records(Instant now);
    void join(Instant now, const Text& member, const Text& heartbeat, const Text& roster);
    bool in_site() const { return identity_.acknowledge_every > Span{}; }
    void acknowledge_soon(Instant now);
    void send_heartbeat(Instant now);
    void learn(Instant now, registry::Revision at, const std::vector<Entry>& shown);
    void on_duty_record(const DutyName&, const Duties::Duty&);
    void on_own_heartbeat_shown(Instant now, const Text& heartbeat);
    void on_own_records(Instant now, const std::vector<Entry>& shown);
    void claim_duty(Instant now, const DutyName&, const Duties::Duty&);
    void give_up_duty(Instant now, const DutyName&, Duties::Duty&);
    void out(Instant now, std::string_view why);
    void update_leases(Instant now);
    void back_off(Instant now);
    double random_fraction();  // by chance, up to 1
    LeaseConditions lease_conditions(Instant now, const DutyName&, const Duties::Duty&) const;
    bool owned_here(const Duties::Duty&) const;
    bool unowned(const Duties::Duty&) const;
    FencingToken next_token(const DutyName&, const Duties::Duty&) const;
    FencingToken refused_elsewhere(const DutyName&) const;
    bool holds_lease(Instant now, const Duties::Duty&) const;
    // Of this member in the duty's order, over those that are counted on; 0 is the first.
    std::size_t rank(Instant now, const DutyName&, const Duties::Duty&, bool settled) const;
    std::vector<Key> keys_to_read(Instant now);
    std::vector<Key> heartbeats_to_read(Instant now);
    Entry own_heartbeat() const { return {heartbeat_key(identity_.name), heartbeat_text_}; }
    MemberRecord own_record() const;

    RegistryPort& registry_;
    AgentObserver& observer_;
    SharedConfig shared_config_;
    MemberIdentity identity_;
    std::ranlux24_base random_;
    Membership membership_;
    Duties duties_;
    Fence fence_;

    Incarnation start_;
    HeartbeatNumber last_heartbeat_;
    Text heartbeat_text_;                       // the newest of ours that the registry is known to hold
    Text record_;                               // our member record, as last written
    std::map<DutyName, FencingToken> refused_;  // to be published, or published already
    bool started_ = false, leaving_ = false;

    Step step_ = Step::none;
    Transaction out_;                // the deal at hand
    DutyName at_;                    // the duty that it is about
    HeartbeatNumber heartbeat_out_;  // the sign of life that it carries
    Instant answer_due_;             // no answer by then
    Instant next_submit_;            // nothing is asked before
    Instant next_heartbeat_, next_yield_;
    int unanswered_ = 0;  // in a row

    std::set<Key>
        unsettled_keys_;  // what deals without an answer were about; shown with the next sign of life

    bool join_out_ = false;                        // a join went out, and what came of it is not known
    std::optional<std::pair<Text, Text>> former_;  // who has our name: its record and its sign of life
    Instant former_since_;
    std::string last_remark_;  // the last remark on why we are not in
    std::deque<PendingWrite> pending_writes_;
    Text floor_;
    registry::Revision floor_at_;
    std::set<CacheId> marks_;
    Instant next_publication_;
    std::optional<InForce> claim_;
    HeartbeatReads reads_;
    registry::Revision newest_;
    Instant heartbeat_sent_, next_peer_reads_;  // the newest; the next that reads others' for the membership
};

}  // namespace irismux::fleet
