#include "gateway/gateway.hpp"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>

#include "base/flight_recorder.hpp"
#include "base/log.hpp"
#include "registry/snapshot.hpp"

namespace irismux {
namespace {

// Of the protocol: work may come for so long after SIGTERM, and SIGKILL comes no sooner than that and the
// longest deadline after it, of which no more than this counts. Clients hold a third of the descriptors at
// most.
constexpr Span work_after_leave = Span::micros(700'000), longest_waited_for = Span::micros(3'000'000);
// Of that first stretch, kept for the end: to hear of the signal, and to end connections in peace. Clients
// hear of an end within 50 ms.
constexpr double end_part = 0.35;
constexpr Span look_round_every = Span::micros(10'000);
// A gateway is to be ready 10 s after its start.
constexpr Span longest_start = Span::micros(8'000'000), listen_again_after = Span::micros(50'000);
// Descriptors for the listener, the board, the log, the poll set and the libraries.
constexpr std::size_t own_descriptors = 24;
// Clients that keep to it are never in the way of each other: there is room for half as many again.
constexpr std::size_t front_part = 2;
// Of the memory, at most, for requests of clients, and for answers that they have not read yet.
constexpr std::size_t held_part = 5;

// The list of a registry is kept this often at most; the same list again when a quarter of its time has
// passed.
constexpr Span keep_every = Span::micros(2'000'000);
constexpr double renewed_at = 0.25;
constexpr std::size_t most_kept = 64 << 20;  // of the store's file; only what is used takes memory or disk
constexpr const char* list_name = "registry list";

FrontLimits front_limits(const Configuration& config) {
    return {config.descriptors / front_part, config.memory / held_part,
            config.reading.deployment.connections.time_out};
}

ServedKinds served_kinds(const Reading& r) {
    ServedKinds kinds;
    for (const auto& [name, n] : r.kind_places) {
        const ObjectKind& k = r.deployment.kinds[n.raw()];
        kinds[name] = {n, k.deadline, k.uncacheable};
    }
    return kinds;
}

CacheLimits cache_limits(const Configuration& config) {
    const Connections& c = config.reading.deployment.connections;
    const std::size_t others = config.descriptors / front_part + own_descriptors;
    // A cache closes idle connections by the same clock: ours has to be first, or a send may cross its end.
    return {config.descriptors > others ? config.descriptors - others : 1,
            static_cast<std::size_t>(c.streams),
            c.time_out,
            std::max(c.idle - c.time_out, c.time_out),
            config.reading.deployment.tick,
            c.time_out};
}

Span longest_deadline(const Deployment& d) {
    Span longest;
    for (const ObjectKind& k : d.kinds) longest = std::max(longest, k.deadline);
    return longest;
}

std::vector<Effect> effects_of(const Deployment& d) {
    std::vector<Effect> effects;
    for (const ObjectKind& k : d.kinds) effects.push_back(k.effect);
    return effects;
}

template <class Call>
void guarded_flag(bool& flag, Call call) {
    const bool before = std::exchange(flag, true);
    call();
    flag = before;
}

}  // namespace

Host::Host(Loop& loop, const Configuration& config, const Parts& parts)
    : loop_(loop),
      longest_deadline_(longest_deadline(config.reading.deployment)),
      effects_(effects_of(config.reading.deployment)),
      most_held_(static_cast<std::size_t>(config.reading.deployment.most_held)),
      listen_(config.listen),
      roster_(config.reading.deployment.purge_done),
      front_(loop, *this, served_kinds(config.reading), front_limits(config)),
      caches_(loop, roster_, *this, config.reading.deployment, cache_limits(config)),
      board_(loop, *this, config.board, config.reading.deployment.connections.time_out),
      seed_(config.seed),
      registry_settings_(parts.registry),
      owner_(config.reading.deployment.location.raw() + ' '),
      fleet_settings_(parts.fleet),
      name_(config.name),
      looks_at_{config.reading.deployment.permits.probes, config.reading.deployment.permits.direct,
                config.reading.deployment.location, config.reading.deployment.parent_machine,
                config.reading.deployment.origin_machine},
      router_(*this, config.reading.deployment, config.seed, loop.now()) {
    // What the board knew at the start serves until the registry has told its list.
    board_.load(config.known);
    if (registry_settings_) start_registry();
    if (fleet_settings_) start_fleet();
}

Host::~Host() {
    loop_.forget(keep_);
    loop_.forget(take_lookups_);
    loop_.forget(fleet_client_left_);
}

void Host::serve() {
    start_by_ = loop_.now() + longest_start;
    take_lookups();
    board_.poll();
    if (registry_) registry_->start();
    if (fleet_client_) fleet_client_->start();
}

// Guards against lookups that a new process would decide without an event that it is counted as having in
// force: a member of a site takes none until the board has told it all, or its former process counts no more.
void Host::take_lookups() {
    loop_.forget(take_lookups_);
    if (front_.listening() || leave_ != Leave::no) return;
    if (fleet_client_ && !fleet_client_->may_serve()) {
        take_lookups_ = loop_.at(fleet_client_->serves_from(), [this] { take_lookups(); });
        return;
    }
    if (const auto why = front_.listen(Poco::Net::SocketAddress(listen_))) return listen_again(*why);
    log::write(log::Level::info, name_ + " serves on " + listen_);
}

// A call may fail for a moment, and the process before may not have let go of the address yet.
void Host::listen_again(const std::string& why) {
    const Instant now = loop_.now();
    if (now >= start_by_) {
        start_failure_ = "cannot listen on " + listen_ + ": " + why;
        return loop_.stop();
    }
    if (!std::exchange(start_held_up_, true))
        log::write(log::Level::warning, "cannot listen on " + listen_ + " yet: " + why + "; tried again");
    take_lookups_ = loop_.at(now + listen_again_after, [this] { take_lookups(); });
}

void Host::on_board_asked(bool from_start) {
    if (fleet_client_) fleet_client_->on_board_asked(from_start);
}

void Host::on_board_answered(std::int64_t newest, std::int64_t asked_from) {
    if (!fleet_client_) return;
    fleet_client_->on_board_told(newest, asked_from);
    take_lookups();
}

void Host::on_board_failed() {
    if (fleet_client_) fleet_client_->on_board_failed();
}

void Host::on_board_event_left_out() {
    if (fleet_client_) fleet_client_->on_board_event_left_out();
}

// The list that was kept serves at once, marked as old, until the registry tells.
void Host::start_registry() {
    registry_ = std::make_unique<registry::Client>(loop_, static_cast<registry::Knows&>(*this),
                                                   *registry_settings_, seed_);
    kept_ = {};
    if (registry_settings_->keep_in.empty()) return;
    auto opened = Store::open(registry_settings_->keep_in, most_kept);
    if (const auto* why = std::get_if<std::string>(&opened))
        return log::write(log::Level::warning, "registry: the list is not kept: " + *why);
    store_ = std::move(std::get<Store>(opened));
    keep_ = loop_.at(loop_.now() + keep_every, [this] { keep_list(); });
    const auto bytes = store_->read(list_name);
    if (!bytes) return;
    const auto read = registry::read_kept(*bytes, owner_ + registry_settings_->prefix, loop_.now(),
                                          registry_settings_->keep_for);
    if (const auto* why = std::get_if<std::string>(&read))
        return log::write(log::Level::warning, "registry: " + *why + "; the registry is waited for");
    const auto& kept = std::get<registry::Snapshot>(read);
    if (!kept.records.empty()) registry_->start_from(kept.cluster, kept.revision, kept.records, kept.as_of);
}

// Off the lookups' path, and seldom: when the list has changed, or what is kept has grown old.
void Host::keep_list() {
    keep_ = loop_.at(loop_.now() + keep_every, [this] { keep_list(); });
    const registry::Watch& watch = registry_->watch();
    const bool grown_old = watch.as_of() - kept_at_ > registry_settings_->keep_for * renewed_at;
    if (watch.sight() != registry::Sight::following || (watch.view().revision() == kept_ && !grown_old))
        return;
    const auto why =
        store_->write(list_name, registry::kept_form(watch.view(), watch.cluster(), watch.as_of(),
                                                     owner_ + registry_settings_->prefix));
    if (why && !std::exchange(not_kept_, true))
        log::write(log::Level::warning, "registry: the list is " + *why);
    if (why) return;
    not_kept_ = false;
    kept_ = watch.view().revision();
    kept_at_ = watch.as_of();
}

void Host::reread(const Configuration& configuration, const Parts& parts) {
    if (leave_ != Leave::no) return log::write(log::Level::info, "leaving: the configuration is not reread");
    board_.move(configuration.board);
    // A configuration's number alone is told, and nobody leaves for it.
    if (fleet_client_ && parts.fleet && parts.fleet->configuration != fleet_settings_->configuration) {
        fleet_settings_->configuration = parts.fleet->configuration;
        fleet_client_->set_configuration(parts.fleet->configuration);
    }
    if (parts.fleet != fleet_settings_) {
        end_fleet();
        fleet_settings_ = parts.fleet;
        if (fleet_settings_) start_fleet();
        if (fleet_client_) fleet_client_->start();
    }
    if (parts.registry == registry_settings_) return;
    registry_settings_ = parts.registry;
    registry_.reset();
    loop_.forget(keep_);
    store_.reset();
    if (!registry_settings_)
        return log::write(log::Level::warning,
                          "registry: off; the list is the notice board's from its next event on");
    log::write(log::Level::info,
               "registry: now at " + registry_settings_->members.front() + " and others of its members");
    start_registry();
    registry_->start();
}

// Guards against lookups that SIGKILL would find unanswered: what was taken before with a longer time, too,
// is answered before it can come.
void Host::leave() {
    if (leave_ != Leave::no) return;
    leave_ = Leave::working;
    leaving_since_ = loop_.now();
    leave_by_ =
        leaving_since_ + std::min(longest_deadline_, longest_waited_for) + work_after_leave * (1 - end_part);
    if (fleet_client_) fleet_client_->leave();
    log::write(log::Level::info, "leaving: " + std::to_string(held()) + " lookups at work");
    guarded_flag(in_router_, [&] { router_.on_leaving(loop_.now(), leave_by_); });
    for (auto& [id, h] : exchanges_) expire_at(id, leave_by_);
    look_round();
}

void Host::expire_at(const LookupId& id, Instant by) {
    Held& h = exchanges_.at(id);
    if (by >= h.exchange->expires()) return;
    h.exchange->expire_by(by);
    loop_.forget(h.expiry);
    h.expiry = loop_.at(by, [this, id] { expired(id); });
}

// What is still out for those that have left is nobody's answer.
bool Host::owes_answer() const {
    return std::any_of(exchanges_.begin(), exchanges_.end(),
                       [](const auto& e) { return !e.second.exchange->answered(); });
}

// Once nothing can come any more, the last answer ends the program: first nobody is accepted any more, then,
// when those that were have their answers too, each connection is ended, then the loop.
void Host::look_round() {
    const Instant now = loop_.now();
    const bool last_moment = now >= leave_by_ + work_after_leave * (end_part / 2);
    if (leave_ == Leave::working && now >= leaving_since_ + work_after_leave) {
        if (!owes_answer() && front_.drained()) front_.stop_listening();
        if (last_moment || (!front_.listening() && !owes_answer() && front_.drained())) {
            leave_ = Leave::ending;
            leave_by_ = std::min(now, leave_by_);
            front_.stop_listening();
            front_.end_all();
            log::write(log::Level::info, "leaving: connections end, " + std::to_string(front_.links()));
        }
    }
    if (leave_ == Leave::ending && (front_.links() == 0 || now >= leave_by_ + work_after_leave * end_part)) {
        caches_.close_all();
        log::write(log::Level::info, "left with " + std::to_string(held()) +
                                         " lookups at work; alarms up to " +
                                         std::to_string(loop_.latest().micros()) + " us late");
        return loop_.stop();
    }
    loop_.at(std::max(leaving_since_ + work_after_leave, now + look_round_every), [this] { look_round(); });
}

// --- what happens ----------------------------------------------------------------------------------------

// What a client calls its request names nothing here. One connection has one request open under a name; on
// others the name is anybody's. A request that comes again in the very same words is not taken beside the
// first one, and a side-effecting one not behind it either.
Host::Verdict Host::judge(const Caller& caller, const Asked& asked) {
    if (open_names_.contains({caller.link, asked.request})) return Verdict::id_in_use;
    const Arrival& arrival = asked.arrival;
    const RequestWords words{asked.request, asked.kind, arrival.object.raw(), asked.part, asked.body};
    const Span behind = has_effect(arrival.kind) ? longest_deadline_ : Span{};
    const bool taken = request_log_.take(words, arrival.id, arrival.expires + behind, loop_.now());
    return taken ? Verdict::taken : Verdict::sent_twice;
}

bool Host::has_effect(KindNo kind) const { return effects_[kind.raw()] == Effect::side_effecting; }

Host::Verdict Host::taken(const Caller& caller, Asked asked) {
    const LookupId id{++last_lookup_};
    asked.arrival.id = id;
    const Verdict verdict = judge(caller, asked);
    if (verdict != Verdict::taken) return verdict;
    const Arrival arrival = asked.arrival;
    flight_recorder::note("taken", id.raw(), caller.link);
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "taken",
                   {{"lookup", asked.request.raw()},
                    {"number", id.raw()},
                    {"client", caller.link},
                    {"request", caller.request},
                    {"kind", asked.kind},
                    {"object", arrival.object.raw()}});
    open_names_[{caller.link, asked.request}] = id;
    Held& h = exchanges_[id];
    h.exchange = std::make_shared<Exchange>(front_, caller, std::move(asked));
    by_caller_[caller] = id;
    if (most_held_ > 0 && exchanges_.size() > most_held_) {
        nack(id, Span{});
    } else {
        h.expiry = loop_.at(arrival.expires, [this, id] { expired(id); });
        if (leave_ != Leave::no) expire_at(id, leave_by_);
        guarded_flag(in_router_, [&] { router_.on_lookup(loop_.now(), arrival); });
    }
    drop_if_over(id);
    return Verdict::taken;
}

// Its client has its answer, or has left: the name is free again on that connection.
void Host::note_answered(Exchange& x, bool without_effect) {
    flight_recorder::note("answered", x.id().raw(), x.sends());
    const auto name = open_names_.find({x.caller().link, x.request()});
    if (name != open_names_.end() && name->second == x.id()) open_names_.erase(name);
    if (without_effect || !has_effect(x.asked().arrival.kind)) request_log_.forget_lookup(x.id());
}

void Host::left(const Caller& caller) {
    const auto it = by_caller_.find(caller);
    if (it == by_caller_.end()) return;
    const LookupId id = it->second;
    Exchange& x = *exchanges_.at(id).exchange;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "client_left",
                   {{"lookup", x.request().raw()}, {"early_us", (x.expires() - loop_.now()).micros()}});
    // What is out goes on until it ends by itself or the client's time would have been over: whether to call
    // it back is the Router's to say, and how it ends tells it of the cache.
    x.client_left();
    note_answered(x, false);
    guarded_flag(in_router_, [&] { router_.on_client_gone(loop_.now(), id); });
    // What waits, for a connection, for room or to be moved to another, does not begin any more.
    caches_.withdraw(x);
    for (std::size_t n = 0; n < x.sends(); ++n)
        if (x.send(n).reach == Reach::unconnected) end_send(x, n, {.outcome = Outcome::recalled});
    drop_if_over(id);
}

// The client's time is over.
void Host::expired(const LookupId& id) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Exchange& x = *it->second.exchange;
    // The Router hears of what has ended before it hears that the time is over.
    if (x.owes_word()) return (void)loop_.soon([this, id] { expired(id); });
    end_all_sends(x, Outcome::overdue);
    // Guards the first rule: whatever the Router waits for, there is no time left.
    if (x.fail()) {
        note_answered(x, false);
        log::event(log::Level::error, "unanswered_in_time",
                   {{"lookup", x.request().raw()}, {"number", id.raw()}, {"sends", x.sends()}});
        guarded_flag(in_router_, [&] { router_.on_client_gone(loop_.now(), id); });
    }
    drop_if_over(id);
}

bool Host::may_begin(Exchange& x, std::size_t n) {
    return !x.answered() && router_.may_begin(loop_.now(), x.id(), SendNo{n});
}

void Host::end_all_sends(Exchange& x, Outcome outcome) {
    for (std::size_t n = 0; n < x.sends(); ++n) {
        if (x.send(n).ended) continue;
        caches_.give_up(x, n);
        end_send(x, n, {.outcome = outcome});
    }
}

void Host::ended(Exchange& x, std::size_t n, const End& end) {
    const LookupId id = x.id();
    end_send(x, n, end);
    drop_if_over(id);
}

// No connection may carry the client's name for it: each has carried it for another lookup whose answers may
// still come. Who names its requests anew each time never meets this, and a first send has not run.
void Host::name_in_use(Exchange& x, std::size_t n) {
    log::event(log::Level::info, "refused",
               {{"reason", "the id is in use for another lookup at the caches"},
                {"request_id", x.request().raw()},
                {"client", x.caller().link},
                {"send", n}});
    if (n > 0) return ended(x, n, {.outcome = Outcome::saturated});
    if (x.nack(Span{})) note_answered(x, true);
    ended(x, n, {.outcome = Outcome::recalled});
}

// Keeps the exchange, for callers that go on with it.
void Host::end_send(Exchange& x, std::size_t n, const End& end) {
    Send& s = x.send(n);
    if (s.ended) return;
    s.ended = true;
    const LookupId id = x.id();
    forget_time_out(id, n);
    if (end.outcome == Outcome::completed && x.satisfy(end)) note_answered(x, false);
    const Answer a{id,      SendNo{n},    s.cache,     end.outcome, end.note, loop_.now() - s.decided,
                   end.lag, x.answered(), std::nullopt};
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "send_ended",
                   {{"lookup", x.request().raw()},
                    {"number", id.raw()},
                    {"send", n},
                    {"cache", s.cache.raw()},
                    {"source", s.names_source() ? s.fill->source.raw() : ""},
                    {"outcome", static_cast<int>(end.outcome)},
                    {"note", static_cast<int>(end.note)},
                    {"reach", static_cast<int>(s.reach)},
                    {"connection", s.link},
                    {"took_us", a.took.micros()}});
    // The Router is not called from within its own calls.
    if (in_router_)
        loop_.soon([this, id, a] {
            tell_router(id, a);
            drop_if_over(id);
        });
    else
        tell_router(id, a);
}

