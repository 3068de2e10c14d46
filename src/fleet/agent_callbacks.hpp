/// Interfaces that an Agent needs from its environment: a transport for transactions and wake-ups, and an
/// observer of its leases and writes.
#pragma once

#include <vector>

#include "fleet/fleet_event.hpp"
#include "fleet/transaction.hpp"
#include "irismux/time.hpp"

namespace irismux::fleet {

/// Sends an Agent's transactions to the registry. A transport never delivers a result from within one of its
/// own functions.
class AgentTransport {
public:
    virtual ~AgentTransport() = default;
    /// Submits a transaction, which replaces the previous transaction. The result of the previous transaction
    /// must no longer be delivered.
    virtual void submit(const Transaction&) = 0;
    /// Schedules a call of Agent::on_wake() at time `at` of the agent's clock, in place of the call that was
    /// scheduled before.
    virtual void schedule_wake(TimePoint at) = 0;
};

/// Observer of an Agent's leases and writes. The observer's functions are called from within calls to the
/// Agent.
class AgentObserver {
public:
    virtual ~AgentObserver() = default;
    virtual void on_lease_state(const DutyName&, LeaseState, FencingToken) = 0;
    /// Reports the outcome of a write that Agent::write_fenced() has accepted.
    virtual void on_write_outcome(const DutyName&, const Key&, WriteOutcome) = 0;
    /// Reports an event for the log.
    virtual void on_event(const FleetEvent&) = 0;
    /// Reports a committed heartbeat: the time at which it was sent, its number, and the records that its
    /// transaction read.
    virtual void on_heartbeat_result(TimePoint, HeartbeatNumber, const std::vector<KeyValue>&) {}
    /// Reports that a reply has a lower revision than an earlier one: the registry was restored from a
    /// backup.
    virtual void on_registry_restored() {}
};

}  // namespace irismux::fleet
