#include "testing/site_simulation.hpp"

#include <algorithm>

namespace irismux::stand_ins {

using namespace irismux::fleet;

namespace {

const Duration ms = Duration::micros(1000);
const Duration trouble_every = ms * 100, poll_every = ms * 200, poll_fails_after = ms * 600;
const Duration acknowledge_every = ms * 250, read_every = ms * 250;
constexpr std::size_t most_backups = 64, most_broken = 20;
constexpr const char* outside = "-";  // in place of a site: members in the old form

// What no watch tells lies behind `beat/`; a site's records behind its name.
std::string where(const std::string& site, const Key& key) {
    if (key == generation_key()) return key.raw();
    if (const auto member = heartbeat_owner(key)) return "beat/" + site + '/' + member->raw();
    if (key == digest_key()) return "beat/" + site + "/=digest";
    return site + '/' + key.raw();
}

}  // namespace

// One member's name: its process, if one runs, and what is between it and the others.
struct SiteSimulation::Process final : public AgentTransport, public AgentObserver {
    Process(SiteSimulation& w, std::size_t n, std::string in) : world(w), no(n), site(std::move(in)) {}

    SiteSimulation& world;
    std::size_t no;
    std::string site;
    MemberName name{"m" + std::to_string(no)};
    std::unique_ptr<Agent> agent;
    std::unique_ptr<SiteReporter> reporter;  // none: in the old form
    double rate = 1;
    bool stopped = false, cut_out = false, cut_in = false, board_cut = false, leaving = false;
    std::uint64_t ask = 0, life = 0, polls = 0, wake_no = 0, history = 0;
    Revision told;
    bool telling = false;
    std::set<int> in_force;  // events
    std::int64_t position = 0;
    Incarnation former;
    std::string kept;
    std::vector<std::function<void()>> waiting;

    TimePoint clock() const { return TimePoint{} + Duration::seconds(world.now_.seconds() * rate); }
    TimePoint real(TimePoint local) const { return TimePoint::at_seconds(local.seconds() / rate + 1e-6); }
    std::int64_t unix_ms() const { return static_cast<std::int64_t>(world.now_.seconds() * 1000); }

