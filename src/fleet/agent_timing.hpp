/// Constants that more than one source file of the Agent uses. Internal to the Agent.
#pragma once

#include <cstddef>

namespace irismux::fleet {

/// Each heartbeat transaction reads heartbeats of other members: of `heartbeats_read_at_random` members that
/// are chosen at random, and of at most `max_overdue_heartbeats_read` members whose last heartbeat is older
/// than a heartbeat interval. If there are no more other members than the sum of the two numbers, each
/// transaction reads the heartbeats of all other members.
constexpr std::size_t heartbeats_read_at_random = 4;
constexpr std::size_t max_overdue_heartbeats_read = 12;

/// Delay of a claim, in heartbeat intervals, for each member that ranks before the claimant in the duty's
/// order.
constexpr double claim_delay_intervals_per_rank = 0.5;
/// Longest time until the agent's next scheduled wake-up, in heartbeat intervals.
constexpr double max_sleep_intervals = 0.25;
/// Pause, in heartbeat intervals, after a transaction that failed or had no reply.
constexpr double retry_pause_intervals = 1.0 / 16;

}  // namespace irismux::fleet
