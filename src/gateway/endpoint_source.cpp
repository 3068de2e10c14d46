#include "gateway/endpoint_source.hpp"

#include <utility>

#include "base/log.hpp"
#include "registry/registry_log.hpp"

namespace irismux {

EndpointSource::EndpointSource(EventLoop& loop, EndpointListObserver& observer, LocationId location,
                               std::uint64_t seed, std::optional<registry::Settings> settings)
    : event_loop_(loop),
      observer_(observer),
      location_(std::move(location)),
      seed_(seed),
      settings_(std::move(settings)) {}

void EndpointSource::open_registry() {
    if (!settings_) return;
    registry_ = std::make_unique<registry::RegistryClient>(
        event_loop_, static_cast<registry::WatchObserver&>(*this), *settings_, seed_);
    stored_list_.emplace(event_loop_, *settings_, location_, registry_->watch());
    const auto stored = stored_list_->read();
    if (stored && !stored->records.empty())
        registry_->start_from(stored->cluster, stored->revision, stored->records, stored->as_of);
}

void EndpointSource::start() {
    if (registry_) registry_->start();
}

void EndpointSource::reload(const std::optional<registry::Settings>& settings) {
    if (settings == settings_) return;
    settings_ = settings;
    stored_list_.reset();
    registry_.reset();
    if (!settings_) {
        log::event(log::Level::warning, "endpoint_source_changed", {{"source", "notice_board"}});
        return;
    }
    log::event(log::Level::info, "endpoint_source_changed",
               {{"source", "registry"},
                {"address", settings_->members.front()},
                {"registry_members", settings_->members.size()}});
    open_registry();
    start();
}

void EndpointSource::on_endpoint_notice(const std::vector<EndpointRecord>& records, bool complete) {
    if (!registry_) observer_.on_endpoint_list(records, complete);
}

void EndpointSource::on_endpoints(TimePoint, const std::vector<EndpointRecord>& records, bool complete) {
    observer_.on_endpoint_list(records, complete);
}

void EndpointSource::on_sync_state(TimePoint now, registry::SyncState state, TimePoint as_of) {
    const bool disconnected = state == registry::SyncState::disconnected;
    registry::log_sync_state(now, state, as_of);
    if (disconnected) observer_.on_endpoint_source_lost(now);
}

void EndpointSource::on_watch_warning(const registry::WatchWarning& warning) {
    registry::log_watch_warning(warning, *settings_);
}

}  // namespace irismux
