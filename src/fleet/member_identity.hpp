/// What tells a member apart from all others, and what its heartbeats read.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// Fixed for the life of an Agent, but for the number of its last join.
struct MemberIdentity {
    MemberName name;
    InstanceId instance_id;
    std::string version;           ///< of the program
    Incarnation last_incarnation;  ///< the highest known of that name; zero: none
    Duration reply_timeout = Duration::micros(1'000'000);
    bool randomized = true;  ///< heartbeats go out, and are read, at random; false in exhaustive models
    /// Of a site's member: a heartbeat goes out so soon after a change of what it reports, and the first join
    /// enters the name in the site's roster. Zero: of no site.
    Duration acknowledge_interval = {};
};

/// What each heartbeat of a site's member reads besides, and whether they go out as often as
/// acknowledgements.
struct HeartbeatReads {
    std::set<MemberName> heartbeats;
    std::vector<Key> records;
    bool frequent = false;
    bool operator==(const HeartbeatReads&) const = default;
};

}  // namespace irismux::fleet
