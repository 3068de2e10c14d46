// Who is told how attempts and health checks end.
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
    /// Called once for each attempt that was not cancelled, maybe from within start_attempt().
    virtual void on_attempt_ended(ActiveRequest&, std::size_t attempt, const AttemptEnd&) = 0;
    virtual void on_health_check_result(const HealthCheckResult&) = 0;
    /// Asked right before the attempt's first byte is written. False: it ends as overloaded.
    virtual bool may_begin_attempt(ActiveRequest&, std::size_t attempt) = 0;
    /// The attempt did not begin: a late response to another request of the same client id could be taken for
    /// its own on every connection that may carry it.
    virtual void on_request_id_in_use(ActiveRequest&, std::size_t attempt) = 0;
};

}  // namespace irismux