void Host::tell_router(const LookupId& id, const Answer& a) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    it->second.exchange->send(a.send.raw()).told = true;
    Answer late = a;
    late.last = it->second.exchange->answered();
    guarded_flag(in_router_, [&] { router_.on_answer(loop_.now(), late); });
}

void Host::drop_if_over(const LookupId& id) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end() || !it->second.exchange->over()) return;
    loop_.forget(it->second.expiry);
    by_caller_.erase(it->second.exchange->caller());
    exchanges_.erase(it);
}

void Host::forget_time_out(LookupId id, std::size_t n) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    const auto time_out = it->second.time_outs.find(n);
    if (time_out == it->second.time_outs.end()) return;
    loop_.forget(time_out->second);
    it->second.time_outs.erase(time_out);
}

// What a fleet's duties need of a gateway; the client that is left keeps its connection until it has been
// heard.
void Host::start_fleet() {
    fleet::Settings c = *fleet_settings_;
    if (c.name.raw().empty()) c.name = fleet::MemberName{name_};
    fleet_client_ = std::make_unique<fleet::FleetClient>(loop_, static_cast<fleet::GatewayPort&>(*this), c,
                                                         IRISMUX_VERSION, seed_);
}

void Host::end_fleet() {
    if (!fleet_client_) return;
    fleet_client_->leave();
    leaving_fleet_client_ = std::move(fleet_client_);
    loop_.forget(fleet_client_left_);
    fleet_client_left_ = loop_.at(loop_.now() + fleet_settings_->registry.pace.answer_in,
                                  [this] { leaving_fleet_client_.reset(); });
}

