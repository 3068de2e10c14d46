// The end of the process after SIGTERM: which state it is in, when it goes on to the next, and what it waits
// for.
//
//   none -> draining     begin(): requests are still admitted and answered, by a deadline
//   draining -> closing  nothing more can come and all is answered, or the last moment has come
//   closing -> stopped   every client connection is closed, or the grace for that is over
#pragma once

#include "gateway/fleet_participation.hpp"
#include "gateway/request_dispatcher.hpp"
#include "irismux/time.hpp"
#include "net/cache_connection_pool.hpp"
#include "net/event_loop.hpp"
#include "net/fastcgi_server.hpp"

namespace irismux {

class Shutdown {
public:
    /// All references must outlive this object.
    /// @param longest_deadline of any object kind.
    Shutdown(EventLoop& loop, RequestDispatcher& dispatcher, FastCgiServer& server,
             CacheConnectionPool& cache_connections, FleetParticipation& fleet, Duration longest_deadline);

    /// Ignored once it has begun. Stops the loop when it is through.
    void begin();
    [[nodiscard]] bool has_begun() const { return state_ != State::none; }

private:
    enum class State { none, draining, closing, stopped };

    void check_progress();
    void finish_draining_if_due(TimePoint now);
    void finish_closing_if_due(TimePoint now);
    bool all_answered() const;

    EventLoop& event_loop_;
    RequestDispatcher& dispatcher_;
    FastCgiServer& server_;
    CacheConnectionPool& cache_connections_;
    FleetParticipation& fleet_;
    Duration longest_deadline_;
    State state_ = State::none;
    ScopedTimer check_timer_;
    TimePoint accepts_until_;    // clients may send requests up to then
    TimePoint answer_deadline_;  // of every request that is pending or comes while draining
    TimePoint close_at_;         // connections are closed then, whatever is pending
    TimePoint stop_at_;          // the loop stops then, whatever is open
};

}  // namespace irismux
