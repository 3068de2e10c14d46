#include "gateway/gateway.hpp"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>

#include "base/flight_recorder.hpp"
#include "base/log.hpp"
#include "registry/endpoint_snapshot.hpp"
#include "registry/registry_log.hpp"

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
// Descriptors for the listener, the board, the log, the poll set and the libraries.
constexpr std::size_t own_descriptors = 24;
// Clients that keep to it are never in the way of each other: there is room for half as many again.
constexpr std::size_t front_part = 2;
// Of the memory, at most, for requests of clients, and for answers that they have not read yet.
constexpr std::size_t held_part = 5;

// The list of a registry is kept this often at most; the same list again when a quarter of its time has
// passed.
constexpr Duration keep_every = Duration::micros(2'000'000);
constexpr double renewed_at = 0.25;
constexpr std::size_t most_kept = 64 << 20;  // of the store's file; only what is used takes memory or disk
constexpr const char* list_name = "registry list";

FastCgiServerLimits front_limits(const Configuration& config) {
    return {config.descriptors / front_part, config.memory / held_part,
            config.settings.deployment.connections.connect_timeout};
}

ServedKinds served_kinds(const DeploymentSettings& r) {
    ServedKinds kinds;
    for (const auto& [name, n] : r.kind_indexes) {
        const ObjectKind& k = r.deployment.kinds[n.raw()];
        kinds[name] = {n, k.deadline, k.uncacheable};
    }
    return kinds;
}

CacheConnectionLimits cache_limits(const Configuration& config) {
    const ConnectionSettings& c = config.settings.deployment.connections;
    const std::size_t others = config.descriptors / front_part + own_descriptors;
    // A cache closes idle connections by the same clock: ours has to be first, or a send may cross its end.
    return {config.descriptors > others ? config.descriptors - others : 1,
            static_cast<std::size_t>(c.max_streams),
            c.connect_timeout,
            std::max(c.idle_timeout - c.connect_timeout, c.connect_timeout),
            config.settings.deployment.timer_resolution,
            c.connect_timeout};
}

Duration longest_deadline(const Deployment& d) {
    Duration longest;
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

Gateway::Gateway(EventLoop& loop, const Configuration& config, const Parts& parts)
    : event_loop_(loop),
      longest_deadline_(longest_deadline(config.settings.deployment)),
      effects_(effects_of(config.settings.deployment)),
      max_pending_requests_(static_cast<std::size_t>(config.settings.deployment.max_pending_requests)),
      listen_(config.listen),
      endpoints_(config.settings.deployment.purge_retention),
      server_(loop, *this, served_kinds(config.settings), front_limits(config)),
      cache_connections_(loop, endpoints_, *this, config.settings.deployment, cache_limits(config)),
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
                          config.settings.deployment.origin_machine},
      router_(*this, config.settings.deployment, config.seed, loop.now()) {
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
    const ListenResult result = server_.listen(Poco::Net::SocketAddress(listen_));
    if (const auto* error = std::get_if<ListenError>(&result)) return retry_listening(error->message);
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
    if (const auto* error = std::get_if<StoreError>(&opened))
        return log::event(
            log::Level::warning, "registry_store_unavailable",
            {{"reason", error->reason()}, {"folder", error->folder}, {"detail", error->detail}});
    store_ = std::move(std::get<Store>(opened));
    snapshot_timer_ = event_loop_.schedule_at(event_loop_.now() + keep_every, [this] { store_endpoints(); });
    const auto bytes = store_->read(list_name);
    if (!bytes) return;
    const auto read = registry::parse_snapshot(*bytes, snapshot_owner_ + registry_settings_->prefix,
                                               event_loop_.now(), registry_settings_->snapshot_max_age);
    if (const auto* error = std::get_if<registry::SnapshotError>(&read))
        return log::event(log::Level::warning, "registry_snapshot_rejected",
                          {{"reason", registry::to_string(*error)}});
    const auto& kept = std::get<registry::EndpointSnapshot>(read);
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
    const auto written = store_->write(
        list_name, registry::serialize_snapshot(watch.view(), watch.cluster(), watch.last_complete_at(),
                                                snapshot_owner_ + registry_settings_->prefix));
    if (const auto* error = std::get_if<StoreError>(&written)) {
        if (!std::exchange(store_failure_logged_, true))
            log::event(log::Level::warning, "registry_snapshot_not_stored",
                       {{"reason", error->reason()}, {"folder", error->folder}, {"detail", error->detail}});
        return;
    }
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
    guarded_flag(inside_router_call_, [&] { router_.on_drain(event_loop_.now(), drain_deadline_); });
    for (auto& [id, h] : pending_requests_) shorten_deadline(id, drain_deadline_);
    check_shutdown_progress();
}

