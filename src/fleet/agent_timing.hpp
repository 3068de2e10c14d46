/// Constants of the Agent that more than one of its source files uses. Internal to it.
#pragma once

#include <cstddef>

namespace irismux::fleet {

/// Heartbeats of others that are read with each own one: so many at random, and at most so many more of
/// members whose last one is older than a round. All are read in a fleet that is no larger than both
/// together.
constexpr std::size_t heartbeats_read_at_random = 4;
constexpr std::size_t most_overdue_heartbeats_read = 12;

/// Parts of a round (a quarter of a term):
/// for how long each rank in a duty's order waits for the one before it
constexpr double claim_delay_per_rank = 0.5;
/// the longest time until the agent wakes by itself
constexpr double longest_sleep = 0.25;
/// the pause after a transaction that failed or had no answer
constexpr double retry_pause = 1.0 / 16;

}  // namespace irismux::fleet
