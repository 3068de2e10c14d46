#include "registry/registry_socket.hpp"

#include <utility>

namespace irismux::registry {

RegistrySocket::RegistrySocket(EventLoop& loop, ReplyHandler& handler, MemberIndex member)
    : Connection(loop, Poco::Net::StreamSocket(), ConnectionState::connecting),
      handler_(&handler),
      member_(member) {}

bool RegistrySocket::start(const std::string& address) {
    return connect(Poco::Net::SocketAddress(address)) == ConnectResult::started;
}

bool RegistrySocket::idle() const { return state() != ConnectionState::closed && !is_busy(); }

void RegistrySocket::write_request(const std::string& host, const etcd::Request& request,
                                   const std::string& token, ReplyForm form) {
    state_ = State::awaiting_head;
    form_ = form;
    body_reader_.reset();
    http::write_post(output_, host, request.target, token, request.body);
    schedule_write();
}

void RegistrySocket::close_silently() {
    handler_ = nullptr;
    close();
}

void RegistrySocket::on_data() {
    const auto alive = shared_from_this();
    while (handler_ && is_busy() && state() == ConnectionState::open) {
        const Progress progress = state_ == State::awaiting_head ? parse_head() : parse_body();
        if (progress == Progress::needs_input) return;
    }
    if (handler_ && !is_busy() && !input_.empty()) fail(RequestFailureReason::unexpected_data);
}

RegistrySocket::Progress RegistrySocket::parse_head() {
    std::size_t used = 0;
    const ParseStatus status = http::parse_head(input_.view(), head_, used);
    if (status == ParseStatus::incomplete) return Progress::needs_input;
    if (status == ParseStatus::invalid || !head_.framed()) {
        fail(RequestFailureReason::malformed_http);
        return Progress::needs_input;
    }
    // A registry member that refuses a stream sends a whole reply instead.
    if (head_.status != 200 || !head_.chunked) form_ = ReplyForm::whole;
    if (head_.has_content_length && head_.length > max_reply_bytes) {
        reject_long_reply();
        return Progress::needs_input;
    }
    input_.consume(used);
    body_.clear();
    body_reader_.emplace(head_);
    state_ = State::reading_body;
    return Progress::parsed;
}

// The limit applies to messages and replies, not to chunks, whose length the sender chooses.
RegistrySocket::Progress RegistrySocket::parse_body() {
    std::string_view piece;
    std::size_t used = 0;
    const ParseStatus status = body_reader_->next(input_.view(), piece, used);
    if (status == ParseStatus::invalid) {
        fail(RequestFailureReason::malformed_http);
        return Progress::needs_input;
    }
    body_.append(piece);
    input_.consume(used);
    const bool complete = status == ParseStatus::complete;
    if (form_ == ReplyForm::stream) {
        deliver_messages();
        if (handler_ && complete) {
            fail(RequestFailureReason::watch_ended);
            return Progress::needs_input;
        }
    } else if (body_.size() > max_reply_bytes) {
        reject_long_reply();
        return Progress::needs_input;
    } else if (complete) {
        finish_reply();
    }
    return complete || used > 0 ? Progress::parsed : Progress::needs_input;
}

void RegistrySocket::finish_reply() {
    state_ = State::idle;
    body_reader_.reset();
    if (head_.close) close();
    const std::string text = std::exchange(body_, {});
    handler_->on_reply(head_.status, text);
}

// Each line is one message. A chunk may contain a part of a message or several messages. The handler may
// close this socket.
void RegistrySocket::deliver_messages() {
    std::size_t begin = 0;
    while (handler_) {
        const std::size_t end = body_.find('\n', begin);
        if (end == std::string::npos) break;
        if (end > begin) handler_->on_stream_message(std::string_view(body_).substr(begin, end - begin));
        begin = end + 1;
    }
    body_.erase(0, begin);
    if (handler_ && body_.size() > max_reply_bytes) handler_->on_message_too_long();
}

void RegistrySocket::reject_long_reply() {
    const auto alive = shared_from_this();
    detach()->on_reply_too_long();
}

void RegistrySocket::fail(RequestFailureReason reason) {
    const auto alive = shared_from_this();
    if (ReplyHandler* const handler = detach()) handler->on_request_failed({reason, {}});
}

ReplyHandler* RegistrySocket::detach() {
    ReplyHandler* const handler = std::exchange(handler_, nullptr);
    close();
    return handler;
}

}  // namespace irismux::registry
