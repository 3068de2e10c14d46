#include "fleet/agent.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

// Others whose signs of life are looked at with each of ours, by chance; and at most so many more that have
// given none since the last look. A fleet that is no larger is looked at whole.
constexpr std::size_t looked_at = 4, doubted_at_most = 12;
constexpr std::size_t most_pending_writes = 64;
// What a member publishes of itself goes to all others: once a round for so many of them, seldomer for more.
constexpr std::size_t heard_a_round = 64;
// Of a round: how far signs of life are spread by chance, and how long each place in a duty's order waits for
// the one before it.
constexpr double spread_of_round = 0.2, place_of_round = 0.5;
// Of a round: how far first looks are spread by chance.
constexpr double start_of_round = 0.25;
// Of a round: looks between signs of life, for what has become due.
constexpr double look_round_of_round = 0.25;
// Of a round: the pause after a silence, doubled at each in a row, up to a round.
constexpr double pause_of_round = 1.0 / 16;
constexpr int most_doublings = 4;

const Text& shown_of(const std::vector<Entry>& shown, const Key& key) {
    static const Text none;
    const auto it = std::find_if(shown.begin(), shown.end(), [&](const Entry& e) { return e.first == key; });
    return it == shown.end() ? none : it->second;
}

bool shows(const std::vector<Entry>& shown, const Key& key) {
    return std::any_of(shown.begin(), shown.end(), [&](const Entry& e) { return e.first == key; });
}

}  // namespace

// Its last sign of life is seen a round late at the worst, and seen unchanged for the wait a round late
// again; then come an eviction, a claim, and the look between rounds that finds them due.
Span longest_without_owner(const SharedConfig& shared_config, Span answer, std::size_t places) {
    const Membership m(shared_config, MemberName{});
    return m.wait() +
           m.round() * (2 + place_of_round * static_cast<double>(places) + 2 * look_round_of_round) +
           answer * 4;
}

Agent::Agent(RegistryPort& registry, AgentObserver& observer, const SharedConfig& shared_config,
             MemberIdentity identity, std::uint64_t seed)
    : registry_(registry),
      observer_(observer),
      shared_config_(shared_config),
      identity_(std::move(identity)),
      random_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      membership_(shared_config, identity_.name) {}

Agent::Agent(const Agent& o, RegistryPort& registry, AgentObserver& observer)
    : registry_(registry),
      observer_(observer),
      shared_config_(o.shared_config_),
      identity_(o.identity_),
      random_(o.random_),
      membership_(o.membership_),
      duties_(o.duties_),
      fence_(o.fence_),
      start_(o.start_),
      last_heartbeat_(o.last_heartbeat_),
      heartbeat_text_(o.heartbeat_text_),
      record_(o.record_),
      refused_(o.refused_),
      started_(o.started_),
      leaving_(o.leaving_),
      step_(o.step_),
      out_(o.out_),
      at_(o.at_),
      heartbeat_out_(o.heartbeat_out_),
      answer_due_(o.answer_due_),
      next_submit_(o.next_submit_),
      next_heartbeat_(o.next_heartbeat_),
      next_yield_(o.next_yield_),
      unanswered_(o.unanswered_),
      unsettled_keys_(o.unsettled_keys_),
      join_out_(o.join_out_),
      former_(o.former_),
      former_since_(o.former_since_),
      last_remark_(o.last_remark_),
      pending_writes_(o.pending_writes_),
      floor_(o.floor_),
      floor_at_(o.floor_at_),
      marks_(o.marks_),
      next_publication_(o.next_publication_),
      claim_(o.claim_),
      reads_(o.reads_),
      newest_(o.newest_),
      heartbeat_sent_(o.heartbeat_sent_),
      next_peer_reads_(o.next_peer_reads_) {}

// --- what happens ----------------------------------------------------------------------------------------

// All that start at once, as after a loss of power, do not ask at once.
void Agent::start(Instant now) {
    started_ = true;
    if (identity_.spread) next_submit_ = now + membership_.round() * (start_of_round * random_fraction());
    advance(now);
}

void Agent::leave(Instant now) {
    leaving_ = true;
    advance(now);
}

