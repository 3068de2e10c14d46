// Opens the listener for clients once the fleet permits the gateway to serve. If the listener cannot be
// opened, retries for a limited time.
#pragma once

#include <optional>
#include <string>

#include "gateway/fleet_participation.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {

/// Describes why the listener could not be opened in time. The process ends in this case.
struct ListenFailure {
    std::string address;
    std::string reason;  ///< the system's error message of the last attempt

    [[nodiscard]] std::string text() const { return "cannot listen on " + address + ": " + reason; }
};

class ListenerStart {
public:
    /// All references must outlive this object.
    ListenerStart(EventLoop& loop, FastCgiServer& server, const FleetParticipation& fleet,
                  std::string gateway_name, std::string address);
    ListenerStart(const ListenerStart&) = delete;
    ListenerStart& operator=(const ListenerStart&) = delete;

    /// Starts trying to open the listener. A failed attempt is repeated. If an attempt fails 8 s or more
    /// after this call, it is not repeated; this object then stops the event loop and sets failure().
    void start();
    /// Tries to open the listener now. Call this function when the fleet may have begun to permit the gateway
    /// to serve.
    void try_now();
    /// Stops trying to open the listener.
    void give_up();
    /// The failure that made this object stop the event loop, if there was one.
    [[nodiscard]] const std::optional<ListenFailure>& failure() const { return failure_; }

private:
    void try_at(TimePoint due);
    void on_listen_failed(const std::string& reason);

    EventLoop& event_loop_;
    FastCgiServer& server_;
    const FleetParticipation& fleet_;
    std::string gateway_name_;
    std::string address_;
    ScopedTimer retry_timer_;
    TimePoint give_up_at_;
    bool given_up_ = false;
    bool failure_logged_ = false;
    std::optional<ListenFailure> failure_;
};

}  // namespace irismux
