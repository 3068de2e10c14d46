#include "net/fastcgi_connection.hpp"

#include <algorithm>
#include <variant>

#include "base/log.hpp"

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

// The requests of one connection may use at most the memory limit for all requests divided by this number.
constexpr std::size_t connection_memory_divisor = 8;
// A response up to this size is written in one record together with its head.
constexpr std::size_t max_joined_response_bytes = 16'384;
// Maximum size of the responses that the system buffers for a slow client. Further responses stay in the
// output buffer, where their size is counted.
constexpr int max_send_buffer_bytes = 65'536;
// Reading from a client pauses while more than this many bytes of responses wait to be sent to the client.
constexpr std::size_t max_unread_response_bytes = 1'048'576;
// Limit of the input that is read ahead while parsing is paused. This is enough for one request of the
// maximum size and for aborts of other requests.
constexpr std::size_t max_paused_input_bytes =
    client_protocol::max_body_bytes + client_protocol::max_parameter_bytes;

}  // namespace

FastCgiConnection::FastCgiConnection(FastCgiContext& context, std::uint64_t number,
                                     const Poco::Net::StreamSocket& socket)
    : Connection(context.event_loop, socket, ConnectionState::open),
      context_(context),
      number_(number),
      idle_since_(context.event_loop.now()) {}

void FastCgiConnection::start() {
    limit_send_buffer(max_send_buffer_bytes);
    register_handlers();
}

bool FastCgiConnection::idle() const { return open_requests_.empty() && output_.empty() && !lingering(); }

PendingOutput FastCgiConnection::pending_output() const {
    return {number_, output_.size(), bytes_written(), blocked_from_, blocked_since_};
}

bool FastCgiConnection::has_incomplete_request() const {
    if (lingering()) return false;
    if (!input_.empty() || has_unread_data()) return true;
    return std::any_of(open_requests_.begin(), open_requests_.end(),
                       [](const auto& entry) { return entry.second.state != RequestState::dispatched; });
}

void FastCgiConnection::check_timeouts(TimePoint now) {
    const TimePoint due = now - incomplete_request_timeout;
    for (auto it = open_requests_.begin(); it != open_requests_.end();) {
        const auto& [request_id, request] = *it;
        ++it;
        const TimePoint since = has_dispatched_ ? request.begun_at : idle_since_;
        if (request.state != RequestState::dispatched && since < due)
            refuse_and_discard_input(request_id, RequestError::incomplete_in_time);
    }
    const bool may_stay_idle = has_dispatched_ || lifecycle_ == Lifecycle::closing;
    const TimePoint idle_due = may_stay_idle ? now - server_idle_timeout : due;
    if (open_requests_.empty() && idle_since_ < idle_due && !has_unread_data()) close_gracefully();
}

void FastCgiConnection::close_gracefully() {
    abandon_requests();
    linger(context_.limits.accept_pause);
}

void FastCgiConnection::close_now() {
    close();
    on_closed();
}

void FastCgiConnection::on_closed() {
    const auto alive = shared_from_this();
    abandon_requests();
    context_.on_connection_closed(number_);
}

void FastCgiConnection::abandon_requests() {
    if (lifecycle_ == Lifecycle::abandoned) return;
    lifecycle_ = Lifecycle::abandoned;
    const auto abandoned = std::exchange(open_requests_, {});
    context_.request_bytes -= std::exchange(request_bytes_, 0);
    if (log::is_enabled(log::Level::debug))
        log::event(log::Level::debug, "client_requests_abandoned",
                   {{"connection", number_}, {"open_requests", abandoned.size()}});
    for (const auto& [request_id, request] : abandoned)
        if (request.state == RequestState::dispatched)
            context_.request_handler.on_client_closed({number_, request_id, request.sequence});
}

void FastCgiConnection::close_for_protocol_error(std::string_view reason) {
    log::event(log::Level::info, "client_protocol_error", {{"reason", reason}, {"connection", number_}});
    close_gracefully();
}

void FastCgiConnection::begin_closing() {
    if (lifecycle_ == Lifecycle::serving) lifecycle_ = Lifecycle::closing;
}

void FastCgiConnection::close_when_idle() {
    run_soon([this] {
        if (open_requests_.empty() && state() != ConnectionState::closed) close_gracefully();
    });
}

// --- input -----------------------------------------------------------------------------------------------

void FastCgiConnection::on_data() {
    const auto alive = shared_from_this();
    if (input_mode_ == InputMode::discarding) {
        input_.consume(input_.size());
        return;
    }
    while (state() == ConnectionState::open && !lingering() && input_mode_ == InputMode::parsing) {
        fastcgi::Record record;
        std::size_t used = 0;
        const ParseStatus status = fastcgi::parse_record(input_.view(), record, used);
        // No valid request needs a record of this length, so the server does not wait for the rest of the
        // record.
        if (status == ParseStatus::incomplete &&
            fastcgi::announced_content_length(input_.view(), record) > client_protocol::max_body_bytes)
            return refuse_and_discard_input(record.request, RequestError::record_too_long);
        if (status == ParseStatus::incomplete) return;
        if (status == ParseStatus::invalid) return close_for_protocol_error("not_fastcgi");
        on_record(record);
        input_.consume(used);
        scanned_bytes_ = 0;
        pause_if_responses_pile_up();
    }
    if (input_mode_ == InputMode::paused && state() == ConnectionState::open && !lingering())
        scan_paused_input();
}