void Agent::set_duties(Instant now, const std::set<DutyName>& names) {
    if (!duties_.set_names(names)) observer_.remark("there are more duties than this gateway can follow");
    std::vector<DutyName> over;
    for (auto& [name, d] : duties_.all()) {
        if (d.wanted) continue;
        // From here on nothing is done under its epoch; the record is given up in turn.
        if (owned_here(d)) d.given_up = std::max(d.given_up, d.record->token);
        if (d.lease.state() != LeaseState::idle)
            observer_.on_lease_state(name, LeaseState::idle, FencingToken{});
        d.lease = Lease{};
        if (!owned_here(d)) over.push_back(name);
    }
    for (const DutyName& name : over) duties_.remove(name);
    advance(now);
}

void Agent::set_marked_caches(Instant now, std::set<CacheId> caches) {
    while (caches.size() > most_marks) caches.erase(std::prev(caches.end()));
    marks_ = std::move(caches);
    advance(now);
}

void Agent::set_claim(Instant now, const std::optional<InForce>& claim) {
    if (claim == claim_) return;
    claim_ = claim;
    acknowledge_soon(now);
    advance(now);
}

void Agent::set_heartbeat_reads(Instant now, HeartbeatReads reads) {
    if (reads == reads_) return;
    reads_ = std::move(reads);
    if (reads_.frequent) acknowledge_soon(now);
    advance(now);
}

// Changes within the pause go out together.
void Agent::acknowledge_soon(Instant now) {
    if (in_site())
        next_heartbeat_ =
            std::min(next_heartbeat_, std::max(now, heartbeat_sent_ + identity_.acknowledge_every));
}

void Agent::on_records(Instant now, registry::Revision at, const std::vector<Entry>& records,
                       bool full_list) {
    if (full_list) {
        std::set<MemberName> members;
        std::set<DutyName> duties;
        for (const auto& [key, text] : records) {
            if (const auto m = member_of(key)) members.insert(*m);
            if (const auto d = duty_of(key)) duties.insert(*d);
        }
        membership_.on_full_list(now, members);
        duties_.on_full_list(duties);
        floor_at_ = {};
        if (std::none_of(records.begin(), records.end(),
                         [](const Entry& e) { return e.first == floor_key(); }))
            floor_.reset();
    }
    learn(now, at, records);
    advance(now);
}

void Agent::on_transaction_result(Instant now, registry::Revision at, bool held,
                                  const std::vector<Entry>& shown) {
    const Step step = std::exchange(step_, Step::none);
    if (step == Step::none) return;
    unanswered_ = 0;
    if (at < newest_) observer_.on_registry_went_back();
    newest_ = at;
    if (step == Step::write) finish_write(held ? WriteOutcome::written : WriteOutcome::refused);
    // The order matters: a sign of life that has landed says for how long we are in before duties are judged.
    if (step == Step::join) join_out_ = false;
    if (held && (step == Step::join || step == Step::heartbeat)) {
        heartbeat_text_ = out_.writes.back().second;
        membership_.confirmed(now, heartbeat_out_);
        unsettled_keys_.clear();
    }
    if (held && step != Step::read_own_records) learn(now, at, out_.writes);
    learn(now, at, shown);
    if (held && step == Step::heartbeat)
        observer_.on_heartbeat_result(heartbeat_sent_, heartbeat_out_, shown);
    if (!held && membership_.in() && shows(shown, heartbeat_key(identity_.name)))
        on_own_heartbeat_shown(now, shown_of(shown, heartbeat_key(identity_.name)));
    if (step == Step::read_own_records) {
        // Starts of that name, whether or not their records still stand, were given below the registry's
        // revision.
        identity_.last_incarnation = std::max(identity_.last_incarnation, Incarnation{at.raw()});
        on_own_records(now, shown);
    }
    if (step == Step::publish && held) record_ = out_.writes.front().second;
    if (step == Step::leave) out(now, "left");
    // What fails for a reason that can't be seen from here (a record in a newer form) is not asked at once
    // again.
    if (!held && (step == Step::claim || step == Step::evict || step == Step::publish))
        next_submit_ = now + membership_.round() * pause_of_round;
    advance(now);
}

void Agent::on_no_answer(Instant now) {
    const Step step = std::exchange(step_, Step::none);
    if (step == Step::none) return;
    if (step == Step::write) finish_write(WriteOutcome::unknown);
    for (const Entry& e : out_.writes)
        if (unsettled_keys_.size() < doubted_at_most && (duty_of(e.first) || member_of(e.first)))
            unsettled_keys_.insert(e.first);
    back_off(now);
    if (step == Step::heartbeat) next_heartbeat_ = next_submit_;
    advance(now);
}

