#include "gateway/request_log.hpp"

#include <array>
#include <string_view>

#include "base/flight_recorder.hpp"
#include "base/log.hpp"

namespace irismux::request_log {
namespace {

constexpr std::int64_t us_per_ms = 1000;

template <std::size_t N, class Enum>
std::string_view name_of(const std::array<std::string_view, N>& names, Enum value) {
    return names.at(static_cast<std::size_t>(value));
}

constexpr std::array<std::string_view, 9> outcomes{
    "completed",        "errored",   "overloaded", "deadline_exceeded", "connection_refused",
    "connection_reset", "cancelled", "superseded", "cache_miss"};
constexpr std::array<std::string_view, 11> cache_statuses{
    "none",        "hit",          "filled",         "via_origin",
    "coalesced",   "stale",        "source_refused", "source_unreachable",
    "source_miss", "no_fill_slot", "origin_failed"};
constexpr std::array<std::string_view, 5> ejection_reasons{"connection_refused", "errors", "unresponsive",
                                                           "deadline_exceeded", "source_unreachable"};
constexpr std::array<std::string_view, 5> progress_names{"not_connected", "not_written", "partially_written",
                                                         "fully_written", "response_begun"};

}  // namespace

void admitted(const ClientStream& stream, const ClientRequest& request) {
    flight_recorder::note("request_admitted", request.request.id.raw(), stream.connection);
    if (!log::is_enabled(log::Level::debug)) return;
    log::event(log::Level::debug, "request_admitted",
               {{"client_request_id", request.client_request_id.raw()},
                {"request_id", request.request.id.raw()},
                {"client_connection", stream.connection},
                {"fastcgi_request", stream.fastcgi_request},
                {"kind", request.kind_name},
                {"object", request.request.object.raw()}});
}

void client_closed(const ActiveRequest& request, TimePoint now) {
    if (!log::is_enabled(log::Level::debug)) return;
    log::event(log::Level::debug, "client_closed",
               {{"client_request_id", request.client_request_id().raw()},
                {"request_id", request.id().raw()},
                {"before_deadline_ms", (request.deadline() - now).micros() / us_per_ms}});
}

void attempt_started(RequestId request, std::size_t attempt) {
    flight_recorder::note("attempt_started", request.raw(), attempt);
}

void attempt_ended(const ActiveRequest& request, const AttemptResult& result) {
    if (!log::is_enabled(log::Level::debug)) return;
    const Attempt& attempt = request.attempt(result.attempt.raw());
    log::event(log::Level::debug, "attempt_ended",
               {{"client_request_id", request.client_request_id().raw()},
                {"request_id", request.id().raw()},
                {"attempt", result.attempt.raw()},
                {"cache", attempt.cache.raw()},
                {"source", attempt.has_fill_source() ? attempt.plan->source.raw() : ""},
                {"outcome", name_of(outcomes, result.outcome)},
                {"cache_status", name_of(cache_statuses, result.cache_status)},
                {"progress", name_of(progress_names, attempt.progress)},
                {"cache_connection", attempt.connection},
                {"fill_wait_ms", result.fill_wait.micros() / us_per_ms},
                {"duration_ms", result.elapsed.micros() / us_per_ms}});
}

void rejected(const ActiveRequest& request, Duration retry_after) {
    if (!log::is_enabled(log::Level::debug)) return;
    log::event(log::Level::debug, "request_rejected_by_router",
               {{"client_request_id", request.client_request_id().raw()},
                {"request_id", request.id().raw()},
                {"retry_after_ms", retry_after.micros() / us_per_ms}});
}

void failed(const ActiveRequest& request) {
    if (!log::is_enabled(log::Level::debug)) return;
    log::event(
        log::Level::debug, "request_failed",
        {{"client_request_id", request.client_request_id().raw()}, {"request_id", request.id().raw()}});
}

void answered(const ActiveRequest& request) {
    flight_recorder::note("request_answered", request.id().raw(), request.attempt_count());
}

void unanswered_at_deadline(const ActiveRequest& request) {
    log::event(log::Level::error, "request_unanswered_at_deadline",
               {{"client_request_id", request.client_request_id().raw()},
                {"request_id", request.id().raw()},
                {"attempts", request.attempt_count()}});
}

void id_in_use_at_cache(const ActiveRequest& request, std::size_t attempt) {
    log::event(log::Level::info, "request_id_in_use_at_cache",
               {{"client_request_id", request.client_request_id().raw()},
                {"request_id", request.id().raw()},
                {"client_connection", request.client_stream().connection},
                {"attempt", attempt}});
}

void endpoint_ejected(const CacheId& cache, EjectionReason reason) {
    log::event(log::Level::warning, "endpoint_ejected",
               {{"cache", cache.raw()}, {"reason", name_of(ejection_reasons, reason)}});
}

void endpoint_readmitted(const CacheId& cache) {
    log::event(log::Level::info, "endpoint_readmitted", {{"cache", cache.raw()}});
}

}  // namespace irismux::request_log
