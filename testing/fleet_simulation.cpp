#include "testing/fleet_simulation.hpp"

#include <algorithm>

namespace irismux::stand_ins {

using namespace irismux::fleet;

namespace {

const Duration ms = Duration::micros(1000);
const Duration trouble_every = ms * 100, work_every = ms * 400;
constexpr std::size_t most_backups = 64, most_broken = 20;

}  // namespace

struct FleetSimulation::Node final : public AgentTransport, public AgentObserver {
    Node(FleetSimulation& w, std::size_t n) : world(w), no(n), name("m" + std::to_string(n)) {}

    FleetSimulation& world;
    std::size_t no;
    MemberName name;
    std::unique_ptr<Agent> agent;
    double rate = 1;
    bool stopped = false, cut_out = false, cut_in = false;
    std::uint64_t ask = 0;   // the transaction under way
    std::uint64_t life = 0;  // of the process
    std::optional<TimePoint> wake_at;
    std::uint64_t wake_no = 0;
    Revision told;  // by the watch
    std::uint64_t history = 0;
    bool telling = false;
    std::string kept;
    Incarnation former;
    std::vector<std::function<void()>> waiting;  // for a stopped process to go on

    TimePoint clock() const { return TimePoint{} + Duration::seconds(world.now_.seconds() * rate); }
    TimePoint real(TimePoint local) const { return TimePoint::at_seconds(local.seconds() / rate + 1e-6); }