void Gateway::shorten_deadline(const RequestId& id, TimePoint by) {
    PendingRequest& h = pending_requests_.at(id);
    if (by >= h.active->deadline()) return;
    h.active->shorten_deadline(by);
    event_loop_.cancel(h.expiry);
    h.expiry = event_loop_.schedule_at(by, [this, id] { on_deadline(id); });
}

// What is still out for those that have left is nobody's answer.
bool Gateway::has_unanswered_request() const {
    return std::any_of(pending_requests_.begin(), pending_requests_.end(),
                       [](const auto& e) { return !e.second.active->answered(); });
}

// Once nothing can come any more, the last answer ends the program: first nobody is accepted any more, then,
// when those that were have their answers too, each connection is ended, then the loop.
void Gateway::check_shutdown_progress() {
    const TimePoint now = event_loop_.now();
    const bool last_moment = now >= drain_deadline_ + work_after_leave * (end_part / 2);
    if (shutdown_ == Shutdown::draining && now >= drain_started_at_ + work_after_leave) {
        if (!has_unanswered_request() && server_.drained()) server_.stop_listening();
        if (last_moment || (!server_.listening() && !has_unanswered_request() && server_.drained())) {
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

// --- what happens ----------------------------------------------------------------------------------------

// What a client calls its request names nothing here. One connection has one request open under a name; on
// others the name is anybody's. A request that comes again in the very same words is not taken beside the
// first one, and a side-effecting one not behind it either.
Gateway::Admission Gateway::admit(const ClientStream& caller, const ClientRequest& asked) {
    if (open_client_request_ids_.contains({caller.connection, asked.client_request_id}))
        return Admission::id_in_use;
    const Request& arrival = asked.request;
    const RequestFingerprint words{asked.client_request_id, asked.kind_name, arrival.object.raw(),
                                   asked.object_part, asked.body};
    const Duration behind = has_effect(arrival.kind) ? longest_deadline_ : Duration{};
    const bool taken =
        duplicate_filter_.accept(words, arrival.id, arrival.deadline + behind, event_loop_.now());
    return taken ? Admission::accepted : Admission::duplicate;
}

bool Gateway::has_effect(ObjectKindIndex kind) const {
    return effects_[kind.raw()] == Effect::non_idempotent;
}

Gateway::Admission Gateway::on_client_request(const ClientStream& caller, ClientRequest asked) {
    const RequestId id{++last_request_};
    asked.request.id = id;
    const Admission verdict = admit(caller, asked);
    if (verdict != Admission::accepted) return verdict;
    const Request arrival = asked.request;
    flight_recorder::note("taken", id.raw(), caller.connection);
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "taken",
                   {{"lookup", asked.client_request_id.raw()},
                    {"number", id.raw()},
                    {"client", caller.connection},
                    {"request", caller.fastcgi_request},
                    {"kind", asked.kind_name},
                    {"object", arrival.object.raw()}});
    open_client_request_ids_[{caller.connection, asked.client_request_id}] = id;
    PendingRequest& h = pending_requests_[id];
    h.active = std::make_shared<ActiveRequest>(server_, caller, std::move(asked));
    by_client_stream_[caller] = id;
    if (max_pending_requests_ > 0 && pending_requests_.size() > max_pending_requests_) {
        reject(id, Duration{});
    } else {
        h.expiry = event_loop_.schedule_at(arrival.deadline, [this, id] { on_deadline(id); });
        if (shutdown_ != Shutdown::none) shorten_deadline(id, drain_deadline_);
        guarded_flag(inside_router_call_, [&] { router_.on_request(event_loop_.now(), arrival); });
    }
    erase_if_finished(id);
    return Admission::accepted;
}

// Its client has its answer, or has left: the name is free again on that connection.
void Gateway::on_request_answered(ActiveRequest& x, bool without_effect) {
    flight_recorder::note("answered", x.id().raw(), x.attempt_count());
    const auto name = open_client_request_ids_.find({x.client_stream().connection, x.client_request_id()});
    if (name != open_client_request_ids_.end() && name->second == x.id())
        open_client_request_ids_.erase(name);
    if (without_effect || !has_effect(x.client_request().request.kind))
        duplicate_filter_.forget_request(x.id());
}

void Gateway::on_client_closed(const ClientStream& caller) {
    const auto it = by_client_stream_.find(caller);
    if (it == by_client_stream_.end()) return;
    const RequestId id = it->second;
    ActiveRequest& x = *pending_requests_.at(id).active;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "client_left",
                   {{"lookup", x.client_request_id().raw()},
                    {"early_us", (x.deadline() - event_loop_.now()).micros()}});
    // What is out goes on until it ends by itself or the client's time would have been over: whether to call
    // it back is the Router's to say, and how it ends tells it of the cache.
    x.on_client_closed();
    on_request_answered(x, false);
    guarded_flag(inside_router_call_, [&] { router_.on_client_closed(event_loop_.now(), id); });
    // What waits, for a connection, for room or to be moved to another, does not begin any more.
    cache_connections_.withdraw_unstarted_attempts(x);
    for (std::size_t n = 0; n < x.attempt_count(); ++n)
        if (x.attempt(n).progress == TransmitProgress::not_connected)
            end_attempt(x, n, {.outcome = Outcome::cancelled});
    erase_if_finished(id);
}

// The client's time is over.
void Gateway::on_deadline(const RequestId& id) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    ActiveRequest& x = *it->second.active;
    // The Router hears of what has ended before it hears that the time is over.
    if (x.has_unreported_result()) return (void)event_loop_.schedule_now([this, id] { on_deadline(id); });
    end_all_attempts(x, Outcome::deadline_exceeded);
    // Guards the first rule: whatever the Router waits for, there is no time left.
    if (x.fail()) {
        on_request_answered(x, false);
        log::event(
            log::Level::error, "unanswered_in_time",
            {{"lookup", x.client_request_id().raw()}, {"number", id.raw()}, {"sends", x.attempt_count()}});
        guarded_flag(inside_router_call_, [&] { router_.on_client_closed(event_loop_.now(), id); });
    }
    erase_if_finished(id);
}

