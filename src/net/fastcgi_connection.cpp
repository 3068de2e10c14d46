#include "net/fastcgi_connection.hpp"

#include <algorithm>
#include <variant>

#include "base/log.hpp"

namespace irismux {
namespace {

using client_protocol::RequestError;

// A response up to this size is written in one record together with its head.
constexpr std::size_t max_joined_response_bytes = 16'384;

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

bool FastCgiConnection::has_incomplete_request() const {
    if (lingering()) return false;
    if (!input_.empty() || has_unread_data()) return true;
    return std::any_of(open_requests_.begin(), open_requests_.end(),
                       [](const auto& entry) { return entry.second.state != RequestState::dispatched; });
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
    context_.request_bytes -= std::exchange(input_bytes_, 0);
    context_.unsent_bytes -= std::exchange(unsent_bytes_, 0);
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
    skip_unwanted_input();
    parse_input();
    if (state() != ConnectionState::open) return;
    if (input_mode_ == InputMode::paused && !lingering()) scan_paused_input();
    count_memory();
    if (!fits_into_memory(0)) refuse_incomplete(RequestError::request_memory_full);
}

void FastCgiConnection::parse_input() {
    while (state() == ConnectionState::open && !lingering() && input_mode_ == InputMode::parsing) {
        skip_unwanted_input();
        fastcgi::Record record;
        std::size_t used = 0;
        const ParseStatus status = fastcgi::parse_record(input_.view(), record, used);
        if (status == ParseStatus::incomplete) return check_incomplete_record();
        if (status == ParseStatus::invalid) return close_for_protocol_error("not_fastcgi");
        on_record(record);
        input_.consume(used);
        scanned_bytes_ = 0;
        pause_if_responses_pile_up();
    }
}

// No valid request needs a record that is longer than a body, so the server does not wait for the rest of
// such a record.
void FastCgiConnection::check_incomplete_record() {
    const auto header = fastcgi::parse_header(input_.view());
    if (header && header->content_bytes > client_protocol::max_body_bytes)
        refuse_and_discard_input(header->request, RequestError::record_too_long);
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

void FastCgiConnection::dispatch(std::uint16_t request_id, IncomingRequest& request) {
    if (peer_has_left()) return abandon_input();
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

// Nobody waits for the responses to requests that are read after the end of their connection has arrived, for
// example when the process has stood still. They must not be sent on.
void FastCgiConnection::abandon_input() {
    input_mode_ = InputMode::discarding;
    set_reading(true);
    abandon_requests();
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
    count_memory();
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

}  // namespace irismux