    void submit(const Transaction& d) override {
        ++ask;
        world.submit(*this, d);
    }
    void schedule_wake(TimePoint local) override {
        const std::uint64_t mine = ++wake_no, born = life;
        world.at(std::max(real(local), world.now_), [this, mine, born] {
            if (born == life && mine == wake_no) world.wake(*this);
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
    void on_heartbeat_result(TimePoint sent, HeartbeatNumber number,
                             const std::vector<KeyValue>& shown) override {
        if (reporter) reporter->on_heartbeat(clock(), unix_ms(), sent, number, shown, *agent);
    }
    void when_running(std::function<void()> then) {
        if (!agent) return;
        if (stopped)
            waiting.push_back(std::move(then));
        else
            then();
    }
};

struct SiteSimulation::Reader {
    Reader(const SiteSimulation& w, std::map<SiteName, std::size_t> inventory, double clock_rate)
        : status(w.shared_config_.term, std::move(inventory)), rate(clock_rate) {}
    FleetStatus status;
    double rate;
    std::size_t no = 0;
};

SiteSimulation::SiteSimulation(std::uint32_t seed, const Shape& shape, const SharedConfig& shared_config)
    : shape_(shape), shared_config_(shared_config), chance_(seed) {
    std::map<SiteName, std::size_t> inventory;
    for (const auto& [site, count] : shape.inventory) inventory[SiteName{site}] = count;
    for (std::size_t s = 0; s < shape.sites.size(); ++s) {
        site_names_.push_back("s" + std::to_string(s));
        if (!shape.inventory.contains(site_names_[s])) inventory[SiteName{site_names_[s]}] = shape.sites[s];
        for (std::size_t n = 0; n < shape.sites[s]; ++n)
            processes_.push_back(std::make_unique<Process>(*this, processes_.size(), site_names_[s]));
    }
    for (std::size_t n = 0; n < shape.old_form; ++n)
        processes_.push_back(std::make_unique<Process>(*this, processes_.size(), outside));
    for (const auto& p : processes_) {
        // The first two stand at either end of what is allowed.
        const double off = p->no == 0 ? -1 : p->no == 1 ? 1 : 2 * random_fraction() - 1;
        p->rate = 1 + off * shape.drift;
    }
    for (const double end : {-1.0, 1.0}) {
        readers_.push_back(std::make_unique<Reader>(*this, inventory, 1 + end * shape.drift));
        readers_.back()->no = readers_.size() - 1;
    }
    said_.resize(readers_.size());
    next_fault_ = next_backup_ = next_publication_ = now_;
    if (shape.readers)
        for (const auto& r : readers_) read(*r);
}

SiteSimulation::~SiteSimulation() = default;

void SiteSimulation::at(TimePoint due, std::function<void()> then) {
    events_[{due, next_++}] = std::move(then);
}

std::size_t SiteSimulation::member(std::size_t site, std::size_t place) const {
    std::size_t first = 0;
    for (std::size_t s = 0; s < site; ++s) first += shape_.sites[s];
    return first + place;
}

std::size_t SiteSimulation::members() const { return processes_.size(); }

std::size_t SiteSimulation::owner(std::size_t site) const {
    for (const auto& p : processes_)
        if (p->site == site_names_[site] && p->agent && p->agent->may_act(p->clock(), digest_duty()))
            return p->no;
    return members();
}

std::int64_t SiteSimulation::newest() const { return static_cast<std::int64_t>(board_.size()); }

Duration SiteSimulation::delay(double late) {
    const Duration usual = ms * (1 + 20 * random_fraction());
    return happens(late) ? shared_config_.term * (2.5 * random_fraction()) : usual;
}

// --- processes -------------------------------------------------------------------------------------------

void SiteSimulation::start(std::size_t member, std::size_t events_ago) {
    Process& p = *processes_[member];
    ++p.life;
    p.waiting.clear();
    p.stopped = p.leaving = p.telling = false;
    p.told = {};
    p.history = 0;
    const std::size_t known = board_.size() - std::min(board_.size(), events_ago);
    p.in_force = {board_.begin(), board_.begin() + static_cast<std::ptrdiff_t>(known)};
    p.position = static_cast<std::int64_t>(known);
    const std::string id = p.name.raw() + '.' + std::to_string(p.life);
    MemberIdentity identity{p.name, InstanceId{id}, "1", p.former};
    identity.reply_timeout = ms * 300;
    const bool of_a_site = p.site != outside;
    if (of_a_site) identity.acknowledge_interval = acknowledge_every;
    p.agent = std::make_unique<Agent>(p, p, shared_config_, identity, chance_());
    if (!p.kept.empty()) p.agent->fence().restore(p.kept);
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
    for (const auto& p : processes_) start(p->no);
}

void SiteSimulation::kill(std::size_t member) {
    Process& p = *processes_[member];
    if (!p.agent) return;
    p.kept = p.agent->fence().serialize();
    p.former = p.agent->incarnation();
    p.agent.reset();
    p.reporter.reset();
    ++p.life;
    p.waiting.clear();
}

void SiteSimulation::leave(std::size_t member) {
    Process& p = *processes_[member];
    if (p.agent) p.agent->leave(p.clock());
}

void SiteSimulation::stop(std::size_t member) { processes_[member]->stopped = true; }

void SiteSimulation::resume(std::size_t member) {
    Process& p = *processes_[member];
    p.stopped = false;
    for (const auto& then : std::exchange(p.waiting, {}))
        if (p.agent && !p.stopped) then();
}

void SiteSimulation::cut(std::size_t member, bool in, bool out) {
    Process& p = *processes_[member];
    p.cut_in = in;
    p.cut_out = out;
    p.telling = false;
    deliver_records(p);
}

void SiteSimulation::cut_board(std::size_t member, bool is) { processes_[member]->board_cut = is; }

void SiteSimulation::revive(std::size_t member) {
    cut(member, false, false);
    cut_board(member, false);
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

// --- the registry ----------------------------------------------------------------------------------------

void SiteSimulation::submit(Process& p, const Transaction& deal) {
    if (p.cut_out || happens(fault_rates_.lose)) return;
    const std::uint64_t ask = p.ask, life = p.life;
    const std::size_t no = p.no;
    const int times = happens(fault_rates_.repeat) ? 2 : 1;
    for (int t = 0; t < times; ++t)
        at(now_ + delay(fault_rates_.late), [this, no, ask, life, deal] { settle(no, ask, life, deal); });
}

void SiteSimulation::settle(std::size_t member, std::uint64_t ask, std::uint64_t life,
                            const Transaction& deal) {
    ++transactions;
    Process& p = *processes_[member];
    Transaction placed;
    for (const auto& [key, text] : deal.compares) placed.compares.emplace_back(Key{where(p.site, key)}, text);
    for (const auto& [key, text] : deal.writes) placed.writes.emplace_back(Key{where(p.site, key)}, text);
    for (const Key& key : deal.reads) placed.reads.emplace_back(where(p.site, key));
    TransactionLedger::Outcome o = ledger_.settle(placed);
    for (std::size_t n = 0; n < o.shown.size(); ++n)
        o.shown[n].first = o.held ? deal.reads[n] : deal.compares[n].first;
    const bool watched = std::any_of(placed.writes.begin(), placed.writes.end(), [&](const KeyValue& e) {
        return e.first.raw().rfind(p.site + '/', 0) == 0;
    });
    if (watched && o.held)
        for (const auto& other : processes_)
            if (other->site == p.site) deliver_records(*other);
    if (p.life != life || p.ask != ask || p.cut_in || happens(fault_rates_.lose)) return;
    const std::uint64_t history = histories_;
    at(now_ + delay(fault_rates_.late), [this, &p, life, history, ask, o] {
        if (p.life != life || history != histories_) return;
        p.when_running([this, &p, ask, o] {
            if (p.ask == ask) p.agent->on_transaction_result(p.clock(), o.at, o.held, o.shown);
            step(p);
        });
    });
}

// The watch over the site's own records: everything up to some revision after a while, in order.
void SiteSimulation::deliver_records(Process& p) {
    if (p.telling || !p.agent || p.cut_in) return;
    p.telling = true;
    const std::uint64_t life = p.life;
    at(now_ + delay(fault_rates_.late / 4), [this, &p, life] {
        if (p.life != life) return;
        p.telling = false;
        if (p.cut_in) return;
        p.when_running([this, &p] {
            const bool whole = p.history != histories_ + 1 || ledger_.forgotten(p.told);
            std::vector<KeyValue> list;
            for (const auto& [key, text] :
                 whole ? ledger_.all() : ledger_.changes(p.told, ledger_.revision()))
                if (key.raw().rfind(p.site + '/', 0) == 0)
                    list.emplace_back(Key{key.raw().substr(p.site.size() + 1)}, text);
            p.history = histories_ + 1;
            p.told = ledger_.revision();
            if (!whole && list.empty()) return;
            deliveries += list.size();
            p.agent->on_records(p.clock(), ledger_.revision(), list, whole);
            step(p);
        });
    });
}

// Premise: a backup is more than a term old when the registry answers from it.
void SiteSimulation::registry_back(Duration age) {
    for (auto b = backups_.rbegin(); b != backups_.rend(); ++b) {
        if (now_ - b->taken <= age) continue;
        ledger_.restore(b->records, b->revision);
        ++histories_;
        backups_.erase(b.base(), backups_.end());
        for (const auto& p : processes_) {
            p->telling = false;
            deliver_records(*p);
        }
        return;
    }
}

// As the command line does: the name goes from the roster if nobody runs under it.
void SiteSimulation::forget(std::size_t member) {
    const Process& p = *processes_[member];
    const Key roster{where(p.site, roster_key())}, is_member{where(p.site, member_key(p.name))};
    const auto it = ledger_.records().find(roster);
    if (it == ledger_.records().end() || ledger_.records().contains(is_member)) return;
    SiteRoster next = parse_site_roster(it->second).value_or(SiteRoster{});
    next.names.erase(p.name);
    ledger_.settle({{{roster, it->second}, {is_member, std::nullopt}}, {{roster, serialize(next)}}, {}});
}

// --- the board -------------------------------------------------------------------------------------------

void SiteSimulation::publish() {
    board_.push_back(++published_);
    note_in_force();
}

// Polls as the notice client does: what came last takes effect before the next poll goes out.
void SiteSimulation::poll(Process& p) {
    const std::uint64_t life = p.life, mine = ++p.polls;
    p.when_running([this, &p, life, mine] {
        if (p.life != life || p.polls != mine) return;
        const bool from_start = p.reporter && p.reporter->applied().needs_full_history();
        if (from_start) p.position = 0;
        if (p.reporter) p.reporter->applied().on_poll_started(from_start);
        if (p.board_cut) return fail_poll(p, life);
        const std::int64_t from = p.position;
        at(now_ + delay(fault_rates_.late / 4), [this, &p, life, from] { answer_poll(p, life, from); });
    });
}

void SiteSimulation::fail_poll(Process& p, std::uint64_t life) {
    at(now_ + poll_fails_after, [this, &p, life] {
        if (p.life != life) return;
        p.when_running([&p] {
            if (p.reporter) p.reporter->applied().on_poll_failed();
        });
        poll(p);
    });
}

void SiteSimulation::answer_poll(Process& p, std::uint64_t life, std::int64_t from) {
    const std::int64_t newest = this->newest();
    std::vector<int> owed;
    for (std::int64_t n = from; n < newest; ++n) owed.push_back(board_[static_cast<std::size_t>(n)]);
    at(now_ + delay(fault_rates_.late / 4), [this, &p, life, from, newest, owed] {
        if (p.life != life) return;
        p.when_running([this, &p, from, newest, owed] { apply_notices(p, from, newest, owed); });
        at(now_ + poll_every, [this, &p, life] {
            if (p.life == life) poll(p);
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

void SiteSimulation::board_back(std::size_t events, bool announced) {
    const std::size_t left = board_.size() - std::min(events, board_.size());
    board_.resize(left);
    if (!announced) return;
    const auto it = ledger_.records().find(generation_key());
    const auto shown = it == ledger_.records().end() ? std::nullopt : parse_generation(it->second);
    const auto next = next_generation(shown, {}, true,
                                      "operator." + std::to_string(published_) + '.' + std::to_string(next_));
    ledger_.settle({{}, {{generation_key(), serialize(*next)}}, {}});
}

// --- what is said, and whether it is so ------------------------------------------------------------------

void SiteSimulation::read(Reader& r) {
    const TimePoint asked = TimePoint{} + Duration::seconds(now_.seconds() * r.rate);
    at(now_ + delay(fault_rates_.late), [this, &r, asked] {
        FleetStatus::RegistryReading reading;
        reading.requested_at = asked;
        const auto text = [&](const std::string& key) -> RecordValue {
            const auto it = ledger_.records().find(Key{key});
            return it == ledger_.records().end() ? RecordValue{} : RecordValue{it->second};
        };
        reading.generation = text(generation_key().raw());
        const auto owners = r.status.owners();
        for (const std::string& site : site_names_) {
            if (const RecordValue digest = text(where(site, digest_key())))
                reading.digests[SiteName{site}] = *digest;
            if (const auto owner = owners.find(SiteName{site}); owner != owners.end())
                if (const RecordValue beat = text(where(site, heartbeat_key(owner->second))))
                    reading.owner_heartbeats[SiteName{site}] = *beat;
        }
        const std::string members = std::string(outside) + "/member/";
        for (const auto& [key, record] : ledger_.records())
            if (key.raw().rfind(members, 0) == 0)
                reading.members_outside_sites.emplace(key.raw().substr(members.size()));
        at(now_ + delay(fault_rates_.late), [this, &r, reading] {
            r.status.on_reading(reading);
            r.status.on_newest_event(EventNumber{newest()});
            judge(r);
            at(now_ + read_every, [this, &r] { read(r); });
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

FleetStatus::Verdict SiteSimulation::said_of(std::int64_t event) { return asked_about_[event]; }

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
    if (n == newest()) said_[r.no] = {now_, n, verdict};
    if (const auto it = asked_about_.find(n); r.no == 0 && it != asked_about_.end()) it->second = verdict;
    if (verdict.reach == FleetStatus::Reach::not_yet) return;
    const bool all = verdict.reach == FleetStatus::Reach::everywhere;
    ++(all ? everywhere : all_but);
    if (all && r.no == 0 && said_everywhere_.insert(event).second && in_force_since_.contains(event))
        longest_until_said = std::max(longest_until_said, now_ - in_force_since_.at(event));
    for (const auto& p : processes_) {
        const bool excepted = std::any_of(verdict.missing.begin(), verdict.missing.end(), [&](const auto& m) {
            return m.site.raw() == p->site && (m.member == p->name || m.member.raw().empty());
        });
        if (excepted || !acts_without(*p, event) || broken.size() >= most_broken) continue;
        broken.push_back((all ? "everywhere" : "all but others") + std::string(" said of event ") +
                         std::to_string(n) + " at " + std::to_string(now_.seconds() - 1000) + ", and " +
                         p->name.raw() + " acts without it");
    }
}

void SiteSimulation::mark() { longest_until_said = {}; }

// --- time ------------------------------------------------------------------------------------------------

void SiteSimulation::inject_fault(const FaultRates& t) {
    const double share = trouble_every.seconds();
    for (const auto& process : processes_) {
        Process& p = *process;
        if (happens(t.cut * share)) p.cut_in = true;
        if (happens(t.cut * share)) p.cut_out = true;
        if (happens(t.cut_board * share)) p.board_cut = true;
        if (p.board_cut && t.cut_board > 0 && happens(share / 6)) p.board_cut = false;
        if ((p.cut_in || p.cut_out) && t.cut > 0 && happens(share / 6)) cut(p.no, false, false);
        if (p.agent && !p.stopped && happens(t.stop * share)) p.stopped = true;
        if (p.stopped && t.stop > 0 && happens(share / 8)) resume(p.no);
        if (p.agent && happens(t.crash * share)) {
            if (happens(0.5)) leave(p.no);
            kill(p.no);
        }
        if (!p.agent && t.crash > 0 && happens(share * 2)) start(p.no, happens(0.7) ? chance_() % 40 : 0);
    }
    if (happens(t.registry_back * share)) registry_back(shared_config_.term * (1 + 2 * random_fraction()));
    if (happens(t.board_back * share)) board_back(1 + chance_() % 10, true);
}

void SiteSimulation::run(Duration time, const FaultRates& troubles) {
    fault_rates_ = troubles;
    const TimePoint end = now_ + time;
    while (broken.size() < most_broken) {
        const TimePoint due = events_.empty() ? end : events_.begin()->first.first;
        const TimePoint timed = std::min({next_fault_, next_backup_, next_publication_});
        if (std::min(due, timed) >= end) break;
        if (timed <= due) {
            now_ = std::max(now_, timed);
            if (now_ >= next_fault_) {
                next_fault_ = now_ + trouble_every;
                inject_fault(troubles);
            } else if (now_ >= next_backup_) {
                next_backup_ = now_ + shared_config_.term * 0.5;
                backups_.push_back({now_, ledger_.records(), ledger_.revision()});
                if (backups_.size() > most_backups) backups_.erase(backups_.begin());
            } else {
                next_publication_ = now_ + shape_.publish_every;
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

std::string SiteSimulation::picture() const {
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
    for (const auto& m : said_.front().verdict.missing)
        all += "missing " + std::to_string(static_cast<int>(m.reason)) + ' ' + m.site.raw() + ' ' +
               m.member.raw() + '\n';
    return all;
}

}  // namespace irismux::stand_ins