bool Gateway::may_begin_attempt(ActiveRequest& x, std::size_t n) {
    return !x.answered() && router_.may_begin_attempt(event_loop_.now(), x.id(), AttemptIndex{n});
}

void Gateway::end_all_attempts(ActiveRequest& x, Outcome outcome) {
    for (std::size_t n = 0; n < x.attempt_count(); ++n) {
        if (x.attempt(n).ended) continue;
        cache_connections_.cancel_attempt(x, n);
        end_attempt(x, n, {.outcome = outcome});
    }
}

void Gateway::on_attempt_ended(ActiveRequest& x, std::size_t n, const AttemptEnd& end) {
    const RequestId id = x.id();
    end_attempt(x, n, end);
    erase_if_finished(id);
}

// No connection may carry the client's name for it: each has carried it for another lookup whose answers may
// still come. Who names its requests anew each time never meets this, and a first send has not run.
void Gateway::on_request_id_in_use(ActiveRequest& x, std::size_t n) {
    log::event(log::Level::info, "refused",
               {{"reason", "the id is in use for another lookup at the caches"},
                {"request_id", x.client_request_id().raw()},
                {"client", x.client_stream().connection},
                {"send", n}});
    if (n > 0) return on_attempt_ended(x, n, {.outcome = Outcome::overloaded});
    if (x.reject(Duration{})) on_request_answered(x, true);
    on_attempt_ended(x, n, {.outcome = Outcome::cancelled});
}

