// When the events of the notice board happened, on the own steady clock. Each bears a time of the Unix clock,
// but any wall clock may be wrong by seconds or by an hour: the own one, which was read once at the start,
// and that of whoever wrote the event.
//
// - No event happens after it is told. So each purge shows how far, at least, its writer's clock is ahead of
// the
//   own one, and the most that was seen of that dates all others: as late as they can have been, which is
//   what a bound on copies needs.
// - News, told by a poll, are no older than the poll before. A time that says so shows that its writer's
// clock has
//   been stepped: what was seen of it is void.
// - History, told as a whole, may be of any age; there an event is no older than the own clock makes it,
// either.
// - Starts bear the clocks of caches. One that does not fit between the two polls counts as of now, so that
// the
//   cache is warmed slowly.
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
    // Starts that are remembered, so that one which is told again is the same one; at the bound the older
    // half is forgotten, and one of those would count as a start of the moment in which it is told again.
    static constexpr std::size_t max_starts = 16'384;

    // What is told from now on is history as it was known at `known_at`; `newest` is the newest time of a
    // purge in it, or else of a start; zero: none.
    void begin_history(TimePoint known_at, TimePoint newest);
    // What is told from now on is news, since a poll that was sent at `earliest` or later.
    void begin_news(TimePoint now, TimePoint earliest);

    // Of a purge whose event bears that time.
    TimePoint purge(TimePoint stamp);
    // Of a cache's start whose event bears that time; zero is zero: long ago.
    TimePoint start(const CacheId& cache, TimePoint stamp);

private:
    TimePoint dated(TimePoint stamp) const;
    TimePoint start_in_news(TimePoint stamp) const;
    void learn(TimePoint stamp);
    Duration least_ahead() const;
    void forget_older_half();

    bool history_ = true;
    TimePoint now_, earliest_;
    // By how much the writers' clock is ahead of the own one at least, and when that was seen; none: nothing
    // was.
    std::optional<Duration> ahead_;
    TimePoint ahead_seen_;
    struct Start {
        TimePoint stamp, at;
    };
    std::map<CacheId, Start> starts_;
};

}  // namespace irismux
