#include "codec/cache_protocol.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "codec/parse_number.hpp"

namespace irismux::cache_protocol {
namespace {

constexpr std::string_view attempt_command = "PULL";
constexpr std::string_view cancellation_command = "KILL";
constexpr std::string_view health_check_command = "ECHO";
constexpr std::string_view healthy_reply = "PONG";
constexpr std::string_view not_modified_result = "VALID";

constexpr std::array<std::pair<std::string_view, Outcome>, 6> outcomes = {
    {{"HIT", Outcome::completed},
     {not_modified_result, Outcome::completed},
     {"NONE", Outcome::cache_miss},
     {"SHED", Outcome::overloaded},
     {"FAULT", Outcome::errored},
     {"LATE", Outcome::superseded}}};

constexpr std::array<std::pair<std::string_view, CacheStatus>, 11> cache_statuses = {
    {{"", CacheStatus::none},
     {"cached", CacheStatus::hit},
     {"fetched", CacheStatus::filled},
     {"fetched_root", CacheStatus::via_origin},
     {"merged", CacheStatus::coalesced},
     {"past_fresh", CacheStatus::stale},
     {"up_refused", CacheStatus::source_refused},
     {"up_lost", CacheStatus::source_unreachable},
     {"up_empty", CacheStatus::source_miss},
     {"fills_full", CacheStatus::no_fill_slot},
     {"root_failed", CacheStatus::origin_failed}}};

constexpr std::size_t response_arguments = 4;  // id, result, fields, body
// Longest fill wait that is used. A longer wait is replaced by this value, so that any number that a cache
// reports fits into a Duration.
constexpr double max_fill_wait_ms = 1e9;

template <class Value, std::size_t size>
std::optional<Value> find_word(const std::array<std::pair<std::string_view, Value>, size>& words,
                               std::string_view word) {
    const auto it =
        std::find_if(words.begin(), words.end(), [&](const auto& entry) { return entry.first == word; });
    if (it == words.end()) return std::nullopt;
    return it->second;
}

std::string whole_ms(Duration duration) {
    return std::to_string(std::max<std::int64_t>(1, duration.micros() / 1000));
}

std::string join_options(const AttemptPlan& plan) {
    std::string options;
    const auto add = [&options](bool set, std::string_view word) {
        if (!set) return;
        if (!options.empty()) options += '+';
        options += word;
    };
    add(plan.coalesce, "merge");
    add(plan.only_if_cached, "local");
    add(plan.bypass_parent_cache, "skip");
    add(plan.revalidate, "revalidate");
    return options;
}

std::string attempt_fields(const ClientRequest& request, const AttemptOptions& options) {
    std::string fields;
    const auto put = [&fields](std::string_view name, std::string_view value) {
        resp::append_field(fields, name, value);
    };
    put("sort", request.kind_name);
    put("asset", request.request.object.raw());
    put("slice", request.object_part);
    if (!request.idempotency_key.empty()) put("op", request.idempotency_key);
    put("patience", whole_ms(options.timeout));
    if (!request.client_etag.empty()) put("known", request.client_etag);
    if (options.max_age > Duration{}) put("fresh", whole_ms(options.max_age));
    if (!options.plan) return fields;
    const AttemptPlan& plan = *options.plan;
    if (plan.source != plan.cache) put("via", plan.source.raw());
    if (plan.storage_rank > 0) put("tier", std::to_string(plan.storage_rank));
    if (const std::string words = join_options(plan); !words.empty()) put("opts", words);
    return fields;
}

// @return how long the cache waited for its fill, zero if the cache did not report the wait, or std::nullopt
// if the text is not a time.
std::optional<Duration> parse_fill_wait(std::string_view text) {
    if (text.empty()) return Duration{};
    const auto ms = parse_number<double>(text);
    if (!ms || !(*ms >= 0)) return std::nullopt;
    return Duration::seconds(std::min(*ms, max_fill_wait_ms) / 1000);
}

// Whether the response contains the tag and the creation time of a copy.
bool describes_copy(std::string_view fields) {
    const auto created_at = parse_number<std::int64_t>(resp::field(fields, "minted"));
    return !resp::field(fields, "tag").empty() && created_at && *created_at > 0;
}

}  // namespace

void write_attempt(Buffer& out, const ClientRequest& request, const AttemptOptions& options) {
    resp::write_array(out, {attempt_command, request.client_request_id.raw(),
                            attempt_fields(request, options), request.body});
}

void write_cancellation(Buffer& out, const ClientRequestId& id) {
    resp::write_array(out, {cancellation_command, id.raw()});
}

void write_health_check(Buffer& out, std::string_view tag) {
    resp::write_array(out, {health_check_command, tag});
}

ParseStatus parse_message(std::string_view bytes, Message& message, std::size_t& used) {
    const ParseStatus status = resp::parse_array(bytes, message.arguments, used);
    if (status != ParseStatus::complete) return status;
    if (message.arguments.size() < 2) return ParseStatus::invalid;
    message.id = message.arguments[0];
    return ParseStatus::complete;
}

bool is_healthy(const Message& message) { return message.arguments[1] == healthy_reply; }

// Protects clients from responses that were damaged in transit: a response is rejected unless all of it is
// valid, and a body is passed on only if the response describes a copy (see describes_copy()) or the request
// is a write.
std::optional<AttemptEnd> parse_response(const Message& message, const ClientRequest& request) {
    if (message.arguments.size() != response_arguments) return std::nullopt;
    const std::string_view result = message.arguments[1];
    const std::string_view fields = message.arguments[2];
    const auto outcome = find_word(outcomes, result);
    if (!outcome || !resp::well_formed(fields)) return std::nullopt;
    const auto cache_status = find_word(cache_statuses, resp::field(fields, "n"));
    const auto fill_wait = parse_fill_wait(resp::field(fields, "lag"));
    if (!cache_status || !fill_wait) return std::nullopt;

    AttemptEnd end;
    end.outcome = *outcome;
    end.cache_status = *cache_status;
    end.fill_wait = *fill_wait;
    end.not_modified = result == not_modified_result;
    end.body = message.arguments[3];

    bool valid = end.body.empty();
    if (end.not_modified)
        valid = valid && describes_copy(fields) && resp::field(fields, "tag") == request.client_etag;
    else if (end.outcome == Outcome::completed)
        valid = describes_copy(fields) || request.request.is_write;
    if (!valid) return std::nullopt;
    return end;
}

std::optional<ClientRequestId> find_partial_response(std::string_view bytes) {
    resp::Arguments arguments;
    std::size_t used = 0;
    if (resp::parse_array(bytes, arguments, used) != ParseStatus::incomplete || arguments.empty())
        return std::nullopt;
    return ClientRequestId{std::string(arguments[0])};
}

}  // namespace irismux::cache_protocol
