// How a gateway follows a registry: what to ask whom and when, and what to believe. No I/O; the instant comes
// with each call, chance from the seed.
//
//   reading    a full read is under way; what was known before stays in force
//   resuming   the connection broke, and the watch goes on from the revision behind the last one known
//   following  a watch is open, and it has been heard within the longest quiet
//   behind     a member was left because it lags; another one is sought
//   blind      nothing has been heard for the longest quiet; what is known ages
//
// `enter` is the one function that moves between them. docs/registry.md has the table of what enters and
// leaves each.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "irismux/time.hpp"
#include "registry/endpoint_view.hpp"

namespace irismux::registry {

enum class SyncState { reading, resuming, following, lagging, disconnected };
std::string_view to_string(SyncState sight);

constexpr std::size_t max_checked_records = 8;  // records that a check compares

// What a Watch asks of its carrier. Each ask replaces the one before; answers to a former one must not be
// told.
class WatchTransport {
public:
    virtual ~WatchTransport() = default;
    // Records behind `after` (none: from the first) at that revision (zero: the newest).
    virtual void read_page(MemberIndex, const std::optional<RecordKey>& after, Revision at) = 0;
    // How many records there are at that revision, and the `last_changed` of them that were changed last.
    virtual void check_revision(MemberIndex, Revision at) = 0;
    virtual void open_watch(MemberIndex, Revision from) = 0;
    virtual void close() = 0;
    virtual void schedule_wake(TimePoint at) = 0;  // one at a time
};

// Who is told what is known.
class WatchObserver {
public:
    virtual ~WatchObserver() = default;
    virtual void on_endpoints(TimePoint now, const std::vector<EndpointRecord>& lines, bool complete) = 0;
    // The records behind it: all there are at that revision, or those changed since the ones told last.
    virtual void on_records(TimePoint, Revision, const std::vector<Change>&, bool /*all*/) {}
    // What is known was whole at `as_of`.
    virtual void on_sync_state(TimePoint now, SyncState sight, TimePoint as_of) = 0;
    virtual void on_warning(std::string_view plain_line) = 0;
};

// What the records are: of caches, or of whoever reads records_told(), where none is unreadable.
enum class RecordKind { endpoints, opaque };

struct PollPolicy {
    std::size_t members = 1;
    Duration backoff_base =
        Duration::micros(50'000);  // full jitter: a pause is drawn from zero to base * 2^n,
    Duration backoff_cap = Duration::micros(5'000'000);    // and to this at most
    Duration reply_timeout = Duration::micros(1'000'000);  // an ask is answered by then, or its member left
    Duration watch_timeout = Duration::micros(2'000'000);  // a watch says something at least this often
    std::size_t max_records = 16'384;          // a longer list is refused, and the one known stays
    std::size_t max_pending_changes = 16'384;  // changes of one revision still in pieces; beyond: a full read
    int max_read_restarts = 4;                 // full reads begun over in a row before a pause at the cap
    bool operator==(const PollPolicy&) const = default;
};

class Watch {
public:
    Watch(WatchTransport& asks, WatchObserver& knows, const PollPolicy& pace, std::uint64_t seed,
          RecordKind sort = RecordKind::endpoints);

    // From what was stored: in force at once, but as old as it is.
    void start_from(TimePoint now, const ClusterId&, Revision, const std::vector<Record>&, TimePoint as_of);
    void start(TimePoint now);

    void on_page(TimePoint now, const Page& page);
    void on_check_result(TimePoint now, const Origin& from, std::size_t records,
                         const std::vector<Record>& newest);
    void on_watch_opened(TimePoint now, const Origin& from);
    // The changes of whole revisions, or, where `goes_on`, a first part of them.
    void on_changes(TimePoint now, const Origin& from, const std::vector<Change>& changes, bool goes_on);
    void on_compacted(TimePoint now);
    // The revision asked for is one that the member has not reached.
    void on_revision_not_reached(TimePoint now);
    void on_broken(TimePoint now, std::string_view why);
    void on_wake(TimePoint now);

    SyncState sync_state() const { return sync_state_; }
    const EndpointView& view() const { return view_; }
    const ClusterId& cluster() const { return cluster_; }
    TimePoint last_complete_at() const { return last_complete_at_; }
    std::uint64_t full_reads() const { return full_reads_; }  // brought to an end and believed

private:
    enum class PendingOperation { nothing, pause, page, check, watch_opening, watch_message };
    enum class RevisionOrder {
        same,
        older,
        other_cluster
    };  // an answer's sender, against what has been seen

    void enter(TimePoint now, SyncState sight);
    void request_next(TimePoint now);
    void back_off(TimePoint now, bool at_cap = false);
    double random_fraction();  // of a pause, by chance
    void expect(TimePoint now, PendingOperation what, Duration most);
    RevisionOrder compare_revision(const Origin& from) const;
    bool accept_origin(TimePoint now, const Origin& from);
    void finish_read(TimePoint now);
    bool is_doubtful(const std::vector<Record>& records) const;
    void mark_current(TimePoint now);
    void next_member() { member_ = MemberIndex{(member_.raw() + 1) % policy_.members}; }

    WatchTransport& transport_;
    WatchObserver& observer_;
    PollPolicy policy_;
    std::ranlux24_base random_;
    RecordKind record_kind_;
    EndpointView view_;
    ClusterId cluster_;
    SyncState sync_state_ = SyncState::reading;
    bool endpoints_reported_ = false;  // a first list has been told
    bool must_read_ = true;            // a watch alone would leave a gap
    bool may_have_been_restored_ =
        false;  // so long without a word that the registry may have been restored meanwhile
    MemberIndex member_;
    PendingOperation pending_operation_ = PendingOperation::nothing;
    TimePoint due_, last_seen_, last_complete_at_;
    int consecutive_failures_ = 0;  // in a row, without a stretch that held
    int restarts_ = 0;              // full reads begun over in a row
    std::uint64_t full_reads_ = 0;
    TimePoint open_since_;

    Revision resume_revision_;  // up to here nothing is missing
    std::vector<Record> pages_;
    Origin read_origin_;
    std::vector<Change> pending_;

    std::set<MemberIndex> older_members_;  // members that showed a registry before what we have seen
    TimePoint first_older_seen_at_;
    bool accept_older_registry_ = false;  // a full read of such a registry is to be believed
    bool empty_read_doubted_ = false;     // the last full read was no instruction
    MemberIndex doubted_at_;
    TimePoint doubted_since_;
    bool size_limit_logged_ = false;  // said once: the list is too long
};

}  // namespace irismux::registry