void Agent::on_wake(Instant now) {
    if (step_ != Step::none && now >= answer_due_) return on_no_answer(now);
    advance(now);
}

// --- what is known ---------------------------------------------------------------------------------------

void Agent::learn(Instant now, registry::Revision at, const std::vector<Entry>& shown) {
    const bool hold = membership_.peers().size() <= looked_at + doubted_at_most;
    for (const auto& [key, text] : shown) {
        if (const auto m = member_of(key)) membership_.record(now, at, *m, text);
        if (const auto d = duty_of(key))
            if (duties_.record(at, *d, text)) on_duty_record(*d, duties_.all().at(*d));
        if (const auto d = released_duty_of(key))
            if (const auto it = duties_.all().find(*d); it != duties_.all().end())
                it->second.released = text ? read_release(*text) : std::nullopt;
        if (key == floor_key() && at >= floor_at_) {
            floor_ = text;
            floor_at_ = at;
        }
    }
    for (const auto& [key, text] : shown)
        if (const auto m = heartbeat_owner(key)) membership_.on_heartbeat(now, *m, text, hold);
}

void Agent::on_duty_record(const DutyName& name, const Duties::Duty& d) {
    if (d.text && !d.record)
        return observer_.remark("the record of duty " + name.raw() +
                                " can't be read: it is left alone until an operator has mended it");
    if (!d.text) fence_.forget(name);
    if (!d.record || d.record->owner.raw().empty()) return;
    const Holder holder{d.record->token, d.record->owner, d.record->start};
    const FencingToken against = fence_.against(name, holder);
    if (against == FencingToken{}) {
        fence_.shown(name, holder);
        refused_.erase(name);
        return;
    }
    if (refused_.size() < most_refusals || refused_.contains(name)) refused_[name] = against;
    observer_.remark("duty " + name.raw() + " stands at epoch " + std::to_string(holder.token.raw()) +
                     ", and " + std::to_string(against.raw()) +
                     " has been seen: the registry has gone back; the owner is told to take a higher one");
}

// What a deal that failed shows of our own sign of life: a later one of ours landed, or we are out.
void Agent::on_own_heartbeat_shown(Instant now, const Text& text) {
    if (text == heartbeat_text_) return;
    const auto read = text ? read_heartbeat(*text) : std::nullopt;
    const bool ours = read && read->instance_id == identity_.instance_id && read->start == start_;
    if (ours && read->number > membership_.last()) {
        heartbeat_text_ = text;
        return membership_.confirmed(now, read->number);
    }
    out(now, ours ? "the registry has gone back: joining anew" : "evicted: joining anew");
}

void Agent::out(Instant now, std::string_view why) {
    membership_.out();
    membership_.forget_waits();
    former_.reset();
    join_out_ = false;
    unsettled_keys_.clear();
    for (const PendingWrite& w : std::exchange(pending_writes_, {}))
        observer_.on_write_outcome(w.duty, w.key, WriteOutcome::refused);
    observer_.remark(why);
    update_leases(now);
}

// --- what is to be done ----------------------------------------------------------------------------------

void Agent::advance(Instant now) {
    update_leases(now);
    if (!started_) return;
    if (step_ == Step::none && now >= next_submit_) {
        if (!membership_.in()) {
            if (!leaving_) begin_join(now);
        } else if (leaving_) {
            submit(
                now, Step::leave,
                {{own_heartbeat()},
                 {{member_key(identity_.name), std::nullopt}, {heartbeat_key(identity_.name), std::nullopt}},
                 {}});
        } else if (now >= next_heartbeat_) {
            send_heartbeat(now);
        } else if (membership_.in_term(now)) {
            next_write(now) || next_duty(now) || next_eviction(now) || next_publication(now);
        }
    }
    Instant at = now + membership_.round() * look_round_of_round;
    if (step_ != Step::none)
        at = std::min(at, answer_due_);
    else
        at = std::min(at, std::max(next_submit_, membership_.in() ? next_heartbeat_ : next_submit_));
    if (membership_.in_term(now)) at = std::min(at, membership_.end());
    if (membership_.listening(now)) at = std::min(at, membership_.listens_until());
    registry_.schedule_wake(std::max(at, now + Span::micros(1)));
}

