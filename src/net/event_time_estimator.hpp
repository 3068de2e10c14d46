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
    void begin_news(TimePoint now, TimePoint earliest);

    /// The latest time at which a purge can have happened whose event bears `stamp`.
    [[nodiscard]] TimePoint purge(TimePoint stamp);
    /// The time of a cache's start whose event bears `stamp`. Zero stays zero: long ago.
    [[nodiscard]] TimePoint start(const CacheId& cache, TimePoint stamp);

private:
    enum class Period { history, news };
    struct Start {
        TimePoint stamp, at;
    };

    [[nodiscard]] TimePoint latest_time(TimePoint stamp) const;
    [[nodiscard]] TimePoint start_in_history(TimePoint stamp) const;
    [[nodiscard]] TimePoint start_in_news(TimePoint stamp) const;
    void learn_lead(TimePoint stamp);
    [[nodiscard]] Duration min_lead() const;
    void forget_older_half();

    Period period_ = Period::history;
    TimePoint now_, earliest_;
    // By how much the writers' clock is ahead of this one at least, and when that was seen; none: nothing
    // was.
    std::optional<Duration> lead_;
    TimePoint lead_seen_at_;
    std::map<CacheId, Start> starts_;
};

}  // namespace irismux
