#include "testing/interleaving_explorer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_set>

#include "fleet/agent.hpp"
#include "testing/transaction_ledger.hpp"

namespace irismux::test_support {

using namespace irismux::fleet;

namespace {

constexpr int ticks_per_term = 8;
constexpr std::int64_t tick_us = 1000;
constexpr int transactions_per_tick = 4;
// Number of revisions with changes that the registry keeps. A watch that is further behind reads all records
// again.
constexpr std::size_t max_history = 8;
const DutyName the_duty{"d"};

enum class Fault { none, request_lost, answer_lost, late, stop, stop_sent, stop_settled, cut, die };
constexpr Fault faults[] = {Fault::request_lost, Fault::answer_lost,  Fault::late, Fault::stop,
                            Fault::stop_sent,    Fault::stop_settled, Fault::cut,  Fault::die};
constexpr const char* fault_names[] = {
    "-",       "request lost",          "response lost",        "request late",
    "stopped", "stopped after sending", "stopped after commit", "partitioned",
    "crashed"};

struct AgentRecorder final : AgentTransport, AgentObserver {
    std::optional<Transaction> transaction;
    TimePoint wake_at;
    void submit(const Transaction& d) override { transaction = d; }
    void schedule_wake(TimePoint at) override { wake_at = at; }
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override {}
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override {}
    void on_event(const FleetEvent&) override {}
};

struct Node {
    MemberName name;
    double rate = 1;
    AgentRecorder recorder;
    std::unique_ptr<Agent> agent;
    bool stopped = false, cut = false;
    int process_number = 0;
    std::string saved_fence;
    Incarnation previous_incarnation;
    Revision told;
    int history = -1;
    std::optional<TransactionLedger::Outcome> answer;  // result that waits until the stopped process resumes

    Node() = default;
    Node(const Node& o)
        : name(o.name),
          rate(o.rate),
          recorder(o.recorder),
          agent(o.agent ? std::make_unique<Agent>(*o.agent, recorder, recorder) : nullptr),
          stopped(o.stopped),
          cut(o.cut),
          process_number(o.process_number),
          saved_fence(o.saved_fence),
          previous_incarnation(o.previous_incarnation),
          told(o.told),
          history(o.history),
          answer(o.answer) {}
    Node& operator=(const Node&) = delete;

    TimePoint clock(int tick) const {
        return TimePoint{} + Duration::micros(1'000'000) + Duration::micros(tick_us) * (tick * rate);
    }
};

// The events that led to a state. The search does not keep the earlier states themselves.
struct Trace {
    int tick;
    std::string told;
    std::shared_ptr<const Trace> before;
};

struct State {
    int tick = 0, faults_left = 0, history = 0;
    double drift = 0;
    TransactionLedger ledger{max_history};
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Transaction> late;
    struct Backup {
        int taken = 0;
        TransactionLedger::Records records;
        Revision revision;
    };
    std::vector<std::shared_ptr<const Backup>> backups;  // one backup every half term
    std::int64_t highest = 0;
    std::string violation;
    std::shared_ptr<const Trace> before;
    std::string told;  // events in this state's tick

    State() = default;
    State(const State& o)
        : tick(o.tick),
          faults_left(o.faults_left),
          history(o.history),
          drift(o.drift),
          ledger(o.ledger),
          late(o.late),
          backups(o.backups),
          highest(o.highest),
          violation(o.violation),
          before(o.before),
          told(o.told) {
        for (const auto& n : o.nodes) nodes.push_back(std::make_unique<Node>(*n));
    }

    TransactionLedger::Outcome settle(const Transaction& transaction) {
        TransactionLedger::Outcome o = ledger.settle(transaction);
        for (const auto& [key, value] : transaction.writes) {
            if (!o.succeeded || !value || key.raw().rfind("work/", 0) != 0) continue;
            // The value is TOKEN/NAME/INCARNATION. The writer must be a fleet member with this incarnation.
            // The fencing token must not be lower than the token of any write since the registry's last
            // restore.
            const std::size_t a = value->find('/'), b = value->rfind('/');
            const std::int64_t token = std::atoll(value->c_str());
            const auto it = ledger.records().find(member_key(MemberName{value->substr(a + 1, b - a - 1)}));
            const auto writer = it == ledger.records().end() ? std::nullopt : parse_member(it->second);
            if (!writer || writer->incarnation.raw() != std::atoll(value->c_str() + b + 1))
                violation =
                    "the registry accepted a fenced write by an instance that is not a fleet member: " +
                    *value;
            if (token < highest)
                violation = "the registry accepted the write " + *value +
                            " after a write under the higher fencing token " + std::to_string(highest);
            highest = std::max(highest, token);
        }
        return o;
    }

    void check_exclusive() {
        int acting = 0;
        for (const auto& n : nodes) acting += n->agent && n->agent->may_act(n->clock(tick), the_duty);
        if (acting > 1) violation = "two members are allowed to act at the same time";
    }

