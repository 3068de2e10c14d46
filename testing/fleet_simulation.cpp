#include "testing/fleet_simulation.hpp"

#include <algorithm>

namespace irismux::test_support {

using namespace irismux::fleet;

namespace {

const Duration ms = Duration::micros(1000);
const Duration fault_interval = ms * 100, write_interval = ms * 400;
constexpr std::size_t max_backups = 64, max_violations = 20;

}  // namespace

struct FleetSimulation::Node final : public AgentTransport, public AgentObserver {
    Node(FleetSimulation& w, std::size_t n) : world(w), number(n), name("m" + std::to_string(n)) {}

    FleetSimulation& world;
    std::size_t number;
    MemberName name;
    std::unique_ptr<Agent> agent;
    double rate = 1;
    bool stopped = false, outbound_blocked = false, inbound_blocked = false;
    std::uint64_t transaction_number = 0;  // number of the last submitted transaction
    std::uint64_t process_number = 0;      // counts the member's processes
    std::optional<TimePoint> wake_at;
    std::uint64_t wake_no = 0;
    Revision delivered;  // newest revision that the watch has delivered
    std::uint64_t restores_seen = 0;
    bool delivering = false;
    std::string saved_fence;
    Incarnation previous_incarnation;
    std::vector<std::function<void()>> deferred;  // calls that wait until a stopped process resumes

    TimePoint clock() const { return TimePoint{} + Duration::seconds(world.now_.seconds() * rate); }
    TimePoint real(TimePoint local) const { return TimePoint::at_seconds(local.seconds() / rate + 1e-6); }

    void submit(const Transaction& d) override {
        ++transaction_number;
        world.on_submit(*this, d);
    }
    void schedule_wake(TimePoint local) override {
        const std::uint64_t mine = ++wake_no, born = process_number;
        world.schedule(std::max(real(local), world.now_), [this, mine, born] {
            if (born == process_number && mine == wake_no) world.wake(*this);
        });
    }
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override {}
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override {}
    void on_event(const FleetEvent&) override {}
    // Runs the function now or, if the process is stopped, when the process resumes. If the process ends
    // before it resumes, the function does not run.
    void when_running(std::function<void()> then) {
        if (!agent) return;
        if (stopped)
            deferred.push_back(std::move(then));
        else
            then();
    }
};

FleetSimulation::FleetSimulation(std::uint32_t seed, const Options& options,
                                 const SharedConfig& shared_config)
    : options_(options), shared_config_(shared_config), random_(seed) {
    for (std::size_t d = 0; d < options.duties; ++d) duties_.emplace_back("d" + std::to_string(d));
    owned_.resize(options.duties);
    unowned_since_.resize(options.duties, now_);
    for (std::size_t n = 0; n < options.members; ++n) {
        nodes_.push_back(std::make_unique<Node>(*this, n));
        // The first member has the slowest clock that the drift allows, the second member the fastest.
        const double deviation = n == 0 ? -1 : n == 1 ? 1 : 2 * random_fraction() - 1;
        nodes_.back()->rate = 1 + deviation * options.drift;
    }
    next_fault_ = next_backup_ = next_write_ = now_;
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::schedule(TimePoint due, std::function<void()> then) {
    events_[{due, next_event_number_++}] = std::move(then);
}

void FleetSimulation::start(std::size_t member) {
    Node& n = *nodes_[member];
    ++n.process_number;
    n.deferred.clear();
    n.stopped = n.inbound_blocked = n.outbound_blocked = n.delivering = false;
    n.delivered = {};
    n.restores_seen = 0;
    MemberIdentity identity{n.name, InstanceId{n.name.raw() + '.' + std::to_string(n.process_number)}, "1",
                            n.previous_incarnation};
    identity.reply_timeout = ms * 300;
    identity.randomized = options_.randomized;
    n.agent = std::make_unique<Agent>(n, n, shared_config_, identity, random_());
    if (!n.saved_fence.empty()) n.agent->fence().restore(n.saved_fence);
    n.agent->set_duties(n.clock(), {duties_.begin(), duties_.end()});
    n.agent->start(n.clock());
    deliver_records(n);
}

void FleetSimulation::start_all() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) start(n);
}

void FleetSimulation::kill(std::size_t member) {
    Node& n = *nodes_[member];
    if (!n.agent) return;
    n.saved_fence = n.agent->fence().serialize();
    n.previous_incarnation = n.agent->incarnation();
    n.agent.reset();
    ++n.process_number;
    n.deferred.clear();
}

