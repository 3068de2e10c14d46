#include "fleet/fleet_client.hpp"

#include <time.h>

#include <algorithm>
#include <random>

#include "registry/registry_log.hpp"

namespace irismux::fleet {
namespace {

// The tokens seen are stored at most this often; a crash loses those of the last such interval.
constexpr Duration store_every = Duration::micros(250'000);

constexpr std::string_view roll = "roll/", beats = "beat/";

std::string random_instance_id() {
    std::random_device chance;
    std::string mark;
    for (int n = 0; n < 4; ++n) mark += std::to_string(chance()) + (n < 3 ? "." : "");
    return mark;
}

std::uint64_t mixed_with_chance(std::uint64_t seed) { return seed ^ std::random_device{}(); }

registry::Settings watch_settings(const Settings& settings) {
    registry::Settings watched = settings.registry;
    watched.prefix = watched_prefix(site_prefix(watched.prefix, settings.site));
    return watched;
}

std::int64_t unix_ms_now() {
    timespec t{};
    ::clock_gettime(CLOCK_REALTIME, &t);
    return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1'000'000;
}

}  // namespace

std::string path_of(const Key& key) {
    return key.raw().rfind(beats, 0) == 0 ? key.raw() : std::string(roll) + key.raw();
}
Key key_at(const std::string& path) {
    return Key{path.rfind(roll, 0) == 0 ? path.substr(roll.size()) : path};
}
std::string watched_prefix(const std::string& prefix) { return prefix + std::string(roll); }
std::string site_prefix(const std::string& prefix, const SiteName& site) {
    return site.raw().empty() ? prefix : prefix + "site/" + site.raw() + '/';
}
std::string digest_prefix(const std::string& prefix) { return prefix + "digest/"; }
std::string path_of(const Key& key, const SiteName& site) {
    if (site.raw().empty()) return path_of(key);
    if (key == generation_key()) return key.raw();
    if (key == digest_key()) return digest_prefix("") + site.raw();
    return site_prefix("", site) + path_of(key);
}

FleetClient::FleetClient(EventLoop& loop, GatewayCallbacks& gateway, const Settings& settings,
                         const std::string& version, std::uint64_t seed)
    : event_loop_(loop),
      gateway_(gateway),
      settings_(settings),
      token_store_(settings.token_store_folder),
      watch_settings_(watch_settings(settings)),
      instance_id_(random_instance_id()),
      agent_(*this, *this, settings.shared_config, identity(version), mixed_with_chance(seed)),
      health_monitor_(*this, settings.health_check_interval, agent_.membership().heartbeat_interval()),
      garbage_collector_(settings.collection_interval, agent_.membership().eviction_timeout() * 2),
      connection_(loop, *this, settings_.registry),
      registry_member_(seed % settings.registry.members.size()),
      watch_client_(loop, *this, watch_settings_, mixed_with_chance(seed), registry::RecordKind::opaque) {
    if (!settings.site.raw().empty()) {
        site_reporter_.emplace(
            SiteReporter::Settings{settings.name, instance_id_, settings.shared_config.term,
                                   settings.acknowledge_interval, settings.shared_config.drift},
            clock());
        site_reporter_->applied().on_configuration(settings.configuration);
    }
    if (const auto& error = token_store_.open_error())
        gateway_.on_fleet_message("epochs seen are not kept: " + std::string(error->reason()) + " in " +
                                      error->folder + ": " + error->detail,
                                  true);
    if (!token_store_.restore(agent_.fence()))
        gateway_.on_fleet_message(
            "what was kept of epochs seen can't be read: lower ones are refused from now on only", true);
}

FleetClient::~FleetClient() {
    *liveness_token_ = false;
    for (const auto& alarm : {wake_timer_, due_tasks_timer_, store_timer_}) event_loop_.cancel(alarm);
}

MemberIdentity FleetClient::identity(const std::string& version) {
    return {settings_.name,
            InstanceId{instance_id_},
            version,
            token_store_.last_incarnation(),
            settings_.registry.poll_policy.reply_timeout,
            true,
            settings_.site.raw().empty() ? Duration{} : settings_.acknowledge_interval};
}

TimePoint FleetClient::clock() const {
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return TimePoint{} + Duration::micros(static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000);
}

// Runs it after the current call has returned; never after this client has been destroyed.
void FleetClient::call_soon(std::function<void()> then) {
    event_loop_.schedule_now([alive = std::weak_ptr<bool>(liveness_token_), then = std::move(then)] {
        if (alive.lock()) then();
    });
}

void FleetClient::start() {
    update_duties();
    agent_.start(clock());
    watch_client_.start();
    run_due_tasks();
    store_tokens_seen();
}

void FleetClient::leave() {
    store_tokens_seen();
    token_store_.close();
    agent_.leave(clock());
}

void FleetClient::on_ejection_changed(const CacheId& cache, bool is) {
    health_monitor_.on_ejection_changed(cache, is);
    // Where probes are not permitted the Router's own trial counts as the probe.
    call_soon([this, cache, is] {
        if (!is) health_monitor_.on_health_check_done(clock(), cache, true, agent_);
        agent_.set_ejected_caches(clock(), health_monitor_.ejected_caches());
        update_duties();
    });
}

void FleetClient::on_health_check_done(const CacheId& cache, bool answered) {
    health_monitor_.on_health_check_done(clock(), cache, answered, agent_);
}

bool FleetClient::may_check_health(const CacheId& cache) const {
    return health_monitor_.may_check(clock(), cache, agent_);
}

// --- transactions

void FleetClient::submit(const Transaction& d) {
    // The one before has had no answer: that member of the registry may hang.
    if (pending_transaction_) use_next_registry_member();
    pending_transaction_ = d;
    std::vector<registry::etcd::KeyValue> holds, writes;
    std::vector<std::string> shows;
    const auto path = [&](const Key& key) {
        return settings_.registry.prefix + path_of(key, settings_.site);
    };
    for (const auto& [key, text] : d.compares) holds.emplace_back(path(key), text);
    for (const auto& [key, text] : d.writes) writes.emplace_back(path(key), text);
    for (const Key& key : d.reads) shows.push_back(path(key));
    connection_.send_request(registry_member_, registry::etcd::transaction(holds, writes, shows),
                             registry::ReplyForm::whole);
}

void FleetClient::use_next_registry_member() {
    registry_member_ =
        registry::MemberIndex{(registry_member_.raw() + 1) % settings_.registry.members.size()};
}

void FleetClient::on_reply(int status, const std::string& body) {
    const auto read = registry::etcd::read_transaction_result(status, body, settings_.registry.prefix);
    if (const auto* wrong = std::get_if<registry::etcd::Error>(&read)) {
        if (wrong->code == registry::etcd::ErrorCode::unauthenticated && connection_.retry_with_new_token())
            return;
        return on_request_failed({registry::RequestFailureReason::error_reply, wrong->message});
    }
    if (!pending_transaction_) return;
    const auto& settled = std::get<registry::etcd::TransactionResult>(read);
    const Transaction d = *std::exchange(pending_transaction_, std::nullopt);
    std::vector<Entry> shown;
    const auto show = [&](const Key& key) {
        const auto it = std::find_if(settled.records.begin(), settled.records.end(), [&](const auto& r) {
            return r.key.raw() == path_of(key, settings_.site);
        });
        shown.emplace_back(key, it == settled.records.end() ? Text{} : Text{it->value});
    };
    if (settled.succeeded)
        for (const Key& key : d.reads) show(key);
    else
        for (const auto& [key, text] : d.compares) show(key);
    agent_.on_transaction_result(clock(), settled.header.revision, settled.succeeded, shown);
    run_due_tasks();
}

void FleetClient::on_request_failed(const registry::RequestFailure&) {
    connection_.close();
    use_next_registry_member();
    if (!std::exchange(pending_transaction_, std::nullopt)) return;
    agent_.on_transaction_timeout(clock());
    run_due_tasks();
}

void FleetClient::schedule_wake(TimePoint at) {
    event_loop_.cancel(wake_timer_);
    wake_timer_ = event_loop_.schedule_at(to_event_loop_time(at), [this] {
        agent_.on_wake(clock());
        run_due_tasks();
    });
}

// --- watched records

void FleetClient::on_records(TimePoint, registry::Revision at, const std::vector<registry::Change>& changes,
                             bool all) {
    std::vector<Entry> entries;
    entries.reserve(changes.size());
    for (const auto& c : changes)
        entries.emplace_back(Key{c.record.key.raw()}, c.deleted ? Text{} : Text{c.record.value});
    record_mirror_.apply(entries, all);
    mirrored_revision_ = at;
    agent_.on_records(clock(), at, entries, all);
    for (const auto& [key, text] : entries)
        if (const auto cache = health_record_cache(key))
            if (const auto f = text ? parse_health_record(*text) : std::nullopt) {
                const DutyName duty = health_check_duty(*cache);
                if (agent_.accepts_order_of(duty, {f->token, f->owner.name, f->owner.incarnation}))
                    health_monitor_.on_probe_result(clock(), *cache, *f, agent_);
            }
    update_duties();
    run_due_tasks();
}

void FleetClient::on_sync_state(TimePoint, registry::SyncState sight, TimePoint) {
    const bool blind = sight == registry::SyncState::disconnected;
    if (std::exchange(registry_silent_, blind) != blind)
        gateway_.on_fleet_message(blind ? "the registry says nothing: what is known of the fleet ages"
                                        : "the registry is heard again",
                                  blind);
}

void FleetClient::update_duties() {
    std::set<DutyName> wanted{garbage_collection_duty()};
    if (site_reporter_) wanted.insert(digest_duty());
    for (const CacheId& c : health_monitor_.update_monitored(agent_)) wanted.insert(health_check_duty(c));
    if (wanted == followed_duties_) return;
    std::vector<Entry> records;
    for (const DutyName& d : wanted)
        if (!followed_duties_.contains(d) && mirrored_revision_ > registry::Revision{})
            for (const Key& key : {duty_key(d), release_key(d)})
                records.emplace_back(key, record_mirror_.at(key));
    followed_duties_ = wanted;
    agent_.set_duties(clock(), followed_duties_);
    if (!records.empty()) agent_.on_records(clock(), mirrored_revision_, records, false);
}

// --- duties

// Probes and garbage collection that are due; sets the alarm for the next.
void FleetClient::run_due_tasks() {
    event_loop_.cancel(due_tasks_timer_);
    const TimePoint now = clock();
    if (site_reporter_) site_reporter_->advance(now, agent_);
    health_monitor_.run_due_checks(now, agent_);
    TimePoint due = health_monitor_.next_check_at();
    if (agent_.may_begin_work(now, garbage_collection_duty())) {
        if (auto write_request = garbage_collector_.next_write(now, record_mirror_, agent_))
            if (!agent_.write_fenced(now, garbage_collection_duty(), collection_progress_key(),
                                     std::move(*write_request)))
                garbage_collector_.on_written(now, WriteOutcome::refused);
        if (garbage_collector_.next_pass_at() > now) due = std::min(due, garbage_collector_.next_pass_at());
    }
    due_tasks_timer_ = event_loop_.schedule_at(to_event_loop_time(due), [this] { run_due_tasks(); });
}

void FleetClient::on_lease_state(const DutyName& duty, LeaseState state, FencingToken token) {
    gateway_.on_duty_state(duty, state, token);
}

void FleetClient::on_write_outcome(const DutyName& duty, const Key& key, WriteOutcome done) {
    if (duty == digest_duty() && site_reporter_) site_reporter_->on_written(key);
    if (duty == garbage_collection_duty()) garbage_collector_.on_written(clock(), done);
}

void FleetClient::on_warning(std::string_view plain_line) { gateway_.on_fleet_message(plain_line, true); }

void FleetClient::on_watch_warning(const registry::WatchWarning& warning) {
    gateway_.on_fleet_message(registry::event_name(warning.kind), true);
}

void FleetClient::start_health_check(const CacheId& cache) {
    call_soon([this, cache] {
        // The process may have been stopped since it was asked for: the lease is checked again right before
        // the first byte.
        if (!may_check_health(cache)) return;
        if (!gateway_.start_health_check(cache))
            health_monitor_.on_check_not_permitted(clock(), cache, agent_);
    });
}

void FleetClient::postpone_recovery_probe(const CacheId& cache, TimePoint at) {
    call_soon([this, cache, at] { gateway_.postpone_recovery_probe(cache, to_event_loop_time(at)); });
}

// --- what is in force here

bool FleetClient::needs_full_notice_history() const {
    return site_reporter_ && site_reporter_->applied().needs_full_history();
}

void FleetClient::on_poll_started(bool from_start) {
    if (site_reporter_) site_reporter_->applied().on_poll_started(from_start);
}

void FleetClient::on_poll_completed(std::int64_t newest, std::int64_t asked_from) {
    if (!site_reporter_) return;
    site_reporter_->applied().on_poll_completed(EventNumber{newest}, EventNumber{asked_from});
    site_reporter_->advance(clock(), agent_);
}

void FleetClient::on_poll_failed() {
    if (site_reporter_) site_reporter_->applied().on_poll_failed();
}

void FleetClient::on_notice_skipped() {
    if (site_reporter_) site_reporter_->applied().on_notice_skipped();
}

void FleetClient::set_configuration(ConfigurationNumber number) {
    settings_.configuration = number;
    if (!site_reporter_) return;
    site_reporter_->applied().on_configuration(number);
    site_reporter_->advance(clock(), agent_);
}

void FleetClient::on_heartbeat_result(TimePoint sent, HeartbeatNumber number,
                                      const std::vector<Entry>& shown) {
    if (site_reporter_) site_reporter_->on_heartbeat(clock(), unix_ms_now(), sent, number, shown, agent_);
}

void FleetClient::on_registry_restored() {
    if (site_reporter_) site_reporter_->applied().on_history_lost();
}

// --- state that outlives the process

void FleetClient::store_tokens_seen() {
    event_loop_.cancel(store_timer_);
    store_timer_ = event_loop_.schedule_at(event_loop_.now() + store_every, [this] { store_tokens_seen(); });
    if (const auto error = token_store_.save(agent_.fence(), agent_.incarnation()))
        gateway_.on_fleet_message("epochs seen are not stored: " + error->detail, true);
}

}  // namespace irismux::fleet
