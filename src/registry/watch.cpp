#include "registry/watch.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace irismux::registry {

std::string_view to_string(SyncState state) {
    constexpr std::string_view names[] = {"reading", "resuming", "following", "lagging", "disconnected"};
    return names[static_cast<std::size_t>(state)];
}

Watch::Watch(WatchTransport& transport, WatchObserver& observer, const PollPolicy& policy, std::uint64_t seed,
             RecordKind kind)
    : transport_(transport),
      observer_(observer),
      policy_(policy),
      random_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      record_kind_(kind),
      member_(random_() % std::max<std::size_t>(1, policy.members)),
      rollback_detector_(policy) {
    policy_.members = std::max<std::size_t>(1, policy_.members);
}

void Watch::start_from(TimePoint now, const ClusterId& cluster, Revision at,
                       const std::vector<Record>& records, TimePoint as_of) {
    cluster_ = cluster;
    last_complete_at_ = as_of;
    const std::vector<EndpointRecord> updates = view_.replace(at, records, now);
    resume_revision_ = at;
    list_reported_ = true;
    recovery_ = Recovery::history_check;
    observer_.on_endpoints(now, updates, true);
    enter(now, SyncState::disconnected);
}

void Watch::start(TimePoint now) {
    last_contact_at_ = now;
    request_next(now);
}

// --- states and deadlines --------------------------------------------------------------------------------

void Watch::enter(TimePoint now, SyncState state) {
    if (state == SyncState::disconnected && recovery_ == Recovery::watch) recovery_ = Recovery::history_check;
    if (state == sync_state_) return;
    // The state disconnected ends only when a watch is open and current.
    if (sync_state_ == SyncState::disconnected && state != SyncState::following) return;
    sync_state_ = state;
    observer_.on_sync_state(now, state, last_complete_at_);
}

void Watch::expect(TimePoint now, PendingOperation operation, Duration timeout) {
    pending_operation_ = operation;
    operation_deadline_ = now + timeout;
    // Schedules a wake-up at which a disconnection is reported, even if the pending operation has a later
    // deadline.
    const TimePoint disconnected_at = last_contact_at_ + policy_.watch_timeout;
    if (sync_state_ == SyncState::disconnected || disconnected_at <= now)
        transport_.schedule_wake(operation_deadline_);
    else
        transport_.schedule_wake(std::min(operation_deadline_, disconnected_at));
}

void Watch::on_wake(TimePoint now) {
    if (pending_operation_ == PendingOperation::nothing) return;
    if (now - last_contact_at_ >= policy_.watch_timeout) enter(now, SyncState::disconnected);
    if (now < operation_deadline_) return expect(now, pending_operation_, operation_deadline_ - now);
    if (pending_operation_ == PendingOperation::pause) return request_next(now);
    const bool watching = pending_operation_ == PendingOperation::watch_message;
    on_request_failed(
        now, {watching ? RequestFailureReason::watch_timeout : RequestFailureReason::reply_timeout, {}});
}

bool Watch::is_request_pending() const {
    return pending_operation_ != PendingOperation::nothing && pending_operation_ != PendingOperation::pause;
}

// --- requests and retries --------------------------------------------------------------------------------

void Watch::request_next(TimePoint now) {
    pending_changes_.clear();
    switch (recovery_) {
        case Recovery::history_check:
            expect(now, PendingOperation::check, policy_.reply_timeout);
            return transport_.check_revision(member_, view_.revision());
        case Recovery::watch:
            enter(now, SyncState::resuming);
            return open_watch(now);
        case Recovery::full_read:
            enter(now, SyncState::reading);
            full_read_ = FullRead{};
            expect(now, PendingOperation::page, policy_.reply_timeout);
            return transport_.read_page(member_, std::nullopt, Revision{});
    }
}

void Watch::open_watch(TimePoint now) {
    expect(now, PendingOperation::watch_opening, policy_.reply_timeout);
    transport_.open_watch(member_, Revision{resume_revision_.raw() + 1});
}

