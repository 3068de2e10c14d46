/// Functions of the gateway that its FleetClient calls.
#pragma once

#include "fleet/fleet_event.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux::fleet {

/// start_health_check() and postpone_recovery_probe() are never called from within a call to the FleetClient.
class GatewayCallbacks {
public:
    virtual ~GatewayCallbacks() = default;
    /// Starts a health check of the cache if the settings permit health checks. The outcome of the check is
    /// passed to FleetClient::on_health_check_done().
    /// @return false if health checks are not permitted.
    [[nodiscard]] virtual bool start_health_check(const CacheId&) = 0;
    /// Moves the router's own recovery probe of the ejected cache to time `at` of the event loop's clock.
    virtual void postpone_recovery_probe(const CacheId&, TimePoint at) = 0;
    /// Reports an event for the log. The FleetClient also calls this function from its constructor and from
    /// within calls to the FleetClient.
    virtual void on_fleet_event(const FleetEvent&) = 0;
};

}  // namespace irismux::fleet
