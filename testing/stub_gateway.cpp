#include "testing/stub_gateway.hpp"

namespace irismux::lab {
namespace {

constexpr const char* version = "0.3.0";
const Span purge_done = Span::micros(6'000'000);
const Span probe_answered_in = Span::micros(1'000);

// FNV-1a: the same in every process, and across runs.
std::uint64_t digest(std::string_view text) {
    std::uint64_t sum = 14695981039346656037ULL;
    for (const char c : text) sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return sum;
}

}  // namespace

HollowGateway::HollowGateway(Loop& loop, HollowObserver& observer, const HollowSettings& settings)
    : loop_(loop),
      observer_(observer),
      settings_(settings),
      roster_(purge_done),
      board_(loop, *this, settings.board, settings.board_pause) {
    board_.load(settings_.known);
    if (settings_.registry)
        registry_ = std::make_unique<registry::Client>(loop, static_cast<registry::Knows&>(*this),
                                                       *settings_.registry, settings_.seed);
    if (settings_.fleet)
        fleet_client_ = std::make_unique<fleet::FleetClient>(loop, static_cast<fleet::GatewayPort&>(*this),
                                                             *settings_.fleet, version, settings_.seed);
}

HollowGateway::~HollowGateway() = default;

void HollowGateway::start() {
    board_.poll();
    if (registry_) registry_->start();
    if (fleet_client_) fleet_client_->start();
}

void HollowGateway::mark(const CacheId& cache, bool is) {
    if (fleet_client_) fleet_client_->marked(cache, is);
}

void HollowGateway::cache_answers(const CacheId& cache, bool is) { answers_[cache] = is; }

bool HollowGateway::joined() const { return fleet_client_ && fleet_client_->agent().membership().in(); }

std::size_t HollowGateway::members_known() const {
    return fleet_client_ ? fleet_client_->agent().membership().peers().size() + joined() : 0;
}

std::uint64_t HollowGateway::member_digest() const {
    if (!fleet_client_) return 0;
    const auto of = [](const std::string& name, fleet::Incarnation start) {
        return digest(name + '/' + std::to_string(start.raw()));
    };
    std::uint64_t sum = joined() ? of(settings_.name, fleet_client_->agent().incarnation()) : 0;
    for (const auto& [name, other] : fleet_client_->agent().membership().peers())
        sum += of(name.raw(), other.member.start);
    return sum;
}

bool HollowGateway::follows_list() const {
    return !registry_ || registry_->watch().sight() == registry::Sight::following;
}

// The board's list counts only where no registry tells one.
void HollowGateway::on_board_list(const std::vector<ListLine>& lines, bool complete) {
    if (!registry_) list_in_force(lines, complete);
}

void HollowGateway::list_told(Instant, const std::vector<ListLine>& lines, bool complete) {
    list_in_force(lines, complete);
}

void HollowGateway::list_in_force(const std::vector<ListLine>& lines, bool complete) {
    roster_.told(lines, complete);
    if (complete) list_.clear();
    for (const auto& [listing, address] : lines) {
        if (listing.phase == Phase::gone)
            list_.erase(listing.cache);
        else
            list_[listing.cache] = listing;
        if (fleet_client_ && listing.phase == Phase::gone) fleet_client_->gone(listing.cache);
    }
    observer_.list_in_force(settings_.name, loop_.now());
}

void HollowGateway::on_board_purge(const PurgeNotice& purge) {
    const Instant now = loop_.now();
    roster_.purged(purge.at, purge.group, purge.object, now);
    ++purges_;
    // By the event's own time: when it happened is each gateway's own estimate.
    purge_digest_ +=
        digest(std::to_string((purge.stamp - Instant{}).micros()) + '/' + std::to_string(purge.group.raw()) +
               '/' + (purge.object ? purge.object->raw() : ""));
    observer_.purge_in_force(settings_.name, purge.stamp, now);
}

bool HollowGateway::send_probe(const CacheId& cache) {
    const auto it = answers_.find(cache);
    if (it == answers_.end() || !it->second) return true;  // silent: the next probe finds that out
    loop_.at(loop_.now() + probe_answered_in, [this, cache, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock() && fleet_client_) fleet_client_->probed(cache, true);
    });
    return true;
}

void HollowGateway::trial_from(const CacheId& cache, Instant) {
    observer_.trial_put_off(settings_.name, cache, loop_.now());
}

}  // namespace irismux::lab
