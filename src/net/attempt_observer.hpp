// The interface through which connections report the results of attempts and health checks.
#pragma once

#include <cstddef>

#include "irismux/attempt.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"
#include "request/active_request.hpp"

namespace irismux {

struct HealthCheckResult {
    CacheId cache;
    Outcome outcome = Outcome::completed;
    Duration elapsed;
};

class AttemptObserver {
public:
    virtual ~AttemptObserver() = default;
    /// Called once for each attempt that was not cancelled. The call may come from within
    /// CacheConnectionPool::start_attempt().
    virtual void on_attempt_ended(ActiveRequest&, std::size_t attempt, const AttemptEnd&) = 0;
    virtual void on_health_check_result(const HealthCheckResult&) = 0;
    /// Called immediately before the attempt's first byte is written.
    /// @return false to end the attempt as overloaded instead.
    virtual bool may_begin_attempt(ActiveRequest&, std::size_t attempt) = 0;
    /// Called if the attempt could not begin: on every connection that may carry it, a late response to
    /// another request with the same client request id could be mistaken for the attempt's response.
    virtual void on_request_id_in_use(ActiveRequest&, std::size_t attempt) = 0;
};

}  // namespace irismux