void Agent::submit(Instant now, Step step, Transaction transaction) {
    step_ = step;
    out_ = std::move(transaction);
    answer_due_ = now + identity_.answer_in;
    registry_.submit(out_);
}

void Agent::back_off(Instant now) {
    const double doubled = 1 << std::min(unanswered_++, most_doublings);
    const double drawn = identity_.spread ? random_fraction() : 1.0;
    next_submit_ = now + membership_.round() * (pause_of_round * doubled * (0.5 + drawn / 2));
}

double Agent::random_fraction() {
    return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
}

// --- out, and in -----------------------------------------------------------------------------------------

void Agent::begin_join(Instant now) {
    std::vector<Key> keys{shared_config_key(), member_key(identity_.name), heartbeat_key(identity_.name)};
    if (in_site()) keys.push_back(roster_key());
    submit(now, Step::read_own_records, {{}, {}, std::move(keys)});
}

void Agent::on_own_records(Instant now, const std::vector<Entry>& shown) {
    const std::string shared_config = serialize(shared_config_);
    const Text& about = shown_of(shown, shared_config_key());
    const Text& member = shown_of(shown, member_key(identity_.name));
    const Text& heartbeat_text = shown_of(shown, heartbeat_key(identity_.name));
    const Text& roster = shown_of(shown, roster_key());
    next_submit_ = now + membership_.round();
    const auto say_once = [&](const std::string& why) {
        if (std::exchange(last_remark_, why) != why) observer_.remark(why);
    };
    if (!about)
        return submit(now, Step::found,
                      {{{shared_config_key(), std::nullopt}}, {{shared_config_key(), shared_config}}, {}});
    if (*about != shared_config)
        return say_once("the fleet there goes by other articles, " + about->substr(0, 200) +
                        ": this gateway stays out");
    if (roster && !read_roster(*roster))
        return say_once("the roster of this site can't be read: this gateway stays out");
    if (!member && !heartbeat_text) return join(now, member, heartbeat_text, roster);
    const auto read = member ? read_member(*member) : std::nullopt;
    if (read) identity_.last_incarnation = std::max(identity_.last_incarnation, read->start);
    if (read && read->instance_id == identity_.instance_id) {
        // A join of ours has landed whose answer was lost; or the registry has gone back to a former one.
        const auto heartbeat = heartbeat_text ? read_heartbeat(*heartbeat_text) : std::nullopt;
        if (!join_out_ || read->start != start_ || !heartbeat ||
            heartbeat->instance_id != identity_.instance_id)
            return join(now, member, heartbeat_text, roster);
        join_out_ = false;
        heartbeat_text_ = heartbeat_text;
        return membership_.confirmed(now, heartbeat->number);
    }
    // Somebody else has the name: our former self, which is dead, or another gateway. Only a wait tells.
    const std::pair<Text, Text> seen{member, heartbeat_text};
    if (former_ != seen) {
        if (former_ && former_->first == member)
            say_once("the name " + identity_.name.raw() +
                     " is held by another living gateway: this one stays out until that has left");
        former_ = seen;
        former_since_ = now;
    } else if (now - former_since_ >= membership_.wait()) {
        join(now, member, heartbeat_text, roster);
    }
}

MemberRecord Agent::own_record() const {
    return {start_, identity_.instance_id, identity_.version, refused_, marks_};
}

void Agent::join(Instant now, const Text& member, const Text& heartbeat_text, const Text& roster) {
    start_ = identity_.last_incarnation = Incarnation{identity_.last_incarnation.raw() + 1};
    record_ = serialize(own_record());
    heartbeat_out_ = last_heartbeat_ = HeartbeatNumber{last_heartbeat_.raw() + 1};
    join_out_ = true;
    duties_.forget_given_up();
    next_submit_ = heartbeat_sent_ = now;
    membership_.sent(now, heartbeat_out_);
    const Key own = member_key(identity_.name), heartbeat = heartbeat_key(identity_.name);
    Transaction transaction{
        {{shared_config_key(), serialize(shared_config_)}, {own, member}, {heartbeat, heartbeat_text}},
        {},
        {}};
    // Guards against a digest that knows nothing of a member: its name is in the roster from the first join
    // on.
    const Roster known = roster ? read_roster(*roster).value_or(Roster{}) : Roster{};
    if (const auto next = in_site() ? with_name(known, identity_.name) : std::nullopt) {
        transaction.compares.emplace_back(roster_key(), roster);
        transaction.writes.emplace_back(roster_key(), serialize(*next));
    }
    transaction.writes.emplace_back(own, record_);
    transaction.writes.emplace_back(
        heartbeat, serialize(HeartbeatRecord{start_, identity_.instance_id, heartbeat_out_}));
    submit(now, Step::join, std::move(transaction));
}

