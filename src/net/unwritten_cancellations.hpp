// The cancellations on a connection that the socket has not taken yet. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "irismux/time.hpp"

namespace irismux {

class UnwrittenCancellations {
public:
    /// @param end position behind the cancellation in the stream of all bytes written to the connection.
    /// @param due the time until which the cancellation may wait for room in the socket. Not earlier than
    /// that of an earlier cancellation.
    void add(std::uint64_t end, TimePoint due) { cancellations_.push_back({end, due}); }
    /// Removes the cancellations that have been written completely.
    void remove_written(std::uint64_t bytes_written) {
        while (!cancellations_.empty() && cancellations_.front().end <= bytes_written)
            cancellations_.pop_front();
    }
    /// The time until which the first cancellation may wait. std::nullopt if all have been written.
    [[nodiscard]] std::optional<TimePoint> due() const {
        if (cancellations_.empty()) return std::nullopt;
        return cancellations_.front().due;
    }

private:
    struct Cancellation {
        std::uint64_t end;
        TimePoint due;
    };
    std::deque<Cancellation> cancellations_;  // at most one for each stream of the connection
};

}  // namespace irismux
