#include "testing/site_simulation.hpp"

#include <algorithm>

namespace irismux::test_support {

using namespace irismux::fleet;

namespace {

const Duration ms = Duration::micros(1000);
const Duration fault_interval = ms * 100, poll_interval = ms * 200, poll_timeout = ms * 600;
const Duration acknowledge_every = ms * 250, read_interval = ms * 250;
constexpr std::size_t max_backups = 64, max_violations = 20;
constexpr const char* outside = "-";  // site name of members without a site

// Returns the ledger's key for a key of a site. Records that no watch delivers are below `beat/`, all other
// records of the site below the site's name. The generation's record belongs to all sites and keeps its key.
std::string ledger_key(const std::string& site, const Key& key) {
    if (key == generation_key()) return key.raw();
    if (const auto member = heartbeat_owner(key)) return "beat/" + site + '/' + member->raw();
    if (key == digest_key()) return "beat/" + site + "/=digest";
    return site + '/' + key.raw();
}

}  // namespace

// A fleet member, with its process if the process runs, and with the state of the member's links.
struct SiteSimulation::Process final : public AgentTransport, public AgentObserver {
    Process(SiteSimulation& w, std::size_t n, std::string in) : world(w), number(n), site(std::move(in)) {}

    SiteSimulation& world;
    std::size_t number;
    std::string site;
    MemberName name{"m" + std::to_string(number)};
    std::unique_ptr<Agent> agent;
    std::unique_ptr<SiteReporter> reporter;  // unset for a fleet member without a site
    double rate = 1;
    bool stopped = false, outbound_blocked = false, inbound_blocked = false, board_blocked = false,
         leaving = false;
    std::uint64_t transaction_number = 0, process_number = 0, polls = 0, wake_no = 0, restores_seen = 0;
    Revision delivered;
    bool delivering = false;
    std::set<int> in_force;  // events in force at the member
    std::int64_t position = 0;
    Incarnation previous_incarnation;
    std::string saved_fence;
    std::vector<std::function<void()>> deferred;

    TimePoint clock() const { return TimePoint{} + Duration::seconds(world.now_.seconds() * rate); }
    TimePoint real(TimePoint local) const { return TimePoint::at_seconds(local.seconds() / rate + 1e-6); }
    std::int64_t unix_ms() const { return static_cast<std::int64_t>(world.now_.seconds() * 1000); }

