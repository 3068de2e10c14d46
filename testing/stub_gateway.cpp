#include "testing/stub_gateway.hpp"

namespace irismux::test_support {
namespace {

constexpr const char* version = "0.3.0";
const Duration purge_done = Duration::micros(6'000'000);
const Duration probe_answered_in = Duration::micros(1'000);

// Computes an FNV-1a hash, which is the same in every process and run.
std::uint64_t digest(std::string_view text) {
    std::uint64_t sum = 14695981039346656037ULL;
    for (const char c : text) sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return sum;
}

}  // namespace

StubGateway::StubGateway(EventLoop& loop, StubGatewayObserver& observer, const StubGatewaySettings& settings)
    : event_loop_(loop),
      observer_(observer),
      settings_(settings),
      roster_(purge_done),
      notice_client_(loop, *this, settings.notice_board, settings.notice_board_pause) {
    notice_client_.load_known_events(settings_.known);
    if (settings_.registry)
        registry_ = std::make_unique<registry::RegistryClient>(
            loop, static_cast<registry::WatchObserver&>(*this), *settings_.registry, settings_.seed);
    if (settings_.fleet)
        fleet_client_ = std::make_unique<fleet::FleetClient>(
            loop, static_cast<fleet::GatewayCallbacks&>(*this), *settings_.fleet, version, settings_.seed);
}

StubGateway::~StubGateway() = default;

void StubGateway::start() {
    notice_client_.poll();
    if (registry_) registry_->start();
    if (fleet_client_) fleet_client_->start();
}

void StubGateway::set_ejected(const CacheId& cache, bool ejected) {
    if (fleet_client_) fleet_client_->on_ejection_changed(cache, ejected);
}

void StubGateway::set_cache_answers(const CacheId& cache, bool answers) { answers_[cache] = answers; }

bool StubGateway::joined() const { return fleet_client_ && fleet_client_->agent().membership().joined(); }

std::size_t StubGateway::known_members() const {
    return fleet_client_ ? fleet_client_->agent().membership().members().size() + joined() : 0;
}

std::uint64_t StubGateway::member_digest() const {
    if (!fleet_client_) return 0;
    const auto of = [](const std::string& name, fleet::Incarnation start) {
        return digest(name + '/' + std::to_string(start.raw()));
    };
    std::uint64_t sum = joined() ? of(settings_.name, fleet_client_->agent().incarnation()) : 0;
    for (const auto& [name, other] : fleet_client_->agent().membership().members())
        sum += of(name.raw(), other.member.incarnation);
    return sum;
}

bool StubGateway::follows_endpoints() const {
    return !registry_ || registry_->watch().sync_state() == registry::SyncState::following;
}

// Applies the board's endpoint list only if the gateway has no registry.
void StubGateway::on_endpoint_notice(const std::vector<EndpointRecord>& lines, bool complete) {
    if (!registry_) apply_endpoints(lines, complete);
}

void StubGateway::on_endpoints(TimePoint, const std::vector<EndpointRecord>& lines, bool complete) {
    apply_endpoints(lines, complete);
}

void StubGateway::apply_endpoints(const std::vector<EndpointRecord>& lines, bool complete) {
    roster_.apply(lines, complete);
    if (complete) endpoints_by_id_.clear();
    for (const auto& [listing, address] : lines) {
        if (listing.status == EndpointStatus::removed)
            endpoints_by_id_.erase(listing.cache);
        else
            endpoints_by_id_[listing.cache] = listing;
        if (fleet_client_ && listing.status == EndpointStatus::removed)
            fleet_client_->on_endpoint_removed(listing.cache);
    }
    observer_.on_endpoints_applied(settings_.name, event_loop_.now());
}

void StubGateway::on_purge_notice(const PurgeNotice& purge) {
    const TimePoint now = event_loop_.now();
    roster_.add_purge(purge.at, purge.group, purge.object, now);
    ++purge_count_;
    // The digest uses the time in the event, which is the same at each gateway. purge.at is each gateway's
    // own estimate.
    purge_digest_ +=
        digest(std::to_string((purge.timestamp - TimePoint{}).micros()) + '/' +
               std::to_string(purge.group.raw()) + '/' + (purge.object ? purge.object->raw() : ""));
    observer_.on_purge_applied(settings_.name, purge.timestamp, now);
}

bool StubGateway::start_health_check(const CacheId& cache) {
    const auto it = answers_.find(cache);
    if (it == answers_.end() || !it->second)
        return true;  // the cache does not answer; the next probe detects this
    event_loop_.schedule_at(event_loop_.now() + probe_answered_in,
                            [this, cache, alive = std::weak_ptr<bool>(alive_)] {
                                if (alive.lock() && fleet_client_)
                                    fleet_client_->on_health_check_done(cache, true);
                            });
    return true;
}

void StubGateway::postpone_recovery_probe(const CacheId& cache, TimePoint) {
    observer_.on_recovery_probe_postponed(settings_.name, cache, event_loop_.now());
}

}  // namespace irismux::test_support