// Keeps the exchange, for callers that go on with it.
void Gateway::end_attempt(ActiveRequest& x, std::size_t n, const AttemptEnd& end) {
    Attempt& s = x.attempt(n);
    if (s.ended) return;
    s.ended = true;
    const RequestId id = x.id();
    cancel_timeout(id, n);
    if (end.outcome == Outcome::completed && x.respond(end)) on_request_answered(x, false);
    const AttemptResult a{id,
                          AttemptIndex{n},
                          s.cache,
                          end.outcome,
                          end.cache_status,
                          event_loop_.now() - s.decided_at,
                          end.fill_wait,
                          x.answered()};
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "send_ended",
                   {{"lookup", x.client_request_id().raw()},
                    {"number", id.raw()},
                    {"send", n},
                    {"cache", s.cache.raw()},
                    {"source", s.has_fill_source() ? s.plan->source.raw() : ""},
                    {"outcome", static_cast<int>(end.outcome)},
                    {"note", static_cast<int>(end.cache_status)},
                    {"reach", static_cast<int>(s.progress)},
                    {"connection", s.connection},
                    {"took_us", a.elapsed.micros()}});
    // The Router is not called from within its own calls.
    if (inside_router_call_)
        event_loop_.schedule_now([this, id, a] {
            report_to_router(id, a);
            erase_if_finished(id);
        });
    else
        report_to_router(id, a);
}

void Gateway::report_to_router(const RequestId& id, const AttemptResult& a) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    it->second.active->attempt(a.attempt.raw()).router_notified = true;
    AttemptResult late = a;
    late.request_finished = it->second.active->answered();
    guarded_flag(inside_router_call_, [&] { router_.on_attempt_result(event_loop_.now(), late); });
}

void Gateway::erase_if_finished(const RequestId& id) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end() || !it->second.active->finished()) return;
    event_loop_.cancel(it->second.expiry);
    by_client_stream_.erase(it->second.active->client_stream());
    pending_requests_.erase(it);
}

void Gateway::cancel_timeout(RequestId id, std::size_t n) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    const auto time_out = it->second.timeouts.find(n);
    if (time_out == it->second.timeouts.end()) return;
    event_loop_.cancel(time_out->second);
    it->second.timeouts.erase(time_out);
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
    guarded_flag(inside_router_call_, [&] { router_.postpone_recovery_probe(event_loop_.now(), cache, at); });
}

void Gateway::on_duty_state(const fleet::DutyName& duty, fleet::LeaseState state, fleet::FencingToken token) {
    log::event(state == fleet::LeaseState::lost ? log::Level::warning : log::Level::info, "duty",
               {{"duty", duty.raw()}, {"tenancy", fleet::to_string(state)}, {"epoch", token.raw()}});
}

void Gateway::on_fleet_message(std::string_view plain_line, bool trouble) {
    log::write(trouble ? log::Level::warning : log::Level::info, "fleet: " + std::string(plain_line));
}

void Gateway::on_health_check_result(const HealthCheckResult& a) {
    if (fleet_client_) fleet_client_->on_health_check_done(a.cache, a.outcome == Outcome::completed);
}

// The board's list counts only where no registry tells one.
void Gateway::on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) {
    if (!registry_) apply_endpoints(lines, complete);
}

void Gateway::on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) {
    apply_endpoints(lines, complete);
}

void Gateway::on_sync_state(TimePoint now, registry::SyncState sight, TimePoint as_of) {
    registry::log_sync_state(now, sight, as_of);
    if (sight == registry::SyncState::disconnected)
        guarded_flag(inside_router_call_, [&] { router_.on_endpoint_updates_lost(now); });
}