void Host::marked(const CacheId& cache, bool is) {
    if (fleet_client_) fleet_client_->marked(cache, is);
}

bool Host::send_probe(const CacheId& cache) {
    const Peer* const peer = roster_.find(cache);
    if (!peer || !looks_at_.any) return false;
    const Listing& l = peer->listing;
    const bool edge =
        l.location == looks_at_.here && l.machine != looks_at_.parent && l.machine != looks_at_.origin;
    if (!edge && !looks_at_.direct) return false;
    caches_.probe(cache, [this, cache] { return fleet_client_ && fleet_client_->may_probe(cache); });
    return true;
}

void Host::trial_from(const CacheId& cache, Instant at) {
    guarded_flag(in_router_, [&] { router_.on_trial_from(loop_.now(), cache, at); });
}

void Host::on_duty_state(const fleet::DutyName& duty, fleet::LeaseState state, fleet::FencingToken token) {
    log::event(state == fleet::LeaseState::lost ? log::Level::warning : log::Level::info, "duty",
               {{"duty", duty.raw()}, {"tenancy", fleet::word_of(state)}, {"epoch", token.raw()}});
}

void Host::on_fleet_message(std::string_view plain_line, bool trouble) {
    log::write(trouble ? log::Level::warning : log::Level::info, "fleet: " + std::string(plain_line));
}

