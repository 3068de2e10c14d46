// Estimates when the events of the notice board happened, on this process's steady clock. Each event has a
// timestamp of its writer's Unix clock. All writers are treated as if they shared one clock. Any wall clock
// may be wrong by seconds or by an hour. This applies to the writers' clock and also to this process's wall
// clock, which was read once at the start.
//
// - No event is received before it has happened. The timestamp of each purge therefore yields a lower bound
//   of the offset by which the writers' clock is ahead of this process's clock. The largest of these lower
//   bounds is subtracted from the timestamp of every event, whoever wrote the event. The difference is the
//   latest time at which the event can have happened, which is needed to bound the age of copies.
// - Live events, received by a poll, are not older than the previous poll. A timestamp of an earlier time
//   shows that its writer's clock has been stepped back, and the offset measured so far is discarded.
// - The history of the notice board is received as a whole, and its events may have happened at any earlier
//   time. The estimated time of such an event is at least the event's timestamp, taken as a time of this
//   process's clock without a correction. It is at most the time at which the history was received.
// - The start times of caches come from the caches' clocks. If the start time in a live event does not fit
//   between the previous poll and the current time, the current time is used as the start time, so that the
//   cache gets a slow start.
//
// Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class EventTimeEstimator {
public:
    /// Maximum number of cache starts whose estimated times are stored, so that a start keeps its estimated
    /// time when a later event reports this start again. When this many starts are stored, the older half is
    /// discarded. If a later event reports a discarded start again, the time of the later event is used as
    /// the start time.
    static constexpr std::size_t max_starts = 16'384;

    /// Begins a period whose events belong to the history, which had happened by `known_at`.
    /// @param newest the newest timestamp of a purge in the history, or of a cache's start if there is no
    /// purge; zero if there is neither.
    void begin_history(TimePoint known_at, TimePoint newest);
    /// Begins a period whose events have happened since `earliest`, the time at which the previous poll was
    /// sent.
    void begin_live(TimePoint now, TimePoint earliest);

    /// @return the latest time at which a purge whose event has this timestamp can have happened
    [[nodiscard]] TimePoint purge_time(TimePoint timestamp);
    /// @return the estimated time of a cache's start whose event has this timestamp. Zero, which means long
    /// ago, stays zero.
    [[nodiscard]] TimePoint start_time(const CacheId& cache, TimePoint timestamp);

private:
    enum class Period { history, live };
    struct Start {
        TimePoint timestamp, at;
    };

    [[nodiscard]] TimePoint latest_time(TimePoint timestamp) const;
    [[nodiscard]] TimePoint historical_start(TimePoint timestamp) const;
    [[nodiscard]] TimePoint live_start(TimePoint timestamp) const;
    void update_clock_offset(TimePoint timestamp);
    [[nodiscard]] Duration min_clock_offset() const;
    void forget_older_half();

    Period period_ = Period::history;
    TimePoint now_, earliest_;
    // Largest lower bound found so far of the offset by which the writers' clock is ahead of this process's
    // clock. std::nullopt if no lower bound is known.
    std::optional<Duration> clock_offset_;
    TimePoint clock_offset_seen_at_;  // time at which clock_offset_ was found
    std::map<CacheId, Start> starts_;
};

}  // namespace irismux
