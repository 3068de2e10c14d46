#include "gateway/gateway.hpp"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>

#include "base/log.hpp"
#include "gateway/resource_limits.hpp"
#include "registry/snapshot.hpp"

namespace irismux {
namespace {

// Of the protocol: work may come for so long after SIGTERM, and SIGKILL comes no sooner than that and the
// longest deadline after it, of which no more than this counts. Clients hold a third of the descriptors at
// most.
constexpr Duration work_after_leave = Duration::micros(700'000),
                   longest_waited_for = Duration::micros(3'000'000);
// Of that first stretch, kept for the end: to hear of the signal, and to end connections in peace. Clients
// hear of an end within 50 ms.
constexpr double end_part = 0.35;
constexpr Duration look_round_every = Duration::micros(10'000);
// A gateway is to be ready 10 s after its start.
constexpr Duration longest_start = Duration::micros(8'000'000), listen_again_after = Duration::micros(50'000);
// The list of a registry is kept this often at most; the same list again when a quarter of its time has
// passed.
constexpr Duration keep_every = Duration::micros(2'000'000);
constexpr double renewed_at = 0.25;
constexpr std::size_t most_kept = 64 << 20;  // of the store's file; only what is used takes memory or disk
constexpr const char* list_name = "registry list";

ServedKinds served_kinds(const DeploymentSettings& r) {
    ServedKinds kinds;
    for (const auto& [name, n] : r.kind_indexes) {
        const ObjectKind& k = r.deployment.kinds[n.raw()];
        kinds[name] = {n, k.deadline, k.uncacheable};
    }
    return kinds;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, const Configuration& config, const Parts& parts)
    : event_loop_(loop),
      longest_deadline_(longest_deadline(config.settings.deployment)),
      listen_(config.listen),
      endpoints_(config.settings.deployment.purge_retention),
      dispatcher_(loop, server_, cache_connections_, *this, config.settings.deployment, config.seed),
      server_(loop, dispatcher_, served_kinds(config.settings), client_limits(config)),
      cache_connections_(loop, endpoints_, dispatcher_, config.settings.deployment, cache_limits(config)),
      notice_client_(loop, *this, config.notice_board,
                     config.settings.deployment.connections.connect_timeout),
      seed_(config.seed),
      registry_settings_(parts.registry),
      snapshot_owner_(config.settings.deployment.location.raw() + ' '),
      fleet_settings_(parts.fleet),
      name_(config.name),
      health_check_scope_{config.settings.deployment.capabilities.probes,
                          config.settings.deployment.capabilities.direct_attempts,
                          config.settings.deployment.location, config.settings.deployment.parent_machine,
                          config.settings.deployment.origin_machine} {
    // What the board knew at the start serves until the registry has told its list.
    notice_client_.load_known(config.known);
    if (registry_settings_) start_registry();
    if (fleet_settings_) start_fleet();
}

Gateway::~Gateway() {
    event_loop_.cancel(snapshot_timer_);
    event_loop_.cancel(listen_timer_);
    event_loop_.cancel(fleet_leave_timer_);
}

void Gateway::serve() {
    start_by_ = event_loop_.now() + longest_start;
    start_listening();
    notice_client_.poll();
    if (registry_) registry_->start();
    if (fleet_client_) fleet_client_->start();
}

// Guards against lookups that a new process would decide without an event that it is counted as having in
// force: a member of a site takes none until the board has told it all, or its former process counts no more.
void Gateway::start_listening() {
    event_loop_.cancel(listen_timer_);
    if (server_.listening() || shutdown_ != Shutdown::none) return;
    if (fleet_client_ && !fleet_client_->may_serve()) {
        listen_timer_ = event_loop_.schedule_at(fleet_client_->serves_from(), [this] { start_listening(); });
        return;
    }
    if (const auto why = server_.listen(Poco::Net::SocketAddress(listen_))) return retry_listening(*why);
    log::write(log::Level::info, name_ + " serves on " + listen_);
}

// A call may fail for a moment, and the process before may not have let go of the address yet.
void Gateway::retry_listening(const std::string& why) {
    const TimePoint now = event_loop_.now();
    if (now >= start_by_) {
        start_failure_ = "cannot listen on " + listen_ + ": " + why;
        return event_loop_.stop();
    }
    if (!std::exchange(start_held_up_, true))
        log::write(log::Level::warning, "cannot listen on " + listen_ + " yet: " + why + "; tried again");
    listen_timer_ = event_loop_.schedule_at(now + listen_again_after, [this] { start_listening(); });
}

void Gateway::on_poll_started(bool from_start) {
    if (fleet_client_) fleet_client_->on_poll_started(from_start);
}

void Gateway::on_poll_completed(std::int64_t newest, std::int64_t asked_from) {
    if (!fleet_client_) return;
    fleet_client_->on_poll_completed(newest, asked_from);
    start_listening();
}

void Gateway::on_poll_failed() {
    if (fleet_client_) fleet_client_->on_poll_failed();
}

void Gateway::on_notice_skipped() {
    if (fleet_client_) fleet_client_->on_notice_skipped();
}

// The list that was kept serves at once, marked as old, until the registry tells.
void Gateway::start_registry() {
    registry_ = std::make_unique<registry::RegistryClient>(
        event_loop_, static_cast<registry::WatchObserver&>(*this), *registry_settings_, seed_);
    stored_revision_ = {};
    if (registry_settings_->snapshot_folder.empty()) return;
    auto opened = Store::open(registry_settings_->snapshot_folder, most_kept);
    if (const auto* why = std::get_if<std::string>(&opened))
        return log::write(log::Level::warning, "registry: the list is not kept: " + *why);
    store_ = std::move(std::get<Store>(opened));
    snapshot_timer_ = event_loop_.schedule_at(event_loop_.now() + keep_every, [this] { store_endpoints(); });
    const auto bytes = store_->read(list_name);
    if (!bytes) return;
    const auto read = registry::parse_snapshot(*bytes, snapshot_owner_ + registry_settings_->prefix,
                                               event_loop_.now(), registry_settings_->snapshot_max_age);
    if (const auto* why = std::get_if<std::string>(&read))
        return log::write(log::Level::warning, "registry: " + *why + "; the registry is waited for");
    const auto& kept = std::get<registry::Snapshot>(read);
    if (!kept.records.empty()) registry_->start_from(kept.cluster, kept.revision, kept.records, kept.as_of);
}

// Off the lookups' path, and seldom: when the list has changed, or what is kept has grown old.
void Gateway::store_endpoints() {
    snapshot_timer_ = event_loop_.schedule_at(event_loop_.now() + keep_every, [this] { store_endpoints(); });
    const registry::Watch& watch = registry_->watch();
    const bool grown_old =
        watch.last_complete_at() - stored_as_of_ > registry_settings_->snapshot_max_age * renewed_at;
    if (watch.sync_state() != registry::SyncState::following ||
        (watch.view().revision() == stored_revision_ && !grown_old))
        return;
    const auto why = store_->write(
        list_name, registry::serialize_snapshot(watch.view(), watch.cluster(), watch.last_complete_at(),
                                                snapshot_owner_ + registry_settings_->prefix));
    if (why && !std::exchange(store_failure_logged_, true))
        log::write(log::Level::warning, "registry: the list is " + *why);
    if (why) return;
    store_failure_logged_ = false;
    stored_revision_ = watch.view().revision();
    stored_as_of_ = watch.last_complete_at();
}

void Gateway::reload(const Configuration& configuration, const Parts& parts) {
    if (shutdown_ != Shutdown::none)
        return log::write(log::Level::info, "leaving: the configuration is not reread");
    notice_client_.set_address(configuration.notice_board);
    // A configuration's number alone is told, and nobody leaves for it.
    if (fleet_client_ && parts.fleet && parts.fleet->configuration != fleet_settings_->configuration) {
        fleet_settings_->configuration = parts.fleet->configuration;
        fleet_client_->set_configuration(parts.fleet->configuration);
    }
    if (parts.fleet != fleet_settings_) {
        stop_fleet();
        fleet_settings_ = parts.fleet;
        if (fleet_settings_) start_fleet();
        if (fleet_client_) fleet_client_->start();
    }
    if (parts.registry == registry_settings_) return;
    registry_settings_ = parts.registry;
    registry_.reset();
    event_loop_.cancel(snapshot_timer_);
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
void Gateway::begin_shutdown() {
    if (shutdown_ != Shutdown::none) return;
    shutdown_ = Shutdown::draining;
    drain_started_at_ = event_loop_.now();
    drain_deadline_ = drain_started_at_ + std::min(longest_deadline_, longest_waited_for) +
                      work_after_leave * (1 - end_part);
    if (fleet_client_) fleet_client_->leave();
    log::write(log::Level::info, "leaving: " + std::to_string(pending_request_count()) + " lookups at work");
    dispatcher_.begin_drain(drain_deadline_);
    check_shutdown_progress();
}

// Once nothing can come any more, the last answer ends the program: first nobody is accepted any more, then,
// when those that were have their answers too, each connection is ended, then the loop.
void Gateway::check_shutdown_progress() {
    const TimePoint now = event_loop_.now();
    const bool last_moment = now >= drain_deadline_ + work_after_leave * (end_part / 2);
    if (shutdown_ == Shutdown::draining && now >= drain_started_at_ + work_after_leave) {
        if (!dispatcher_.has_unanswered_request() && server_.drained()) server_.stop_listening();
        if (last_moment ||
            (!server_.listening() && !dispatcher_.has_unanswered_request() && server_.drained())) {
            shutdown_ = Shutdown::closing;
            drain_deadline_ = std::min(now, drain_deadline_);
            server_.stop_listening();
            server_.close_all();
            log::write(log::Level::info,
                       "leaving: connections end, " + std::to_string(server_.connection_count()));
        }
    }
    if (shutdown_ == Shutdown::closing &&
        (server_.connection_count() == 0 || now >= drain_deadline_ + work_after_leave * end_part)) {
        cache_connections_.close_all();
        log::write(log::Level::info, "left with " + std::to_string(pending_request_count()) +
                                         " lookups at work; alarms up to " +
                                         std::to_string(event_loop_.max_timer_delay().micros()) + " us late");
        return event_loop_.stop();
    }
    event_loop_.schedule_at(std::max(drain_started_at_ + work_after_leave, now + look_round_every),
                            [this] { check_shutdown_progress(); });
}

// What a fleet's duties need of a gateway; the client that is left keeps its connection until it has been
// heard.
void Gateway::start_fleet() {
    fleet::Settings c = *fleet_settings_;
    if (c.name.raw().empty()) c.name = fleet::MemberName{name_};
    fleet_client_ = std::make_unique<fleet::FleetClient>(
        event_loop_, static_cast<fleet::GatewayCallbacks&>(*this), c, IRISMUX_VERSION, seed_);
}

void Gateway::stop_fleet() {
    if (!fleet_client_) return;
    fleet_client_->leave();
    leaving_fleet_client_ = std::move(fleet_client_);
    event_loop_.cancel(fleet_leave_timer_);
    fleet_leave_timer_ =
        event_loop_.schedule_at(event_loop_.now() + fleet_settings_->registry.poll_policy.reply_timeout,
                                [this] { leaving_fleet_client_.reset(); });
}

void Gateway::on_ejection_changed(const CacheId& cache, bool is) {
    if (fleet_client_) fleet_client_->on_ejection_changed(cache, is);
}

bool Gateway::start_health_check(const CacheId& cache) {
    const Endpoint* const peer = endpoints_.find(cache);
    if (!peer || !health_check_scope_.allowed) return false;
    const EndpointUpdate& l = peer->update;
    const bool edge = l.location == health_check_scope_.here &&
                      l.machine_type != health_check_scope_.parent &&
                      l.machine_type != health_check_scope_.origin;
    if (!edge && !health_check_scope_.direct) return false;
    cache_connections_.start_health_check(
        cache, [this, cache] { return fleet_client_ && fleet_client_->may_check_health(cache); });
    return true;
}

void Gateway::postpone_recovery_probe(const CacheId& cache, TimePoint at) {
    dispatcher_.postpone_recovery_probe(cache, at);
}

void Gateway::on_duty_state(const fleet::DutyName& duty, fleet::LeaseState state, fleet::FencingToken token) {
    log::event(state == fleet::LeaseState::lost ? log::Level::warning : log::Level::info, "duty",
               {{"duty", duty.raw()}, {"tenancy", fleet::to_string(state)}, {"epoch", token.raw()}});
}

void Gateway::on_fleet_message(std::string_view plain_line, bool trouble) {
    log::write(trouble ? log::Level::warning : log::Level::info, "fleet: " + std::string(plain_line));
}

// The board's list counts only where no registry tells one.
void Gateway::on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) {
    if (!registry_) apply_endpoints(lines, complete);
}

void Gateway::on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) {
    apply_endpoints(lines, complete);
}

void Gateway::on_health_check_done(const CacheId& cache, bool passed) {
    if (fleet_client_) fleet_client_->on_health_check_done(cache, passed);
}

void Gateway::on_sync_state(TimePoint now, registry::SyncState sight, TimePoint as_of) {
    const bool bad = sight == registry::SyncState::disconnected;
    log::write(bad ? log::Level::warning : log::Level::info,
               "registry: " + std::string(registry::to_string(sight)) +
                   (as_of > TimePoint{}
                        ? ", the list was whole " + std::to_string((now - as_of).micros() / 1000) + " ms ago"
                        : ", no list yet"));
    if (bad) dispatcher_.on_endpoint_updates_lost(now);
}

void Gateway::on_warning(std::string_view plain_line) {
    log::write(log::Level::warning, "registry: " + std::string(plain_line));
}

void Gateway::apply_endpoints(const std::vector<EndpointRecord>& lines, bool complete) {
    endpoints_.apply(lines, complete);
    std::vector<EndpointUpdate> listings;
    for (const auto& [l, address] : lines) listings.push_back(l);
    dispatcher_.on_endpoint_updates(listings, complete);
    for (const EndpointUpdate& l : listings)
        if (fleet_client_ && l.status == EndpointStatus::removed) fleet_client_->on_endpoint_removed(l.cache);
    cache_connections_.close_unlisted();
}

void Gateway::on_purge_notice(const PurgeNotice& purge) {
    const TimePoint now = event_loop_.now();
    const Duration age = std::max(now - purge.at, Duration{});
    endpoints_.add_purge(purge.at, purge.group, purge.object, now);
    dispatcher_.on_purge(now, age, purge.group, purge.object);
}

}  // namespace irismux