void FleetSimulation::stop(std::size_t member) { nodes_[member]->stopped = true; }

void FleetSimulation::resume(std::size_t member) {
    Node& n = *nodes_[member];
    n.stopped = false;
    for (const auto& then : std::exchange(n.deferred, {}))
        if (n.agent && !n.stopped) then();
}

void FleetSimulation::recover(std::size_t member) {
    Node& n = *nodes_[member];
    if (!n.agent) return start(member);
    n.inbound_blocked = n.outbound_blocked = n.delivering = false;
    resume(member);
    deliver_records(n);
}

void FleetSimulation::wake(Node& n) {
    n.when_running([this, &n] {
        n.agent->on_wake(n.clock());
        check(false);
    });
}

Duration FleetSimulation::delay(double late) {
    const Duration usual = ms * (1 + 20 * random_fraction());
    return with_probability(late) ? shared_config_.term * (2.5 * random_fraction()) : usual;
}

void FleetSimulation::on_submit(Node& n, const Transaction& transaction) {
    if (n.outbound_blocked || with_probability(fault_rates_.lose)) return;
    const std::uint64_t number = n.transaction_number;
    const std::size_t no = n.number;
    const int times = with_probability(fault_rates_.repeat) ? 2 : 1;
    for (int t = 0; t < times; ++t)
        schedule(now_ + delay(fault_rates_.late),
                 [this, no, number, transaction] { settle(no, number, transaction); });
}

// Checks a write with the value DUTY/TOKEN/NAME/INCARNATION. The writer must be a fleet member with this
// incarnation. The fencing token must not be lower than the token of any write on this duty that the registry
// has accepted since its last restore.
void FleetSimulation::check_fenced_write(const std::string& value) {
    const std::size_t duty_end = value.find('/');
    const std::size_t token_end = value.find('/', duty_end + 1);
    const std::size_t name_end = value.rfind('/');
    const std::string duty = value.substr(0, duty_end);
    const std::int64_t token = std::atoll(value.c_str() + duty_end + 1);
    const MemberName who{value.substr(token_end + 1, name_end - token_end - 1)};
    const LeaseHolder holder{FencingToken{token}, who, Incarnation{std::atoll(value.c_str() + name_end + 1)}};
    const auto it = ledger_.records().find(member_key(who));
    const auto writer = it == ledger_.records().end() ? std::nullopt : parse_member(it->second);
    if (!writer || writer->incarnation != holder.incarnation)
        violations.push_back(
            "the registry accepted a fenced write by an instance that is not a fleet member: " + value);
    for (int n = 0; n < 2; ++n) send_order(DutyName{duty}, holder);
    if (token < highest_token_[duty])
        violations.push_back("the registry accepted a write on duty " + duty + " under the fencing token " +
                             std::to_string(token) + " after a write under the higher token " +
                             std::to_string(highest_token_[duty]));
    highest_token_[duty] = std::max(highest_token_[duty], token);
}

// Checks that the registry does not give the same token of a duty to two owners.
void FleetSimulation::check_owner(const Key& key, const std::string& value) {
    const auto duty = duty_of(key);
    const auto record = duty ? parse_duty(value) : std::nullopt;
    if (!record || record->owner.raw().empty()) return;
    ++owner_changes;
    const std::string who = record->owner.raw() + '/' + std::to_string(record->incarnation.raw());
    const auto [it, fresh] = token_owners_.try_emplace({duty->raw(), record->token.raw()}, who);
    if (!fresh && it->second != who)
        violations.push_back("the registry gave the fencing token " + std::to_string(record->token.raw()) +
                             " of duty " + duty->raw() + " to " + it->second + " and " + who);
}

// Checks the writes of a transaction in the order in which the registry commits them.
void FleetSimulation::check_writes(const Transaction& transaction, bool succeeded) {
    for (const auto& [key, value] : transaction.writes) {
        const bool is_work = key.raw().rfind("work/", 0) == 0;
        if (is_work) ++(succeeded ? accepted_writes : refused_writes);
        if (!succeeded || !value) continue;
        if (is_work) check_fenced_write(*value);
        check_owner(key, *value);
    }
}