// The pause has full jitter: clients that lose their connections to a registry at the same time spread their
// retries over the whole pause.
void Watch::back_off(TimePoint now, PauseLimit limit) {
    constexpr int max_doublings = 16;
    const int doublings = std::min(consecutive_failures_, max_doublings);
    ++consecutive_failures_;
    const Duration grown = std::min(policy_.backoff_base * std::pow(2.0, doublings), policy_.backoff_cap);
    const Duration longest = limit == PauseLimit::cap ? policy_.backoff_cap : grown;
    expect(now, PendingOperation::pause, longest * random_fraction());
}

double Watch::random_fraction() {
    return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
}

void Watch::on_request_failed(TimePoint now, const RequestFailure& failure) {
    if (!is_request_pending()) return;
    if (sync_state_ == SyncState::following) enter(now, SyncState::resuming);
    if (consecutive_failures_ == 0)
        observer_.on_watch_warning({WatchWarningKind::request_failed, member_, failure});
    transport_.close();
    use_next_member();
    back_off(now, PauseLimit::growing);
}

void Watch::on_compacted(TimePoint now) {
    if (!is_request_pending()) return;
    full_read_.records.clear();
    pending_changes_.clear();
    transport_.close();
    // The first of several consecutive full reads starts without a pause, since the changes that the watch
    // has missed may be urgent.
    const bool immediate = recovery_ != Recovery::full_read && read_restarts_ == 0;
    recovery_ = Recovery::full_read;
    ++read_restarts_;
    if (immediate) return request_next(now);
    if (read_restarts_ <= policy_.max_read_restarts) return back_off(now, PauseLimit::growing);
    read_restarts_ = 0;
    back_off(now, PauseLimit::cap);
}

// --- which replies to accept -----------------------------------------------------------------------------

bool Watch::is_older(const ReplyHeader& header) const {
    const bool both_known = !cluster_.raw().empty() && !header.cluster.raw().empty();
    if (both_known && header.cluster != cluster_) return true;
    return header.revision < resume_revision_;
}

// Returns true if the replies of the registry member in use are acceptable: either the registry member is
// current, or the registry counts as rolled back and a full read is due.
bool Watch::accept_header(TimePoint now, const ReplyHeader& header) {
    if (!is_older(header)) {
        rollback_detector_.reset();
        return true;
    }
    const RollbackDetector::Verdict verdict = rollback_detector_.on_older_reply(now, member_);
    switch (verdict) {
        case RollbackDetector::Verdict::member_lags:
        case RollbackDetector::Verdict::most_members_lag:
            leave_lagging_member(now, verdict);
            return false;
        case RollbackDetector::Verdict::rolled_back:
            warn(WatchWarningKind::registry_rolled_back);
            break;
        case RollbackDetector::Verdict::still_rolled_back:
            break;
    }
    recovery_ = Recovery::full_read;
    return true;
}

void Watch::leave_lagging_member(TimePoint now, RollbackDetector::Verdict verdict) {
    transport_.close();
    enter(now, SyncState::lagging);
    use_next_member();
    if (verdict == RollbackDetector::Verdict::member_lags) return back_off(now, PauseLimit::growing);
    const Duration jitter = policy_.backoff_base * random_fraction();
    expect(now, PendingOperation::pause, rollback_detector_.confirmation_time() - now + jitter);
}

// The reply does not contain the registry member's revision, which is at least one below the requested
// revision.
void Watch::on_revision_not_reached(TimePoint now) {
    if (!is_request_pending()) return;
    if (accept_header(now, {cluster_, Revision{resume_revision_.raw() - 1}})) request_next(now);
}

// --- full read -------------------------------------------------------------------------------------------

