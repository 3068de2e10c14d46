/// Constants of the Agent that more than one of its source files uses. Internal to it.
#pragma once

#include <cstddef>

namespace irismux::fleet {

/// Heartbeats of others that are read with each own one: some at random, and some more of members whose last
/// one is older than a heartbeat interval. In a fleet no larger than both together all are read.
constexpr std::size_t heartbeats_read_at_random = 4;
constexpr std::size_t max_overdue_heartbeats_read = 12;

/// How long each rank in a duty's order waits for the one before it.
constexpr double claim_delay_intervals_per_rank = 0.5;
/// The longest time until the agent wakes by itself.
constexpr double max_sleep_intervals = 0.25;
/// The pause after a transaction that failed or had no answer.
constexpr double retry_pause_intervals = 1.0 / 16;

}  // namespace irismux::fleet
