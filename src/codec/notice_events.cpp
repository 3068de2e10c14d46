#include "codec/notice_events.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_reader.hpp"

namespace irismux {
namespace {

constexpr const char* revision_key = "rev";
constexpr const char* notices_key = "notices";
constexpr const char* endpoints_key = "pool";
constexpr const char* endpoint_list_key = "servers";
constexpr const char* complete_key = "full";
constexpr const char* started_at_key = "started_ms";
constexpr const char* purge_key = "flush";
constexpr const char* purged_at_key = "ms";
constexpr const char* purge_group_key = "collection";
constexpr const char* purged_object_key = "asset";

PurgeEvent parse_purge(const json& content) {
    PurgeEvent purge;
    purge.timestamp = time_from_unix_ms(get<std::int64_t>(content, purged_at_key));
    purge.group = PurgeGroupId{get_or<std::int64_t>(content, purge_group_key, 0)};
    if (content.contains(purged_object_key))
        purge.object = ObjectName{get<std::string>(content, purged_object_key)};
    return purge;
}

NoticeEvent parse_endpoints(const json& content) {
    EndpointEvent event;
    try {
        for (const json& record : get_array(content, endpoint_list_key))
            event.endpoints.push_back(parse_endpoint_record(record));
        event.complete = get_or(content, complete_key, false);
    } catch (const std::exception& e) {
        return UnreadableEvent{{EventError::Kind::invalid_field, e.what()}, std::move(event.endpoints)};
    }
    return event;
}

// The newest timestamps of the events, separately for purges and for starts of caches.
class NewestTimestamps {
public:
    // If a field can't be read, only the timestamps before this field are used.
    void add(const json& event) {
        try {
            if (const auto purge = event.find(purge_key); purge != event.end())
                raise(purge_, get<std::int64_t>(*purge, purged_at_key));
            if (const auto endpoints = event.find(endpoints_key); endpoints != event.end())
                for (const json& record : get_array(*endpoints, endpoint_list_key))
                    raise(start_, get_or<std::int64_t>(record, started_at_key, 0));
        } catch (const std::exception&) {
            return;
        }
    }
    TimePoint newest() const { return purge_ != TimePoint{} ? purge_ : start_; }

private:
    static void raise(TimePoint& newest, std::int64_t unix_ms) {
        newest = std::max(newest, time_from_unix_ms(unix_ms));
    }
    TimePoint purge_, start_;
};

}  // namespace

NoticeEvent parse_notice_event(const Notice& notice) {
    if (notice.error) return UnreadableEvent{*notice.error, {}};
    const json& content = notice.content;
    try {
        if (const auto endpoints = content.find(endpoints_key); endpoints != content.end())
            return parse_endpoints(*endpoints);
        if (const auto purge = content.find(purge_key); purge != content.end()) return parse_purge(*purge);
    } catch (const std::exception& e) {
        return UnreadableEvent{{EventError::Kind::invalid_field, e.what()}, {}};
    }
    return UnknownEvent{};
}

KnownNotices parse_known_notices(const json& known) {
    KnownNotices result;
    result.revision = get<std::int64_t>(known, revision_key);
    NewestTimestamps timestamps;
    for (const json& event : get_array(known, notices_key)) {
        timestamps.add(event);
        result.notices.push_back(make_notice(event, result.revision));
    }
    result.newest_timestamp = timestamps.newest();
    return result;
}

std::string poll_target(std::int64_t revision, Duration linger) {
    return "/board/poll?watch=" + std::to_string(revision) +
           "&linger=" + std::to_string(linger.micros() / 1000);
}

}  // namespace irismux