void Gateway::on_watch_warning(const registry::WatchWarning& warning) {
    registry::log_watch_warning(warning, *registry_settings_);
}

void Gateway::apply_endpoints(const std::vector<EndpointRecord>& lines, bool complete) {
    endpoints_.apply(lines, complete);
    std::vector<EndpointUpdate> listings;
    for (const auto& [l, address] : lines) listings.push_back(l);
    guarded_flag(inside_router_call_,
                 [&] { router_.on_endpoint_updates(event_loop_.now(), listings, complete); });
    for (const EndpointUpdate& l : listings)
        if (fleet_client_ && l.status == EndpointStatus::removed) fleet_client_->on_endpoint_removed(l.cache);
    cache_connections_.close_unlisted();
}

void Gateway::on_purge_notice(const PurgeNotice& purge) {
    const TimePoint now = event_loop_.now();
    const Duration age = std::max(now - purge.at, Duration{});
    endpoints_.add_purge(purge.at, purge.group, purge.object, now);
    guarded_flag(inside_router_call_, [&] { router_.on_purge(now, age, purge.group, purge.object); });
}

// --- what the Router wants ---------------------------------------------------------------------------------

void Gateway::start_direct_attempt(const RequestId& id, const CacheId& cache, Duration time_out) {
    AttemptPlan plain;
    plain.cache = plain.source = cache;
    plain.timeout = time_out;
    start_pending_attempt(id, {.cache = cache, .plan = plain, .decided_at = event_loop_.now()});
}

void Gateway::start_attempt(const RequestId& id, const AttemptPlan& f) {
    start_pending_attempt(id, {.cache = f.cache, .plan = f, .decided_at = event_loop_.now()});
}

void Gateway::start_pending_attempt(const RequestId& id, Attempt s) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    ActiveRequest& x = *it->second.active;
    const Duration time_out = s.plan ? s.plan->timeout : Duration{};
    const std::size_t n = x.add_attempt(std::move(s));
    flight_recorder::note("send", id.raw(), n);
    if (time_out > Duration{} && event_loop_.now() + time_out < x.deadline())
        it->second.timeouts[n] = event_loop_.schedule_at(event_loop_.now() + time_out,
                                                         [this, id, n] { on_attempt_timeout(id, n); });
    cache_connections_.start_attempt(x, n);
}

void Gateway::on_attempt_timeout(RequestId id, std::size_t n) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    ActiveRequest& x = *it->second.active;
    it->second.timeouts.erase(n);
    cache_connections_.cancel_attempt(x, n);
    on_attempt_ended(x, n, {.outcome = Outcome::deadline_exceeded});
}

void Gateway::cancel_attempt(const RequestId& id, AttemptIndex n) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end() || n.raw() >= it->second.active->attempt_count()) return;
    ActiveRequest& x = *it->second.active;
    if (x.attempt(n.raw()).ended) return;
    cache_connections_.cancel_attempt(x, n.raw());
    end_attempt(x, n.raw(), {.outcome = Outcome::cancelled});
}

void Gateway::reject(const RequestId& id, Duration come_back_in) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    ActiveRequest& x = *it->second.active;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "nacked",
                   {{"lookup", x.client_request_id().raw()}, {"come_back_in_us", come_back_in.micros()}});
    if (x.reject(come_back_in)) on_request_answered(x, true);
}

void Gateway::fail(const RequestId& id) {
    const auto it = pending_requests_.find(id);
    if (it == pending_requests_.end()) return;
    ActiveRequest& x = *it->second.active;
    if (log::shown(log::Level::debug))
        log::event(log::Level::debug, "failed", {{"lookup", x.client_request_id().raw()}});
    if (x.fail()) on_request_answered(x, false);
}

void Gateway::set_timer(TimerId n, TimePoint at) {
    event_loop_.schedule_at(at, [this, n] {
        guarded_flag(inside_router_call_, [&] { router_.on_timer(event_loop_.now(), n); });
    });
}

}  // namespace irismux