void FastCgiConnection::on_record(const fastcgi::Record& record) {
    using fastcgi::Type;
    if (record.type == Type::get_values) return on_get_values(record.content);
    if (record.request == 0) {
        fastcgi::write_unknown_type(output_, static_cast<std::uint8_t>(record.type));
        return schedule_write();
    }
    if (record.type == Type::begin_request) return on_begin_request(record);
    const auto it = open_requests_.find(record.request);
    if (it == open_requests_.end()) return;  // the request has a response already or was never begun
    switch (record.type) {
        case Type::abort_request:
            return on_abort_request(record.request);
        case Type::params:
            return on_parameters(record, it->second);
        case Type::std_in:
            return on_body(record, it->second);
        default:
            return;  // DATA records belong to other roles
    }
}

void FastCgiConnection::on_begin_request(const fastcgi::Record& record) {
    fastcgi::BeginRequest begin;
    if (fastcgi::parse_begin_request(record.content, begin) != ParseStatus::complete ||
        open_requests_.contains(record.request))
        return close_for_protocol_error("invalid_begin_request");
    if (begin.role != fastcgi::responder)
        return end_request(record.request, fastcgi::ProtocolStatus::unknown_role, begin.keep_connection);
    if (open_requests_.size() >= client_protocol::max_open_requests)
        return end_request(record.request, fastcgi::ProtocolStatus::overloaded, begin.keep_connection);
    IncomingRequest& request = open_requests_[record.request];
    request.sequence = ++begun_requests_;
    request.keep_connection = begin.keep_connection;
    request.begun_at = loop_.now();
}

void FastCgiConnection::on_abort_request(std::uint16_t request_id) {
    const auto it = open_requests_.find(request_id);
    const bool dispatched = it->second.state == RequestState::dispatched;
    const bool keep_connection = it->second.keep_connection;
    const ClientStream stream{number_, request_id, it->second.sequence};
    if (log::is_enabled(log::Level::debug))
        log::event(log::Level::debug, "request_aborted",
                   {{"connection", number_}, {"fastcgi_request", request_id}});
    erase_request(it);
    if (dispatched) context_.request_handler.on_client_closed(stream);
    end_request(request_id, fastcgi::ProtocolStatus::request_complete, keep_connection);
}

void FastCgiConnection::on_parameters(const fastcgi::Record& record, IncomingRequest& request) {
    if (request.state != RequestState::receiving_parameters) return;
    if (record.content.empty()) {
        request.state = RequestState::receiving_body;
        return;
    }
    if (request.parameters.size() + record.content.size() > client_protocol::max_parameter_bytes)
        return refuse_and_discard_input(record.request, RequestError::parameters_too_long);
    buffer_content(record.request, request, request.parameters, record.content);
}

void FastCgiConnection::on_body(const fastcgi::Record& record, IncomingRequest& request) {
    if (request.state == RequestState::dispatched) return;
    if (record.content.empty()) return dispatch(record.request, request);
    if (request.body.size() + record.content.size() > client_protocol::max_body_bytes)
        return refuse_and_discard_input(record.request, RequestError::body_too_long);
    buffer_content(record.request, request, request.body, record.content);
}

void FastCgiConnection::on_get_values(std::string_view requested) {
    const auto reply = client_protocol::get_values_reply(requested, context_.limits.connections);
    const auto* const values = std::get_if<std::string>(&reply);
    if (!values) return close_for_protocol_error("invalid_get_values");
    fastcgi::write_record(output_, fastcgi::Type::get_values_result, 0, *values);
    schedule_write();
}

// Limits the memory for requests that have no response yet: a request that exceeds the limit is refused.
void FastCgiConnection::buffer_content(std::uint16_t request_id, IncomingRequest& request,
                                       std::string& destination, std::string_view content) {
    const std::size_t limit = context_.limits.request_bytes;
    if (context_.request_bytes + content.size() > limit ||
        request_bytes_ + content.size() > limit / connection_memory_divisor)
        return refuse(request_id, RequestError::request_memory_full);
    destination.append(content);
    request.buffered_bytes += content.size();
    request_bytes_ += content.size();
    context_.request_bytes += content.size();
}

void FastCgiConnection::dispatch(std::uint16_t request_id, IncomingRequest& request) {
    const bool parameters_ended = request.state == RequestState::receiving_body;
    request.state = RequestState::dispatched;
    has_dispatched_ = true;
    if (!parameters_ended) return refuse(request_id, RequestError::unreadable_parameters);
    auto parsed = client_protocol::parse_request(request.parameters, std::move(request.body), context_.kinds,
                                                 loop_.now());
    if (const auto* const error = std::get_if<RequestError>(&parsed)) return refuse(request_id, *error);
    if (std::holds_alternative<client_protocol::HealthCheck>(parsed))
        return respond(request_id, client_protocol::healthy_head(), {});
    request.parameters = {};
    admit(request_id, request.sequence, std::get<ClientRequest>(std::move(parsed)));
}

