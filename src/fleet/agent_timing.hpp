/// Constants that more than one source file of the Agent uses. Internal to the Agent.
#pragma once

#include <cstddef>

namespace irismux::fleet {

/// Number of other members' heartbeats that each heartbeat transaction reads: some chosen at random, and some
/// of members whose last heartbeat is older than a heartbeat interval. A fleet no larger than the sum of both
/// has all its heartbeats read.
constexpr std::size_t heartbeats_read_at_random = 4;
constexpr std::size_t max_overdue_heartbeats_read = 12;

/// Delay of a claim for each member that ranks before the claimant in the duty's order.
constexpr double claim_delay_intervals_per_rank = 0.5;
/// Longest time until the agent's next scheduled wake-up.
constexpr double max_sleep_intervals = 0.25;
/// Pause after a transaction that failed or had no reply.
constexpr double retry_pause_intervals = 1.0 / 16;

}  // namespace irismux::fleet
