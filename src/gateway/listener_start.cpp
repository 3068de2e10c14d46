#include "gateway/listener_start.hpp"

#include <Poco/Net/SocketAddress.h>

#include <utility>
#include <variant>

#include "base/log.hpp"

namespace irismux {
namespace {

// Time after start() from which on a failed attempt to open the listener is not repeated. The platform
// expects a gateway to be ready 10 s after its start.
constexpr Duration max_start_time = Duration::micros(8'000'000);
constexpr Duration retry_interval = Duration::micros(50'000);

}  // namespace

ListenerStart::ListenerStart(EventLoop& loop, FastCgiServer& server, const FleetParticipation& fleet,
                             std::string gateway_name, std::string address)
    : event_loop_(loop),
      server_(server),
      fleet_(fleet),
      gateway_name_(std::move(gateway_name)),
      address_(std::move(address)) {}

void ListenerStart::start() {
    give_up_at_ = event_loop_.now() + max_start_time;
    try_now();
}

void ListenerStart::try_now() {
    retry_timer_.cancel();
    if (server_.listening() || given_up_) return;
    if (!fleet_.may_serve()) return try_at(fleet_.may_serve_from());
    const ListenResult result = server_.listen(Poco::Net::SocketAddress(address_));
    if (const auto* error = std::get_if<ListenError>(&result)) return on_listen_failed(error->message);
    log::event(log::Level::info, "listening", {{"gateway", gateway_name_}, {"address", address_}});
}

void ListenerStart::try_at(TimePoint due) {
    retry_timer_ = ScopedTimer(event_loop_, due, [this] { try_now(); });
}

// Tries again after a pause, because the previous process may still use the address, or because the file
// descriptors may be temporarily exhausted.
void ListenerStart::on_listen_failed(const std::string& reason) {
    const TimePoint now = event_loop_.now();
    if (now >= give_up_at_) {
        failure_ = ListenFailure{address_, reason};
        event_loop_.stop();
        return;
    }
    if (!failure_logged_)
        log::event(log::Level::warning, "listen_failed", {{"reason", reason}, {"address", address_}});
    failure_logged_ = true;
    try_at(now + retry_interval);
}

void ListenerStart::give_up() { given_up_ = true; }

}  // namespace irismux
