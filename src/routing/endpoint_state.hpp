// What the router knows of one endpoint: a cache of this location, a parent, or the origin.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "irismux/endpoint.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"
#include "routing/adaptive_limit.hpp"
#include "routing/windowed_sum.hpp"

namespace irismux::routing {

enum class EndpointRole {
    edge,           ///< a cache of this gateway's location
    parent,         ///< a parent cache, of any location
    origin,         ///< the origin
    other_location  ///< a cache of another location; never used
};

enum class EjectionState {
    admitted,  ///< takes traffic
    ejected,   ///< passed over until its recovery probe
    probing    ///< ejected, and its recovery probe is in flight
};

/// Kept by OutlierDetector.
struct EndpointHealth {
    EjectionState ejection = EjectionState::admitted;
    TimePoint next_probe_at;
    TimePoint backoff_ends_at;       ///< as next_probe_at, but never postponed by another gateway
    int consecutive_ejections = 0;   ///< doubles the backoff
    TimePoint last_seen;             ///< the last response of its process
    Duration mean_response_gap;      ///< between responses while attempts are in flight
    double error_share = 0;          ///< of recent results
    double lost_share = 0;           ///< of recent attempts: no response, though later ones had one
    TimePoint loses_attempts_until;  ///< until then it counts as an endpoint that loses attempts

    [[nodiscard]] bool ejected() const { return ejection != EjectionState::admitted; }
    [[nodiscard]] bool recovery_probe_in_flight() const { return ejection == EjectionState::probing; }
};

/// Kept by Congestion.
struct EndpointLoad {
    int in_flight = 0;         ///< attempts at this cache, or with this fill source
    int late = 0;              ///< those at this cache that are past their latency limit
    TimePoint busy_since;      ///< attempts have been in flight without a break since then
    double observed_load = 1;  ///< load that its hits show, in transfers for each that fits its link
    TimePoint observed_at;     ///< zero: never
};

/// Kept by SlowStartPolicy.
struct EndpointWarmUp {
    static constexpr std::size_t sent_time_window_parts = 8;

    std::optional<TimePoint> warming_up_since;
    TimePoint start_detected_at;      ///< when the router learnt of the start
    bool refused_while_idle = false;  ///< it has stopped; the next response comes from a new process
    double budget = 0;                ///< seconds of transfer time that may be sent to it
    TimePoint accrued_until;          ///< the budget is computed up to then
    double required_share = 1;        ///< of a request's transfer time that the budget must hold
    WindowedSum<sent_time_window_parts>
        sent_transfer_time;  ///< seconds of transfer time, over the overload window
};

struct EndpointState {
    CacheId id;
    std::uint64_t rendezvous_key = 0;
    std::uint64_t rendezvous_score = 0;  ///< for the object ranked last

    // As the endpoint list has it.
    EndpointRole role = EndpointRole::other_location;
    CellId cell;
    double weight = 1;
    EndpointStatus status = EndpointStatus::removed;
    TimePoint started_at;
    TimePoint listed_at;  ///< when the list named it last

    EndpointHealth health;
    EndpointLoad load;
    EndpointWarmUp warm_up;
    AdaptiveLimit
        fill_limit;  ///< of fills with this source; cut by late and failed ones (FillSourceSelection)

    [[nodiscard]] bool active() const { return status == EndpointStatus::active; }
};

}  // namespace irismux::routing