void FastCgiConnection::admit(std::uint16_t request_id, std::uint64_t sequence,
                              ClientRequest client_request) {
    const ClientRequestId id = client_request.client_request_id;
    switch (context_.request_handler.on_client_request({number_, request_id, sequence},
                                                       std::move(client_request))) {
        case RequestHandler::Admission::accepted:
            return;
        case RequestHandler::Admission::id_in_use:
            return refuse(request_id, RequestError::id_in_use, id);
        case RequestHandler::Admission::duplicate:
            return refuse(request_id, RequestError::duplicate_request, id);
    }
}

// --- output ----------------------------------------------------------------------------------------------

void FastCgiConnection::write_response(const ClientStream& stream, std::string_view head,
                                       std::string_view body) {
    const auto it = open_requests_.find(stream.fastcgi_request);
    if (it == open_requests_.end() || it->second.sequence != stream.sequence) return;
    respond(stream.fastcgi_request, head, body);
}

void FastCgiConnection::respond(std::uint16_t request_id, std::string_view head, std::string_view body) {
    const auto it = open_requests_.find(request_id);
    if (it == open_requests_.end()) return;
    const bool keep_connection = it->second.keep_connection;
    erase_request(it);
    if (log::is_enabled(log::Level::debug))
        log::event(log::Level::debug, "response_written",
                   {{"connection", number_}, {"fastcgi_request", request_id}, {"bytes", body.size()}});
    using fastcgi::Type;
    if (head.size() + body.size() <= max_joined_response_bytes) {
        fastcgi::write_stream(output_, Type::std_out, request_id, std::string(head).append(body));
    } else {
        fastcgi::write_stream(output_, Type::std_out, request_id, head);
        fastcgi::write_stream(output_, Type::std_out, request_id, body);
    }
    fastcgi::write_record(output_, Type::std_out, request_id, {});
    end_request(request_id, fastcgi::ProtocolStatus::request_complete, keep_connection);
    pause_if_responses_pile_up();
}

void FastCgiConnection::refuse(std::uint16_t request_id, RequestError error, const ClientRequestId& id) {
    log::event(log::Level::info, "request_refused",
               {{"reason", client_protocol::to_string(error)},
                {"status", client_protocol::status_code(error)},
                {"client_request_id", id.raw()},
                {"connection", number_},
                {"fastcgi_request", request_id},
                {"open_requests", open_requests_.size()}});
    respond(request_id, client_protocol::error_head(error), {});
}

// Refuses a request that has more input than allowed, without storing the input that is still to arrive.
void FastCgiConnection::refuse_and_discard_input(std::uint16_t request_id, RequestError error) {
    begin_closing();
    input_mode_ = InputMode::discarding;
    if (open_requests_.contains(request_id)) return refuse(request_id, error);
    schedule_write();
}

void FastCgiConnection::end_request(std::uint16_t request_id, fastcgi::ProtocolStatus status,
                                    bool keep_connection) {
    fastcgi::write_end_request(output_, request_id, status);
    if (!keep_connection) begin_closing();
    schedule_write();
}

void FastCgiConnection::erase_request(OpenRequests::iterator request) {
    request_bytes_ -= request->second.buffered_bytes;
    context_.request_bytes -= request->second.buffered_bytes;
    open_requests_.erase(request);
    idle_since_ = loop_.now();
}

void FastCgiConnection::on_write_ready() {
    write_output();
    if (!output_.empty()) return;
    if (lifecycle_ == Lifecycle::closing && open_requests_.empty()) return close_when_idle();
    if (input_mode_ != InputMode::paused) return;
    input_mode_ = InputMode::parsing;
    set_reading(true);
    on_data();  // handles records that arrived while parsing was paused
}

// --- clients that do not read their responses ------------------------------------------------------------

// A write that finds room for a whole send buffer shows that the client had read faster than this process
// wrote, for example because the process got little processor time. The client's pace is measured from there.
void FastCgiConnection::write_output() {
    const std::uint64_t written_before = bytes_written();
    write_pending();
    const bool buffer_was_empty = bytes_written() - written_before >= max_send_buffer_bytes;
    if (output_.empty()) return blocked_from_.reset();
    if (blocked_from_ && !buffer_was_empty) return;
    if (!blocked_from_) blocked_since_ = loop_.now();
    blocked_from_ = WriteProgress{bytes_written(), loop_.now()};
}

void FastCgiConnection::flush() { write_output(); }

void FastCgiConnection::pause_if_responses_pile_up() {
    if (input_mode_ == InputMode::parsing && output_.size() > max_unread_response_bytes)
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
    if (input_.size() > max_paused_input_bytes) set_reading(false);
}

}  // namespace irismux
