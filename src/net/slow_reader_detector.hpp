// Detects clients that read their responses too slowly. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "irismux/time.hpp"

namespace irismux {

/// How many bytes a socket had taken at one time.
struct WriteProgress {
    std::uint64_t written_bytes = 0;  ///< counted since the connection began
    TimePoint at;
};

/// The output of one client connection at one time.
struct PendingOutput {
    std::uint64_t connection = 0;     ///< identifies the connection; never reused
    std::size_t unsent_bytes = 0;     ///< bytes that the socket has not taken yet
    std::uint64_t written_bytes = 0;  ///< bytes that the socket has taken since the connection began
    /// The write from which the client's pace is measured: the first one that left output behind, or a later
    /// one for which the client had made room for more than the process could write before. std::nullopt if
    /// no write has left output behind.
    std::optional<WriteProgress> blocked_from;
    /// Time of the first write since which the socket has not taken all of the output.
    TimePoint blocked_since;
};

/// Measures the pace at which each client reads, over the last 200 to 400 ms. Only time in which the socket
/// had no room for the output counts. Output that no write was tried for says nothing about its client.
class SlowReaderDetector {
public:
    /// Minimum time over which the pace of a client is measured.
    static constexpr Duration min_measured_time = Duration::micros(200'000);
    /// Maximum time between two calls of sample(). After a longer time, in which the process stood still and
    /// wrote nothing, all measurements begin anew.
    static constexpr Duration max_sample_interval = Duration::micros(300'000);

    /// @param max_read_time a client that would need longer than this for its unsent responses is slow.
    explicit SlowReaderDetector(Duration max_read_time) : max_read_time_(max_read_time) {}

    /// Records the state of all connections with unsent output. A connection that is left out has none.
    void sample(const std::vector<PendingOutput>& outputs, TimePoint now);
    /// Whether the client of a connection reads so slowly that, at its recent pace, its unsent output would
    /// take longer than max_read_time, or whether its output has been blocked for longer than that. False if
    /// the pace has not been measured for long enough.
    [[nodiscard]] bool is_slow(const PendingOutput& output, TimePoint now) const;

private:
    struct Measurement {
        WriteProgress from;  // the pace is measured from here
        WriteProgress next;  // replaces `from` as soon as it is old enough
    };

    [[nodiscard]] Measurement begin(const PendingOutput& output) const;

    Duration max_read_time_;
    TimePoint sampled_at_;
    TimePoint resumed_at_;  // end of the last time in which the process stood still
    std::map<std::uint64_t, Measurement> measurements_;  // by connection; only connections that are blocked
};

}  // namespace irismux
