#include "registry/registry_connection.hpp"

#include <Poco/Exception.h>

#include <utility>
#include <variant>

#include "registry/registry_socket.hpp"

namespace irismux::registry {

RegistryConnection::RegistryConnection(EventLoop& loop, ReplyHandler& handler, const Settings& settings)
    : event_loop_(loop), reply_handler_(handler), settings_(settings) {}

RegistryConnection::~RegistryConnection() {
    if (socket_) socket_->close_silently();
}

void RegistryConnection::send_request(MemberIndex member, etcd::Request request, ReplyForm form) {
    failure_timer_.cancel();
    member_ = member;
    request_ = std::move(request);
    reply_form_ = form;
    phase_ = Phase::requesting;
    token_renewed_ = false;
    if (socket_ && (!socket_->idle() || socket_->member() != member_)) close_socket();
    write_request();
}

void RegistryConnection::close() {
    failure_timer_.cancel();
    if (socket_) close_socket();
    phase_ = Phase::idle;
}

void RegistryConnection::close_socket() {
    socket_->close_silently();
    socket_.reset();
}

void RegistryConnection::write_request() {
    const std::string& address = settings_.members[member_.raw()];
    if (!socket_ && !connect(address)) return;
    if (!settings_.user.empty() && token_.empty()) {
        phase_ = Phase::authenticating;
        return socket_->write_request(address, etcd::authenticate(settings_.user, settings_.password), {},
                                      ReplyForm::whole);
    }
    phase_ = Phase::requesting;
    socket_->write_request(address, request_, token_, reply_form_);
}

// Reports a failure in a later call from the event loop, since the handler must not be called from within a
// call that sends a request.
bool RegistryConnection::connect(const std::string& address) {
    ReplyHandler& replies = *this;
    socket_ = std::make_shared<RegistrySocket>(event_loop_, replies, member_);
    try {
        if (socket_->start(address)) return true;
    } catch (const Poco::Exception&) {
        // The failure is reported below, like the failure of any other connection that cannot be opened.
    }
    close_socket();
    failure_timer_ = ScopedTimer(event_loop_, event_loop_.now(), [this] {
        if (!socket_ && phase_ != Phase::idle)
            reply_handler_.on_request_failed({RequestFailureReason::connect_failed, {}});
    });
    return false;
}

void RegistryConnection::on_reply(int status, const std::string& body) {
    if (socket_ && socket_->state() == ConnectionState::closed) socket_.reset();
    if (phase_ != Phase::authenticating) return reply_handler_.on_reply(status, body);
    const auto token = etcd::read_token(status, body);
    if (const auto* error = std::get_if<etcd::Error>(&token))
        return reply_handler_.on_request_failed(
            {RequestFailureReason::authentication_failed, error->message});
    token_ = std::get<std::string>(token);
    write_request();
}

void RegistryConnection::on_stream_message(std::string_view message) {
    reply_handler_.on_stream_message(message);
}

void RegistryConnection::on_message_too_long() { reply_handler_.on_message_too_long(); }

void RegistryConnection::on_reply_too_long() {
    if (phase_ == Phase::authenticating)
        return reply_handler_.on_request_failed({RequestFailureReason::reply_too_long, {}});
    reply_handler_.on_reply_too_long();
}

void RegistryConnection::on_request_failed(const RequestFailure& failure) {
    reply_handler_.on_request_failed(failure);
}

bool RegistryConnection::retry_with_new_token() {
    if (settings_.user.empty() || token_renewed_) return false;
    token_renewed_ = true;
    token_.clear();
    if (socket_ && !socket_->idle()) close_socket();
    write_request();
    return true;
}

}  // namespace irismux::registry
