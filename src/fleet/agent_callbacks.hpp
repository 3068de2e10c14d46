/// What an Agent needs of whoever carries it: transactions, wake-ups, and who is told about its leases.
#pragma once

#include <vector>

#include "fleet/fleet_event.hpp"
#include "fleet/transaction.hpp"
#include "irismux/time.hpp"

namespace irismux::fleet {

/// Carries an Agent's transactions to the registry. Results are never delivered from within a call.
class AgentTransport {
public:
    virtual ~AgentTransport() = default;
    /// Replaces the transaction before, whose result must not be delivered any more.
    virtual void submit(const Transaction&) = 0;
    /// Calls Agent::on_wake() at that time of the agent's clock; replaces the time before.
    virtual void schedule_wake(TimePoint at) = 0;
};

/// Who is told about an Agent's leases and writes; called from within calls to the Agent.
class AgentObserver {
public:
    virtual ~AgentObserver() = default;
    virtual void on_lease_state(const DutyName&, LeaseState, FencingToken) = 0;
    /// Of a write that Agent::write_fenced() has accepted.
    virtual void on_write_outcome(const DutyName&, const Key&, WriteOutcome) = 0;
    /// For the log.
    virtual void on_event(const FleetEvent&) = 0;
    /// A heartbeat has landed: when it was sent, its number, and the records that its transaction read.
    virtual void on_heartbeat_result(TimePoint, HeartbeatNumber, const std::vector<KeyValue>&) {}
    /// An answer is of a lower revision than one before: the registry was restored from a backup.
    virtual void on_registry_restored() {}
};

}  // namespace irismux::fleet
