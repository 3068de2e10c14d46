#include "net/cache_connection.hpp"

#include <Poco/Exception.h>

#include "base/log.hpp"

namespace irismux {

bool CacheConnectionContext::endpoints_active(const Attempt& attempt) const {
    if (!endpoints.is_active(attempt.cache)) return false;
    return !attempt.has_fill_source() || endpoints.is_active(attempt.plan->source);
}

CacheConnection::CacheConnection(CacheConnectionContext& context, const Endpoint& endpoint,
                                 std::uint64_t number)
    : Connection(context.event_loop, Poco::Net::StreamSocket(), ConnectionState::connecting),
      context_(context),
      number_(number),
      cache_(endpoint.update.cache),
      address_(endpoint.address),
      process_started_at_(endpoint.update.started_at) {}

// --- connecting and closing ------------------------------------------------------------------------------

CacheConnection::ConnectResult CacheConnection::start() {
    try {
        const ConnectResult result = connect(Poco::Net::SocketAddress(address_));
        if (result != ConnectResult::started) return result;
    } catch (const Poco::Exception& e) {
        log::event(log::Level::warning, "cache_address_invalid",
                   {{"reason", e.displayText()}, {"cache", cache_.raw()}, {"address", address_}});
        return ConnectResult::unreachable;
    }
    connect_or_idle_timer_ = ScopedTimer(loop_, loop_.now() + context_.limits.connect_timeout, [this] {
        const auto alive = shared_from_this();
        if (state() == ConnectionState::connecting) disconnect();
    });
    return ConnectResult::started;
}

void CacheConnection::on_open() {
    was_connected_ = true;
    connect_or_idle_timer_.cancel();
    // A caller may no longer need a health check that was requested earlier, and the cache may have left the
    // endpoint list.
    for (const auto& [tag, still_wanted] : std::exchange(deferred_health_checks_, {})) {
        if (still_wanted() && context_.endpoints.is_active(cache_))
            cache_protocol::write_health_check(output_, tag);
        else
            health_checks_.erase(tag);
    }
    start_idle_timer();
}

void CacheConnection::disconnect() {
    if (state() == ConnectionState::closed) return;
    was_connected_ = state() == ConnectionState::open;
    close();
    on_closed();
}

void CacheConnection::on_closed() {
    const auto alive = shared_from_this();
    connect_or_idle_timer_.cancel();
    partial_response_timer_.cancel();
    cancellation_timer_.cancel();
    // A reset while connecting shows that the peer had accepted the connection, so the cache is running.
    was_connected_ = was_connected_ || was_reset();
    if (was_connected_) {
        const auto id = cache_protocol::find_partial_response(input_.view());
        if (const auto it = id ? in_flight_.find(*id) : in_flight_.end(); it != in_flight_.end())
            it->second.attempt().progress = TransmitProgress::response_begun;
    }
    context_.owner.on_connection_lost(*this);
    const Outcome health = was_connected_ ? Outcome::connection_reset : Outcome::connection_refused;
    for (const auto& [tag, begun_at] : std::exchange(health_checks_, {}))
        context_.observer.on_health_check_result({cache_, health, loop_.now() - begun_at});
    const auto in_flight = std::exchange(in_flight_, {});
    const auto queued = std::exchange(queued_, {});
    for (const auto& [id, carried] : in_flight) end_in_flight(carried);
    for (const CarriedAttempt& carried : queued) restart_or_end(carried);
}

void CacheConnection::end_in_flight(const CarriedAttempt& carried) {
    if (carried.attempt().progress < TransmitProgress::fully_written) return restart_or_end(carried);
    carried.request->delay_reuse_until(loop_.now() + context_.limits.reuse_delay);
    end_attempt(carried, Outcome::connection_reset);
}

// A cache runs an attempt only after receiving the whole attempt. If the connection was never established,
// the attempt ends as refused. If an established connection broke, the attempt is restarted on a new
// connection to find out whether the cache is running. A cache that accepts connections but breaks two of
// them in a row is running but overloaded.
void CacheConnection::restart_or_end(const CarriedAttempt& carried) {
    if (!was_connected_) return end_attempt(carried, Outcome::connection_refused);
    if (carried.request->answered()) return end_attempt(carried, Outcome::cancelled);
    Attempt& attempt = carried.attempt();
    if (attempt.retried_on_new_connection) return end_attempt(carried, Outcome::overloaded);
    attempt.retried_on_new_connection = true;
    attempt.progress = TransmitProgress::not_connected;
    context_.owner.restart_attempt(*carried.request, carried.index);
}

void CacheConnection::end_attempt(const CarriedAttempt& carried, Outcome outcome) {
    context_.observer.on_attempt_ended(*carried.request, carried.index, {.outcome = outcome});
}

void CacheConnection::close_on_error(std::string_view reason) {
    log::event(log::Level::warning, "cache_connection_closed",
               {{"reason", reason},
                {"cache", cache_.raw()},
                {"connection", number_},
                {"attempts", in_flight_.size()}});
    disconnect();
}

void CacheConnection::start_idle_timer() {
    if (load() > 0 || state() != ConnectionState::open) return;
    if (!needed()) {
        connect_or_idle_timer_.cancel();
        run_soon([this] {
            if (load() == 0) disconnect();
        });
        return;
    }
    connect_or_idle_timer_ = ScopedTimer(loop_, loop_.now() + context_.limits.idle_timeout, [this] {
        const auto alive = shared_from_this();
        if (load() == 0) disconnect();
    });
}

// --- which attempts the connection may carry -------------------------------------------------------------

bool CacheConnection::connects_to(const Endpoint& endpoint) const {
    return address_ == endpoint.address && process_started_at_ == endpoint.update.started_at;
}

bool CacheConnection::connects_to_listed_process() const {
    const Endpoint* const endpoint = context_.endpoints.find(cache_);
    return !endpoint || connects_to(*endpoint);
}

bool CacheConnection::needed() const {
    return !retired_ && context_.endpoints.is_active(cache_) && connects_to_listed_process();
}

ResponseConflict CacheConnection::response_conflict(const ActiveRequest& request) const {
    return responses_.conflict(request.client_request_id(), request.id(), loop_.now());
}

void CacheConnection::retire() {
    if (retired_) return;
    retired_ = true;
    log::event(log::Level::debug, "cache_connection_retired",
               {{"cache", cache_.raw()}, {"connection", number_}, {"attempts", load()}});
    start_idle_timer();
}

// --- receiving responses ---------------------------------------------------------------------------------

void CacheConnection::set_receiving(bool receiving) {
    receiving_ = receiving;
    set_reading(receiving);
    limit_partial_response();
}

void CacheConnection::on_data() {
    const auto alive = shared_from_this();
    cache_protocol::Message message;
    std::size_t used = 0;
    while (state() == ConnectionState::open) {
        const ParseStatus status = cache_protocol::parse_message(input_.view(), message, used);
        if (status == ParseStatus::incomplete) return limit_partial_response();
        if (status == ParseStatus::invalid || !on_message(message)) return close_on_error("invalid_response");
        if (state() == ConnectionState::open) input_.consume(used);
    }
}

// Limits the time for the rest of a partial response, since the responses to all other attempts on the
// connection have to wait behind the partial response. The time in which nothing is received does not count.
void CacheConnection::limit_partial_response() {
    partial_response_timer_.cancel();
    if (input_.empty() || !receiving_) return;
    partial_response_timer_ = ScopedTimer(loop_, loop_.now() + context_.limits.connect_timeout, [this] {
        const auto alive = shared_from_this();
        if (state() == ConnectionState::open) close_on_error("incomplete_response");
    });
}

// @return false if the message is invalid.
bool CacheConnection::on_message(const cache_protocol::Message& message) {
    const std::string id(message.id);
    if (health_checks_.contains(id)) {
        on_health_check_reply(id, message);
        return true;
    }
    const ClientRequestId request_id{id};
    const auto it = in_flight_.find(request_id);
    // Ignores a response to an attempt that is not fully written yet: the cache can't know the attempt.
    const bool in_flight = it != in_flight_.end();
    if (in_flight && it->second.attempt().progress < TransmitProgress::fully_written) return true;
    responses_.on_response(request_id, loop_.now() + context_.limits.response_copy_window);
    // Ignores a response to an attempt that was cancelled, has a response, or was never sent.
    return !in_flight || on_response(it, message);
}

bool CacheConnection::on_response(InFlight::iterator it, const cache_protocol::Message& message) {
    const CarriedAttempt carried = it->second;
    const auto end = cache_protocol::parse_response(message, carried.request->client_request());
    if (!end) return false;
    in_flight_.erase(it);
    context_.observer.on_attempt_ended(*carried.request, carried.index, *end);
    if (state() != ConnectionState::open) return true;
    context_.owner.on_response_received(*this);
    if (!queued_.empty()) schedule_write();
    start_idle_timer();
    return true;
}

// --- health checks ---------------------------------------------------------------------------------------

void CacheConnection::start_health_check(const std::string& tag, StillWanted still_wanted) {
    health_checks_[tag] = loop_.now();
    if (state() == ConnectionState::connecting) {
        deferred_health_checks_.emplace_back(tag, std::move(still_wanted));
        return;
    }
    cache_protocol::write_health_check(output_, tag);
    schedule_write();
}

void CacheConnection::on_health_check_reply(const std::string& tag, const cache_protocol::Message& message) {
    const auto it = health_checks_.find(tag);
    const Duration elapsed = loop_.now() - it->second;
    health_checks_.erase(it);
    const Outcome outcome = cache_protocol::is_healthy(message) ? Outcome::completed : Outcome::errored;
    context_.observer.on_health_check_result({cache_, outcome, elapsed});
    start_idle_timer();
}

}  // namespace irismux
