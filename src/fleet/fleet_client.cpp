#include "fleet/fleet_client.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace irismux::fleet {
namespace {

std::string random_instance_id() {
    constexpr int parts = 4;
    std::random_device random;
    std::string id = std::to_string(random());
    for (int n = 1; n < parts; ++n) id += '.' + std::to_string(random());
    return id;
}

std::uint64_t randomized_seed(std::uint64_t seed) { return seed ^ std::random_device{}(); }

registry::Settings watch_settings(const Settings& settings) {
    registry::Settings watched = settings.registry;
    watched.prefix = watched_prefix(site_prefix(watched.prefix, settings.site));
    return watched;
}

}  // namespace

FleetClient::FleetClient(EventLoop& loop, GatewayCallbacks& gateway, const Settings& settings,
                         const std::string& version, std::uint64_t seed)
    : event_loop_(loop),
      gateway_(gateway),
      settings_(settings),
      token_store_(settings.token_store_folder),
      instance_id_(random_instance_id()),
      agent_(*this, *this, settings.shared_config, identity(version), randomized_seed(seed)),
      health_monitor_(*this, settings.health_check_interval, agent_.membership().heartbeat_interval()),
      garbage_collector_(settings.collection_interval, agent_.membership().eviction_timeout() * 2),
      transaction_client_(loop, *this, settings_.registry, settings.site,
                          registry::MemberIndex{seed % settings.registry.members.size()}),
      watch_client_(loop, *this, watch_settings(settings), randomized_seed(seed),
                    registry::RecordKind::opaque) {
    if (!settings.site.raw().empty()) {
        site_reporter_.emplace(
            SiteReporter::Settings{settings.name, instance_id_, settings.shared_config.term,
                                   settings.acknowledge_interval, settings.shared_config.drift},
            boot_time());
        site_reporter_->applied().on_configuration(settings.configuration);
    }
    if (token_store_.open_error()) report_store_error(TokenStoreOperation::open, *token_store_.open_error());
    if (!token_store_.restore(agent_.fence()))
        on_event(TokenStoreFailed{TokenStoreOperation::parse, "malformed", settings.token_store_folder});
}

MemberIdentity FleetClient::identity(const std::string& version) const {
    return {settings_.name,
            InstanceId{instance_id_},
            version,
            token_store_.last_incarnation(),
            settings_.registry.poll_policy.reply_timeout,
            true,
            settings_.site.raw().empty() ? Duration{} : settings_.acknowledge_interval};
}

// Runs the callback after the current call has returned, but not if this client was destroyed meanwhile.
void FleetClient::call_soon(std::function<void()> callback) {
    event_loop_.schedule_now([alive = std::weak_ptr<bool>(liveness_token_), callback = std::move(callback)] {
        if (alive.lock()) callback();
    });
}

void FleetClient::start() {
    update_duties();
    agent_.start(boot_time());
    watch_client_.start();
    run_due_tasks();
    save_tokens();
}

void FleetClient::leave() {
    save_tokens();
    token_store_.close();
    agent_.leave(boot_time());
}

// --- health checks

void FleetClient::on_ejection_changed(const CacheId& cache, bool ejected) {
    health_monitor_.on_ejection_changed(cache, ejected);
    // If health checks of the cache are not permitted, the router's own recovery probe replaces the check.
    // Therefore the readmission of a cache counts as a passed health check.
    call_soon([this, cache, ejected] {
        if (!ejected) health_monitor_.on_health_check_done(boot_time(), cache, true, agent_);
        agent_.set_ejected_caches(boot_time(), health_monitor_.ejected_caches());
        update_duties();
    });
}

void FleetClient::on_health_check_done(const CacheId& cache, bool answered) {
    health_monitor_.on_health_check_done(boot_time(), cache, answered, agent_);
}

bool FleetClient::may_check_health(const CacheId& cache) const {
    return health_monitor_.may_check(boot_time(), cache, agent_);
}

void FleetClient::start_health_check(const CacheId& cache) {
    call_soon([this, cache] {
        // This process may have been suspended since the call was scheduled, so this member's lease may have
        // ended.
        if (!may_check_health(cache)) return;
        if (!gateway_.start_health_check(cache))
            health_monitor_.on_check_not_permitted(boot_time(), cache, agent_);
    });
}

void FleetClient::postpone_recovery_probe(const CacheId& cache, TimePoint at) {
    call_soon([this, cache, at] { gateway_.postpone_recovery_probe(cache, to_event_loop_time(at)); });
}

// --- transactions

void FleetClient::on_transaction_result(registry::Revision revision, bool succeeded,
                                        const std::vector<KeyValue>& records) {
    agent_.on_transaction_result(boot_time(), revision, succeeded, records);
    run_due_tasks();
}

void FleetClient::on_transaction_lost() {
    agent_.on_transaction_timeout(boot_time());
    run_due_tasks();
}

void FleetClient::schedule_wake(TimePoint at) {
    wake_timer_ = ScopedTimer(event_loop_, to_event_loop_time(at), [this] {
        agent_.on_wake(boot_time());
        run_due_tasks();
    });
}

// --- watched records

void FleetClient::on_records(TimePoint, registry::Revision at, const std::vector<registry::Change>& changes,
                             bool all) {
    std::vector<KeyValue> entries;
    entries.reserve(changes.size());
    for (const auto& change : changes)
        entries.emplace_back(Key{change.record.key.raw()},
                             change.deleted ? RecordValue{} : RecordValue{change.record.value});
    record_mirror_.apply(entries, all);
    mirrored_revision_ = at;
    agent_.on_records(boot_time(), at, entries, all);
    for (const auto& [key, value] : entries)
        if (const auto cache = health_record_cache(key)) apply_health_record(*cache, value);
    update_duties();
    run_due_tasks();
}

