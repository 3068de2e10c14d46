// Interfaces that the user of a Watch implements: a transport for its requests and an observer of its
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

/// The states of a Watch, which show how current the view is.
enum class SyncState {
    reading,      ///< a full read is in progress; the former view stays in use
    resuming,     ///< the connection broke; the watch resumes from the next revision
    following,    ///< a watch is open and current
    lagging,      ///< the registry member in use lags; the Watch tries another one
    disconnected  ///< nothing received for PollPolicy::watch_timeout; the view ages
};

/// Returns the state's name in lower case, for logs and command-line output.
std::string_view to_string(SyncState state);

/// Number of records that a history check compares. The check compares the most recently changed records.
constexpr std::size_t max_checked_records = 8;

/// Sends the requests of a Watch, one at a time. Each request replaces the previous one, whose reply must no
/// longer be passed on. An implementation must not call the Watch from within these functions.
class WatchTransport {
public:
    virtual ~WatchTransport() = default;
    /// Requests the records at revision `at` (zero: the newest) whose keys follow `after` (std::nullopt: from
    /// the first record on).
    virtual void read_page(MemberIndex member, const std::optional<RecordKey>& after, Revision at) = 0;
    /// Requests the number of records at revision `at` and the max_checked_records most recently changed
    /// ones.
    virtual void check_revision(MemberIndex member, Revision at) = 0;
    /// Opens a watch for all changes from revision `from` on.
    virtual void open_watch(MemberIndex member, Revision from) = 0;
    /// Drops the pending request.
    virtual void close() = 0;
    /// Schedules a call of Watch::on_wake at the given time, in place of the call that was scheduled before.
    virtual void schedule_wake(TimePoint at) = 0;
};

/// Conditions that a Watch logs. A condition leaves the view unchanged unless its comment says otherwise.
/// "full read" means that the Watch then reads all records again.
enum class WatchWarningKind {
    request_failed,            ///< the first of consecutive failures; `failure` has the reason
    registry_rolled_back,      ///< most registry members have an older revision or another cluster; full read
    history_diverged,          ///< the registry's history differs from the view's; full read
    too_many_records,          ///< more than PollPolicy::max_records; the list is rejected
    too_many_pending_changes,  ///< more than PollPolicy::max_pending_changes; full read
    doubtful_read_rejected,    ///< an empty or mostly unreadable list awaits confirmation
    doubtful_read_confirmed    ///< an empty or mostly unreadable list was confirmed and applied
};

struct WatchWarning {
    WatchWarningKind kind;
    MemberIndex member;                     ///< the registry member in use
    std::optional<RequestFailure> failure;  ///< set only for request_failed
};

/// Receives the view and its changes.
class WatchObserver {
public:
    virtual ~WatchObserver() = default;
    /// @param complete true if `updates` is the first list; false if it has the differences from the list so
    /// far.
    virtual void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& updates, bool complete) = 0;
    /// Receives unparsed records at a revision. If `complete` is true, they are all records; otherwise they
    /// are the changes since the previous call.
    virtual void on_records(TimePoint, Revision, const std::vector<Change>&, bool /*complete*/) {}
    /// @param complete_at when the view was last known to be complete; zero: never.
    virtual void on_sync_state(TimePoint now, SyncState state, TimePoint complete_at) = 0;
    virtual void on_watch_warning(const WatchWarning& warning) = 0;
};

}  // namespace irismux::registry
