// What a Watch needs from the process around it: a transport for its requests, and an observer of its
// results.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "irismux/time.hpp"
#include "registry/record.hpp"
#include "registry/request_failure.hpp"

namespace irismux::registry {

/// How current the view is.
enum class SyncState {
    reading,      ///< a full read is in progress; the former view stays in force
    resuming,     ///< the connection broke; the watch resumes from the next revision
    following,    ///< a watch is open and current
    lagging,      ///< the member in use lags; another one is tried
    disconnected  ///< nothing received for PollPolicy::watch_timeout; the view ages
};

/// The state's name in lower case, for logs and command-line output.
std::string_view to_string(SyncState state);

/// Records that a history check compares, the most recently changed ones.
constexpr std::size_t max_checked_records = 8;

/// Carries a Watch's requests. One request at a time: each replaces the one before, whose reply must not be
/// passed on any more. Must not call the Watch from within these calls.
class WatchTransport {
public:
    virtual ~WatchTransport() = default;
    /// Requests the records behind `after` (none: from the first) at that revision (zero: the newest).
    virtual void read_page(MemberIndex member, const std::optional<RecordKey>& after, Revision at) = 0;
    /// Requests the number of records at that revision and the max_checked_records changed last.
    virtual void check_revision(MemberIndex member, Revision at) = 0;
    /// Opens a watch for all changes from that revision on.
    virtual void open_watch(MemberIndex member, Revision from) = 0;
    /// Drops the pending request.
    virtual void close() = 0;
    /// Has Watch::on_wake called then. Replaces the wake scheduled before.
    virtual void schedule_wake(TimePoint at) = 0;
};

/// Conditions for the log. The view in force does not change unless stated.
enum class WatchWarningKind {
    request_failed,            ///< the first failure in a row; `failure` has the reason
    registry_rolled_back,      ///< most members are older than the view, or another cluster: full read
    history_diverged,          ///< the registry's history is not the one seen before: full read
    too_many_records,          ///< over PollPolicy::max_records: the list is refused
    too_many_pending_changes,  ///< over PollPolicy::max_pending_changes: full read
    doubtful_read_rejected,    ///< an empty or mostly unreadable list awaits confirmation
    doubtful_read_confirmed    ///< such a list was confirmed and is in force
};

struct WatchWarning {
    WatchWarningKind kind;
    MemberIndex member;                     ///< the member in use
    std::optional<RequestFailure> failure;  ///< only for request_failed
};

/// Receives the view and its changes.
class WatchObserver {
public:
    virtual ~WatchObserver() = default;
    /// @param complete the first list; else what differs from the updates before.
    virtual void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& updates, bool complete) = 0;
    /// The raw records: all at that revision, or only those changed since the call before.
    virtual void on_records(TimePoint, Revision, const std::vector<Change>&, bool /*complete*/) {}
    /// @param complete_at when the view was last known to be complete; zero: never.
    virtual void on_sync_state(TimePoint now, SyncState state, TimePoint complete_at) = 0;
    virtual void on_watch_warning(const WatchWarning& warning) = 0;
};

}  // namespace irismux::registry
