/// Events that a member reports for the log, one type per event. docs/operations/fleet.md explains each event
/// and the operator's response.
#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "fleet/lease.hpp"
#include "fleet/records.hpp"
#include "registry/watch_callbacks.hpp"

namespace irismux::fleet {

/// The lease of a duty at this member has changed.
struct LeaseStateChanged {
    DutyName duty;
    LeaseState state = LeaseState::idle;
    FencingToken token;  ///< of the duty's newest known record; zero if there is none
    bool operator==(const LeaseStateChanged&) const = default;
};

enum class JoinRefusal {
    shared_config_differs,  ///< the registry has another installation, term or drift
    roster_unreadable,      ///< the record of the site's names can't be parsed
    name_in_use,            ///< another living gateway has this member's name
};

/// This member does not join the fleet for the given reason. The member tries again later, and the gateway
/// continues to serve requests meanwhile.
struct JoinRefused {
    JoinRefusal reason = JoinRefusal::shared_config_differs;
    MemberName member;
    std::string registry_config;  ///< for shared_config_differs: its first 200 bytes
    bool operator==(const JoinRefused&) const = default;
};

enum class MembershipEnd {
    left,               ///< the member left by its own decision
    evicted,            ///< other members saw no new heartbeat of this member for a term
    registry_restored,  ///< the registry holds an older heartbeat than this member's newest
};

/// This member is no longer in the fleet and owns no duties. The member joins again unless it left by its own
/// decision.
struct MembershipEnded {
    MembershipEnd reason = MembershipEnd::left;
    MemberName member;
    bool operator==(const MembershipEnded&) const = default;
};

/// There are more duties than this member can follow, so the member ignores some of them.
struct DutyLimitExceeded {
    std::size_t limit = 0;
    bool operator==(const DutyLimitExceeded&) const = default;
};

/// The record of the duty can't be parsed; this member does not claim the duty.
struct DutyRecordUnreadable {
    DutyName duty;
    bool operator==(const DutyRecordUnreadable&) const = default;
};

/// The registry shows a lower token for the duty than this member has seen before, because the registry was
/// restored from a backup. The owner claims the duty again under a higher token.
struct FencingTokenRegressed {
    DutyName duty;
    FencingToken recorded;
    FencingToken highest_seen;
    bool operator==(const FencingTokenRegressed&) const = default;
};

/// The watch of the registry has been disconnected or connected again.
struct RegistryConnectionChanged {
    bool connected = false;
    bool operator==(const RegistryConnectionChanged&) const = default;
};

/// A warning of the watch that delivers the fleet's records.
struct RegistryWatchWarning {
    registry::WatchWarningKind kind = registry::WatchWarningKind::request_failed;
    std::string failure;  ///< the RequestFailureReason by name; empty if no request failed
    std::string detail;   ///< of a failed request; may be empty
    bool operator==(const RegistryWatchWarning&) const = default;
};

enum class TokenStoreOperation { open, parse, write };

/// The fencing tokens that this member has seen can't be saved for the next start, or could not be restored
/// at this start.
struct TokenStoreFailed {
    TokenStoreOperation operation = TokenStoreOperation::open;
    std::string reason;  ///< in snake_case
    std::string detail;  ///< the folder and the store's own message; may be empty
    bool operator==(const TokenStoreFailed&) const = default;
};

using FleetEvent =
    std::variant<LeaseStateChanged, JoinRefused, MembershipEnded, DutyLimitExceeded, DutyRecordUnreadable,
                 FencingTokenRegressed, RegistryConnectionChanged, RegistryWatchWarning, TokenStoreFailed>;

/// Writes the event as one record of the log.
void write_to_log(const FleetEvent& event);

}  // namespace irismux::fleet