void Agent::send_heartbeat(Instant now) {
    Span pause = membership_.round();
    if (identity_.spread) pause = pause * (1 - spread_of_round * random_fraction());
    if (in_site() && reads_.frequent) pause = std::min(pause, identity_.acknowledge_every);
    next_heartbeat_ = now + pause;
    heartbeat_sent_ = now;
    heartbeat_out_ = last_heartbeat_ = HeartbeatNumber{last_heartbeat_.raw() + 1};
    membership_.sent(now, heartbeat_out_);
    std::vector<Key> shown = keys_to_read(now);
    shown.insert(shown.end(), unsettled_keys_.begin(), unsettled_keys_.end());
    const std::string text = serialize(HeartbeatRecord{start_, identity_.instance_id, heartbeat_out_});
    submit(
        now, Step::heartbeat,
        {{own_heartbeat()}, {{heartbeat_key(identity_.name), with_claim(text, claim_)}}, std::move(shown)});
}

// Heartbeats that go out early, to acknowledge, read others' only where the site's digest needs them.
std::vector<Key> Agent::keys_to_read(Instant now) {
    std::set<Key> keys(reads_.records.begin(), reads_.records.end());
    for (const MemberName& name : reads_.heartbeats)
        if (name != identity_.name) keys.insert(heartbeat_key(name));
    if (!in_site() || now >= next_peer_reads_) {
        next_peer_reads_ = now + membership_.round() * (1 - spread_of_round);
        for (const Key& key : heartbeats_to_read(now)) keys.insert(key);
    }
    return {keys.begin(), keys.end()};
}

std::vector<Key> Agent::heartbeats_to_read(Instant now) {
    const auto& others = membership_.peers();
    std::set<Key> keys;
    for (const auto& [name, o] : others)
        if (others.size() <= looked_at + doubted_at_most ||
            (o.observed && now - o.unchanged_since > membership_.round() && keys.size() < doubted_at_most))
            keys.insert(heartbeat_key(name));
    for (std::size_t n = 0; n < looked_at && keys.size() < others.size(); ++n) {
        auto it = others.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random_() % others.size()));
        keys.insert(heartbeat_key(it->first));
    }
    return {keys.begin(), keys.end()};
}

// --- duties ----------------------------------------------------------------------------------------------

bool Agent::owned_here(const Duties::Duty& d) const {
    return membership_.in() && d.record && d.record->owner == identity_.name && d.record->start == start_;
}

// Whether the record, heeded as it may be, makes it this member's.
bool Agent::holds_lease(Instant now, const Duties::Duty& d) const {
    return owned_here(d) && d.wanted && d.record->token > d.given_up && !membership_.listening(now);
}

LeaseConditions Agent::lease_conditions(Instant now, const DutyName& name, const Duties::Duty& d) const {
    LeaseConditions conditions;
    conditions.named = holds_lease(now, d);
    conditions.in_term = membership_.in_term(now) && !leaving_;
    conditions.near_end = membership_.near_end(now);
    conditions.wanted = !conditions.named && d.wanted && unowned(d) && rank(now, name, d, false) == 0;
    return conditions;
}

bool Agent::may_act(Instant now, const DutyName& name) const {
    const auto it = duties_.all().find(name);
    return it != duties_.all().end() && holds_lease(now, it->second) && membership_.in_term(now) && !leaving_;
}

bool Agent::may_begin(Instant now, const DutyName& name) const {
    return may_act(now, name) && !membership_.near_end(now);
}

FencingToken Agent::token_of(const DutyName& name) const {
    const auto it = duties_.all().find(name);
    return it != duties_.all().end() && it->second.record ? it->second.record->token : FencingToken{};
}

// Nobody owns it: it was never owned or given up, or its owner is a member no more.
bool Agent::unowned(const Duties::Duty& d) const {
    if (!d.known || (d.text && !d.record)) return false;
    if (!d.record || d.record->owner.raw().empty()) return true;
    if (d.record->owner == identity_.name) return !owned_here(d) || d.record->token <= d.given_up;
    return !is_member({d.record->owner, d.record->start});
}

