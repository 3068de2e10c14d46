/// The identity of a member, and the records that its heartbeats read.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// The identity does not change during the life of an Agent, except for `last_incarnation`.
struct MemberIdentity {
    MemberName name;
    InstanceId instance_id;
    std::string version;           ///< of the program
    Incarnation last_incarnation;  ///< the highest known for that name; zero if none
    Duration reply_timeout = Duration::micros(1'000'000);
    /// True if the start, heartbeats and retries are delayed or advanced by random times. Exhaustive models
    /// set this to false.
    bool randomized = true;
    /// Time within which a heartbeat of a site's member reports a change of the applied revisions; zero for a
    /// member outside of all sites. The first join of a site's member also adds the member's name to the
    /// site's roster.
    Duration acknowledge_interval = {};
};

/// Additional records that each heartbeat of a site's member reads, and whether that member sends its
/// heartbeats at the acknowledgement interval.
struct HeartbeatReads {
    std::set<MemberName> heartbeats;
    std::vector<Key> records;
    bool frequent = false;
    bool operator==(const HeartbeatReads&) const = default;
};

}  // namespace irismux::fleet
