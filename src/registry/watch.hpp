// Keeps a view of a registry's records current: full reads, watches, retries, and the checks that decide
// which replies to accept. Performs no I/O; the caller passes the time with each call, and the seed
// determines all random numbers.
//
// SyncState lists the states. Only Watch::enter changes the state, and docs/registry.md has the table of
// transitions.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "irismux/time.hpp"
#include "registry/endpoint_view.hpp"
#include "registry/poll_policy.hpp"
#include "registry/rollback_detector.hpp"
#include "registry/watch_callbacks.hpp"

namespace irismux::registry {

/// The content of the records. If it is `endpoints`, a full read is also doubtful if most of the records
/// cannot be parsed as endpoints. If it is `opaque`, only the observer interprets the records, in
/// on_records().
enum class RecordKind { endpoints, opaque };

/// The on_* functions receive the outcome of the pending request. Calls that do not fit the pending operation
/// are ignored.
class Watch {
public:
    /// The transport and the observer must outlive the Watch.
    Watch(WatchTransport& transport, WatchObserver& observer, const PollPolicy& policy, std::uint64_t seed,
          RecordKind kind = RecordKind::endpoints);

    /// Restores a stored view. Must be called before start().
    /// @param as_of the time at which the stored view was known to be complete. The age of the view counts
    /// from this time.
    void start_from(TimePoint now, const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                    TimePoint as_of);
    void start(TimePoint now);

    void on_page(TimePoint now, const Page& page);
    /// @param records the number of records at the checked revision.
    /// @param newest the most recently changed records, at most max_checked_records.
    void on_check_result(TimePoint now, const ReplyHeader& header, std::size_t records,
                         const std::vector<Record>& newest);
    void on_watch_opened(TimePoint now, const ReplyHeader& header);
    /// @param fragment true if the next message has more changes of the last revision.
    void on_changes(TimePoint now, const ReplyHeader& header, const std::vector<Change>& changes,
                    bool fragment);
    /// The registry has compacted the requested revision.
    void on_compacted(TimePoint now);
    /// The registry member has not reached the requested revision.
    void on_revision_not_reached(TimePoint now);
    void on_request_failed(TimePoint now, const RequestFailure& failure);
    void on_wake(TimePoint now);

    SyncState sync_state() const { return sync_state_; }
    const EndpointView& view() const { return view_; }
    const ClusterId& cluster() const { return cluster_; }
    /// Returns the time at which the view was last known to be complete.
    TimePoint last_complete_at() const { return last_complete_at_; }
    /// Returns the number of full reads that were completed and applied.
    std::uint64_t full_reads() const { return full_reads_; }

private:
    enum class PendingOperation { nothing, pause, page, check, watch_opening, watch_message };
    /// The operation that the Watch starts next to make the view current again. A watch alone is not always
    /// enough. After a compaction or a rollback a watch misses changes, so a full read is needed. After a
    /// disconnection a watch does not detect that the registry was restored, so a history check is needed.
    enum class Recovery { full_read, history_check, watch };
    enum class PauseLimit { growing, cap };
    struct FullRead {
        ReplyHeader header;
        std::vector<Record> records;
    };
    struct DoubtfulRead {
        MemberIndex member;
        TimePoint at;
    };

    void enter(TimePoint now, SyncState state);
    void warn(WatchWarningKind kind) { observer_.on_watch_warning({kind, member_, std::nullopt}); }
    void expect(TimePoint now, PendingOperation operation, Duration timeout);
    bool is_request_pending() const;

    void request_next(TimePoint now);
    void open_watch(TimePoint now);
    void back_off(TimePoint now, PauseLimit limit);
    double random_fraction();
    void use_next_member() { member_ = MemberIndex{(member_.raw() + 1) % policy_.members}; }

    bool is_older(const ReplyHeader& header) const;
    [[nodiscard]] bool accept_header(TimePoint now, const ReplyHeader& header);
    void leave_lagging_member(TimePoint now, RollbackDetector::Verdict verdict);

    void reject_long_list(TimePoint now);
    void finish_read(TimePoint now);
    bool is_doubtful(const std::vector<Record>& records) const;
    bool is_confirmed(TimePoint now) const;
    void reject_doubtful_read(TimePoint now);
    void apply_full_read(TimePoint now);

    bool is_same_history(std::size_t records, const std::vector<Record>& newest) const;
    void reject_long_change(TimePoint now);
    void apply_pending_changes(TimePoint now, const ReplyHeader& header);
    void mark_current(TimePoint now);

    WatchTransport& transport_;
    WatchObserver& observer_;
    PollPolicy policy_;
    std::ranlux24_base random_;
    RecordKind record_kind_;
    MemberIndex member_;  // the registry member in use
    RollbackDetector rollback_detector_;

    EndpointView view_;
    ClusterId cluster_;
    Revision resume_revision_;  // all changes up to this revision are known
    SyncState sync_state_ = SyncState::reading;
    Recovery recovery_ = Recovery::full_read;
    bool list_reported_ = false;  // the observer has received the first list
    TimePoint last_contact_at_, last_complete_at_;

    PendingOperation pending_operation_ = PendingOperation::nothing;
    TimePoint operation_deadline_;
    TimePoint watch_opened_at_;
    int consecutive_failures_ = 0;
    int read_restarts_ = 0;  // consecutive restarts of the full read

    FullRead full_read_;
    std::uint64_t full_reads_ = 0;
    std::vector<Change> pending_changes_;  // received fragments of one revision
    std::optional<DoubtfulRead> doubtful_read_;
    bool long_list_reported_ = false;
};

}  // namespace irismux::registry