void Host::probed(const ProbeAnswer& a) {
    if (fleet_client_) fleet_client_->probed(a.cache, a.outcome == Outcome::completed);
    guarded_flag(in_router_, [&] { router_.on_probe(loop_.now(), a); });
}

// The board's list counts only where no registry tells one.
void Host::on_board_list(const std::vector<ListLine>& lines, bool complete) {
    if (!registry_) list_in_force(lines, complete);
}

void Host::list_told(Instant, const std::vector<ListLine>& lines, bool complete) {
    list_in_force(lines, complete);
}

void Host::sight_told(Instant now, registry::Sight sight, Instant as_of) {
    const bool bad = sight == registry::Sight::blind;
    log::write(bad ? log::Level::warning : log::Level::info,
               "registry: " + std::string(registry::word_of(sight)) +
                   (as_of > Instant{}
                        ? ", the list was whole " + std::to_string((now - as_of).micros() / 1000) + " ms ago"
                        : ", no list yet"));
    if (bad) guarded_flag(in_router_, [&] { router_.on_list_lost(now); });
}

void Host::remark(std::string_view plain_line) {
    log::write(log::Level::warning, "registry: " + std::string(plain_line));
}

void Host::list_in_force(const std::vector<ListLine>& lines, bool complete) {
    roster_.told(lines, complete);
    std::vector<Listing> listings;
    for (const auto& [l, address] : lines) listings.push_back(l);
    guarded_flag(in_router_, [&] { router_.on_list(loop_.now(), listings, complete); });
    for (const Listing& l : listings)
        if (fleet_client_ && l.phase == Phase::gone) fleet_client_->gone(l.cache);
    caches_.close_unlisted();
}

