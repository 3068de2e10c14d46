#include "cli/registry_session.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <iostream>

namespace irismux::cli {

namespace etcd = registry::etcd;

int print_error(const std::string& message) {
    std::cerr << "irismux: registry: " << message << '\n';
    return 1;
}

Reply RegistrySession::request(const etcd::Request& request) {
    authenticate(request);
    std::string last_error = "no registry member can be reached";
    for (const std::string& address : settings_.members) {
        try {
            Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
            return exchange(session, request);
        } catch (const Poco::Exception& e) {
            last_error = address + ": " + e.displayText();
        }
    }
    throw Poco::ApplicationException(last_error);
}

std::variant<Reply, NoReply> RegistrySession::request_once(const etcd::Request& request) {
    authenticate(request);
    const Poco::Timespan timeout(settings_.poll_policy.reply_timeout.micros());
    std::string last_error = "no registry member can be reached";
    for (const std::string& address : settings_.members) {
        Poco::Net::StreamSocket socket;
        try {
            socket.connect(Poco::Net::SocketAddress(address), timeout);
        } catch (const Poco::Exception& e) {
            last_error = address + ": " + e.displayText();
            continue;
        }
        // HTTPClientSession sets no timeouts on a socket that is passed to it.
        socket.setReceiveTimeout(timeout);
        socket.setSendTimeout(timeout);
        Poco::Net::HTTPClientSession session(socket);
        try {
            return exchange(session, request);
        } catch (const Poco::Exception&) {
            return NoReply{};
        }
    }
    throw Poco::ApplicationException(last_error);
}

void RegistrySession::authenticate(const etcd::Request& request) {
    const bool needs_token = !settings_.user.empty() && token_.empty();
    if (!needs_token || request.target == "/v3/auth/authenticate") return;
    const Reply reply = this->request(etcd::authenticate(settings_.user, settings_.password));
    auto token = etcd::read_token(reply.status, reply.body);
    if (const auto* error = std::get_if<etcd::Error>(&token))
        throw Poco::ApplicationException(error->message);
    token_ = std::get<std::string>(std::move(token));
}

Reply RegistrySession::exchange(Poco::Net::HTTPClientSession& session, const etcd::Request& request) {
    session.setTimeout(Poco::Timespan(settings_.poll_policy.reply_timeout.micros()));
    Poco::Net::HTTPRequest http_request(Poco::Net::HTTPRequest::HTTP_POST, request.target, "HTTP/1.1");
    http_request.setContentType("application/json");
    http_request.setContentLength(static_cast<std::streamsize>(request.body.size()));
    if (!token_.empty()) http_request.set("Authorization", token_);
    session.sendRequest(http_request) << request.body;
    Poco::Net::HTTPResponse http_response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(http_response), body);
    return {http_response.getStatus(), body};
}

}  // namespace irismux::cli