void FleetSimulation::settle(std::size_t member, std::uint64_t number, const Transaction& transaction) {
    if (registry_down_) return;
    ++transactions;
    transaction_times.push_back(now_);
    const TransactionLedger::Outcome o = ledger_.settle(transaction);
    check_writes(transaction, o.succeeded);
    // Watches do not deliver heartbeats.
    const bool watched = std::any_of(transaction.writes.begin(), transaction.writes.end(),
                                     [](const KeyValue& e) { return e.first.raw().rfind("beat/", 0) != 0; });
    if (watched && o.succeeded)
        for (const auto& n : nodes_) deliver_records(*n);
    Node& n = *nodes_[member];
    if (n.transaction_number != number || n.inbound_blocked || with_probability(fault_rates_.lose)) return;
    const std::uint64_t process_number = n.process_number, history = restores_;
    schedule(now_ + delay(fault_rates_.late), [this, &n, process_number, history, number, o] {
        if (n.process_number != process_number || history != restores_) return;
        n.when_running([this, &n, number, o] {
            if (n.transaction_number == number)
                n.agent->on_transaction_result(n.clock(), o.revision, o.succeeded, o.values);
            check(false);
        });
    });
}

// Sends an order from a duty's owner directly to a random member, without the registry. Orders arrive late
// and not in the order in which they were sent. Some arrive after their sender has lost the duty.
void FleetSimulation::send_order(const DutyName& duty, const LeaseHolder& holder) {
    Node& n = *nodes_[random_() % nodes_.size()];
    schedule(now_ + shared_config_.term * (3 * random_fraction()), [this, &n, duty, holder] {
        if (!n.agent || n.stopped || !n.agent->accepts_holder(duty, holder)) return;
        FencingToken& heeded = accepted_tokens_[{n.number, duty}];
        if (holder.token < heeded)
            violations.push_back(n.name.raw() + " accepted an order with the fencing token " +
                                 std::to_string(holder.token.raw()) +
                                 " after an order with the higher token " + std::to_string(heeded.raw()));
        heeded = std::max(heeded, holder.token);
    });
}

// Simulates the watch of a fleet member: after a delay, delivers all changes up to the newest revision, in
// the order of their revisions.
void FleetSimulation::deliver_records(Node& n) {
    if (n.delivering || !n.agent) return;
    n.delivering = true;
    const std::uint64_t process_number = n.process_number;
    schedule(now_ + delay(fault_rates_.late / 4), [this, &n, process_number] {
        if (n.process_number != process_number) return;
        n.delivering = false;
        if (n.inbound_blocked || registry_down_) {
            n.delivering = true;  // delivered after the partition ends; see inject_fault()
            return;
        }
        n.when_running([this, &n] {
            const bool complete = n.restores_seen != restores_ + 1 || ledger_.compacted(n.delivered);
            const std::vector<KeyValue> list =
                complete ? ledger_.watched_records() : ledger_.changes(n.delivered, ledger_.revision());
            n.restores_seen = restores_ + 1;
            n.delivered = ledger_.revision();
            if (complete || !list.empty()) n.agent->on_records(n.clock(), ledger_.revision(), list, complete);
            check(false);
        });
    });
}

void FleetSimulation::inject_fault(const FaultRates& t) {
    const double share = fault_interval.seconds();
    for (const auto& node : nodes_) {
        Node& n = *node;
        if (with_probability(t.partition * share)) n.inbound_blocked = true;
        if (with_probability(t.partition * share)) n.outbound_blocked = true;
        if ((n.inbound_blocked || n.outbound_blocked) && t.partition > 0 && with_probability(share / 6)) {
            n.inbound_blocked = n.outbound_blocked = false;
            n.delivering = false;
            deliver_records(n);
        }
        if (n.agent && !n.stopped && with_probability(t.stop * share)) n.stopped = true;
        if (n.stopped && t.stop > 0 && with_probability(share / 8)) resume(n.number);
        if (n.agent && with_probability(t.crash * share)) kill(n.number);
        if (!n.agent && t.crash > 0 && with_probability(share / 5)) start(n.number);
    }
    if (with_probability(t.restore * share))
        restore_backup(shared_config_.term * (1 + 2 * random_fraction()));
}

// Restores a backup that is older than `age`. The fleet's guarantees assume that a backup is more than a term
// old when the registry is restored from it.
void FleetSimulation::restore_backup(Duration age) {
    for (auto b = backups_.rbegin(); b != backups_.rend(); ++b) {
        if (now_ - b->taken <= age) continue;
        ledger_.restore(b->records, b->revision);
        ++restores_;
        highest_token_.clear();
        token_owners_.clear();
        backups_.erase(b.base(), backups_.end());
        for (const auto& n : nodes_) {
            n->delivering = false;
            deliver_records(*n);
        }
        return;
    }
}

