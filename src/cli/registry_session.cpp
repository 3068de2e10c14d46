#include "cli/registry_session.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <iostream>

namespace irismux::cli {

namespace etcd = registry::etcd;

int wrong(const std::string& why) {
    std::cerr << "irismux: registry: " << why << '\n';
    return 1;
}

std::pair<int, std::string> Talk::ask(const etcd::Request& request) {
    log_in(request);
    std::string last = "no member can be reached";
    for (const std::string& address : settings_.members) try {
            Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
            return exchange(session, request);
        } catch (const Poco::Exception& e) {
            last = address + ": " + e.displayText();
        }
    throw Poco::ApplicationException(last);
}

std::optional<std::pair<int, std::string>> Talk::ask_once(const etcd::Request& request) {
    log_in(request);
    std::string last = "no member can be reached";
    for (const std::string& address : settings_.members) {
        Poco::Net::StreamSocket socket;
        try {
            socket.connect(Poco::Net::SocketAddress(address),
                           Poco::Timespan(settings_.pace.answer_in.micros()));
        } catch (const Poco::Exception& e) {
            last = address + ": " + e.displayText();
            continue;
        }
        // A session that is given its socket sets no times on it.
        socket.setReceiveTimeout(Poco::Timespan(settings_.pace.answer_in.micros()));
        socket.setSendTimeout(Poco::Timespan(settings_.pace.answer_in.micros()));
        Poco::Net::HTTPClientSession session(socket);
        try {
            return exchange(session, request);
        } catch (const Poco::Exception&) {
            return std::nullopt;
        }
    }
    throw Poco::ApplicationException(last);
}

void Talk::log_in(const etcd::Request& request) {
    if (settings_.user.empty() || !token_.empty() || request.target == "/v3/auth/authenticate") return;
    const auto [status, body] = ask(etcd::authenticate(settings_.user, settings_.password));
    const auto read = etcd::read_token(status, body);
    if (const auto* token = std::get_if<std::string>(&read))
        token_ = *token;
    else
        throw Poco::ApplicationException(std::get<etcd::Problem>(read).words);
}

std::pair<int, std::string> Talk::exchange(Poco::Net::HTTPClientSession& session,
                                           const etcd::Request& request) {
    session.setTimeout(Poco::Timespan(settings_.pace.answer_in.micros()));
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