    void begin(Node& n) {
        ++n.process_number;
        n.stopped = n.cut = false;
        n.answer.reset();
        n.recorder = {};
        n.told = {};
        n.history = -1;
        MemberIdentity identity{n.name, InstanceId{n.name.raw() + std::to_string(n.process_number)}, "1",
                                n.previous_incarnation};
        identity.reply_timeout = Duration::micros(tick_us);
        identity.randomized = false;
        n.agent = std::make_unique<Agent>(
            n.recorder, n.recorder, SharedConfig{"x", Duration::micros(tick_us * ticks_per_term), drift},
            identity, 1);
        if (!n.saved_fence.empty()) n.agent->fence().restore(n.saved_fence);
        n.agent->set_duties(n.clock(tick), {the_duty});
        n.agent->start(n.clock(tick));
    }

    // Runs one process through one tick. A fault that hits a transaction hits the first transaction of the
    // tick.
    void run_tick(Node& n, Fault fault) {
        const TimePoint now = n.clock(tick);
        if (fault == Fault::die) {
            n.saved_fence = n.agent->fence().serialize();
            n.previous_incarnation = n.agent->incarnation();
            n.agent.reset();
            return;
        }
        if (fault == Fault::stop) n.stopped = true;
        if (fault == Fault::cut) n.cut = true;
        if (!n.agent || n.stopped) return;
        if (n.answer) {
            const TransactionLedger::Outcome o = *std::exchange(n.answer, std::nullopt);
            n.agent->on_transaction_result(now, o.revision, o.succeeded, o.values);
        }
        if (!n.cut && (n.history != history || n.told < ledger.revision())) {
            const bool complete = n.history != history || ledger.compacted(n.told);
            const auto list = complete ? ledger.watched_records() : ledger.changes(n.told, ledger.revision());
            n.history = history;
            n.told = ledger.revision();
            if (complete || !list.empty()) n.agent->on_records(now, ledger.revision(), list, complete);
        }
        if (n.recorder.wake_at <= now) n.agent->on_wake(now);
        if (n.agent->may_begin_work(now, the_duty))
            n.agent->write_fenced(now, the_duty, Key{"work/d"},
                                  std::to_string(n.agent->token_of(the_duty).raw()) + '/' + n.name.raw() +
                                      '/' + std::to_string(n.agent->incarnation().raw()));
        for (int k = 0; k < transactions_per_tick && n.recorder.transaction && !n.cut; ++k) {
            const Transaction transaction = *std::exchange(n.recorder.transaction, std::nullopt);
            const Fault f = std::exchange(fault, Fault::none);
            if (f == Fault::request_lost) return;
            if (f == Fault::late || f == Fault::stop_sent) {
                n.stopped = f == Fault::stop_sent;
                return late.push_back(transaction);
            }
            const TransactionLedger::Outcome o = settle(transaction);
            if (f == Fault::answer_lost) return;
            if (f == Fault::stop_settled) {
                n.stopped = true;
                n.answer = o;
                return;
            }
            n.agent->on_transaction_result(now, o.revision, o.succeeded, o.values);
        }
        n.recorder.transaction.reset();
    }

    XXH64_hash_t hash() const {
        std::string all = std::to_string(faults_left) + ' ' + std::to_string(highest) + '\n';
        for (const auto& n : nodes) {
            all += (n->stopped ? "s" : "r") + std::string(n->cut ? "c" : "l") + (n->answer ? "a" : "-") +
                   std::to_string(n->history == history ? (n->told < ledger.revision() ? 1 : 2) : 0);
            all += n->agent ? n->agent->debug_state(n->clock(tick))
                            : n->saved_fence + std::to_string(n->previous_incarnation.raw());
            all += '\n';
        }
        for (const auto& [key, value] : ledger.records()) all += key.raw() + value;
        for (const Transaction& d : late)
            for (const KeyValue& e : d.writes) all += "late " + e.first.raw() + e.second.value_or("-");
        for (const auto& b : backups)
            all += std::to_string(b->taken) + ',' + std::to_string(b->revision.raw());
        return XXH64(all.data(), all.size(), 0);
    }
};

using StatePtr = std::shared_ptr<const State>;

class Search {
public:
    explicit Search(const ExplorationBounds& b) : bounds_(b) {}

