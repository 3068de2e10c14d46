// Opens the listener for clients once the fleet permits it, and tries again while that fails for a moment.
#pragma once

#include <optional>
#include <string>

#include "gateway/fleet_participation.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {

/// The listener could not be opened in time, so the process ends.
struct ListenFailure {
    std::string address;
    std::string reason;  ///< what the system said the last time

    [[nodiscard]] std::string text() const { return "cannot listen on " + address + ": " + reason; }
};

class ListenerStart {
public:
    /// All references must outlive this object.
    ListenerStart(EventLoop& loop, FastCgiServer& server, const FleetParticipation& fleet,
                  std::string gateway_name, std::string address);
    ListenerStart(const ListenerStart&) = delete;
    ListenerStart& operator=(const ListenerStart&) = delete;

    /// Begins to try. If no listener can be had for too long, the loop is stopped and failure() says why.
    void start();
    /// Tries now: the fleet may permit it by now.
    void try_now();
    /// Does not open the listener any more.
    void give_up();
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