void Host::on_board_purge(const PurgeNotice& purge) {
    const Instant now = loop_.now();
    const Span age = std::max(now - purge.at, Span{});
    roster_.purged(purge.at, purge.group, purge.object, now);
    guarded_flag(in_router_, [&] { router_.on_purge(now, age, purge.group, purge.object); });
}

// --- what the Router wants ---------------------------------------------------------------------------------

void Host::send(const LookupId& id, const CacheId& cache, Span time_out) {
    Fill plain;
    plain.cache = plain.source = cache;
    plain.time_out = time_out;
    start_send(id, {.cache = cache, .fill = plain, .decided = loop_.now()});
}

void Host::fill(const LookupId& id, const Fill& f) {
    start_send(id, {.cache = f.cache, .fill = f, .decided = loop_.now()});
}

void Host::start_send(const LookupId& id, Send s) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Exchange& x = *it->second.exchange;
    const Span time_out = s.fill ? s.fill->time_out : Span{};
    const std::size_t n = x.add(std::move(s));
    flight_recorder::note("send", id.raw(), n);
    if (time_out > Span{} && loop_.now() + time_out < x.expires())
        it->second.time_outs[n] = loop_.at(loop_.now() + time_out, [this, id, n] { timed_out(id, n); });
    caches_.pull(x, n);
}