    void submit(const Transaction& d) override {
        ++ask;
        world.on_submit(*this, d);
    }
    void schedule_wake(TimePoint local) override {
        const std::uint64_t mine = ++wake_no, born = life;
        world.at(std::max(real(local), world.now_), [this, mine, born] {
            if (born == life && mine == wake_no) world.wake(*this);
        });
    }
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override {}
    void on_write_outcome(const DutyName&, const Key&, WriteOutcome) override {}
    void on_event(const FleetEvent&) override {}
    // Runs at once, or when a stopped process goes on; never for a former one.
    void when_running(std::function<void()> then) {
        if (!agent) return;
        if (stopped)
            waiting.push_back(std::move(then));
        else
            then();
    }
};

FleetSimulation::FleetSimulation(std::uint32_t seed, const Shape& shape, const SharedConfig& shared_config)
    : shape_(shape), shared_config_(shared_config), chance_(seed) {
    for (std::size_t d = 0; d < shape.duties; ++d) duties_.emplace_back("d" + std::to_string(d));
    owned_.resize(shape.duties);
    without_since_.resize(shape.duties, now_);
    for (std::size_t n = 0; n < shape.members; ++n) {
        nodes_.push_back(std::make_unique<Node>(*this, n));
        // The first two stand at either end of what is allowed.
        const double off = n == 0 ? -1 : n == 1 ? 1 : 2 * random_fraction() - 1;
        nodes_.back()->rate = 1 + off * shape.drift;
    }
    next_fault_ = next_backup_ = next_work_ = now_;
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::at(TimePoint due, std::function<void()> then) {
    events_[{due, next_++}] = std::move(then);
}

void FleetSimulation::start(std::size_t member) {
    Node& n = *nodes_[member];
    ++n.life;
    n.waiting.clear();
    n.stopped = n.cut_in = n.cut_out = n.telling = false;
    n.told = {};
    n.history = 0;
    MemberIdentity identity{n.name, InstanceId{n.name.raw() + '.' + std::to_string(n.life)}, "1", n.former};
    identity.reply_timeout = ms * 300;
    identity.randomized = shape_.spread;
    n.agent = std::make_unique<Agent>(n, n, shared_config_, identity, chance_());
    if (!n.kept.empty()) n.agent->fence().restore(n.kept);
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
    n.kept = n.agent->fence().serialize();
    n.former = n.agent->incarnation();
    n.agent.reset();
    ++n.life;
    n.waiting.clear();
}

void FleetSimulation::stop(std::size_t member) { nodes_[member]->stopped = true; }

void FleetSimulation::resume(std::size_t member) {
    Node& n = *nodes_[member];
    n.stopped = false;
    for (const auto& then : std::exchange(n.waiting, {}))
        if (n.agent && !n.stopped) then();
}

void FleetSimulation::revive(std::size_t member) {
    Node& n = *nodes_[member];
    if (!n.agent) return start(member);
    n.cut_in = n.cut_out = n.telling = false;
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
    return happens(late) ? shared_config_.term * (2.5 * random_fraction()) : usual;
}

void FleetSimulation::on_submit(Node& n, const Transaction& transaction) {
    if (n.cut_out || happens(fault_rates_.lose)) return;
    const std::uint64_t ask = n.ask;
    const std::size_t no = n.no;
    const int times = happens(fault_rates_.repeat) ? 2 : 1;
    for (int t = 0; t < times; ++t)
        at(now_ + delay(fault_rates_.late), [this, no, ask, transaction] { settle(no, ask, transaction); });
}

// A value DUTY/TOKEN/NAME/INCARNATION: its writer has to be a member of that incarnation, and no token may be
// below one that has written.
void FleetSimulation::check_work(const std::string& value) {
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
        broken.push_back("a write by one who is no member: " + value);
    for (int n = 0; n < 2; ++n) order(DutyName{duty}, holder);
    if (token < highest_[duty])
        broken.push_back("a write by token " + std::to_string(token) + " after one by " +
                         std::to_string(highest_[duty]));
    highest_[duty] = std::max(highest_[duty], token);
}

// No token of a duty may be given to two owners.
void FleetSimulation::check_owner(const Key& key, const std::string& value) {
    const auto duty = duty_of(key);
    const auto record = duty ? parse_duty(value) : std::nullopt;
    if (!record || record->owner.raw().empty()) return;
    ++owners;
    const std::string who = record->owner.raw() + '/' + std::to_string(record->incarnation.raw());
    const auto [it, fresh] = given_.try_emplace({duty->raw(), record->token.raw()}, who);
    if (!fresh && it->second != who)
        broken.push_back("token " + std::to_string(record->token.raw()) + " of " + duty->raw() +
                         " given to " + it->second + " and " + who);
}

// The registry's ledger: what was written on behalf of the fleet, in the registry's order.
void FleetSimulation::check_writes(const Transaction& transaction, bool succeeded) {
    for (const auto& [key, value] : transaction.writes) {
        const bool is_work = key.raw().rfind("work/", 0) == 0;
        if (is_work) ++(succeeded ? written : refused);
        if (!succeeded || !value) continue;
        if (is_work) check_work(*value);
        check_owner(key, *value);
    }
}

void FleetSimulation::settle(std::size_t member, std::uint64_t ask, const Transaction& transaction) {
    if (down_) return;
    ++transactions;
    asked.push_back(now_);
    const TransactionLedger::Outcome o = ledger_.settle(transaction);
    check_writes(transaction, o.held);
    // Heartbeats are not watched.
    const bool watched = std::any_of(transaction.writes.begin(), transaction.writes.end(),
                                     [](const KeyValue& e) { return e.first.raw().rfind("beat/", 0) != 0; });
    if (watched && o.held)
        for (const auto& n : nodes_) deliver_records(*n);
    Node& n = *nodes_[member];
    if (n.ask != ask || n.cut_in || happens(fault_rates_.lose)) return;
    const std::uint64_t life = n.life, history = histories_;
    at(now_ + delay(fault_rates_.late), [this, &n, life, history, ask, o] {
        if (n.life != life || history != histories_) return;
        n.when_running([this, &n, ask, o] {
            if (n.ask == ask) n.agent->on_transaction_result(n.clock(), o.at, o.held, o.shown);
            check(false);
        });
    });
}

// An owner's order to some member, by another way than the registry: late, out of order, from former owners.
void FleetSimulation::order(const DutyName& duty, const LeaseHolder& holder) {
    Node& n = *nodes_[chance_() % nodes_.size()];
    at(now_ + shared_config_.term * (3 * random_fraction()), [this, &n, duty, holder] {
        if (!n.agent || n.stopped || !n.agent->accepts_holder(duty, holder)) return;
        FencingToken& heeded = heeded_[{n.no, duty}];
        if (holder.token < heeded)
            broken.push_back(n.name.raw() + " heeds epoch " + std::to_string(holder.token.raw()) + " after " +
                             std::to_string(heeded.raw()));
        heeded = std::max(heeded, holder.token);
    });
}

// The watch: everything up to some revision after a while, in order.
void FleetSimulation::deliver_records(Node& n) {
    if (n.telling || !n.agent) return;
    n.telling = true;
    const std::uint64_t life = n.life;
    at(now_ + delay(fault_rates_.late / 4), [this, &n, life] {
        if (n.life != life) return;
        n.telling = false;
        if (n.cut_in || down_) {
            n.telling = true;  // once it is mended it is told; see trouble()
            return;
        }
        n.when_running([this, &n] {
            const bool whole = n.history != histories_ + 1 || ledger_.forgotten(n.told);
            const std::vector<KeyValue> list =
                whole ? ledger_.all() : ledger_.changes(n.told, ledger_.revision());
            n.history = histories_ + 1;
            n.told = ledger_.revision();
            if (whole || !list.empty()) n.agent->on_records(n.clock(), ledger_.revision(), list, whole);
            check(false);
        });
    });
}

void FleetSimulation::inject_fault(const FaultRates& t) {
    const double share = trouble_every.seconds();
    for (const auto& node : nodes_) {
        Node& n = *node;
        if (happens(t.cut * share)) n.cut_in = true;
        if (happens(t.cut * share)) n.cut_out = true;
        if ((n.cut_in || n.cut_out) && t.cut > 0 && happens(share / 6)) {
            n.cut_in = n.cut_out = false;
            n.telling = false;
            deliver_records(n);
        }
        if (n.agent && !n.stopped && happens(t.stop * share)) n.stopped = true;
        if (n.stopped && t.stop > 0 && happens(share / 8)) resume(n.no);
        if (n.agent && happens(t.crash * share)) kill(n.no);
        if (!n.agent && t.crash > 0 && happens(share / 5)) start(n.no);
    }
    if (happens(t.restore * share)) restore_backup(shared_config_.term * (1 + 2 * random_fraction()));
}

// Premise of the guarantees: a backup is more than a term old when the registry answers from it.
void FleetSimulation::restore_backup(Duration age) {
    for (auto b = backups_.rbegin(); b != backups_.rend(); ++b) {
        if (now_ - b->taken <= age) continue;
        ledger_.restore(b->records, b->revision);
        ++histories_;
        highest_.clear();
        given_.clear();
        backups_.erase(b.base(), backups_.end());
        for (const auto& n : nodes_) {
            n->telling = false;
            deliver_records(*n);
        }
        return;
    }
}

void FleetSimulation::set_registry_down(bool is) {
    down_ = is;
    if (!is)
        for (const auto& n : nodes_) {
            n->telling = false;
            deliver_records(*n);
        }
}

void FleetSimulation::cut(std::size_t member, bool in, bool out) {
    Node& n = *nodes_[member];
    n.cut_in = in;
    n.cut_out = out;
    n.telling = false;
    deliver_records(n);
}

std::size_t FleetSimulation::max_transactions_within(Duration window) const {
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < asked.size(); ++last) {
        while (asked[last] - asked[first] > window) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

void FleetSimulation::run(Duration time, const FaultRates& troubles) {
    fault_rates_ = troubles;
    const TimePoint end = now_ + time;
    while (broken.size() < most_broken) {
        const TimePoint due = events_.empty() ? end : events_.begin()->first.first;
        const TimePoint timed = std::min({next_fault_, next_backup_, next_work_});
        if (std::min(due, timed) >= end) break;
        if (timed <= due) {
            now_ = std::max(now_, timed);
            if (now_ >= next_fault_) {
                next_fault_ = now_ + trouble_every;
                inject_fault(troubles);
                check(true);
            } else if (now_ >= next_backup_) {
                next_backup_ = now_ + shared_config_.term * 0.5;
                backups_.push_back({now_, ledger_.records(), ledger_.revision()});
                if (backups_.size() > most_backups) backups_.erase(backups_.begin());
            } else {
                next_work_ = now_ + work_every;
                for (const auto& n : nodes_)
                    for (const DutyName& d : duties_)
                        if (shape_.works && n->agent && !n->stopped &&
                            n->agent->may_begin_work(n->clock(), d))
                            n->agent->write_fenced(
                                n->clock(), d, Key{"work/" + d.raw() + '/' + std::to_string(++works_ % 8)},
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
        if (n->agent && n->agent->may_act(n->clock(), duties_[duty])) return n->no;
    return std::nullopt;
}

void FleetSimulation::mark() {
    longest_without = {};
    asked.clear();
    for (TimePoint& t : without_since_) t = now_;
}

// Every process is asked what it would do now, by its own clock; of a large fleet all of them only now and
// then, and else those that did something.
void FleetSimulation::check(bool all) {
    if (nodes_.size() > 12 && !all && ++checks_ % 64 != 0) return;
    for (std::size_t d = 0; d < duties_.size(); ++d) {
        std::optional<std::size_t> first;
        for (const auto& n : nodes_) {
            if (!n->agent || !n->agent->may_act(n->clock(), duties_[d])) continue;
            if (first)
                broken.push_back("m" + std::to_string(*first) + " and " + n->name.raw() + " may act on " +
                                 duties_[d].raw() + " at " + std::to_string(now_.seconds() - 1000));
            first = n->no;
        }
        if (!first) longest_without = std::max(longest_without, now_ - without_since_[d]);
        if (first) without_since_[d] = now_;
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

}  // namespace irismux::stand_ins