bool Agent::is_member(const Instance& who) const {
    if (who.name == identity_.name) return membership_.in() && who.start == start_;
    const auto it = membership_.peers().find(who.name);
    return it != membership_.peers().end() && (!it->second.readable || it->second.member.start == who.start);
}

std::size_t Agent::rank(Instant now, const DutyName& name, const Duties::Duty& d, bool settled) const {
    const bool aside = d.released && *d.released == self();
    std::size_t ahead = 0;
    for (const auto& [other, o] : membership_.peers()) {
        if (membership_.suspected(o) || (settled && !membership_.settled(now, o))) continue;
        if (d.released && d.released->name == other && is_member(*d.released)) continue;
        ahead += aside || Duties::precedes(name, other, identity_.name);
    }
    return ahead;
}

FencingToken Agent::refused_elsewhere(const DutyName& name) const {
    FencingToken highest;
    for (const auto& [who, o] : membership_.peers())
        if (const auto it = o.member.refuses.find(name); it != o.member.refuses.end())
            highest = std::max(highest, it->second);
    return highest;
}

FencingToken Agent::next_token(const DutyName& name, const Duties::Duty& d) const {
    const FencingToken standing = d.record ? d.record->token : floor_ ? read_floor(*floor_) : FencingToken{};
    return FencingToken{
        std::max({standing, d.given_up, fence_.highest(name), refused_elsewhere(name)}).raw() + 1};
}

void Agent::update_leases(Instant now) {
    for (auto& [name, d] : duties_.all()) {
        if (!unowned(d))
            d.unowned_since.reset();
        else if (!d.unowned_since)
            d.unowned_since = now;
        const LeaseState before = d.lease.state();
        const LeaseState after = d.lease.enter(lease_conditions(now, name, d));
        if (after != before && d.wanted) observer_.on_lease_state(name, after, token_of(name));
    }
}

bool Agent::next_duty(Instant now) {
    if (membership_.listening(now)) return false;
    for (auto& [name, d] : duties_.all()) {
        if (!d.wanted) {
            if (owned_here(d)) return give_up_duty(now, name, d), true;
            return duties_.remove(name), next_duty(now);
        }
        if (unowned(d)) {
            const auto places = static_cast<double>(rank(now, name, d, false));
            if (now - *d.unowned_since < membership_.round() * (place_of_round * places)) continue;
            return claim_duty(now, name, d), true;
        }
        if (!owned_here(d)) continue;
        // One that others refuse is taken again, above what they have seen.
        if (refused_elsewhere(name) > d.record->token) return claim_duty(now, name, d), true;
        // The first in the order has it back once it has settled; one duty a round.
        if (now >= next_yield_ && rank(now, name, d, true) > 0) return give_up_duty(now, name, d), true;
    }
    return false;
}

void Agent::claim_duty(Instant now, const DutyName& name, const Duties::Duty& d) {
    Transaction transaction{
        {own_heartbeat(), {duty_key(name), d.text}},
        {{duty_key(name), serialize(DutyRecord{next_token(name, d), identity_.name, start_})}},
        {}};
    // The registry itself must know its owner as gone.
    if (d.record && !d.record->owner.raw().empty() && d.record->owner != identity_.name) {
        const auto it = membership_.peers().find(d.record->owner);
        transaction.compares.push_back(
            {member_key(d.record->owner), it == membership_.peers().end() ? Text{} : Text{it->second.text}});
    }
    // What has been swept leaves no record; its epochs are below the floor.
    if (!d.text) transaction.compares.push_back({floor_key(), floor_});
    at_ = name;
    submit(now, Step::claim, std::move(transaction));
}

// From here on nothing is done under that epoch, whatever comes of the deal.
void Agent::give_up_duty(Instant now, const DutyName& name, Duties::Duty& d) {
    d.given_up = d.record->token;
    if (d.wanted) next_yield_ = now + membership_.round();
    update_leases(now);
    at_ = name;
    submit(now, Step::yield,
           {{own_heartbeat(), {duty_key(name), d.text}},
            {{duty_key(name), serialize(DutyRecord{d.record->token, MemberName{}, Incarnation{}})}},
            {}});
}

// --- evictions, refusals, work ---------------------------------------------------------------------------

