// Blocking requests to a registry, for the command line.
#pragma once

#include <Poco/Exception.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "registry/etcd_codec.hpp"
#include "registry/settings.hpp"

namespace Poco::Net {
class HTTPClientSession;
}

namespace irismux::cli {

/// An HTTP reply.
struct Reply {
    int status = 0;
    std::string body;
};

/// The request was sent, but there was no reply: the registry may or may not have carried out the request.
struct NoReply {};

/// The registry replied with an error, or its reply cannot be parsed.
class RegistryError : public std::runtime_error {
public:
    explicit RegistryError(const registry::etcd::Error& error) : std::runtime_error(error.message) {}
};

class RegistrySession {
public:
    /// `settings` must outlive the session.
    explicit RegistrySession(const registry::Settings& settings) : settings_(settings) {}

    /// Sends a request to one member after the other until a member replies. Use this function only for
    /// requests that may be sent more than once. Throws Poco::Exception if no member replies.
    [[nodiscard]] Reply request(const registry::etcd::Request& request);
    /// Sends a request once, to the first member that can be reached. Throws Poco::Exception if no member can
    /// be reached.
    [[nodiscard]] std::variant<Reply, NoReply> request_once(const registry::etcd::Request& request);

private:
    void authenticate(const registry::etcd::Request& request);
    Reply exchange(Poco::Net::HTTPClientSession& session, const registry::etcd::Request& request);

    const registry::Settings& settings_;
    std::string token_;
};

/// Returns the value; throws RegistryError if `result` is an error.
template <class T>
T value_or_throw(registry::etcd::ReadResult<T> result) {
    if (const auto* error = std::get_if<registry::etcd::Error>(&result)) throw RegistryError(*error);
    return std::get<T>(std::move(result));
}

/// Prints one line on standard error. Returns exit code 1.
int print_error(const std::string& message);

/// Returns the exit code of `run(session)`, or prints why the registry could not be queried and returns 1.
template <class Run>
int with_session(const registry::Settings& settings, Run run) {
    try {
        RegistrySession session(settings);
        return run(session);
    } catch (const Poco::Exception& e) {
        return print_error(e.displayText());
    } catch (const RegistryError& e) {
        return print_error(e.what());
    }
}

}  // namespace irismux::cli
