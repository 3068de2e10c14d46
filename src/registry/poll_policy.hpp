// Timeouts, retry pauses and limits of a Watch.
#pragma once

#include <cstddef>

#include "irismux/time.hpp"

namespace irismux::registry {

struct PollPolicy {
    std::size_t members = 1;  ///< number of registry members
    /// The pause after a failure is drawn uniformly from zero to backoff_base * 2^n, where n is the number of
    /// consecutive failures before this failure.
    Duration backoff_base = Duration::micros(50'000);
    /// Upper limit of the pause after a failure.
    Duration backoff_cap = Duration::micros(5'000'000);
    /// If a registry member does not reply for this long, the Watch uses the next registry member.
    Duration reply_timeout = Duration::micros(1'000'000);
    /// An open watch counts as broken once it has delivered neither a change nor a progress notice for this
    /// long.
    Duration watch_timeout = Duration::micros(2'000'000);
    std::size_t max_records = 16'384;  ///< a longer list is rejected, and the present one stays
    /// Maximum number of changes of one revision that arrive in fragments. If there are more changes, all
    /// records are read again instead.
    std::size_t max_pending_changes = 16'384;
    int max_read_restarts = 4;  ///< consecutive restarts of the full read before a pause of backoff_cap
    bool operator==(const PollPolicy&) const = default;
};

}  // namespace irismux::registry
