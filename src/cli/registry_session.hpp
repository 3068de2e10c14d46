// A registry asked by hand: one answer after the other, waited for.
#pragma once

#include <Poco/Exception.h>

#include <optional>
#include <string>
#include <utility>

#include "registry/etcd_codec.hpp"
#include "registry/settings.hpp"

namespace Poco::Net {
class HTTPClientSession;
}

namespace irismux::cli {

class RegistrySession {
public:
    // The settings must outlive it.
    explicit RegistrySession(const registry::Settings& settings) : settings_(settings) {}

    // From the first member that takes connections. Throws Poco::Exception where none can be reached.
    std::pair<int, std::string> request(const registry::etcd::Request& request);
    // As ask(), for what must not be sent twice: none where it went out and no answer came, which says
    // neither that it was done nor that it was not.
    std::optional<std::pair<int, std::string>> request_once(const registry::etcd::Request& request);

private:
    void authenticate(const registry::etcd::Request& request);
    std::pair<int, std::string> exchange(Poco::Net::HTTPClientSession& session,
                                         const registry::etcd::Request& request);

    const registry::Settings& settings_;
    std::string token_;
};

// One line on standard error, and the exit code that goes with it.
int print_error(const std::string& why);

// What the step returns, or that no member was reached.
template <class Step>
int with_session(const registry::Settings& settings, Step step) {
    try {
        RegistrySession talk(settings);
        return step(talk);
    } catch (const Poco::Exception& e) {
        return print_error(e.displayText());
    }
}

}  // namespace irismux::cli
