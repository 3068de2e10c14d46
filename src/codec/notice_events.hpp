// Parses the events of the notice board and builds the request target of a poll. Performs no I/O.
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
    /// Whether `endpoints` is the whole list. If so, all endpoints missing from it are removed.
    bool complete = false;
};
/// Purges the copies of an object, or of all objects of a group, that were made before `timestamp`.
struct PurgeEvent {
    TimePoint timestamp;  ///< on the clock of the event's writer
    PurgeGroupId group;
    std::optional<ObjectName> object;
};
/// An event of a kind that this program does not know.
struct UnknownEvent {};
struct UnreadableEvent {
    EventError error;
    std::vector<EndpointRecord> endpoints;  ///< the records that were read before the error
};
using NoticeEvent = std::variant<EndpointEvent, PurgeEvent, UnknownEvent, UnreadableEvent>;

[[nodiscard]] NoticeEvent parse_notice_event(const Notice& notice);

/// Events that the client received from another source before its first poll.
struct KnownNotices {
    std::int64_t revision = 0;  ///< revision of the newest event
    std::vector<Notice> notices;
    /// Timestamp of the newest purge, or of the newest start of a cache if there is no purge; zero if there
    /// is neither. Events that can't be read are ignored.
    TimePoint newest_timestamp;
};
/// @throws std::runtime_error if `known` is not {"rev": ..., "notices": [...]}.
[[nodiscard]] KnownNotices parse_known_notices(const nlohmann::json& known);

/// Returns the request target of a poll for the events after `revision`.
/// @param linger how long the board may hold the poll if there are no new events; sent in whole milliseconds.
[[nodiscard]] std::string poll_target(std::int64_t revision, Duration linger);

}  // namespace irismux
