/// What a member reports about itself for the log: one type an event. docs/operations/fleet.md says what each
/// means and what to do.
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
    FencingToken token;  ///< of the duty's newest known record; zero: none
    bool operator==(const LeaseStateChanged&) const = default;
};

enum class JoinRefusal {
    shared_config_differs,  ///< the registry has another installation, term or drift
    roster_unreadable,      ///< the record of the site's names can't be parsed
    name_in_use,            ///< another living gateway has this member's name
};

/// This member stays out of the fleet and tries again; the gateway goes on serving.
struct JoinRefused {
    JoinRefusal reason = JoinRefusal::shared_config_differs;
    MemberName member;
    std::string registry_config;  ///< where that differs: its first 200 bytes
    bool operator==(const JoinRefused&) const = default;
};

enum class MembershipEnd {
    left,               ///< by its own wish
    evicted,            ///< others saw no heartbeat of it for a term
    registry_restored,  ///< the registry holds an older heartbeat than this member's newest
};

/// This member is out of the fleet and owns nothing any more; unless it left, it joins anew.
struct MembershipEnded {
    MembershipEnd reason = MembershipEnd::left;
    MemberName member;
    bool operator==(const MembershipEnded&) const = default;
};

/// There are more duties than a member follows; some are not taken up.
struct DutyLimitExceeded {
    std::size_t limit = 0;
    bool operator==(const DutyLimitExceeded&) const = default;
};

/// The record of that duty can't be parsed; nobody here claims the duty.
struct DutyRecordUnreadable {
    DutyName duty;
    bool operator==(const DutyRecordUnreadable&) const = default;
};

/// The registry shows a lower token of that duty than was seen: it was restored from a backup. The owner
/// claims the duty again under a higher one.
struct FencingTokenRegressed {
    DutyName duty;
    FencingToken recorded;
    FencingToken highest_seen;
    bool operator==(const FencingTokenRegressed&) const = default;
};

/// No watch of the registry delivers anything, or one does again.
struct RegistryConnectionChanged {
    bool connected = false;
    bool operator==(const RegistryConnectionChanged&) const = default;
};

/// What the watch over the fleet's records reports of its own.
struct RegistryWatchWarning {
    registry::WatchWarningKind kind = registry::WatchWarningKind::request_failed;
    std::string failure;  ///< the RequestFailureReason by name; empty: not a failed request
    std::string detail;   ///< of a failed request; may be empty
    bool operator==(const RegistryWatchWarning&) const = default;
};

enum class TokenStoreOperation { open, parse, write };

/// Tokens seen are not kept over a restart, or were not read back from an earlier one.
struct TokenStoreFailed {
    TokenStoreOperation operation = TokenStoreOperation::open;
    std::string reason;  ///< in snake_case
    std::string detail;  ///< the folder and the store's own message; may be empty
    bool operator==(const TokenStoreFailed&) const = default;
};

using FleetEvent =
    std::variant<LeaseStateChanged, JoinRefused, MembershipEnded, DutyLimitExceeded, DutyRecordUnreadable,
                 FencingTokenRegressed, RegistryConnectionChanged, RegistryWatchWarning, TokenStoreFailed>;

/// Writes it as one record of the log.
void write_to_log(const FleetEvent& event);

}  // namespace irismux::fleet
