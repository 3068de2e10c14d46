// The part of CacheConnection that writes attempts and cancellations.
#include <algorithm>

#include "net/cache_connection.hpp"

namespace irismux {
namespace {

// Attempts are written in batches of this size, so that few bytes have to be removed from the output again
// when the socket is full.
constexpr std::size_t max_batch_bytes = 16'384;
// Maximum time for which a cancellation waits for room in the socket: a few retries of a write for which the
// system had no memory.
constexpr Duration max_cancellation_wait = Duration::micros(10'000);

}  // namespace

// --- sending attempts ------------------------------------------------------------------------------------

void CacheConnection::enqueue(std::shared_ptr<ActiveRequest> request, std::size_t attempt) {
    request->attempt(attempt).connection = number_;
    queued_.push_back({.request = std::move(request), .index = attempt});
    schedule_write();
}

void CacheConnection::move_queued_to(CacheConnection& other) {
    for (CarriedAttempt& carried : std::exchange(queued_, {})) {
        if (other.retired() || other.response_conflict(*carried.request) != ResponseConflict::none)
            queued_.push_back(std::move(carried));
        else
            other.enqueue(std::move(carried.request), carried.index);
    }
}

void CacheConnection::cancel(const ActiveRequest& request, std::size_t attempt) {
    const auto matches = [&](const CarriedAttempt& carried) { return carried.is(request, attempt); };
    const auto queued = std::find_if(queued_.begin(), queued_.end(), matches);
    const auto in_flight = in_flight_.find(request.client_request_id());
    if (queued != queued_.end())
        queued_.erase(queued);
    else if (in_flight != in_flight_.end() && matches(in_flight->second))
        cancel_in_flight(in_flight);
    start_idle_timer();
}

void CacheConnection::cancel_in_flight(InFlight::iterator it) {
    // `cancelled` is declared first and thus destroyed last, because it may hold the last reference to the
    // request.
    const CarriedAttempt cancelled = std::move(it->second);
    in_flight_.erase(it);
    responses_.on_cancelled(cancelled.request->client_request_id(), cancelled.id());
    if (responses_.too_many_abandoned()) retire();
    cache_protocol::write_cancellation(output_, cancelled.request->client_request_id());
    write_pending();
    update_progress();
    // Prevents two attempts of one request from running at the same time: the next attempt must not start
    // before the cancellation has been written.
    Duration delay = context_.limits.reuse_delay;
    if (!output_.empty() && writable()) {
        unwritten_cancellations_.add(bytes_written() + output_.size(), loop_.now() + max_cancellation_wait);
        limit_cancellation_wait();
        delay = delay + max_cancellation_wait;
    }
    cancelled.request->delay_reuse_until(loop_.now() + delay);
    // A queued attempt may have waited for the stream that is free now, or for room in the socket.
    if (!queued_.empty()) schedule_write();
}

// Closes the connection, which cancels the attempt too, if its socket does not take the cancellation in time.
// If the loop runs late, a last write is tried first, since the socket may have had room for long.
void CacheConnection::limit_cancellation_wait() {
    unwritten_cancellations_.remove_written(bytes_written());
    const auto due = unwritten_cancellations_.due();
    if (!due) return cancellation_timer_.cancel();
    cancellation_timer_ = ScopedTimer(loop_, *due, [this] {
        const auto alive = shared_from_this();
        write_pending();
        update_progress();
        unwritten_cancellations_.remove_written(bytes_written());
        const auto next_due = unwritten_cancellations_.due();
        if (next_due && *next_due <= loop_.now()) return disconnect();
        limit_cancellation_wait();
    });
}

// Writes attempts only when the socket can take their first byte. Right before an attempt is written, the
// endpoint list must still name the process that the connection leads to, the endpoints of the attempt must
// be active, the observer must allow the attempt to begin, and no response with the attempt's id may arrive
// that belongs to another attempt. If the socket takes no byte of a written attempt, the attempt is queued
// again and waits until the socket has room. If the socket takes only a part, the attempt stays in the
// output.
void CacheConnection::on_write_ready() {
    // Avoids writing attempts to an idle connection that the cache has just closed: an attempt that was not
    // written can be sent on another connection, but an attempt that was written may have run.
    if (!queued_.empty() && output_.empty() && peer_closed()) return disconnect();
    write_pending();
    update_progress();
    while (output_.empty() && writable() && !waits_for_room() && write_queued()) {
        write_pending();
        update_progress();
    }
}

// @return whether there is output to write.
bool CacheConnection::write_queued() {
    while (!queued_.empty() && in_flight_.size() < context_.limits.streams &&
           output_.size() < max_batch_bytes) {
        CarriedAttempt carried = std::move(queued_.front());
        queued_.pop_front();
        // The endpoint list may name another address or process by now.
        if (!connects_to_listed_process())
            restart_or_end(carried);
        else if (!context_.endpoints_active(carried.attempt()) ||
                 !context_.observer.may_begin_attempt(*carried.request, carried.index))
            end_attempt(carried, Outcome::overloaded);
        else if (!begin_response(carried))
            context_.owner.restart_attempt(*carried.request, carried.index);
        else
            write_attempt(std::move(carried));
    }
    return !output_.empty();
}

// @return false if another attempt's response with the same id may arrive on this connection. The attempt
// needs another connection then.
bool CacheConnection::begin_response(const CarriedAttempt& carried) {
    return responses_.begin(carried.request->client_request_id(), carried.id(), loop_.now()) ==
           ResponseConflict::none;
}

void CacheConnection::write_attempt(CarriedAttempt carried) {
    const ClientRequest& request = carried.request->client_request();
    const ClientRequestId id = request.client_request_id;
    carried.attempt().progress = TransmitProgress::not_written;
    const std::uint64_t begin = bytes_written() + output_.size();
    cache_protocol::write_attempt(output_, request, options_for(carried));
    carried.sequence = ++last_sequence_;
    unwritten_.push_back(
        {.id = id, .sequence = carried.sequence, .begin = begin, .end = bytes_written() + output_.size()});
    in_flight_[id] = std::move(carried);
}

cache_protocol::AttemptOptions CacheConnection::options_for(const CarriedAttempt& carried) const {
    const ActiveRequest& request = *carried.request;
    const Attempt& attempt = carried.attempt();
    const TimePoint now = loop_.now();
    cache_protocol::AttemptOptions options;
    options.timeout = request.deadline() - now;
    if (attempt.plan) {
        options.plan = &*attempt.plan;
        options.max_age = attempt.plan->max_age;
        if (attempt.plan->timeout > Duration{})
            options.timeout = std::min(options.timeout, attempt.decided_at + attempt.plan->timeout - now);
    }
    // Includes purges that arrived after the attempt was planned.
    const auto purge_bound = context_.endpoints.max_age_after_purges(request.client_request().request, now);
    if (purge_bound && (options.max_age <= Duration{} || *purge_bound < options.max_age))
        options.max_age = *purge_bound;
    return options;
}

// --- how far attempts have been written ------------------------------------------------------------------

// Returns the attempt that was written at `range`, or null if this attempt is no longer in flight under its
// id.
CacheConnection::CarriedAttempt* CacheConnection::find_in_flight(const WriteRange& range) {
    const auto it = in_flight_.find(range.id);
    return it != in_flight_.end() && it->second.sequence == range.sequence ? &it->second : nullptr;
}

void CacheConnection::record_progress(const WriteRange& range, TransmitProgress progress) {
    if (CarriedAttempt* const carried = find_in_flight(range))
        carried->attempt().progress = std::max(carried->attempt().progress, progress);
}

void CacheConnection::update_progress() {
    while (!unwritten_.empty() && unwritten_.front().end <= bytes_written()) {
        record_progress(unwritten_.front(), TransmitProgress::fully_written);
        unwritten_.pop_front();
    }
    while (!unwritten_.empty() && unwritten_.back().begin >= bytes_written()) take_back_last_written();
    if (!unwritten_.empty()) record_progress(unwritten_.front(), TransmitProgress::partially_written);
}

// Removes the last attempt from the output and queues it again. The socket has taken no byte of this attempt.
void CacheConnection::take_back_last_written() {
    const WriteRange range = std::move(unwritten_.back());
    unwritten_.pop_back();
    output_.remove_suffix(range.end - range.begin);
    CarriedAttempt* const carried = find_in_flight(range);
    if (!carried) return;
    responses_.on_taken_back(range.id, carried->id());
    carried->attempt().progress = TransmitProgress::not_connected;
    carried->sequence = 0;
    queued_.push_front(std::move(*carried));
    in_flight_.erase(range.id);
}

}  // namespace irismux