    void submit(const Transaction& d) override {
        ++transaction_number;
        world.submit(*this, d);
    }
    void schedule_wake(TimePoint local) override {
        const std::uint64_t mine = ++wake_no, born = process_number;
        world.schedule(std::max(real(local), world.now_), [this, mine, born] {
            if (born == process_number && mine == wake_no) world.wake(*this);
        });
    }
    void on_lease_state(const DutyName&, LeaseState, FencingToken) override {}
    void on_write_outcome(const DutyName&, const Key& key, WriteOutcome) override {
        if (reporter) reporter->on_written(key);
    }
    void on_event(const FleetEvent&) override {}
    void on_registry_restored() override {
        if (reporter) reporter->applied().on_history_lost();
    }
    void on_heartbeat_result(TimePoint sent, HeartbeatNumber heartbeat,
                             const std::vector<KeyValue>& shown) override {
        if (reporter) reporter->on_heartbeat(clock(), unix_ms(), sent, heartbeat, shown, *agent);
    }
    void when_running(std::function<void()> then) {
        if (!agent) return;
        if (stopped)
            deferred.push_back(std::move(then));
        else
            then();
    }
};

struct SiteSimulation::Reader {
    Reader(const SiteSimulation& w, std::map<SiteName, std::size_t> inventory, double clock_rate)
        : status(w.shared_config_.term, std::move(inventory)), rate(clock_rate) {}
    FleetStatus status;
    double rate;
    std::size_t number = 0;
};

SiteSimulation::SiteSimulation(std::uint32_t seed, const Options& options, const SharedConfig& shared_config)
    : options_(options), shared_config_(shared_config), random_(seed) {
    std::map<SiteName, std::size_t> inventory;
    for (const auto& [site, count] : options.inventory) inventory[SiteName{site}] = count;
    for (std::size_t s = 0; s < options.sites.size(); ++s) {
        site_names_.push_back("s" + std::to_string(s));
        if (!options.inventory.contains(site_names_[s]))
            inventory[SiteName{site_names_[s]}] = options.sites[s];
        for (std::size_t n = 0; n < options.sites[s]; ++n)
            processes_.push_back(std::make_unique<Process>(*this, processes_.size(), site_names_[s]));
    }
    for (std::size_t n = 0; n < options.legacy_members; ++n)
        processes_.push_back(std::make_unique<Process>(*this, processes_.size(), outside));
    for (const auto& p : processes_) {
        // The first member has the slowest clock that the drift allows, the second member the fastest.
        const double deviation = p->number == 0 ? -1 : p->number == 1 ? 1 : 2 * random_fraction() - 1;
        p->rate = 1 + deviation * options.drift;
    }
    for (const double end : {-1.0, 1.0}) {
        readers_.push_back(std::make_unique<Reader>(*this, inventory, 1 + end * options.drift));
        readers_.back()->number = readers_.size() - 1;
    }
    last_verdicts_.resize(readers_.size());
    next_fault_ = next_backup_ = next_publication_ = now_;
    if (options.readers)
        for (const auto& r : readers_) read(*r);
}

SiteSimulation::~SiteSimulation() = default;

void SiteSimulation::schedule(TimePoint due, std::function<void()> then) {
    events_[{due, next_event_number_++}] = std::move(then);
}

std::size_t SiteSimulation::member(std::size_t site, std::size_t place) const {
    std::size_t first = 0;
    for (std::size_t s = 0; s < site; ++s) first += options_.sites[s];
    return first + place;
}

std::size_t SiteSimulation::members() const { return processes_.size(); }

std::size_t SiteSimulation::owner(std::size_t site) const {
    for (const auto& p : processes_)
        if (p->site == site_names_[site] && p->agent && p->agent->may_act(p->clock(), digest_duty()))
            return p->number;
    return members();
}

std::int64_t SiteSimulation::newest() const { return static_cast<std::int64_t>(board_.size()); }

Duration SiteSimulation::delay(double late) {
    const Duration usual = ms * (1 + 20 * random_fraction());
    return with_probability(late) ? shared_config_.term * (2.5 * random_fraction()) : usual;
}

// --- processes ------------------------------------------------------------------------------------------

void SiteSimulation::start(std::size_t member, std::size_t events_ago) {
    Process& p = *processes_[member];
    ++p.process_number;
    p.deferred.clear();
    p.stopped = p.leaving = p.delivering = false;
    p.delivered = {};
    p.restores_seen = 0;
    const std::size_t known = board_.size() - std::min(board_.size(), events_ago);
    p.in_force = {board_.begin(), board_.begin() + static_cast<std::ptrdiff_t>(known)};
    p.position = static_cast<std::int64_t>(known);
    const std::string id = p.name.raw() + '.' + std::to_string(p.process_number);
    MemberIdentity identity{p.name, InstanceId{id}, "1", p.previous_incarnation};
    identity.reply_timeout = ms * 300;
    const bool of_a_site = p.site != outside;
    if (of_a_site) identity.acknowledge_interval = acknowledge_every;
    p.agent = std::make_unique<Agent>(p, p, shared_config_, identity, random_());
    if (!p.saved_fence.empty()) p.agent->fence().restore(p.saved_fence);
    if (of_a_site)
        p.reporter = std::make_unique<SiteReporter>(
            SiteReporter::Settings{p.name, id, shared_config_.term, acknowledge_every, shared_config_.drift},
            p.clock());
    p.agent->set_duties(p.clock(), of_a_site ? std::set<DutyName>{digest_duty()} : std::set<DutyName>{});
    p.agent->start(p.clock());
    deliver_records(p);
    poll(p);
}

void SiteSimulation::start_all() {
    for (const auto& p : processes_) start(p->number);
}

void SiteSimulation::kill(std::size_t member) {
    Process& p = *processes_[member];
    if (!p.agent) return;
    p.saved_fence = p.agent->fence().serialize();
    p.previous_incarnation = p.agent->incarnation();
    p.agent.reset();
    p.reporter.reset();
    ++p.process_number;
    p.deferred.clear();
}

void SiteSimulation::leave(std::size_t member) {
    Process& p = *processes_[member];
    if (p.agent) p.agent->leave(p.clock());
}

void SiteSimulation::stop(std::size_t member) { processes_[member]->stopped = true; }

void SiteSimulation::resume(std::size_t member) {
    Process& p = *processes_[member];
    p.stopped = false;
    for (const auto& then : std::exchange(p.deferred, {}))
        if (p.agent && !p.stopped) then();
}

void SiteSimulation::partition(std::size_t member, bool inbound, bool outbound) {
    Process& p = *processes_[member];
    p.inbound_blocked = inbound;
    p.outbound_blocked = outbound;
    p.delivering = false;
    deliver_records(p);
}

void SiteSimulation::partition_board(std::size_t member, bool enabled) {
    processes_[member]->board_blocked = enabled;
}

void SiteSimulation::recover(std::size_t member) {
    partition(member, false, false);
    partition_board(member, false);
    if (!processes_[member]->agent) return start(member);
    resume(member);
}

void SiteSimulation::wake(Process& p) {
    p.when_running([this, &p] {
        p.agent->on_wake(p.clock());
        step(p);
    });
}

void SiteSimulation::step(Process& p) {
    if (p.reporter) p.reporter->advance(p.clock(), *p.agent);
}

// --- the registry ---------------------------------------------------------------------------------------

void SiteSimulation::submit(Process& p, const Transaction& transaction) {
    if (p.outbound_blocked || with_probability(fault_rates_.lose)) return;
    const std::uint64_t number = p.transaction_number, process_number = p.process_number;
    const std::size_t no = p.number;
    const int times = with_probability(fault_rates_.repeat) ? 2 : 1;
    for (int t = 0; t < times; ++t)
        schedule(now_ + delay(fault_rates_.late), [this, no, number, process_number, transaction] {
            settle(no, number, process_number, transaction);
        });
}

void SiteSimulation::settle(std::size_t member, std::uint64_t number, std::uint64_t process_number,
                            const Transaction& transaction) {
    ++transactions;
    Process& p = *processes_[member];
    Transaction mapped;
    for (const auto& [key, text] : transaction.compares)
        mapped.compares.emplace_back(Key{ledger_key(p.site, key)}, text);
    for (const auto& [key, text] : transaction.writes)
        mapped.writes.emplace_back(Key{ledger_key(p.site, key)}, text);
    for (const Key& key : transaction.reads) mapped.reads.emplace_back(ledger_key(p.site, key));
    TransactionLedger::Outcome o = ledger_.settle(mapped);
    for (std::size_t n = 0; n < o.values.size(); ++n)
        o.values[n].first = o.succeeded ? transaction.reads[n] : transaction.compares[n].first;
    const bool watched = std::any_of(mapped.writes.begin(), mapped.writes.end(), [&](const KeyValue& e) {
        return e.first.raw().rfind(p.site + '/', 0) == 0;
    });
    if (watched && o.succeeded)
        for (const auto& other : processes_)
            if (other->site == p.site) deliver_records(*other);
    if (p.process_number != process_number || p.transaction_number != number || p.inbound_blocked ||
        with_probability(fault_rates_.lose))
        return;
    const std::uint64_t history = restores_;
    schedule(now_ + delay(fault_rates_.late), [this, &p, process_number, history, number, o] {
        if (p.process_number != process_number || history != restores_) return;
        p.when_running([this, &p, number, o] {
            if (p.transaction_number == number)
                p.agent->on_transaction_result(p.clock(), o.revision, o.succeeded, o.values);
            step(p);
        });
    });
}

// Simulates a fleet member's watch on the records of the member's site: after a delay, delivers all changes
// up to the newest revision, in the order of their revisions.
void SiteSimulation::deliver_records(Process& p) {
    if (p.delivering || !p.agent || p.inbound_blocked) return;
    p.delivering = true;
    const std::uint64_t process_number = p.process_number;
    schedule(now_ + delay(fault_rates_.late / 4), [this, &p, process_number] {
        if (p.process_number != process_number) return;
        p.delivering = false;
        if (p.inbound_blocked) return;
        p.when_running([this, &p] {
            const bool complete = p.restores_seen != restores_ + 1 || ledger_.compacted(p.delivered);
            std::vector<KeyValue> list;
            for (const auto& [key, text] :
                 complete ? ledger_.watched_records() : ledger_.changes(p.delivered, ledger_.revision()))
                if (key.raw().rfind(p.site + '/', 0) == 0)
                    list.emplace_back(Key{key.raw().substr(p.site.size() + 1)}, text);
            p.restores_seen = restores_ + 1;
            p.delivered = ledger_.revision();
            if (!complete && list.empty()) return;
            deliveries += list.size();
            p.agent->on_records(p.clock(), ledger_.revision(), list, complete);
            step(p);
        });
    });
}

// Restores a backup that is older than `age`. The fleet's guarantees assume that a backup is more than a term
// old when the registry is restored from it.
void SiteSimulation::restore_registry(Duration age) {
    for (auto b = backups_.rbegin(); b != backups_.rend(); ++b) {
        if (now_ - b->taken <= age) continue;
        ledger_.restore(b->records, b->revision);
        ++restores_;
        backups_.erase(b.base(), backups_.end());
        for (const auto& p : processes_) {
            p->delivering = false;
            deliver_records(*p);
        }
        return;
    }
}

// Does what the operator's command `forget` does: removes the member's name from the site's roster if no
// member is registered under this name.
void SiteSimulation::forget_member(std::size_t member) {
    const Process& p = *processes_[member];
    const Key roster{ledger_key(p.site, roster_key())}, is_member{ledger_key(p.site, member_key(p.name))};
    const auto it = ledger_.records().find(roster);
    if (it == ledger_.records().end() || ledger_.records().contains(is_member)) return;
    SiteRoster next = parse_site_roster(it->second).value_or(SiteRoster{});
    next.names.erase(p.name);
    ledger_.settle({{{roster, it->second}, {is_member, std::nullopt}}, {{roster, serialize(next)}}, {}});
}

// --- the board ------------------------------------------------------------------------------------------

void SiteSimulation::publish() {
    board_.push_back(++published_);
    note_in_force();
}

// Polls the board like the notice client, which applies a response before it sends the next poll.
void SiteSimulation::poll(Process& p) {
    const std::uint64_t process_number = p.process_number, mine = ++p.polls;
    p.when_running([this, &p, process_number, mine] {
        if (p.process_number != process_number || p.polls != mine) return;
        const bool from_start = p.reporter && p.reporter->applied().needs_full_history();
        if (from_start) p.position = 0;
        if (p.reporter) p.reporter->applied().on_poll_started(from_start);
        if (p.board_blocked) return fail_poll(p, process_number);
        const std::int64_t from = p.position;
        schedule(now_ + delay(fault_rates_.late / 4),
                 [this, &p, process_number, from] { answer_poll(p, process_number, from); });
    });
}

void SiteSimulation::fail_poll(Process& p, std::uint64_t process_number) {
    schedule(now_ + poll_timeout, [this, &p, process_number] {
        if (p.process_number != process_number) return;
        p.when_running([&p] {
            if (p.reporter) p.reporter->applied().on_poll_failed();
        });
        poll(p);
    });
}

void SiteSimulation::answer_poll(Process& p, std::uint64_t process_number, std::int64_t from) {
    const std::int64_t newest = this->newest();
    std::vector<int> notices;
    for (std::int64_t n = from; n < newest; ++n) notices.push_back(board_[static_cast<std::size_t>(n)]);
    schedule(now_ + delay(fault_rates_.late / 4), [this, &p, process_number, from, newest, notices] {
        if (p.process_number != process_number) return;
        p.when_running([this, &p, from, newest, notices] { apply_notices(p, from, newest, notices); });
        schedule(now_ + poll_interval, [this, &p, process_number] {
            if (p.process_number == process_number) poll(p);
        });
    });
}

void SiteSimulation::apply_notices(Process& p, std::int64_t from, std::int64_t newest,
                                   const std::vector<int>& notices) {
    p.in_force.insert(notices.begin(), notices.end());
    p.position = std::max(p.position, newest);
    if (p.reporter) p.reporter->applied().on_poll_completed(EventNumber{newest}, EventNumber{from});
    note_in_force();
    step(p);
}

void SiteSimulation::restore_board(std::size_t events, bool announced) {
    const std::size_t left = board_.size() - std::min(events, board_.size());
    board_.resize(left);
    if (!announced) return;
    const auto it = ledger_.records().find(generation_key());
    const auto shown = it == ledger_.records().end() ? std::nullopt : parse_generation(it->second);
    const auto next = next_generation(
        shown, {}, true, "operator." + std::to_string(published_) + '.' + std::to_string(next_event_number_));
    ledger_.settle({{}, {{generation_key(), serialize(*next)}}, {}});
}

// --- the readers' verdicts and their check --------------------------------------------------------------

void SiteSimulation::read(Reader& r) {
    const TimePoint asked = TimePoint{} + Duration::seconds(now_.seconds() * r.rate);
    schedule(now_ + delay(fault_rates_.late), [this, &r, asked] {
        FleetStatus::RegistryReading reading;
        reading.requested_at = asked;
        const auto text = [&](const std::string& key) -> RecordValue {
            const auto it = ledger_.records().find(Key{key});
            return it == ledger_.records().end() ? RecordValue{} : RecordValue{it->second};
        };
        reading.generation = text(generation_key().raw());
        const auto owners = r.status.owners();
        for (const std::string& site : site_names_) {
            if (const RecordValue digest = text(ledger_key(site, digest_key())))
                reading.digests[SiteName{site}] = *digest;
            if (const auto owner = owners.find(SiteName{site}); owner != owners.end())
                if (const RecordValue beat = text(ledger_key(site, heartbeat_key(owner->second))))
                    reading.owner_heartbeats[SiteName{site}] = *beat;
        }
        const std::string members = std::string(outside) + "/member/";
        for (const auto& [key, record] : ledger_.records())
            if (key.raw().rfind(members, 0) == 0)
                reading.members_outside_sites.emplace(key.raw().substr(members.size()));
        schedule(now_ + delay(fault_rates_.late), [this, &r, reading] {
            r.status.on_reading(reading);
            r.status.on_newest_event(EventNumber{newest()});
            judge(r);
            schedule(now_ + read_interval, [this, &r] { read(r); });
        });
    });
}

bool SiteSimulation::acts_without(const Process& p, int event) const {
    if (!p.agent || p.in_force.contains(event)) return false;
    return !p.reporter || p.reporter->may_serve(p.clock());
}

bool SiteSimulation::in_force_everywhere() const {
    return !board_.empty() && std::none_of(processes_.begin(), processes_.end(),
                                           [&](const auto& p) { return acts_without(*p, board_.back()); });
}

void SiteSimulation::note_in_force() {
    for (std::size_t n = board_.size(); n > 0 && n + 40 > board_.size(); --n) {
        const int event = board_[n - 1];
        if (in_force_since_.contains(event)) continue;
        if (std::none_of(processes_.begin(), processes_.end(),
                         [&](const auto& p) { return acts_without(*p, event); }))
            in_force_since_[event] = now_;
    }
}

FleetStatus::Verdict SiteSimulation::verdict_of(std::int64_t event) { return asked_about_[event]; }

void SiteSimulation::judge(Reader& r) {
    std::set<std::int64_t> numbers;
    for (std::int64_t n = std::max<std::int64_t>(1, newest() - 30); n <= newest(); ++n) numbers.insert(n);
    for (const auto& [n, verdict] : asked_about_)
        if (n > 0 && n <= newest()) numbers.insert(n);
    for (const std::int64_t n : numbers) judge(r, n);
}

void SiteSimulation::judge(Reader& r, std::int64_t n) {
    const TimePoint local = TimePoint{} + Duration::seconds(now_.seconds() * r.rate);
    const auto verdict = r.status.judge(local, {EventNumber{n}, {}});
    const int event = board_[static_cast<std::size_t>(n - 1)];
    if (n == newest()) last_verdicts_[r.number] = {now_, n, verdict};
    if (const auto it = asked_about_.find(n); r.number == 0 && it != asked_about_.end()) it->second = verdict;
    if (verdict.reach == FleetStatus::Reach::not_yet) return;
    const bool all = verdict.reach == FleetStatus::Reach::everywhere;
    ++(all ? everywhere_verdicts : all_but_verdicts);
    if (all && r.number == 0 && reported_everywhere_.insert(event).second && in_force_since_.contains(event))
        longest_verdict_delay = std::max(longest_verdict_delay, now_ - in_force_since_.at(event));
    for (const auto& p : processes_) {
        const bool excepted = std::any_of(verdict.missing.begin(), verdict.missing.end(), [&](const auto& m) {
            return m.site.raw() == p->site && (m.member == p->name || m.member.raw().empty());
        });
        if (excepted || !acts_without(*p, event) || violations.size() >= max_violations) continue;
        violations.push_back((all ? "`everywhere`" : "`all_but`") + std::string(" was reported for event ") +
                             std::to_string(n) + " at " + std::to_string(now_.seconds() - 1000) + " s, but " +
                             p->name.raw() + " acts without the event");
    }
}

void SiteSimulation::reset_measurements() { longest_verdict_delay = {}; }

// --- time -----------------------------------------------------------------------------------------------

void SiteSimulation::inject_fault(const FaultRates& t) {
    const double share = fault_interval.seconds();
    for (const auto& process : processes_) {
        Process& p = *process;
        if (with_probability(t.partition * share)) p.inbound_blocked = true;
        if (with_probability(t.partition * share)) p.outbound_blocked = true;
        if (with_probability(t.board_partition * share)) p.board_blocked = true;
        if (p.board_blocked && t.board_partition > 0 && with_probability(share / 6)) p.board_blocked = false;
        if ((p.inbound_blocked || p.outbound_blocked) && t.partition > 0 && with_probability(share / 6))
            partition(p.number, false, false);
        if (p.agent && !p.stopped && with_probability(t.stop * share)) p.stopped = true;
        if (p.stopped && t.stop > 0 && with_probability(share / 8)) resume(p.number);
        if (p.agent && with_probability(t.crash * share)) {
            if (with_probability(0.5)) leave(p.number);
            kill(p.number);
        }
        if (!p.agent && t.crash > 0 && with_probability(share * 2))
            start(p.number, with_probability(0.7) ? random_() % 40 : 0);
    }
    if (with_probability(t.registry_restore * share))
        restore_registry(shared_config_.term * (1 + 2 * random_fraction()));
    if (with_probability(t.board_restore * share)) restore_board(1 + random_() % 10, true);
}

void SiteSimulation::run(Duration time, const FaultRates& fault_rates) {
    fault_rates_ = fault_rates;
    const TimePoint end = now_ + time;
    while (violations.size() < max_violations) {
        const TimePoint due = events_.empty() ? end : events_.begin()->first.first;
        const TimePoint timed = std::min({next_fault_, next_backup_, next_publication_});
        if (std::min(due, timed) >= end) break;
        if (timed <= due) {
            now_ = std::max(now_, timed);
            if (now_ >= next_fault_) {
                next_fault_ = now_ + fault_interval;
                inject_fault(fault_rates);
            } else if (now_ >= next_backup_) {
                next_backup_ = now_ + shared_config_.term * 0.5;
                backups_.push_back({now_, ledger_.records(), ledger_.revision()});
                if (backups_.size() > max_backups) backups_.erase(backups_.begin());
            } else {
                next_publication_ = now_ + options_.publish_every;
                if (publishing_) publish();
            }
            continue;
        }
        now_ = std::max(now_, due);
        const auto then = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        then();
    }
    now_ = std::max(now_, end);
}

std::string SiteSimulation::debug_state() const {
    std::string all;
    for (const auto& p : processes_) {
        all += p->site + '/' + p->name.raw() + (p->agent ? (p->stopped ? " stopped" : " up") : " down");
        if (p->agent) all += p->agent->membership().joined() ? " in" : " out";
        if (p->agent && p->agent->may_act(p->clock(), digest_duty())) all += " owner";
        if (p->reporter)
            if (const auto c = p->reporter->applied().applied_revisions())
                all += " claims " + std::to_string(c->generation.number) + '/' +
                       std::to_string(c->event.raw()) + (c->history_lost ? " worn" : "");
        all += '\n';
    }
    for (const auto& [key, value] : ledger_.records()) all += key.raw() + ' ' + value + '\n';
    for (const auto& m : last_verdicts_.front().verdict.missing)
        all += "missing " + std::to_string(static_cast<int>(m.reason)) + ' ' + m.site.raw() + ' ' +
               m.member.raw() + '\n';
    return all;
}

}  // namespace irismux::test_support
