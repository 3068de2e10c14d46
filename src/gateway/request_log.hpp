// Log events and flight-recorder entries of single requests and attempts. Below `debug` a request that goes
// well writes nothing.
#pragma once

#include "irismux/router.hpp"
#include "request/active_request.hpp"

namespace irismux::request_log {

void admitted(const ClientStream& stream, const ClientRequest& request);
void client_closed(const ActiveRequest& request, TimePoint now);
void attempt_started(RequestId request, std::size_t attempt);
void attempt_ended(const ActiveRequest& request, const AttemptResult& result);
void rejected(const ActiveRequest& request, Duration retry_after);
void failed(const ActiveRequest& request);
/// Has its final response, or none is needed any more.
void answered(const ActiveRequest& request);
/// The router had given no final response at the deadline; the gateway did.
void unanswered_at_deadline(const ActiveRequest& request);
/// Every connection that could carry an attempt carries its id for another request.
void id_in_use_at_cache(const ActiveRequest& request, std::size_t attempt);

/// The router passes the endpoint over from now on.
void endpoint_ejected(const CacheId& cache, EjectionReason reason);
void endpoint_readmitted(const CacheId& cache);

}  // namespace irismux::request_log
