#include "net/cache_connection_pool.hpp"

#include <algorithm>
#include <string>

namespace irismux {
namespace {

// Each cache gets half of its even share of the connections. The other half is reserved for caches that are
// added to the endpoint list later.
constexpr std::size_t used_share_divisor = 2;
// As soon as a cache has this many connections, no connection is added for a request whose id another request
// has used. A client that repeats ids therefore does not use up the connections.
constexpr std::size_t max_connections_for_repeated_id = 2;
// Minimum time between two retirements of connections because other requests have used a request's id. It
// limits the connections that clients can make the gateway open by repeating ids.
constexpr Duration min_retirement_interval = Duration::micros(100'000);
// Retired connections that still carry attempts may be this fraction of all connections. Retirements because
// of too many abandoned responses are not limited.
constexpr std::size_t retired_share_divisor = 8;
// An attempt for which no connection is available is retried after this fraction of the connect timeout.
constexpr double connection_retry_share = 0.1;
constexpr Duration min_connection_retry = Duration::micros(1'000);

// Connections with a lower rank are preferred: those whose sockets have room, then those with a lower load.
std::pair<bool, std::size_t> rank(const CacheConnection& connection) {
    return {connection.blocked(), connection.load()};
}

}  // namespace

CacheConnectionPool::CacheConnectionPool(EventLoop& loop, EndpointTable& endpoints, AttemptObserver& observer,
                                         const Deployment& deployment, CacheConnectionLimits limits)
    : event_loop_(loop),
      endpoints_(endpoints),
      observer_(observer),
      location_(deployment.location),
      limits_(limits),
      context_{.event_loop = loop,
               .endpoints = endpoints,
               .observer = observer,
               .owner = *this,
               .limits = limits} {}

CacheConnectionPool::~CacheConnectionPool() = default;

// --- attempts --------------------------------------------------------------------------------------------

void CacheConnectionPool::start_attempt(ActiveRequest& request, std::size_t index) {
    const Attempt& attempt = request.attempt(index);
    if (request.reuse_delayed_until() > event_loop_.now()) return start_after_reuse_delay(request, index);
    Endpoint* const endpoint = endpoints_.find(attempt.cache);
    if (!endpoint || !context_.endpoints_active(attempt))
        return observer_.on_attempt_ended(request, index, {.outcome = Outcome::overloaded});
    const Selection selection = select_connection(*endpoint, &request);
    switch (selection.status) {
        case SelectionStatus::selected:
            return selection.connection->enqueue(request.shared_from_this(), index);
        case SelectionStatus::none_available:
            return wait_for_connection(request, index);
        case SelectionStatus::request_id_in_use:
            return observer_.on_request_id_in_use(request, index);
        case SelectionStatus::unreachable:
            return observer_.on_attempt_ended(request, index, {.outcome = Outcome::connection_refused});
    }
}

void CacheConnectionPool::restart_attempt(ActiveRequest& request, std::size_t index) {
    start_attempt(request, index);
}

// After the delay, the attempt also waits for one more poll of the sockets. If the loop runs late, input that
// has arrived in the meantime is thus handled first.
void CacheConnectionPool::start_after_reuse_delay(ActiveRequest& request, std::size_t index) {
    const AttemptKey key(request.id(), index);
    const auto start = [this, key, weak = std::weak_ptr(request.shared_from_this())] {
        const bool cancelled = delayed_attempts_.erase(key) == 0;
        const auto active = weak.lock();
        if (!cancelled && active) start_attempt(*active, key.second);
    };
    delayed_attempts_[key] = ScopedTimer(event_loop_, request.reuse_delayed_until(),
                                         [this, start] { event_loop_.run_next_iteration(start); });
}

// A shortage of resources in this process is not a failure of the cache, so the attempt waits.
void CacheConnectionPool::wait_for_connection(ActiveRequest& request, std::size_t index) {
    close_one_idle();
    const Duration retry = std::max(limits_.connect_timeout * connection_retry_share, min_connection_retry);
    request.delay_reuse_until(event_loop_.now() + retry);
    start_after_reuse_delay(request, index);
}

void CacheConnectionPool::cancel_attempt(ActiveRequest& request, std::size_t index) {
    delayed_attempts_.erase({request.id(), index});
    for (const ConnectionPtr& connection : connections_to(request.attempt(index).cache))
        connection->cancel(request, index);
}

void CacheConnectionPool::withdraw_unstarted_attempts(ActiveRequest& request) {
    for (std::size_t index = 0; index < request.attempt_count(); ++index) {
        const Attempt& attempt = request.attempt(index);
        if (attempt.ended()) continue;
        if (attempt.progress == TransmitProgress::not_connected) cancel_attempt(request, index);
        if (attempt.progress == TransmitProgress::partially_written) withdraw_partially_written(attempt);
    }
}

// Closes the connection that carries the attempt, so that the cache does not receive the rest of the attempt,
// but only if the connection carries no other attempt.
void CacheConnectionPool::withdraw_partially_written(const Attempt& attempt) {
    for (const ConnectionPtr& connection : connections_to(attempt.cache)) {
        if (connection->number() != attempt.connection || connection->load() != 1) continue;
        // The close is deferred to the event loop, because an observer of the close may release the request
        // that the caller still uses.
        event_loop_.schedule_now([weak = std::weak_ptr<CacheConnection>(connection)] {
            if (const auto alive = weak.lock()) alive->disconnect();
        });
    }
}

void CacheConnectionPool::start_health_check(const CacheId& cache, StillWanted still_wanted) {
    Endpoint* const endpoint = endpoints_.find(cache);
    if (!endpoint || !endpoints_.is_active(cache)) return;
    const ConnectionPtr connection = select_connection(*endpoint, nullptr).connection;
    if (!connection) return;
    const std::string tag = "probe-" + std::to_string(next_health_check_++);
    connection->start_health_check(tag, std::move(still_wanted));
}

void CacheConnectionPool::set_receiving(bool receiving) {
    receiving_ = receiving;
    endpoints_.for_each([&](const Endpoint& endpoint) {
        for (const ConnectionPtr& connection : endpoint.connections) connection->set_receiving(receiving);
    });
}

// --- choosing a connection -------------------------------------------------------------------------------

// Divides the connections evenly among the caches of this gateway's location, since all attempts go to these
// caches. With too few connections to a cache, responses queue behind each other and a backlog is not worked
// off. With one connection per attempt, the handshakes of a burst delay everything else.
std::size_t CacheConnectionPool::max_connections_per_cache() const {
    const std::size_t even_share =
        limits_.connections / std::max<std::size_t>(1, endpoints_.count_at(location_));
    return std::max<std::size_t>(1, even_share / used_share_divisor);
}

bool CacheConnectionPool::at_connection_limit() const { return connection_count_ >= limits_.connections; }

CacheConnectionPool::Candidates CacheConnectionPool::find_candidates(const Endpoint& endpoint,
                                                                     const ActiveRequest* request) {
    Candidates candidates;
    for (const ConnectionPtr& connection : endpoint.connections) {
        if (connection->retired()) continue;
        ++candidates.count;
        if (connection->write_failed() || !connection->connects_to(endpoint)) continue;
        const auto conflict = request ? connection->response_conflict(*request) : ResponseConflict::none;
        ConnectionPtr& least_loaded = conflict == ResponseConflict::none           ? candidates.usable
                                      : conflict == ResponseConflict::same_request ? candidates.same_request
                                                                                   : candidates.other_request;
        if (!least_loaded || rank(*connection) < rank(*least_loaded)) least_loaded = connection;
    }
    return candidates;
}

// Prefers an idle connection, then a new connection, then the connection with the lowest load. A connection
// on which a response could be mistaken for the response to the new attempt is not used
// (OutstandingResponses).
CacheConnectionPool::Selection CacheConnectionPool::select_connection(Endpoint& endpoint,
                                                                      const ActiveRequest* request) {
    const Candidates candidates = find_candidates(endpoint, request);
    const ConnectionPtr& best = candidates.usable;
    const bool all_opened = candidates.count >= max_connections_per_cache();
    if (best && (best->load() == 0 || all_opened)) return {SelectionStatus::selected, best};
    if (!best && candidates.count >= max_connections_despite_conflict(candidates))
        return replace_conflicting(endpoint, candidates);

    Selection opened = open_within_limit(endpoint);
    // If connecting fails with "no route" and no existing connection can carry the attempt, connects once
    // more: a single "no route" error may report a state of the network that has passed.
    if (opened.status == SelectionStatus::unreachable && !best) opened = open_connection(endpoint);
    if (opened.status == SelectionStatus::selected || !best) return opened;
    return {SelectionStatus::selected, best};
}

// The number of connections to a cache from which on an attempt that none of them may carry gets a new
// connection only in place of one of them.
std::size_t CacheConnectionPool::max_connections_despite_conflict(const Candidates& candidates) const {
    if (candidates.other_request) return max_connections_for_repeated_id;
    return std::max(max_connections_per_cache(), max_connections_for_repeated_id);
}

// Replaces a connection: the attempts that it carries end there, and the new attempt uses a new connection.
CacheConnectionPool::Selection CacheConnectionPool::replace_conflicting(Endpoint& endpoint,
                                                                        const Candidates& candidates) {
    if (!candidates.same_request && !candidates.other_request) return open_within_limit(endpoint);
    if (!may_retire(candidates)) return {SelectionStatus::request_id_in_use, nullptr};
    const ConnectionPtr& replaced =
        candidates.same_request ? candidates.same_request : candidates.other_request;
    if (!candidates.same_request) retired_for_other_request_at_ = event_loop_.now();
    replaced->retire();
    return open_within_limit(endpoint);
}

bool CacheConnectionPool::may_retire(const Candidates& candidates) const {
    const std::size_t max_retired = std::max<std::size_t>(1, limits_.connections / retired_share_divisor);
    if (retired_count() >= max_retired) return false;
    return candidates.same_request ||
           event_loop_.now() - retired_for_other_request_at_ >= min_retirement_interval;
}

std::size_t CacheConnectionPool::retired_count() const {
    std::size_t count = 0;
    endpoints_.for_each([&](const Endpoint& endpoint) {
        for (const ConnectionPtr& connection : endpoint.connections) count += connection->retired();
    });
    return count;
}

CacheConnectionPool::Selection CacheConnectionPool::open_within_limit(Endpoint& endpoint) {
    const bool may_open = !at_connection_limit() || close_one_idle();
    return may_open ? open_connection(endpoint) : Selection{};
}

CacheConnectionPool::Selection CacheConnectionPool::open_connection(Endpoint& endpoint) {
    auto connection = std::make_shared<CacheConnection>(context_, endpoint, next_connection_++);
    switch (connection->start()) {
        case CacheConnection::ConnectResult::started:
            connection->set_receiving(receiving_);
            ++connection_count_;
            endpoint.connections.push_back(connection);
            return {SelectionStatus::selected, std::move(connection)};
        case CacheConnection::ConnectResult::unreachable:
            return {SelectionStatus::unreachable, nullptr};
        case CacheConnection::ConnectResult::short_of_resources:
            break;
    }
    return {SelectionStatus::none_available, nullptr};
}

// --- lost and unneeded connections -----------------------------------------------------------------------

// Moves attempts from connections that are still being established to the connection that has just received a
// response. Otherwise an attempt would be reported as refused if its connection failed, although the cache
// responds on other connections.
void CacheConnectionPool::on_response_received(CacheConnection& connection) {
    Endpoint* const endpoint = endpoints_.find(connection.cache());
    if (!endpoint) return;
    for (const ConnectionPtr& other : endpoint->connections)
        if (other->state() == ConnectionState::connecting) other->move_queued_to(connection);
}

void CacheConnectionPool::on_connection_lost(CacheConnection& connection) {
    --connection_count_;
    Endpoint* const endpoint = endpoints_.find(connection.cache());
    if (!endpoint) return;
    std::erase_if(endpoint->connections, [&](const auto& other) { return other.get() == &connection; });
    endpoints_.erase_if_removed(connection.cache());
}

std::vector<CacheConnectionPool::ConnectionPtr> CacheConnectionPool::connections_to(const CacheId& cache) {
    const Endpoint* const endpoint = endpoints_.find(cache);
    return endpoint ? endpoint->connections : std::vector<ConnectionPtr>{};
}

// @return false if no connection is idle.
bool CacheConnectionPool::close_one_idle() {
    ConnectionPtr idle;
    endpoints_.for_each([&](const Endpoint& endpoint) {
        for (const ConnectionPtr& connection : endpoint.connections) {
            const bool is_idle = connection->state() == ConnectionState::open && connection->load() == 0;
            if (!idle && is_idle) idle = connection;
        }
    });
    if (!idle) return false;
    idle->disconnect();
    return true;
}

void CacheConnectionPool::close_unlisted() {
    std::vector<ConnectionPtr> unlisted;
    endpoints_.for_each([&](const Endpoint& endpoint) {
        for (const ConnectionPtr& connection : endpoint.connections)
            if (!connection->needed() && connection->load() == 0) unlisted.push_back(connection);
    });
    for (const ConnectionPtr& connection : unlisted) connection->disconnect();
}

void CacheConnectionPool::close_all() {
    std::vector<ConnectionPtr> all;
    endpoints_.for_each([&](const Endpoint& endpoint) {
        all.insert(all.end(), endpoint.connections.begin(), endpoint.connections.end());
    });
    for (const ConnectionPtr& connection : all) connection->disconnect();
}

}  // namespace irismux
