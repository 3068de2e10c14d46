// When the events of the notice board happened, on this process's steady clock. Each bears a time of the Unix
// clock, but any wall clock may be wrong by seconds or by an hour: this process's, which was read once at the
// start, and that of whoever wrote the event.
//
// - No event is received before it has happened. So each purge shows by how much, at least, its writer's
//   clock is ahead of this one. The most that was seen of that dates all others: as late as they can have
//   happened, which is what a bound on copies needs.
// - News, received by a poll, are no older than the poll before. A time that contradicts that shows that its
//   writer's clock has been stepped, and what was seen of it does not count any more.
// - History, received as a whole, may be of any age; there an event is no older than this clock makes it.
// - Starts bear the clocks of caches. One that does not fit between the two polls counts as of now, so the
//   cache gets a slow start.
//
// Without I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

class EventTimeEstimator {
public:
    /// Starts that are remembered, so that one which is announced again is the same one. At this size the
    /// older half is forgotten; one of those would count as a start of the moment in which it is announced
    /// again.
    static constexpr std::size_t max_starts = 16'384;

    /// Events from now on are history as it was known at `known_at`.
    /// @param newest the newest time of a purge in it, or else of a start; zero: there is none.
    void begin_history(TimePoint known_at, TimePoint newest);
    /// Events from now on have happened since `earliest`, when the poll before was sent.
    void begin_live(TimePoint now, TimePoint earliest);

    /// The latest time at which a purge can have happened whose event bears `timestamp`.
    [[nodiscard]] TimePoint purge_time(TimePoint timestamp);
    /// The time of a cache's start whose event bears `timestamp`. Zero stays zero: long ago.
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
    // By how much the writers' clock is ahead of this one at least, and when that was seen; none: nothing
    // was.
    std::optional<Duration> clock_offset_;
    TimePoint clock_offset_seen_at_;
    std::map<CacheId, Start> starts_;
};

}  // namespace irismux
