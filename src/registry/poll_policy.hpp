// Timeouts, pauses and limits of following a registry.
#pragma once

#include <cstddef>

#include "irismux/time.hpp"

namespace irismux::registry {

struct PollPolicy {
    std::size_t members = 1;  ///< of the registry
    /// The pause after the n-th failure in a row is drawn evenly from zero to backoff_base * 2^n ...
    Duration backoff_base = Duration::micros(50'000);
    /// ... and is never longer than this.
    Duration backoff_cap = Duration::micros(5'000'000);
    /// A member that has not replied by then is left for the next one.
    Duration reply_timeout = Duration::micros(1'000'000);
    /// An open watch that brings neither a change nor a progress notice for so long counts as broken.
    Duration watch_timeout = Duration::micros(2'000'000);
    std::size_t max_records = 16'384;          ///< a longer list is refused, and the present one stays
    std::size_t max_pending_changes = 16'384;  ///< of one revision in fragments; beyond: a full read
    int max_read_restarts = 4;                 ///< of full reads in a row before a pause of backoff_cap
    bool operator==(const PollPolicy&) const = default;
};

}  // namespace irismux::registry
