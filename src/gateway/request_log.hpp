// Writes the log events and flight-recorder entries of individual requests and attempts. A successful request
// is logged only at level `debug`.
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
/// Called when the request has its final response, or needs no response because its client has disconnected.
void answered(const ActiveRequest& request);
/// Called when the router had not given a final response by the deadline, so that the gateway failed the
/// request.
void unanswered_at_deadline(const ActiveRequest& request);
/// Called when every connection that could carry the attempt already uses the request's id for another
/// request.
void id_in_use_at_cache(const ActiveRequest& request, std::size_t attempt);

/// Called when the router has ejected the endpoint. The router does not select the endpoint until it has
/// readmitted the endpoint.
void endpoint_ejected(const CacheId& cache, EjectionReason reason);
void endpoint_readmitted(const CacheId& cache);

}  // namespace irismux::request_log