bool Agent::next_eviction(Instant now) {
    if (membership_.listening(now)) return false;
    for (const auto& [name, o] : membership_.peers()) {
        if (!membership_.evictable(o)) continue;
        const Key member = member_key(name), heartbeat = heartbeat_key(name);
        submit(now, Step::evict,
               {{own_heartbeat(), {member, o.text}, {heartbeat, o.heartbeat_text}},
                {{member, std::nullopt}, {heartbeat, std::nullopt}},
                {}});
        return true;
    }
    return false;
}

bool Agent::next_publication(Instant now) {
    const std::string wanted = serialize(own_record());
    if (record_ == wanted || now < next_publication_) return false;
    next_publication_ =
        now + membership_.round() * std::max(1.0, static_cast<double>(membership_.peers().size()) /
                                                      static_cast<double>(heard_a_round));
    const Key own = member_key(identity_.name);
    submit(now, Step::publish, {{own_heartbeat(), {own, record_}}, {{own, wanted}}, {}});
    return true;
}

bool Agent::write_fenced(Instant now, const DutyName& duty, const Key& key, const std::string& value) {
    return write_fenced(now, duty, key, FencedWrite{{}, {{key, value}}});
}

bool Agent::write_fenced(Instant now, const DutyName& duty, const Key& key, FencedWrite write_request) {
    if (!may_begin(now, duty) || pending_writes_.size() >= most_pending_writes) return false;
    pending_writes_.push_back({duty, key, std::move(write_request)});
    advance(now);
    return true;
}

bool Agent::next_write(Instant now) {
    while (!pending_writes_.empty() && !may_act(now, pending_writes_.front().duty))
        finish_write(WriteOutcome::refused);
    if (pending_writes_.empty()) return false;
    const PendingWrite& w = pending_writes_.front();
    const Duties::Duty& d = duties_.all().at(w.duty);
    Transaction transaction{{own_heartbeat(), {duty_key(w.duty), d.text}}, w.write_request.writes, {}};
    transaction.compares.insert(transaction.compares.end(), w.write_request.compares.begin(),
                                w.write_request.compares.end());
    submit(now, Step::write, std::move(transaction));
    return true;
}

void Agent::finish_write(WriteOutcome done) {
    const PendingWrite work = pending_writes_.front();
    pending_writes_.pop_front();
    observer_.on_write_outcome(work.duty, work.key, done);
}

std::string Agent::debug_state(Instant now) const {
    const auto rel = [&](Instant t) {
        return std::to_string(std::max((t - now).micros(), std::int64_t{-1})) + ' ';
    };
    const auto age = [&](Instant t) {
        return std::to_string(std::min(now - t, membership_.wait() * 3).micros()) + ' ';
    };
    std::string all = std::to_string(static_cast<int>(step_)) + (leaving_ ? "L" : "") +
                      (membership_.in() ? "in " : "out ") + std::to_string(start_.raw()) + ' ' +
                      rel(membership_.end()) + rel(membership_.listens_until()) + rel(next_submit_) +
                      rel(next_heartbeat_) + rel(next_yield_) + rel(answer_due_) +
                      heartbeat_text_.value_or("-") + record_.value_or("-") + std::to_string(unanswered_) +
                      (join_out_ ? "j" : "");
    if (former_) all += former_->first.value_or("-") + former_->second.value_or("-") + age(former_since_);
    for (const auto& [name, o] : membership_.peers()) {
        all += '\n' + name.raw() + ' ' + o.text + age(o.since);
        if (o.observed)
            all += o.heartbeat_text.value_or("-") + ' ' + age(o.unchanged_since) + age(o.last_seen);
    }
    for (const auto& [name, d] : duties_.all()) {
        all += '\n' + name.raw() + ' ' + std::string(word_of(d.lease.state())) + (d.known ? " k " : " u ") +
               d.text.value_or("-") + std::to_string(d.given_up.raw());
        if (d.unowned_since) all += ' ' + age(*d.unowned_since);
    }
    all += '\n' + fence_.serialize();
    for (const auto& [name, e] : refused_) all += name.raw() + std::to_string(e.raw());
    for (const PendingWrite& w : pending_writes_) all += w.key.raw();
    for (const Key& k : unsettled_keys_) all += k.raw();
    for (const CacheId& c : marks_) all += c.raw();
    all += floor_.value_or("-");
    return all;
}

}  // namespace irismux::fleet
