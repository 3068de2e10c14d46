#include "gateway/fleet_participation.hpp"

#include <utility>

#include "fleet/fleet_event.hpp"

namespace irismux {

FleetParticipation::FleetParticipation(EventLoop& loop, EndpointTable& endpoints,
                                       RequestDispatcher& dispatcher, CacheConnectionPool& cache_connections,
                                       const Configuration& configuration,
                                       std::optional<fleet::Settings> settings)
    : event_loop_(loop),
      endpoints_(endpoints),
      dispatcher_(dispatcher),
      cache_connections_(cache_connections),
      gateway_name_(configuration.name),
      seed_(configuration.seed),
      settings_(std::move(settings)) {
    const Deployment& deployment = configuration.settings.deployment;
    health_check_scope_ = {deployment.capabilities.probes, deployment.capabilities.direct_attempts,
                           deployment.location, deployment.parent_machine, deployment.origin_machine};
}

void FleetParticipation::open_client() {
    if (!settings_) return;
    fleet::Settings settings = *settings_;
    if (settings.name.raw().empty()) settings.name = fleet::MemberName{gateway_name_};
    client_ = std::make_unique<fleet::FleetClient>(event_loop_, static_cast<fleet::GatewayCallbacks&>(*this),
                                                   settings, IRISMUX_VERSION, seed_);
}

void FleetParticipation::start() {
    if (client_) client_->start();
}

void FleetParticipation::leave() {
    if (client_) client_->leave();
}

void FleetParticipation::retire_client() {
    if (!client_) return;
    client_->leave();
    leaving_client_ = std::move(client_);
    leave_timer_ = ScopedTimer(event_loop_, event_loop_.now() + settings_->registry.poll_policy.reply_timeout,
                               [this] { leaving_client_.reset(); });
}

void FleetParticipation::reload(const std::optional<fleet::Settings>& settings) {
    if (client_ && settings && settings->configuration != settings_->configuration) {
        settings_->configuration = settings->configuration;
        client_->set_configuration(settings->configuration);
    }
    if (settings == settings_) return;
    retire_client();
    settings_ = settings;
    open_client();
    start();
}

// --- reports to the fleet ----------------------------------------------------------------------------------

void FleetParticipation::on_endpoint_removed(const CacheId& cache) {
    if (client_) client_->on_endpoint_removed(cache);
}

bool FleetParticipation::wants_full_history() const {
    return client_ && client_->needs_full_notice_history();
}

void FleetParticipation::on_poll_started(bool from_start) {
    if (client_) client_->on_poll_started(from_start);
}

void FleetParticipation::on_poll_completed(std::int64_t newest, std::int64_t polled_from) {
    if (client_) client_->on_poll_completed(newest, polled_from);
}

void FleetParticipation::on_poll_failed() {
    if (client_) client_->on_poll_failed();
}

void FleetParticipation::on_notice_skipped() {
    if (client_) client_->on_notice_skipped();
}

void FleetParticipation::on_ejection_changed(const CacheId& cache, bool ejected) {
    if (client_) client_->on_ejection_changed(cache, ejected);
}

void FleetParticipation::on_health_check_done(const CacheId& cache, bool passed) {
    if (client_) client_->on_health_check_done(cache, passed);
}

// --- calls from the fleet client ---------------------------------------------------------------------------

bool FleetParticipation::HealthCheckScope::contains(const EndpointUpdate& endpoint) const {
    const bool is_local_edge_cache =
        endpoint.location == location && endpoint.machine_type != parent && endpoint.machine_type != origin;
    return allowed && (is_local_edge_cache || parents_and_origin);
}

bool FleetParticipation::start_health_check(const CacheId& cache) {
    const Endpoint* const endpoint = endpoints_.find(cache);
    if (!endpoint || !health_check_scope_.contains(endpoint->update)) return false;
    cache_connections_.start_health_check(
        cache, [this, cache] { return client_ && client_->may_check_health(cache); });
    return true;
}

void FleetParticipation::postpone_recovery_probe(const CacheId& cache, TimePoint not_before) {
    dispatcher_.postpone_recovery_probe(cache, not_before);
}

void FleetParticipation::on_fleet_event(const fleet::FleetEvent& event) { fleet::write_to_log(event); }

}  // namespace irismux
