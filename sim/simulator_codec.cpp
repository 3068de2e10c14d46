#include "sim/simulator_codec.hpp"

#include <utility>

#include "base/json_reader.hpp"

namespace irismux::sim {
namespace {

constexpr std::pair<const char*, Outcome> outcomes[] = {{"completed", Outcome::completed},
                                                        {"errored", Outcome::errored},
                                                        {"saturated", Outcome::overloaded},
                                                        {"overdue", Outcome::deadline_exceeded},
                                                        {"refused_conn", Outcome::connection_refused},
                                                        {"severed", Outcome::connection_reset},
                                                        {"recalled", Outcome::cancelled},
                                                        {"superseded", Outcome::superseded},
                                                        {"lookup_miss", Outcome::cache_miss}};
constexpr std::pair<const char*, EndpointStatus> endpoint_statuses[] = {
    {"in_service", EndpointStatus::active},
    {"terminating", EndpointStatus::draining},
    {"terminated", EndpointStatus::removed}};

// The bits of the field "switches" in messages to the simulator.
constexpr int coalesce_bit = 1, only_if_cached_bit = 2, bypass_parent_cache_bit = 4, revalidate_bit = 8;

CacheStatus cache_status_of(int number) {
    const bool known = number >= 0 && number <= static_cast<int>(CacheStatus::origin_failed);
    return known ? static_cast<CacheStatus>(number) : CacheStatus::none;
}

int switches_of(const AttemptPlan& plan) {
    return (plan.coalesce ? coalesce_bit : 0) + (plan.only_if_cached ? only_if_cached_bit : 0) +
           (plan.bypass_parent_cache ? bypass_parent_cache_bit : 0) + (plan.revalidate ? revalidate_bit : 0);
}

}  // namespace

EndpointUpdate read_endpoint_update(const json& message) {
    EndpointUpdate update;
    update.cache = CacheId{get<std::string>(message, "cache")};
    update.location = LocationId{get_or<std::string>(message, "locality", "")};
    update.machine_type = MachineType{get_or<std::string>(message, "type", "")};
    update.cell = CellId{get_or<std::int64_t>(message, "group", 0)};
    update.weight = get_or(message, "nominal", 1.0);
    update.status = parse_enum(get<std::string>(message, "mode"), "mode", endpoint_statuses);
    update.started_at = TimePoint::at_seconds(get_or(message, "startedAtS", 0.0));
    return update;
}

Request read_request(const json& message) {
    Request request;
    request.object = ObjectName{get_or<std::string>(message, "contentId", "")};
    request.purge_group = PurgeGroupId{get_or<std::int64_t>(message, "labelNo", 0)};
    request.deadline = TimePoint::at_seconds(get<double>(message, "expiresS"));
    request.size_kb = get_or(message, "kbytes", 0.0);
    request.is_client_retry = get_or(message, "isRetry", false);
    request.is_write = get_or(message, "update", false);
    return request;
}

AttemptResult read_attempt_result(RequestId request, const json& message) {
    AttemptResult result;
    result.request = request;
    result.attempt = AttemptIndex{get_or<std::size_t>(message, "trial", 0)};
    result.cache = CacheId{get<std::string>(message, "cache")};
    result.outcome = parse_enum(get<std::string>(message, "verdict"), "verdict", outcomes);
    result.cache_status = cache_status_of(get_or(message, "remark", 0));
    result.elapsed = get_duration(message, "timeTakenS");
    result.fill_wait = get_duration(message, "fillWaitS");
    result.request_finished = get_or(message, "last", false);
    return result;
}

json start_direct_attempt_message(const std::string& request, const CacheId& origin, Duration timeout) {
    return {
        {"t", "Dispatch"}, {"xid", request}, {"cache", origin.raw()}, {"giveUpAfterS", timeout.seconds()}};
}

json start_attempt_message(const std::string& request, const AttemptPlan& plan) {
    return {{"t", "ServeOrFill"},
            {"xid", request},
            {"ageS", plan.max_age.seconds()},
            {"cache", plan.cache.raw()},
            {"switches", switches_of(plan)},
            {"storeAs", plan.storage_rank},
            {"fillFrom", plan.source.raw()},
            {"giveUpAfterS", plan.timeout.seconds()}};
}

json cancel_attempt_message(const std::string& request, AttemptIndex attempt) {
    return {{"t", "DropAttempt"}, {"xid", request}, {"trial", attempt.raw()}};
}

json reject_message(const std::string& request, Duration retry_after) {
    return {{"t", "Bounce"}, {"xid", request}, {"coolDownS", retry_after.seconds()}};
}

json fail_message(const std::string& request) { return {{"t", "Abort"}, {"xid", request}}; }

json set_timer_message(TimerId timer, TimePoint due) {
    return {{"t", "NotifyMe"}, {"tag", timer.raw()}, {"alarmTimeS", due.seconds()}};
}

json subscribe_message() { return {{"t", "Subscribe"}, {"active", true}}; }

}  // namespace irismux::sim
