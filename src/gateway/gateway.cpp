#include "gateway/gateway.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "gateway/resource_limits.hpp"

namespace irismux {
namespace {

ServedKinds served_kinds(const DeploymentSettings& settings) {
    ServedKinds served;
    for (const auto& [name, index] : settings.kind_indexes) {
        const ObjectKind& kind = settings.deployment.kinds[index.raw()];
        served[name] = {index, kind.deadline, kind.uncacheable};
    }
    return served;
}

}  // namespace

Gateway::Gateway(EventLoop& loop, const Configuration& configuration, const Parts& parts)
    : event_loop_(loop),
      endpoints_(configuration.settings.deployment.purge_retention),
      fleet_(loop, endpoints_, dispatcher_, cache_connections_, configuration, parts.fleet),
      dispatcher_(loop, server_, cache_connections_, fleet_, configuration.settings.deployment,
                  configuration.seed),
      server_(loop, dispatcher_, served_kinds(configuration.settings), client_limits(configuration)),
      cache_connections_(loop, endpoints_, dispatcher_, configuration.settings.deployment,
                         cache_limits(configuration)),
      notice_client_(loop, *this, configuration.notice_board,
                     configuration.settings.deployment.connections.connect_timeout),
      endpoint_source_(loop, *this, configuration.settings.deployment.location, configuration.seed,
                       parts.registry),
      listener_start_(loop, server_, fleet_, configuration.name, configuration.listen),
      shutdown_(loop, dispatcher_, server_, cache_connections_, fleet_,
                longest_deadline(configuration.settings.deployment)) {
    // Until the registry has delivered its endpoint list, the gateway uses the endpoint list in the initial
    // notices.
    notice_client_.load_known_events(configuration.initial_notices);
    endpoint_source_.open_registry();
    fleet_.open_client();
}

void Gateway::serve() {
    listener_start_.start();
    notice_client_.poll();
    endpoint_source_.start();
    fleet_.start();
}

void Gateway::begin_shutdown() {
    listener_start_.give_up();
    shutdown_.begin();
}

void Gateway::reload(const Configuration& configuration, const Parts& parts) {
    if (shutdown_.has_begun()) {
        log::event(log::Level::info, "reload_ignored", {{"reason", "shutting_down"}});
        return;
    }
    notice_client_.set_address(configuration.notice_board);
    fleet_.reload(parts.fleet);
    endpoint_source_.reload(parts.registry);
}

void Gateway::on_endpoint_notice(const std::vector<EndpointRecord>& records, bool complete) {
    endpoint_source_.on_endpoint_notice(records, complete);
}

// Updates the endpoint table before the router, because each attempt of the router is checked against the
// endpoint table when the attempt is written to a connection.
void Gateway::on_endpoint_list(const std::vector<EndpointRecord>& records, bool complete) {
    endpoints_.apply(records, complete);
    std::vector<EndpointUpdate> updates;
    updates.reserve(records.size());
    for (const auto& [update, address] : records) updates.push_back(update);
    dispatcher_.on_endpoint_updates(updates, complete);
    for (const EndpointUpdate& update : updates)
        if (update.status == EndpointStatus::removed) fleet_.on_endpoint_removed(update.cache);
    cache_connections_.close_unlisted();
}

void Gateway::on_purge_notice(const PurgeNotice& purge) {
    const TimePoint now = event_loop_.now();
    const Duration age = std::max(now - purge.at, Duration{});
    endpoints_.add_purge(purge.at, purge.group, purge.object, now);
    dispatcher_.on_purge(now, age, purge.group, purge.object);
}

// A gateway that is a member of a site may serve requests once it has read all notices of the notice board.
// Therefore the gateway tries to open the listener again after each poll.
void Gateway::on_poll_completed(std::int64_t newest, std::int64_t polled_from) {
    if (!fleet_.is_member()) return;
    fleet_.on_poll_completed(newest, polled_from);
    listener_start_.try_now();
}

}  // namespace irismux
