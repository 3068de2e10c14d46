// The part of FastCgiConnection that limits the time and the memory which a client may use: incomplete
// requests, unread responses and idle connections.
#include <algorithm>
#include <vector>

#include "net/fastcgi_connection.hpp"

namespace irismux {
namespace {

using client_protocol::RequestError;

// Clients close idle connections after this time.
constexpr Duration client_idle_timeout = Duration::micros(4'000'000);
// The server closes an idle connection after this time. The client should have closed the connection by then.
const Duration server_idle_timeout = client_idle_timeout * 1.25;
// A request that is still incomplete after this time is refused; otherwise it could use memory and a
// descriptor forever.
const Duration incomplete_request_timeout = client_idle_timeout * 0.5;
// While connections or memory are short, a request that has been incomplete for this time may be refused for
// another client.
constexpr Duration max_incomplete_time_when_short = Duration::micros(200'000);

// The requests of one connection may use at most the memory limit for all requests divided by this number.
constexpr std::size_t connection_memory_divisor = 8;
// Reading from a client pauses while more than this many bytes of responses wait to be sent to the client.
constexpr std::size_t max_unread_response_bytes = 1'048'576;
// Unread responses, and requests with unparsed input, may use this fraction of their memory limit before each
// connection gets an even share of the fraction.
constexpr std::size_t shared_memory_divisor = 4;
// A larger input buffer holds a part of a record.
constexpr std::size_t max_idle_input_bytes = 16'384;
// Limit of the input that is read ahead while parsing is paused. This is enough for one request of the
// maximum size and for aborts of other requests.
constexpr std::size_t max_paused_input_bytes =
    client_protocol::max_body_bytes + client_protocol::max_parameter_bytes;

}  // namespace

// --- incomplete requests and idle connections --------------------------------------------------------------

bool FastCgiConnection::evictable(TimePoint now) const {
    if (lingering() || !output_.empty()) return false;
    const bool waits_for_response =
        std::any_of(open_requests_.begin(), open_requests_.end(),
                    [](const auto& entry) { return entry.second.state == RequestState::dispatched; });
    if (waits_for_response) return false;
    const auto since = incomplete_since();
    return !has_dispatched_ || !since || now - *since >= max_incomplete_time_when_short;
}

std::pair<bool, TimePoint> FastCgiConnection::eviction_rank() const {
    return {has_dispatched_, incomplete_since().value_or(idle_since_)};
}

std::optional<TimePoint> FastCgiConnection::incomplete_since() const {
    if (lingering()) return std::nullopt;
    std::optional<TimePoint> since;
    for (const auto& [request_id, request] : open_requests_)
        if (request.state != RequestState::dispatched && (!since || request.begun_at < *since))
            since = request.begun_at;
    // While parsing is paused, the input may hold complete requests.
    const bool holds_part = input_mode_ == InputMode::parsing && input_.capacity() > max_idle_input_bytes;
    if (!since && open_requests_.empty() && holds_part) since = idle_since_;
    return since;
}

bool FastCgiConnection::may_be_refused_for_others(TimePoint now) const {
    const auto since = incomplete_since();
    return since && now - *since >= max_incomplete_time_when_short;
}

void FastCgiConnection::check_timeouts(TimePoint now) {
    const TimePoint due = now - incomplete_request_timeout;
    // The time of a client's first request counts from the start of the connection.
    const bool first_is_late = !has_dispatched_ && idle_since_ < due;
    if (!lingering()) refuse_incomplete_before(first_is_late ? now : due, RequestError::incomplete_in_time);
    const bool may_stay_idle = has_dispatched_ || lifecycle_ == Lifecycle::closing;
    const TimePoint idle_due = may_stay_idle ? now - server_idle_timeout : due;
    if (open_requests_.empty() && idle_since_ < idle_due && !has_unread_data()) close_gracefully();
}

void FastCgiConnection::refuse_incomplete(RequestError error) {
    refuse_incomplete_before(loop_.now(), error);
    const bool holds_part = input_mode_ == InputMode::parsing && input_.capacity() > max_idle_input_bytes;
    if (!open_requests_.empty() || !holds_part) return;
    // Only a part of a record is left, which belongs to no open request.
    refuse_and_discard_input(0, error);
    input_.consume(input_.size());
    count_memory();
}

// Refuses the requests that have been incomplete since `due` or longer.
void FastCgiConnection::refuse_incomplete_before(TimePoint due, RequestError error) {
    std::vector<std::uint16_t> refused;
    for (const auto& [request_id, request] : open_requests_)
        if (request.state != RequestState::dispatched && request.begun_at <= due)
            refused.push_back(request_id);
    for (const std::uint16_t request_id : refused) refuse(request_id, error);
    skip_unwanted_input();
    count_memory();
}

// Drops input that nothing waits for before the whole record has arrived: the content of a request that has
// been refused.
void FastCgiConnection::skip_unwanted_input() {
    if (bytes_to_skip_ == 0) {
        if (input_mode_ != InputMode::parsing) return;
        const auto header = fastcgi::parse_header(input_.view());
        if (!header || header->record_bytes <= input_.size() || !is_unwanted(*header)) return;
        bytes_to_skip_ = header->record_bytes;
    }
    const std::size_t skipped = std::min(bytes_to_skip_, input_.size());
    input_.consume(skipped);
    bytes_to_skip_ -= skipped;
}

bool FastCgiConnection::is_unwanted(const fastcgi::RecordHeader& header) const {
    const bool is_content = header.type == fastcgi::Type::params || header.type == fastcgi::Type::std_in;
    return is_content && header.request != 0 && !open_requests_.contains(header.request);
}

// --- memory of requests ------------------------------------------------------------------------------------

// Limits the memory for requests that have no response yet. Incomplete requests of other connections make
// room, so that clients that stop in the middle of their requests do not keep others from being served.
void FastCgiConnection::buffer_content(std::uint16_t request_id, IncomingRequest& request,
                                       std::string& destination, std::string_view content) {
    if (!fits_into_memory(content.size())) return refuse(request_id, RequestError::request_memory_full);
    destination.append(content);
    request.buffered_bytes += content.size();
    request_bytes_ += content.size();
    context_.request_bytes += content.size();
}

bool FastCgiConnection::fits_into_memory(std::size_t bytes) {
    const std::size_t limit = context_.limits.request_bytes;
    if (request_bytes_ + bytes > limit / connection_memory_divisor) return false;
    return context_.request_bytes + bytes <= limit || context_.make_room(*this, bytes);
}

// Must be called after the input or the output has changed.
void FastCgiConnection::count_memory() {
    if (state() == ConnectionState::closed) return;
    context_.request_bytes += input_.capacity() - input_bytes_;
    input_bytes_ = input_.capacity();
    context_.unsent_bytes += output_.size() - unsent_bytes_;
    unsent_bytes_ = output_.size();
}

// --- clients that do not read their responses ------------------------------------------------------------

PendingOutput FastCgiConnection::pending_output() const {
    return {number_, output_.size(), bytes_written(), blocked_from_, blocked_since_};
}

// A write that finds room for a whole send buffer shows that the client had read faster than this process
// wrote, for example because the process got little processor time. The client's pace is measured from there.
void FastCgiConnection::write_output() {
    const std::uint64_t written_before = bytes_written();
    write_pending();
    count_memory();
    const bool buffer_was_empty = bytes_written() - written_before >= max_send_buffer_bytes;
    if (output_.empty()) return blocked_from_.reset();
    if (blocked_from_ && !buffer_was_empty) return;
    if (!blocked_from_) blocked_since_ = loop_.now();
    blocked_from_ = WriteProgress{bytes_written(), loop_.now()};
}

void FastCgiConnection::flush() { write_output(); }

// While the memory that all clients together use of `limit` is small, each client may use up to `most`.
// Beyond that, each connection gets an even share, so that clients that send requests and read no responses
// can't fill the memory.
std::size_t FastCgiConnection::share_of(std::size_t limit, std::size_t used, std::size_t most) const {
    const std::size_t shared = limit / shared_memory_divisor;
    if (used <= shared) return most;
    return std::min(most, shared / std::max<std::size_t>(1, context_.connection_count));
}

std::size_t FastCgiConnection::max_unread_bytes() const {
    return share_of(context_.limits.request_bytes, context_.unsent_bytes, max_unread_response_bytes);
}

void FastCgiConnection::pause_if_responses_pile_up() {
    if (input_mode_ == InputMode::parsing && output_.size() > max_unread_bytes())
        input_mode_ = InputMode::paused;
}

// Detects that a client closes its connection or aborts a request while the parsing of its input is paused.
// Otherwise the attempts for this client would continue. Aborts are handled immediately. The end of the
// connection is detected only while the unparsed input is not larger than max_paused_input_bytes.
void FastCgiConnection::scan_paused_input() {
    fastcgi::Record record;
    std::size_t used = 0;
    while (fastcgi::parse_record(input_.view().substr(scanned_bytes_), record, used) ==
           ParseStatus::complete) {
        scanned_bytes_ += used;
        if (record.type == fastcgi::Type::abort_request && open_requests_.contains(record.request))
            on_abort_request(record.request);
    }
    const std::size_t limit = context_.limits.request_bytes;
    if (input_.size() > share_of(limit, context_.request_bytes, max_paused_input_bytes)) set_reading(false);
}

}  // namespace irismux
