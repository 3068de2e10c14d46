#include "fleet/fleet_client.hpp"

#include <time.h>

#include <algorithm>
#include <random>

namespace irismux::fleet {
namespace {

constexpr std::size_t most_stored = 8 << 20;  // of the store's file
constexpr const char* seen_name = "fleet epochs seen";
constexpr const char* start_name = "fleet last start";
// What is seen is kept that often at most: what is seen within it is lost with a crash, and no more.
constexpr Span keep_every = Span::micros(250'000);

constexpr std::string_view roll = "roll/", beats = "beat/";

std::string drawn_mark() {
    std::random_device chance;
    std::string mark;
    for (int n = 0; n < 4; ++n) mark += std::to_string(chance()) + (n < 3 ? "." : "");
    return mark;
}

std::uint64_t mixed_with_chance(std::uint64_t seed) { return seed ^ std::random_device{}(); }

registry::Settings followed(registry::Settings settings) {
    settings.prefix = watched_prefix(settings.prefix);
    return settings;
}

}  // namespace

std::string path_of(const Key& key) {
    return key.raw().rfind(beats, 0) == 0 ? key.raw() : std::string(roll) + key.raw();
}
Key key_at(const std::string& path) {
    return Key{path.rfind(roll, 0) == 0 ? path.substr(roll.size()) : path};
}
std::string watched_prefix(const std::string& prefix) { return prefix + std::string(roll); }

FleetClient::FleetClient(Loop& loop, GatewayPort& gateway, const Settings& settings, std::string version,
                         std::uint64_t seed)
    : loop_(loop),
      gateway_(gateway),
      settings_(settings),
      followed_(followed(settings.registry)),
      agent_((open_store(), *this), *this, settings.shared_config, identity(version),
             mixed_with_chance(seed)),
      health_watch_(*this, settings.look_every, agent_.membership().round()),
      garbage_collector_(settings.sweep_every, agent_.membership().wait() * 2),
      asker_(loop, *this, settings_.registry),
      member_(seed % settings.registry.members.size()),
      client_(loop, *this, followed_, mixed_with_chance(seed), registry::Sort::plain) {
    if (store_)
        if (const auto seen = store_->read(seen_name); seen && !agent_.fence().restore(*seen))
            gateway_.on_fleet_message(
                "what was kept of epochs seen can't be read: lower ones are refused from now on only", true);
}

FleetClient::~FleetClient() {
    *alive_ = false;
    for (const auto& alarm : {wake_, go_on_, keep_}) loop_.forget(alarm);
}

void FleetClient::open_store() {
    if (settings_.keep_in.empty()) return;
    auto opened = Store::open(settings_.keep_in, most_stored);
    if (const auto* why = std::get_if<std::string>(&opened))
        return gateway_.on_fleet_message("epochs seen are not kept: " + *why, true);
    store_ = std::move(std::get<Store>(opened));
}

MemberIdentity FleetClient::identity(const std::string& version) {
    MemberIdentity p{
        settings_.name, InstanceId{drawn_mark()}, version, {}, settings_.registry.pace.answer_in, true};
    if (const auto start = store_ ? store_->read(start_name) : std::nullopt)
        p.last_incarnation = Incarnation{std::atoll(start->c_str())};
    return p;
}

Instant FleetClient::clock() const {
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return Instant{} + Span::micros(static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000);
}

// Not from within the call that asks for it; never once the station is gone.
void FleetClient::later(std::function<void()> then) {
    loop_.soon([alive = std::weak_ptr<bool>(alive_), then = std::move(then)] {
        if (alive.lock()) then();
    });
}

void FleetClient::start() {
    know_duties();
    agent_.start(clock());
    client_.start();
    go_on();
    keep();
}

void FleetClient::leave() {
    keep();
    store_.reset();
    agent_.leave(clock());
}

void FleetClient::marked(const CacheId& cache, bool is) {
    health_watch_.marked(cache, is);
    // Where looks are not permitted the Router's own trial was the look.
    later([this, cache, is] {
        if (!is) health_watch_.on_probe_done(clock(), cache, true, agent_);
        agent_.set_marked_caches(clock(), health_watch_.marks());
        know_duties();
    });
}

void FleetClient::probed(const CacheId& cache, bool answered) {
    health_watch_.on_probe_done(clock(), cache, answered, agent_);
}

bool FleetClient::may_probe(const CacheId& cache) const {
    return health_watch_.may_probe(clock(), cache, agent_);
}

// --- deals -----------------------------------------------------------------------------------------------

void FleetClient::submit(const Transaction& d) {
    // One that has not been answered: its member may hang.
    if (out_) next_member();
    out_ = d;
    std::vector<registry::etcd::KeyValue> holds, writes;
    std::vector<std::string> shows;
    const auto path = [&](const Key& key) { return settings_.registry.prefix + path_of(key); };
    for (const auto& [key, text] : d.compares) holds.emplace_back(path(key), text);
    for (const auto& [key, text] : d.writes) writes.emplace_back(path(key), text);
    for (const Key& key : d.reads) shows.push_back(path(key));
    asker_.ask(member_, registry::etcd::settle(holds, writes, shows), false);
}

void FleetClient::next_member() {
    member_ = registry::MemberNo{(member_.raw() + 1) % settings_.registry.members.size()};
}

void FleetClient::replied(int status, const std::string& body) {
    const auto read = registry::etcd::read_settled(status, body, settings_.registry.prefix);
    if (const auto* wrong = std::get_if<registry::etcd::Problem>(&read)) {
        if (wrong->fault == registry::etcd::Fault::refused && asker_.with_a_new_token()) return;
        return broke(wrong->words.c_str());
    }
    if (!out_) return;
    const auto& settled = std::get<registry::etcd::Settled>(read);
    const Transaction d = *std::exchange(out_, std::nullopt);
    std::vector<Entry> shown;
    const auto show = [&](const Key& key) {
        const auto it = std::find_if(settled.shown.begin(), settled.shown.end(),
                                     [&](const auto& r) { return r.key.raw() == path_of(key); });
        shown.emplace_back(key, it == settled.shown.end() ? Text{} : Text{it->value});
    };
    if (settled.held)
        for (const Key& key : d.reads) show(key);
    else
        for (const auto& [key, text] : d.compares) show(key);
    agent_.on_transaction_result(clock(), settled.from.revision, settled.held, shown);
    go_on();
}

void FleetClient::broke(const char*) {
    asker_.hang_up();
    next_member();
    if (!std::exchange(out_, std::nullopt)) return;
    agent_.on_no_answer(clock());
    go_on();
}

void FleetClient::schedule_wake(Instant at) {
    loop_.forget(wake_);
    wake_ = loop_.at(by_loop(at), [this] {
        agent_.on_wake(clock());
        go_on();
    });
}

// --- what the watch shows --------------------------------------------------------------------------------

void FleetClient::records_told(Instant, registry::Revision at, const std::vector<registry::Change>& changes,
                               bool all) {
    std::vector<Entry> entries;
    for (const auto& c : changes)
        entries.emplace_back(Key{c.record.key.raw()}, c.deleted ? Text{} : Text{c.record.value});
    record_mirror_.apply(entries, all);
    told_ = at;
    agent_.on_records(clock(), at, entries, all);
    for (const auto& [key, text] : entries)
        if (const auto cache = probed_cache_of(key))
            if (const auto f = text ? read_probe_result(*text) : std::nullopt) {
                const DutyName duty = health_watch_duty(*cache);
                if (agent_.accepts(duty, {f->token, f->by.name, f->by.start}))
                    health_watch_.on_probe_result(clock(), *cache, *f, agent_);
            }
    know_duties();
    go_on();
}

void FleetClient::sight_told(Instant, registry::Sight sight, Instant) {
    const bool blind = sight == registry::Sight::blind;
    if (std::exchange(blind_, blind) != blind)
        gateway_.on_fleet_message(blind ? "the registry says nothing: what is known of the fleet ages"
                                        : "the registry is heard again",
                                  blind);
}

void FleetClient::know_duties() {
    std::set<DutyName> now_known{garbage_collection_duty()};
    for (const CacheId& c : health_watch_.watched(agent_)) now_known.insert(health_watch_duty(c));
    if (now_known == duties_) return;
    std::vector<Entry> records;
    for (const DutyName& d : now_known)
        if (!duties_.contains(d) && told_ > registry::Revision{})
            for (const Key& key : {duty_key(d), release_key(d)})
                records.emplace_back(key, record_mirror_.at(key));
    duties_ = now_known;
    agent_.set_duties(clock(), duties_);
    if (!records.empty()) agent_.on_records(clock(), told_, records, false);
}

// --- duties ----------------------------------------------------------------------------------------------

// What has become due, by the cores' own terms.
void FleetClient::go_on() {
    loop_.forget(go_on_);
    const Instant now = clock();
    health_watch_.tick(now, agent_);
    Instant due = health_watch_.due();
    if (agent_.may_begin(now, garbage_collection_duty())) {
        if (auto write_request = garbage_collector_.next(now, record_mirror_, agent_))
            if (!agent_.write_fenced(now, garbage_collection_duty(), collection_progress_key(),
                                     std::move(*write_request)))
                garbage_collector_.told(now, WriteOutcome::refused);
        if (garbage_collector_.due() > now) due = std::min(due, garbage_collector_.due());
    }
    go_on_ = loop_.at(by_loop(due), [this] { go_on(); });
}

void FleetClient::on_lease_state(const DutyName& duty, LeaseState state, FencingToken token) {
    gateway_.on_duty_state(duty, state, token);
}

void FleetClient::on_write_outcome(const DutyName& duty, const Key&, WriteOutcome done) {
    if (duty == garbage_collection_duty()) garbage_collector_.told(clock(), done);
}

void FleetClient::remark(std::string_view plain_line) { gateway_.on_fleet_message(plain_line, true); }

void FleetClient::send_probe(const CacheId& cache) {
    later([this, cache] {
        // A turn lies between, and a stop may have: the term is judged again right before the first byte.
        if (!may_probe(cache)) return;
        if (!gateway_.send_probe(cache)) health_watch_.not_permitted(clock(), cache, agent_);
    });
}

void FleetClient::trial_from(const CacheId& cache, Instant at) {
    later([this, cache, at] { gateway_.trial_from(cache, by_loop(at)); });
}

// --- what outlives the process ---------------------------------------------------------------------------

void FleetClient::keep() {
    loop_.forget(keep_);
    keep_ = loop_.at(loop_.now() + keep_every, [this] { keep(); });
    if (!store_) return;
    const std::string now_seen = agent_.fence().serialize() + std::to_string(agent_.incarnation().raw());
    if (now_seen == kept_) return;
    auto why = store_->write(seen_name, agent_.fence().serialize());
    if (!why && agent_.incarnation() > Incarnation{})
        why = store_->write(start_name, std::to_string(agent_.incarnation().raw()));
    if (why && !std::exchange(not_kept_, true)) gateway_.on_fleet_message("epochs seen are " + *why, true);
    if (why) return;
    not_kept_ = false;
    kept_ = now_seen;
}

}  // namespace irismux::fleet