void Watch::on_page(TimePoint now, const Page& page) {
    if (pending_operation_ != PendingOperation::page) return;
    const bool first_page = full_read_.header.revision == Revision{};
    if (first_page) {
        if (!accept_header(now, page.header)) return;
        full_read_.header = page.header;
    }
    std::vector<Record>& records = full_read_.records;
    if (records.size() + page.records.size() > policy_.max_records) return reject_long_list(now);
    records.insert(records.end(), page.records.begin(), page.records.end());
    if (!page.more) return finish_read(now);
    if (page.records.empty()) return on_request_failed(now, {RequestFailureReason::empty_page, {}});
    expect(now, PendingOperation::page, policy_.reply_timeout);
    transport_.read_page(member_, records.back().key, full_read_.header.revision);
}

void Watch::reject_long_list(TimePoint now) {
    if (!long_list_reported_) warn(WatchWarningKind::too_many_records);
    long_list_reported_ = true;
    full_read_.records.clear();
    transport_.close();
    back_off(now, PauseLimit::cap);
}

void Watch::finish_read(TimePoint now) {
    read_restarts_ = 0;
    long_list_reported_ = false;
    if (is_doubtful(full_read_.records)) {
        if (!is_confirmed(now)) return reject_doubtful_read(now);
        warn(WatchWarningKind::doubtful_read_confirmed);
    }
    apply_full_read(now);
}

// A registry member that lost its data returns an empty or mostly unreadable list. Applying such a list would
// remove the fleet, so the list is doubtful and needs a confirmation, see is_confirmed().
bool Watch::is_doubtful(const std::vector<Record>& records) const {
    constexpr double min_readable_share = 0.5;
    if (!list_reported_ || view_.entries().empty()) return false;
    if (record_kind_ == RecordKind::opaque) return records.empty();
    const auto readable = std::count_if(records.begin(), records.end(),
                                        [](const Record& r) { return parse_endpoint(r).has_value(); });
    if (readable == 0) return true;
    return static_cast<double>(readable) < min_readable_share * static_cast<double>(records.size());
}

// A doubtful list is confirmed by a doubtful list from another registry member. In a registry with only one
// member, a second doubtful list from this member confirms the first list once watch_timeout has passed.
bool Watch::is_confirmed(TimePoint now) const {
    if (!doubtful_read_) return false;
    if (policy_.members == 1) return now - doubtful_read_->at >= policy_.watch_timeout;
    return member_ != doubtful_read_->member && now >= doubtful_read_->at;
}

void Watch::reject_doubtful_read(TimePoint now) {
    if (!doubtful_read_) {
        doubtful_read_ = DoubtfulRead{member_, now};
        warn(WatchWarningKind::doubtful_read_rejected);
    }
    full_read_.records.clear();
    use_next_member();
    transport_.close();
    back_off(now, PauseLimit::growing);
}

void Watch::apply_full_read(TimePoint now) {
    ++full_reads_;
    doubtful_read_.reset();
    rollback_detector_.reset();
    recovery_ = Recovery::watch;
    const FullRead read = std::exchange(full_read_, {});
    if (!read.header.cluster.raw().empty()) cluster_ = read.header.cluster;
    const std::vector<EndpointRecord> updates = view_.replace(read.header.revision, read.records, now);
    resume_revision_ = read.header.revision;
    last_contact_at_ = last_complete_at_ = now;
    const bool first_list = !std::exchange(list_reported_, true);
    if (first_list || !updates.empty()) observer_.on_endpoints(now, updates, first_list);
    std::vector<Change> all;
    all.reserve(read.records.size());
    for (const Record& record : read.records) all.push_back({record, false});
    observer_.on_records(now, resume_revision_, all, true);
    open_watch(now);
}

// --- history check ---------------------------------------------------------------------------------------

