#include "gateway/stored_endpoint_list.hpp"

#include <utility>
#include <variant>

#include "base/log.hpp"

namespace irismux {
namespace {

constexpr Duration write_interval = Duration::micros(2'000'000);
// Share of the maximum age of a stored list after which an unchanged list is written again. A stored list
// that is older than the maximum age is not used.
constexpr double rewrite_after_share_of_max_age = 0.25;
// Address space that is reserved for the store's file. Only the used part takes memory or disk space.
constexpr std::size_t max_store_bytes = 64 << 20;
// Name of the list in the store. Other versions of the program use the same name.
constexpr const char* stored_name = "registry list";

}  // namespace

StoredEndpointList::StoredEndpointList(EventLoop& loop, const registry::Settings& settings,
                                       const LocationId& location, const registry::Watch& watch)
    : event_loop_(loop),
      watch_(watch),
      owner_(location.raw() + ' ' + settings.prefix),
      max_age_(settings.snapshot_max_age) {
    if (settings.snapshot_folder.empty()) return;
    auto opened = Store::open(settings.snapshot_folder, max_store_bytes);
    if (const auto* error = std::get_if<StoreError>(&opened)) {
        log::event(log::Level::warning, "registry_store_unavailable",
                   {{"reason", error->reason()}, {"folder", error->folder}, {"detail", error->detail}});
        return;
    }
    store_ = std::move(std::get<Store>(opened));
    schedule_write();
}

std::optional<registry::EndpointSnapshot> StoredEndpointList::read() const {
    if (!store_) return std::nullopt;
    const auto bytes = store_->read(stored_name);
    if (!bytes) return std::nullopt;
    auto snapshot = registry::parse_snapshot(*bytes, owner_, event_loop_.now(), max_age_);
    if (const auto* error = std::get_if<registry::SnapshotError>(&snapshot)) {
        log::event(log::Level::warning, "registry_snapshot_rejected",
                   {{"reason", registry::to_string(*error)}});
        return std::nullopt;
    }
    return std::move(std::get<registry::EndpointSnapshot>(snapshot));
}

void StoredEndpointList::schedule_write() {
    write_timer_ =
        ScopedTimer(event_loop_, event_loop_.now() + write_interval, [this] { write_if_changed(); });
}

void StoredEndpointList::write_if_changed() {
    schedule_write();
    const bool due_again =
        watch_.last_complete_at() - written_as_of_ > max_age_ * rewrite_after_share_of_max_age;
    const bool changed = watch_.view().revision() != written_revision_;
    if (watch_.sync_state() != registry::SyncState::following || (!changed && !due_again)) return;
    const auto written = store_->write(
        stored_name,
        registry::serialize_snapshot(watch_.view(), watch_.cluster(), watch_.last_complete_at(), owner_));
    if (const auto* error = std::get_if<StoreError>(&written)) {
        if (!write_failure_logged_)
            log::event(log::Level::warning, "registry_snapshot_not_stored",
                       {{"reason", error->reason()}, {"folder", error->folder}, {"detail", error->detail}});
        write_failure_logged_ = true;
        return;
    }
    write_failure_logged_ = false;
    written_revision_ = watch_.view().revision();
    written_as_of_ = watch_.last_complete_at();
}

}  // namespace irismux
