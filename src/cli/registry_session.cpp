#include "cli/registry_session.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <iostream>

namespace irismux::cli {

namespace etcd = registry::etcd;

int print_error(const std::string& why) {
    std::cerr << "irismux: registry: " << why << '\n';
    return 1;
}

std::pair<int, std::string> RegistrySession::request(const etcd::Request& request) {
    authenticate(request);
    std::string last = "no member can be reached";
    for (const std::string& address : settings_.members) try {
            Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
            return exchange(session, request);
        } catch (const Poco::Exception& e) {
            last = address + ": " + e.displayText();
        }
    throw Poco::ApplicationException(last);
}

std::optional<std::pair<int, std::string>> RegistrySession::request_once(const etcd::Request& request) {
    authenticate(request);
    std::string last = "no member can be reached";
    for (const std::string& address : settings_.members) {
        Poco::Net::StreamSocket socket;
        try {
            socket.connect(Poco::Net::SocketAddress(address),
                           Poco::Timespan(settings_.poll_policy.reply_timeout.micros()));
        } catch (const Poco::Exception& e) {
            last = address + ": " + e.displayText();
            continue;
        }
        // A session that is given its socket sets no times on it.
        socket.setReceiveTimeout(Poco::Timespan(settings_.poll_policy.reply_timeout.micros()));
        socket.setSendTimeout(Poco::Timespan(settings_.poll_policy.reply_timeout.micros()));
        Poco::Net::HTTPClientSession session(socket);
        try {
            return exchange(session, request);
        } catch (const Poco::Exception&) {
            return std::nullopt;
        }
    }
    throw Poco::ApplicationException(last);
}

void RegistrySession::authenticate(const etcd::Request& request) {
    if (settings_.user.empty() || !token_.empty() || request.target == "/v3/auth/authenticate") return;
    const auto [status, body] = this->request(etcd::authenticate(settings_.user, settings_.password));
    const auto read = etcd::read_token(status, body);
    if (const auto* token = std::get_if<std::string>(&read))
        token_ = *token;
    else
        throw Poco::ApplicationException(std::get<etcd::Error>(read).message);
}

std::pair<int, std::string> RegistrySession::exchange(Poco::Net::HTTPClientSession& session,
                                                      const etcd::Request& request) {
    session.setTimeout(Poco::Timespan(settings_.poll_policy.reply_timeout.micros()));
    Poco::Net::HTTPRequest out(Poco::Net::HTTPRequest::HTTP_POST, request.target, "HTTP/1.1");
    out.setContentType("application/json");
    out.setContentLength(static_cast<std::streamsize>(request.body.size()));
    if (!token_.empty()) out.set("Authorization", token_);
    session.sendRequest(out) << request.body;
    Poco::Net::HTTPResponse in;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(in), body);
    return {in.getStatus(), body};
}

}  // namespace irismux::cli