// Compares the registry's history with the view's history, because the two histories differ after the
// registry was restored. If the registry has since reached a higher revision than the view, its revision does
// not reveal the restore, and a watch alone would not report the records that the restore removed.
void Watch::on_check_result(TimePoint now, const ReplyHeader& header, std::size_t records,
                            const std::vector<Record>& newest) {
    if (pending_operation_ != PendingOperation::check) return;
    if (!accept_header(now, header)) return;
    const bool full_read_required = recovery_ == Recovery::full_read;
    const bool same_history = is_same_history(records, newest);
    if (!same_history) warn(WatchWarningKind::history_diverged);
    recovery_ = same_history && !full_read_required ? Recovery::watch : Recovery::full_read;
    request_next(now);
}

bool Watch::is_same_history(std::size_t records, const std::vector<Record>& newest) const {
    const auto& entries = view_.entries();
    const auto is_known = [&](const Record& record) {
        const auto it = entries.find(record.key);
        if (it == entries.end()) return false;
        const EndpointView::Entry& entry = it->second;
        if (entry.modified != record.modified || entry.created != record.created) return false;
        return entry.unreadable || entry.value == record.value;
    };
    return records == entries.size() && newest.size() == std::min(records, max_checked_records) &&
           std::all_of(newest.begin(), newest.end(), is_known);
}

// --- watch -----------------------------------------------------------------------------------------------

void Watch::on_watch_opened(TimePoint now, const ReplyHeader& header) {
    if (pending_operation_ != PendingOperation::watch_opening) return;
    if (!accept_header(now, header)) return;
    if (recovery_ == Recovery::full_read) return request_next(now);
    mark_current(now);
}

void Watch::on_changes(TimePoint now, const ReplyHeader& header, const std::vector<Change>& changes,
                       bool fragment) {
    if (pending_operation_ != PendingOperation::watch_message &&
        pending_operation_ != PendingOperation::watch_opening)
        return;
    if (!accept_header(now, header)) return;
    if (recovery_ == Recovery::full_read) return request_next(now);
    if (pending_changes_.size() + changes.size() > policy_.max_pending_changes)
        return reject_long_change(now);
    pending_changes_.insert(pending_changes_.end(), changes.begin(), changes.end());
    if (fragment) {
        last_contact_at_ = now;
        return expect(now, PendingOperation::watch_message, policy_.watch_timeout);
    }
    apply_pending_changes(now, header);
    mark_current(now);
}

void Watch::reject_long_change(TimePoint now) {
    pending_changes_.clear();
    recovery_ = Recovery::full_read;
    warn(WatchWarningKind::too_many_pending_changes);
    transport_.close();
    back_off(now, PauseLimit::growing);
}

void Watch::apply_pending_changes(TimePoint now, const ReplyHeader& header) {
    std::vector<Change> changes = std::exchange(pending_changes_, {});
    // The revision in a registry member's message may be ahead of the changes that the registry member has
    // sent. Only after a progress notice, which is a message without changes, are all changes up to the
    // revision in the message known.
    const Revision covered = changes.empty() ? header.revision : Revision{};
    const Revision before = view_.revision();
    const std::vector<EndpointRecord> updates = view_.apply(covered, changes, now);
    std::erase_if(changes, [&](const Change& change) { return change.record.modified <= before; });
    resume_revision_ = std::max(resume_revision_, view_.revision());
    if (!updates.empty()) observer_.on_endpoints(now, updates, false);
    if (!changes.empty()) observer_.on_records(now, view_.revision(), changes, false);
}

void Watch::mark_current(TimePoint now) {
    // A watch that has been open for this share of backoff_cap resets the count of consecutive failures. With
    // a much smaller share, a gateway would always wait only for the base pause before it retries a registry
    // that accepts connections and then drops them.
    constexpr double stable_share_of_cap = 0.02;
    last_contact_at_ = last_complete_at_ = now;
    if (pending_operation_ == PendingOperation::watch_opening) watch_opened_at_ = now;
    if (now - watch_opened_at_ >= policy_.backoff_cap * stable_share_of_cap) consecutive_failures_ = 0;
    enter(now, SyncState::following);
    expect(now, PendingOperation::watch_message, policy_.watch_timeout);
}

}  // namespace irismux::registry