void Host::timed_out(LookupId id, std::size_t n) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Exchange& x = *it->second.exchange;
    it->second.time_outs.erase(n);
    caches_.give_up(x, n);
    ended(x, n, {.outcome = Outcome::overdue});
}

void Host::cancel(const LookupId& id, SendNo n) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end() || n.raw() >= it->second.exchange->sends()) return;
    Exchange& x = *it->second.exchange;
    if (x.send(n.raw()).ended) return;
    caches_.give_up(x, n.raw());
    end_send(x, n.raw(), {.outcome = Outcome::recalled});
}

void Host::nack(const LookupId& id, Span come_back_in) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Exchange& x = *it->second.exchange;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "nacked",
                   {{"lookup", x.request().raw()}, {"come_back_in_us", come_back_in.micros()}});
    if (x.nack(come_back_in)) note_answered(x, true);
}

void Host::fail(const LookupId& id) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Exchange& x = *it->second.exchange;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "failed", {{"lookup", x.request().raw()}});
    if (x.fail()) note_answered(x, false);
}

void Host::probe(const CacheId& cache) {
    caches_.probe(cache, [] { return true; });
}

void Host::alarm(AlarmNo n, Instant at) {
    loop_.at(at, [this, n] { guarded_flag(in_router_, [&] { router_.on_alarm(loop_.now(), n); }); });
}

void Host::note_down(std::string_view text) { log::write(log::Level::info, text); }

}  // namespace irismux
