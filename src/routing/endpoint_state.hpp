// The router's state of one endpoint: a cache, a parent or the origin.
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
    parent,         ///< a parent cache of any location
    origin,         ///< the origin
    other_location  ///< a cache of another location; never selected
};

enum class EjectionState {
    admitted,  ///< receives traffic
    ejected,   ///< skipped until its recovery probe is due
    probing    ///< ejected, and its recovery probe is in flight
};

/// Health of an endpoint, maintained by OutlierDetector.
struct EndpointHealth {
    EjectionState ejection = EjectionState::admitted;
    TimePoint next_probe_at;
    TimePoint backoff_ends_at;      ///< next_probe_at before any postponement by another gateway
    int consecutive_ejections = 0;  ///< each consecutive ejection doubles the backoff
    TimePoint last_seen;            ///< time of the last response of the endpoint's process
    Duration mean_response_gap;     ///< mean time between responses while attempts are in flight
    double error_share = 0;         ///< share of errors in recent results
    /// Share of recent attempts that got no response although later attempts got a response.
    double lost_share = 0;
    TimePoint loses_attempts_until;  ///< the endpoint is treated as losing attempts until this time

    [[nodiscard]] bool ejected() const { return ejection != EjectionState::admitted; }
    [[nodiscard]] bool recovery_probe_in_flight() const { return ejection == EjectionState::probing; }
};

/// Load of an endpoint, maintained by Congestion.
struct EndpointLoad {
    int in_flight = 0;     ///< attempts in flight at this cache or with this fill source
    int late = 0;          ///< attempts at this cache that are past their latency limit
    TimePoint busy_since;  ///< start of the period in which attempts have been in flight without a break
    /// Load estimated from the latency of hits, as a multiple of the number of concurrent transfers that the
    /// cache's link carries.
    double observed_load = 1;
    TimePoint observed_at;  ///< time of the last estimate; zero: no estimate yet
};

/// Slow-start state of an endpoint, maintained by SlowStartPolicy.
struct EndpointWarmUp {
    static constexpr std::size_t sent_time_window_parts = 8;

    std::optional<TimePoint> warming_up_since;
    TimePoint start_detected_at;  ///< time at which the router detected the start of the process
    /// A connection was refused while no attempt was in flight, so the process has stopped. The next response
    /// comes from a new process.
    bool refused_while_idle = false;
    double budget = 0;          ///< transfer time of the requests that may be sent, in seconds
    TimePoint accrued_until;    ///< time up to which the budget has been accrued
    double required_share = 1;  ///< share of a request's transfer time that the budget must cover
    WindowedSum<sent_time_window_parts> sent_transfer_time;  ///< in seconds, over the overload window
};

struct EndpointState {
    CacheId id;
    std::uint64_t rendezvous_key = 0;
    std::uint64_t rendezvous_score = 0;  ///< score for the object of the most recent ranking

    // Values from the endpoint list.
    EndpointRole role = EndpointRole::other_location;
    CellId cell;
    double weight = 1;
    EndpointStatus status = EndpointStatus::removed;
    TimePoint started_at;
    TimePoint listed_at;  ///< time at which an endpoint list last contained the endpoint

    EndpointHealth health;
    EndpointLoad load;
    EndpointWarmUp warm_up;
    /// Limit of fills that use this endpoint as their source. FillSourceSelection cuts the limit after late
    /// and failed fills.
    AdaptiveLimit fill_limit;

    [[nodiscard]] bool active() const { return status == EndpointStatus::active; }
};

}  // namespace irismux::routing