void FleetClient::apply_health_record(const CacheId& cache, const RecordValue& value) {
    const auto record = value ? parse_health_record(*value) : std::nullopt;
    if (!record) return;
    const LeaseHolder holder{record->token, record->owner.name, record->owner.incarnation};
    if (agent_.accepts_holder(health_check_duty(cache), holder))
        health_monitor_.on_published_result(boot_time(), cache, *record, agent_);
}

void FleetClient::on_sync_state(TimePoint, registry::SyncState state, TimePoint) {
    const bool disconnected = state == registry::SyncState::disconnected;
    if (std::exchange(registry_disconnected_, disconnected) != disconnected)
        on_event(RegistryConnectionChanged{!disconnected});
}

void FleetClient::on_watch_warning(const registry::WatchWarning& warning) {
    if (!warning.failure) return on_event(RegistryWatchWarning{warning.kind, {}, {}});
    on_event(RegistryWatchWarning{warning.kind, std::string(registry::to_string(warning.failure->reason)),
                                  warning.failure->detail});
}

// --- duties

// The agent has ignored the records of a duty that it did not follow. When the agent begins to follow the
// duty, the records are therefore delivered again.
void FleetClient::update_duties() {
    std::set<DutyName> duties{garbage_collection_duty()};
    if (site_reporter_) duties.insert(digest_duty());
    for (const CacheId& cache : health_monitor_.update_monitored(agent_))
        duties.insert(health_check_duty(cache));
    if (duties == followed_duties_) return;
    std::vector<KeyValue> records;
    for (const DutyName& duty : duties)
        if (!followed_duties_.contains(duty) && mirrored_revision_ > registry::Revision{})
            for (const Key& key : {duty_key(duty), release_key(duty)})
                records.emplace_back(key, record_mirror_.at(key));
    followed_duties_ = std::move(duties);
    agent_.set_duties(boot_time(), followed_duties_);
    if (!records.empty()) agent_.on_records(boot_time(), mirrored_revision_, records, false);
}

// Starts the tasks that are due and schedules the next call.
void FleetClient::run_due_tasks() {
    due_tasks_timer_.cancel();
    const TimePoint now = boot_time();
    if (site_reporter_) site_reporter_->advance(now, agent_);
    health_monitor_.run_due_checks(now, agent_);
    const TimePoint next_task_at = collect_garbage(now, health_monitor_.next_check_at());
    due_tasks_timer_ =
        ScopedTimer(event_loop_, to_event_loop_time(next_task_at), [this] { run_due_tasks(); });
}

// Returns the time of the next task, which is `next_task_at` or the next pass of the garbage collector.
TimePoint FleetClient::collect_garbage(TimePoint now, TimePoint next_task_at) {
    const DutyName duty = garbage_collection_duty();
    if (!agent_.may_begin_work(now, duty)) return next_task_at;
    if (auto write = garbage_collector_.next_write(now, record_mirror_, agent_))
        if (!agent_.write_fenced(now, duty, collection_progress_key(), std::move(*write)))
            garbage_collector_.on_written(now, WriteOutcome::refused);
    const TimePoint next_pass_at = garbage_collector_.next_pass_at();
    return next_pass_at > now ? std::min(next_task_at, next_pass_at) : next_task_at;
}

void FleetClient::on_lease_state(const DutyName& duty, LeaseState state, FencingToken token) {
    on_event(LeaseStateChanged{duty, state, token});
}

void FleetClient::on_write_outcome(const DutyName& duty, const Key& key, WriteOutcome outcome) {
    if (duty == digest_duty() && site_reporter_) site_reporter_->on_written(key);
    if (duty == garbage_collection_duty()) garbage_collector_.on_written(boot_time(), outcome);
}

// --- applied revisions

bool FleetClient::needs_full_notice_history() const {
    return site_reporter_ && site_reporter_->applied().needs_full_history();
}

void FleetClient::on_poll_started(bool from_start) {
    if (site_reporter_) site_reporter_->applied().on_poll_started(from_start);
}

void FleetClient::on_poll_completed(std::int64_t newest, std::int64_t asked_from) {
    if (!site_reporter_) return;
    site_reporter_->applied().on_poll_completed(EventNumber{newest}, EventNumber{asked_from});
    site_reporter_->advance(boot_time(), agent_);
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
    site_reporter_->advance(boot_time(), agent_);
}

void FleetClient::on_heartbeat_result(TimePoint sent, HeartbeatNumber number,
                                      const std::vector<KeyValue>& records) {
    if (site_reporter_)
        site_reporter_->on_heartbeat(boot_time(), unix_time_ms(), sent, number, records, agent_);
}

void FleetClient::on_registry_restored() {
    if (site_reporter_) site_reporter_->applied().on_history_lost();
}

// --- state that is kept over a restart

// If the process crashes, the tokens seen since the last save are lost.
void FleetClient::save_tokens() {
    constexpr Duration save_interval = Duration::micros(250'000);
    save_timer_ = ScopedTimer(event_loop_, event_loop_.now() + save_interval, [this] { save_tokens(); });
    if (const auto error = token_store_.save(agent_.fence(), agent_.incarnation()))
        report_store_error(TokenStoreOperation::write, *error);
}

void FleetClient::report_store_error(TokenStoreOperation operation, const StoreError& error) {
    on_event(TokenStoreFailed{operation, std::string(error.reason()), error.folder + ": " + error.detail});
}

}  // namespace irismux::fleet