void FleetSimulation::set_registry_down(bool down) {
    registry_down_ = down;
    if (!down)
        for (const auto& n : nodes_) {
            n->delivering = false;
            deliver_records(*n);
        }
}

void FleetSimulation::partition(std::size_t member, bool inbound, bool outbound) {
    Node& n = *nodes_[member];
    n.inbound_blocked = inbound;
    n.outbound_blocked = outbound;
    n.delivering = false;
    deliver_records(n);
}

std::size_t FleetSimulation::max_transactions_within(Duration window) const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < transaction_times.size(); ++last) {
        while (transaction_times[last] - transaction_times[first] > window) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void FleetSimulation::run(Duration time, const FaultRates& fault_rates) {
    fault_rates_ = fault_rates;
    const TimePoint end = now_ + time;
    while (violations.size() < max_violations) {
        const TimePoint due = events_.empty() ? end : events_.begin()->first.first;
        const TimePoint timed = std::min({next_fault_, next_backup_, next_write_});
        if (std::min(due, timed) >= end) break;
        if (timed <= due) {
            now_ = std::max(now_, timed);
            if (now_ >= next_fault_) {
                next_fault_ = now_ + fault_interval;
                inject_fault(fault_rates);
                check(true);
            } else if (now_ >= next_backup_) {
                next_backup_ = now_ + shared_config_.term * 0.5;
                backups_.push_back({now_, ledger_.records(), ledger_.revision()});
                if (backups_.size() > max_backups) backups_.erase(backups_.begin());
            } else {
                next_write_ = now_ + write_interval;
                for (const auto& n : nodes_)
                    for (const DutyName& d : duties_)
                        if (options_.fenced_writes && n->agent && !n->stopped &&
                            n->agent->may_begin_work(n->clock(), d))
                            n->agent->write_fenced(
                                n->clock(), d,
                                Key{"work/" + d.raw() + '/' + std::to_string(++fenced_writes_ % 8)},
                                d.raw() + '/' + std::to_string(n->agent->token_of(d).raw()) + '/' +
                                    n->name.raw() + '/' + std::to_string(n->agent->incarnation().raw()));
            }
            continue;
        }
        now_ = std::max(now_, due);
        const auto then = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        then();
    }
    now_ = std::max(now_, end);
    check(true);
}

std::optional<std::size_t> FleetSimulation::owner(std::size_t duty) const {
    for (const auto& n : nodes_)
        if (n->agent && n->agent->may_act(n->clock(), duties_[duty])) return n->number;
    return std::nullopt;
}

void FleetSimulation::reset_measurements() {
    longest_unowned = {};
    transaction_times.clear();
    for (TimePoint& t : unowned_since_) t = now_;
}

// Checks that at most one fleet member is allowed to act on each duty now, where each member judges by its
// own clock. In a fleet of more than 12 members only every 64th call checks the duties, unless `all` is true.
void FleetSimulation::check(bool all) {
    if (nodes_.size() > 12 && !all && ++checks_ % 64 != 0) return;
    for (std::size_t d = 0; d < duties_.size(); ++d) {
        std::optional<std::size_t> first;
        for (const auto& n : nodes_) {
            if (!n->agent || !n->agent->may_act(n->clock(), duties_[d])) continue;
            if (first)
                violations.push_back("m" + std::to_string(*first) + " and " + n->name.raw() +
                                     " are both allowed to act on duty " + duties_[d].raw() + " at " +
                                     std::to_string(now_.seconds() - 1000) + " s");
            first = n->number;
        }
        if (!first) longest_unowned = std::max(longest_unowned, now_ - unowned_since_[d]);
        if (first) unowned_since_[d] = now_;
        owned_[d] = first;
    }
}

std::string FleetSimulation::debug_state() const {
    std::string all;
    for (const auto& n : nodes_)
        all += n->name.raw() + (n->agent ? (n->stopped ? " stopped\n" : " up\n") : " down\n") +
               (n->agent ? n->agent->debug_state(n->clock()) : "") + "\n";
    for (const auto& [key, value] : ledger_.records()) all += key.raw() + ' ' + value + '\n';
    return all;
}

}  // namespace irismux::test_support
