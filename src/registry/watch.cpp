#include "registry/watch.hpp"

#include <algorithm>
#include <cmath>

namespace irismux::registry {
namespace {

// A pause doubles with each break in a row, up to the cap or so often.
constexpr int most_doublings = 16;
// A watch that has held for this part of the cap ends the row of breaks. Much less would let a registry that
// takes and drops connections be asked at the base pace; much more would slow the return from breaks that
// have nothing to do with each other.
constexpr double held_of_cap = 0.02;
// A read that leaves less than this part of its records readable is no instruction.
constexpr double readable_least = 0.5;

}  // namespace

std::string_view to_string(SyncState sight) {
    constexpr std::string_view words[] = {"reading", "resuming", "following", "behind", "blind"};
    return words[static_cast<std::size_t>(sight)];
}

Watch::Watch(WatchTransport& asks, WatchObserver& knows, const PollPolicy& pace, std::uint64_t seed,
             RecordKind sort)
    : transport_(asks),
      observer_(knows),
      policy_(pace),
      random_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      record_kind_(sort),
      member_(random_() % std::max<std::size_t>(1, pace.members)) {
    policy_.members = std::max<std::size_t>(1, policy_.members);
}

void Watch::start_from(TimePoint now, const ClusterId& cluster, Revision at,
                       const std::vector<Record>& records, TimePoint as_of) {
    cluster_ = cluster;
    last_complete_at_ = as_of;
    const std::vector<EndpointRecord> lines = view_.replace(at, records, now);
    resume_revision_ = at;
    endpoints_reported_ = true;
    must_read_ = false;
    may_have_been_restored_ = true;
    observer_.on_endpoints(now, lines, true);
    enter(now, SyncState::disconnected);
}

void Watch::start(TimePoint now) {
    last_seen_ = now;
    request_next(now);
}

// --- asking ----------------------------------------------------------------------------------------------

void Watch::enter(TimePoint now, SyncState sight) {
    may_have_been_restored_ = may_have_been_restored_ || sight == SyncState::disconnected;
    if (sight == sync_state_ && sight != SyncState::following) return;
    // Whoever is blind stays so until something current has come.
    if (sync_state_ == SyncState::disconnected && sight != SyncState::following) return;
    const bool news = std::exchange(sync_state_, sight) != sight;
    if (news) observer_.on_sync_state(now, sight, last_complete_at_);
}

void Watch::expect(TimePoint now, PendingOperation what, Duration most) {
    pending_operation_ = what;
    due_ = now + most;
    // Blindness is found in time, whatever is waited for.
    const TimePoint blind = last_seen_ + policy_.watch_timeout;
    transport_.schedule_wake(sync_state_ == SyncState::disconnected || blind <= now ? due_
                                                                                    : std::min(due_, blind));
}

// Goes on with what is needed: a full read, or the watch.
void Watch::request_next(TimePoint now) {
    pending_.clear();
    if (!must_read_ && may_have_been_restored_) {
        expect(now, PendingOperation::check, policy_.reply_timeout);
        return transport_.check_revision(member_, view_.revision());
    }
    if (!must_read_) {
        enter(now, SyncState::resuming);
        expect(now, PendingOperation::watch_opening, policy_.reply_timeout);
        return transport_.open_watch(member_, Revision{resume_revision_.raw() + 1});
    }
    enter(now, SyncState::reading);
    pages_.clear();
    read_origin_ = Origin{};
    expect(now, PendingOperation::page, policy_.reply_timeout);
    transport_.read_page(member_, std::nullopt, Revision{});
}

// Full jitter: all who lost a registry at once come back spread over the whole pause.
void Watch::back_off(TimePoint now, bool at_cap) {
    const Duration grown =
        policy_.backoff_base * std::pow(2.0, std::min(consecutive_failures_++, most_doublings));
    const Duration most = at_cap ? policy_.backoff_cap : std::min(grown, policy_.backoff_cap);
    expect(now, PendingOperation::pause, most * random_fraction());
}

double Watch::random_fraction() {
    return static_cast<double>(random_()) / static_cast<double>(std::ranlux24_base::max());
}

void Watch::on_broken(TimePoint now, std::string_view why) {
    if (pending_operation_ == PendingOperation::nothing || pending_operation_ == PendingOperation::pause)
        return;
    if (sync_state_ == SyncState::following) enter(now, SyncState::resuming);
    if (consecutive_failures_ == 0) observer_.on_warning(why);
    transport_.close();
    next_member();
    back_off(now);
}

void Watch::on_wake(TimePoint now) {
    if (pending_operation_ == PendingOperation::nothing) return;
    if (now - last_seen_ >= policy_.watch_timeout) enter(now, SyncState::disconnected);
    if (now < due_) return expect(now, pending_operation_, due_ - now);
    if (pending_operation_ == PendingOperation::pause) return request_next(now);
    on_broken(now, pending_operation_ == PendingOperation::watch_message ? "an open watch has gone silent"
                                                                         : "no answer in time");
}

// --- whom to believe -------------------------------------------------------------------------------------

Watch::RevisionOrder Watch::compare_revision(const Origin& from) const {
    if (!cluster_.raw().empty() && !from.cluster.raw().empty() && from.cluster != cluster_)
        return RevisionOrder::other_cluster;
    return from.revision < resume_revision_ ? RevisionOrder::older : RevisionOrder::same;
}

// A member that shows less than has been seen lags, or the registry has been set back. One member can't tell
// which: it is left for the others, and only when most of them have shown the same for the longest quiet is
// it believed.
bool Watch::accept_origin(TimePoint now, const Origin& from) {
    if (compare_revision(from) == RevisionOrder::same) {
        older_members_.clear();
        accept_older_registry_ = false;
        return true;
    }
    if (older_members_.empty()) first_older_seen_at_ = now;
    older_members_.insert(member_);
    if (older_members_.size() * 2 > policy_.members && now - first_older_seen_at_ >= policy_.watch_timeout) {
        if (!std::exchange(accept_older_registry_, true))
            observer_.on_warning("the registry has gone back: it is read anew");
        must_read_ = true;
        return true;
    }
    transport_.close();
    enter(now, SyncState::lagging);
    next_member();
    if (older_members_.size() * 2 > policy_.members)  // nothing more is to be learnt before then
        expect(now, PendingOperation::pause,
               first_older_seen_at_ + policy_.watch_timeout - now + policy_.backoff_base * random_fraction());
    else
        back_off(now);
    return false;
}

// Something current has come.
void Watch::mark_current(TimePoint now) {
    last_seen_ = last_complete_at_ = now;
    if (pending_operation_ == PendingOperation::watch_opening) open_since_ = now;
    if (now - open_since_ >= policy_.backoff_cap * held_of_cap) consecutive_failures_ = 0;
    enter(now, SyncState::following);
    expect(now, PendingOperation::watch_message, policy_.watch_timeout);
}

// --- the full read ---------------------------------------------------------------------------------------

void Watch::on_page(TimePoint now, const Page& page) {
    if (pending_operation_ != PendingOperation::page) return;
    if (read_origin_.revision == Revision{}) {
        if (!accept_origin(now, page.origin)) return;
        read_origin_ = page.origin;
    }
    if (pages_.size() + page.records.size() > policy_.max_records) {
        if (!std::exchange(size_limit_logged_, true))
            observer_.on_warning("the registry's list is too long: what is known stays");
        pages_.clear();
        transport_.close();
        return back_off(now, true);
    }
    pages_.insert(pages_.end(), page.records.begin(), page.records.end());
    if (page.more && page.records.empty()) return on_broken(now, "a page without records has more behind it");
    if (!page.more) return finish_read(now);
    expect(now, PendingOperation::page, policy_.reply_timeout);
    transport_.read_page(member_, pages_.back().key, read_origin_.revision);
}

// Empty, or mostly unreadable, where there was a list.
bool Watch::is_doubtful(const std::vector<Record>& records) const {
    if (!endpoints_reported_ || view_.entries().empty()) return false;
    if (record_kind_ == RecordKind::opaque) return records.empty();
    const auto good = std::count_if(records.begin(), records.end(),
                                    [](const Record& r) { return parse_endpoint(r).has_value(); });
    return static_cast<double>(good) < readable_least * static_cast<double>(records.size()) || good == 0;
}

void Watch::finish_read(TimePoint now) {
    restarts_ = 0;
    size_limit_logged_ = false;
    if (is_doubtful(pages_)) {
        const bool confirmed =
            empty_read_doubted_ && (member_ != doubted_at_ || policy_.members == 1) &&
            now - doubted_since_ >= (policy_.members == 1 ? policy_.watch_timeout : Duration{});
        if (!confirmed) {
            if (!std::exchange(empty_read_doubted_, true)) {
                doubted_at_ = member_;
                doubted_since_ = now;
                observer_.on_warning(
                    "the registry's list is empty or unreadable: what is known stays until that is "
                    "confirmed");
            }
            pages_.clear();
            next_member();
            transport_.close();
            return back_off(now);
        }
        observer_.on_warning("an empty or unreadable list is confirmed");
    }
    ++full_reads_;
    empty_read_doubted_ = may_have_been_restored_ = false;
    older_members_.clear();
    accept_older_registry_ = false;
    must_read_ = false;
    if (!read_origin_.cluster.raw().empty()) cluster_ = read_origin_.cluster;
    const std::vector<Record> records = std::exchange(pages_, {});
    const std::vector<EndpointRecord> lines = view_.replace(read_origin_.revision, records, now);
    resume_revision_ = read_origin_.revision;
    last_seen_ = last_complete_at_ = now;
    const bool complete = !std::exchange(endpoints_reported_, true);
    if (complete || !lines.empty()) observer_.on_endpoints(now, lines, complete);
    std::vector<Change> all;
    all.reserve(records.size());
    for (const Record& r : records) all.push_back({r, false});
    observer_.on_records(now, resume_revision_, all, true);
    expect(now, PendingOperation::watch_opening, policy_.reply_timeout);
    transport_.open_watch(member_, Revision{resume_revision_.raw() + 1});
}

// --- the watch -------------------------------------------------------------------------------------------

// A registry that was restored and has grown past what we have seen since tells so in no number. Only its
// history does: at our revision it must hold as many records as we do, and the last changed must be ours.
void Watch::on_check_result(TimePoint now, const Origin& from, std::size_t records,
                            const std::vector<Record>& newest) {
    if (pending_operation_ != PendingOperation::check || !accept_origin(now, from)) return;
    const auto& ours = view_.entries();
    const auto known = [&](const Record& r) {
        const auto it = ours.find(r.key);
        return it != ours.end() && it->second.modified == r.modified && it->second.created == r.created &&
               (it->second.unreadable || it->second.value == r.value);
    };
    const bool same = records == ours.size() && newest.size() == std::min(records, max_checked_records) &&
                      std::all_of(newest.begin(), newest.end(), known);
    if (!same) {
        observer_.on_warning("the registry has another history than the one known: it is read anew");
        must_read_ = true;
    }
    may_have_been_restored_ = false;
    request_next(now);
}

void Watch::on_watch_opened(TimePoint now, const Origin& from) {
    if (pending_operation_ != PendingOperation::watch_opening) return;
    if (!accept_origin(now, from)) return;
    if (must_read_) return request_next(now);
    mark_current(now);
}

void Watch::on_changes(TimePoint now, const Origin& from, const std::vector<Change>& changes, bool goes_on) {
    if (pending_operation_ != PendingOperation::watch_message &&
        pending_operation_ != PendingOperation::watch_opening)
        return;
    if (!accept_origin(now, from)) return;
    if (must_read_) return request_next(now);
    if (pending_.size() + changes.size() > policy_.max_pending_changes) {
        pending_.clear();
        must_read_ = true;
        observer_.on_warning("too many changes in one piece: the list is read anew");
        transport_.close();
        return back_off(now);
    }
    pending_.insert(pending_.end(), changes.begin(), changes.end());
    if (goes_on) {
        last_seen_ = now;
        return expect(now, PendingOperation::watch_message, policy_.watch_timeout);
    }
    std::vector<Change> whole = std::exchange(pending_, {});
    // With changes the sender may be ahead of what it has sent; without any, all up to its revision is known.
    const Revision upto = whole.empty() ? from.revision : Revision{};
    const Revision before = view_.revision();
    const std::vector<EndpointRecord> lines = view_.apply(upto, whole, now);
    std::erase_if(whole, [&](const Change& c) { return c.record.modified <= before; });
    resume_revision_ = std::max(resume_revision_, view_.revision());
    if (!lines.empty()) observer_.on_endpoints(now, lines, false);
    if (!whole.empty()) observer_.on_records(now, view_.revision(), whole, false);
    mark_current(now);
}

// The revisions to go on from are gone: only a full read tells what has changed since.
void Watch::on_compacted(TimePoint now) {
    if (pending_operation_ == PendingOperation::nothing || pending_operation_ == PendingOperation::pause)
        return;
    pages_.clear();
    pending_.clear();
    transport_.close();
    // The first one of a row costs no pause: what has happened meanwhile may be urgent.
    const bool at_once = !must_read_ && restarts_ == 0;
    must_read_ = true;
    if (at_once) {
        restarts_ = 1;
        return request_next(now);
    }
    if (++restarts_ <= policy_.max_read_restarts) return back_off(now);
    restarts_ = 0;
    back_off(now, true);
}

// It lags, or has been set back: what it lacks says no more than a revision below ours does.
void Watch::on_revision_not_reached(TimePoint now) {
    if (pending_operation_ == PendingOperation::nothing || pending_operation_ == PendingOperation::pause)
        return;
    if (accept_origin(now, Origin{cluster_, Revision{resume_revision_.raw() - 1}})) request_next(now);
}

}  // namespace irismux::registry