    ExplorationResult run() {
        auto root = std::make_shared<State>();
        root->drift = bounds_.drift;
        const double deviation = bounds_.first_is_slow ? bounds_.drift : -bounds_.drift;
        for (std::size_t n = 0; n < bounds_.members; ++n) {
            root->nodes.push_back(std::make_unique<Node>());
            root->nodes.back()->name = MemberName{"m" + std::to_string(n)};
            root->nodes.back()->rate = n == 0 ? 1 - deviation : n == 1 ? 1 + deviation : 1;
        }
        for (auto& n : root->nodes) root->begin(*n);
        // Brings the fleet to rest: all members have joined, and the member that is first in the duty's order
        // owns the duty.
        for (int t = 0; t < 6 * ticks_per_term; ++t) {
            ++root->tick;
            for (auto& n : root->nodes) root->run_tick(*n, Fault::none);
            back_up(*root);
        }
        // A fleet in which no member acts can't violate an invariant. A search from such a state would prove
        // nothing, so the explorer reports a failure.
        if (std::none_of(root->nodes.begin(), root->nodes.end(),
                         [&](const auto& n) { return n->agent->may_act(n->clock(root->tick), the_duty); })) {
            found_.path.push_back("no member owns the duty after the fleet has come to rest");
            return found_;
        }
        root->faults_left = bounds_.faults;
        std::vector<StatePtr> layer = {root};
        for (int t = 0; t < bounds_.ticks && found_.path.empty() && found_.complete; ++t) {
            next_.clear();
            seen_.clear();
            for (const StatePtr& s : layer) {
                branch(s);
                if (!found_.path.empty() || !found_.complete) break;
            }
            layer = std::move(next_);
        }
        return found_;
    }

private:
    static void back_up(State& s) {
        if (s.tick % (ticks_per_term / 2) != 0) return;
        s.backups.push_back(
            std::make_shared<State::Backup>(State::Backup{s.tick, s.ledger.records(), s.ledger.revision()}));
        if (s.backups.size() > 4) s.backups.erase(s.backups.begin());
    }

    // Branches over the events that can happen before the processes run: none, the arrival of a late request,
    // or a restore of the registry.
    void branch(const StatePtr& s) {
        auto fresh = [&] {
            auto c = std::make_shared<State>(*s);
            if (!s->told.empty()) c->before = std::make_shared<Trace>(Trace{s->tick, s->told, s->before});
            c->told.clear();
            ++c->tick;
            return c;
        };
        branch_recoveries(fresh());
        for (std::size_t l = 0; l < s->late.size(); ++l) {
            auto c = fresh();
            const Transaction transaction = c->late[l];
            c->late.erase(c->late.begin() + static_cast<std::ptrdiff_t>(l));
            c->settle(transaction);
            c->told += "a late request arrives; ";
            branch_recoveries(c);
        }
        if (s->faults_left > 0)
            for (const auto& b : s->backups)
                if (s->tick + 1 - b->taken >= ticks_per_term) {
                    auto c = fresh();
                    c->ledger.restore(b->records, b->revision);
                    ++c->history;
                    c->highest = 0;
                    c->backups.clear();
                    --c->faults_left;
                    c->told += "the registry is restored to tick " + std::to_string(b->taken) + "; ";
                    branch_recoveries(c);
                    break;
                }
    }

    // Branches over recoveries: each process that is stopped, crashed or partitioned either recovers or stays
    // as it is. Then branch_faults() branches over the faults of one process.
    void branch_recoveries(const std::shared_ptr<State>& c, std::size_t n = 0) {
        if (n == c->nodes.size()) return branch_faults(c);
        Node& node = *c->nodes[n];
        if (node.stopped || node.cut || !node.agent) {
            auto other = std::make_shared<State>(*c);
            other->told += node.name.raw() + (node.agent ? " resumes; " : " restarts; ");
            Node& again = *other->nodes[n];
            again.stopped = again.cut = false;
            if (!again.agent) other->begin(again);
            branch_recoveries(other, n + 1);
        }
        branch_recoveries(c, n + 1);
    }

    void branch_faults(const std::shared_ptr<State>& c) {
        end(c, 0, Fault::none);
        if (c->faults_left == 0) return;
        for (std::size_t n = 0; n < c->nodes.size(); ++n)
            for (const Fault f : faults)
                if (c->nodes[n]->agent && !c->nodes[n]->stopped && !(f == Fault::cut && c->nodes[n]->cut))
                    end(c, n, f);
    }

    void end(const std::shared_ptr<State>& c, std::size_t who, Fault fault) {
        for (const bool reversed : {false, true}) {
            auto s = std::make_shared<State>(*c);
            if (fault != Fault::none) {
                --s->faults_left;
                s->told += s->nodes[who]->name.raw() + ' ' + fault_names[static_cast<std::size_t>(fault)];
            }
            s->check_exclusive();  // before any process receives anything
            for (std::size_t k = 0; k < s->nodes.size(); ++k) {
                const std::size_t n = reversed ? s->nodes.size() - 1 - k : k;
                s->run_tick(*s->nodes[n], n == who ? fault : Fault::none);
                s->check_exclusive();
            }
            back_up(*s);
            if (!s->violation.empty()) {
                if (found_.path.empty()) report_path(*s);
                return;
            }
            if (!seen_.insert(s->hash()).second) continue;
            if (++found_.states >= bounds_.max_states) found_.complete = false;
            next_.push_back(std::move(s));
        }
    }

    void report_path(const State& s) {
        found_.path.push_back("tick " + std::to_string(s.tick) + ": " + s.told + " => " + s.violation);
        for (const Trace* p = s.before.get(); p; p = p->before.get())
            found_.path.insert(found_.path.begin(), "tick " + std::to_string(p->tick) + ": " + p->told);
    }

    ExplorationBounds bounds_;
    ExplorationResult found_;
    std::vector<StatePtr> next_;
    std::unordered_set<XXH64_hash_t> seen_;
};

}  // namespace

ExplorationResult explore(const ExplorationBounds& bounds) { return Search(bounds).run(); }

}  // namespace irismux::test_support
