// Shuts the process down after SIGTERM. The states and the conditions of their transitions:
//
//   none -> draining     begin() is called; requests are still admitted, and every request is answered
//                        by answer_deadline_
//   draining -> closing  no more requests can arrive and all are answered, or close_at_ is reached
//   closing -> stopped   all client connections are closed, or stop_at_ is reached
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
    /// @param longest_deadline the longest deadline of any object kind.
    Shutdown(EventLoop& loop, RequestDispatcher& dispatcher, FastCgiServer& server,
             CacheConnectionPool& cache_connections, FleetParticipation& fleet, Duration longest_deadline);

    /// Begins the shutdown. The event loop is stopped when the shutdown is complete. Further calls do
    /// nothing.
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
    TimePoint accepts_until_;    // clients may send requests until this time
    TimePoint answer_deadline_;  // deadline of every request that is pending or arrives while draining
    TimePoint close_at_;         // client connections are closed at this time, even if requests are pending
    TimePoint stop_at_;          // the event loop is stopped at this time, even if connections are open
};

}  // namespace irismux
