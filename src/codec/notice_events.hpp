// What the events of the notice board say, and the words of its protocol. Without I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "codec/notice_reader.hpp"
#include "endpoint/endpoint_record.hpp"
#include "irismux/ids.hpp"
#include "irismux/time.hpp"

namespace irismux {

/// The endpoint list has changed.
struct EndpointEvent {
    std::vector<EndpointRecord> endpoints;
    bool complete = false;  ///< the whole list: endpoints that are not named are removed
};
/// Copies of an object, or of all objects of a group, that were made before `timestamp` are purged.
struct PurgeEvent {
    TimePoint timestamp;  ///< by the clock of whoever wrote it
    PurgeGroupId group;
    std::optional<ObjectName> object;
};
/// Of a kind that this program does not know.
struct UnknownEvent {};
struct UnreadableEvent {
    EventError error;
    std::vector<EndpointRecord> endpoints;  ///< that were read before the error
};
using NoticeEvent = std::variant<EndpointEvent, PurgeEvent, UnknownEvent, UnreadableEvent>;

[[nodiscard]] NoticeEvent parse_notice_event(const Notice& notice);

/// Events that were known before the first poll.
struct KnownNotices {
    std::int64_t revision = 0;  ///< of the newest
    std::vector<Notice> notices;
    /// Of the newest purge, or else of the newest start of a cache; zero: there is none. Events that can't be
    /// read do not count.
    TimePoint newest_timestamp;
};
/// @throws std::runtime_error if `known` is not {"rev": ..., "notices": [...]}.
[[nodiscard]] KnownNotices parse_known_notices(const nlohmann::json& known);

/// The request target of a poll for the events behind `revision`.
/// @param linger for how long the board may hold the poll if there are none; counted in whole milliseconds.
[[nodiscard]] std::string poll_target(std::int64_t revision, Duration linger);

}  // namespace irismux
