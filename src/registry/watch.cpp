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

std::string_view word_of(Sight sight) {
    constexpr std::string_view words[] = {"reading", "resuming", "following", "behind", "blind"};
    return words[static_cast<std::size_t>(sight)];
}

Watch::Watch(Asks& asks, Knows& knows, const Pace& pace, std::uint64_t seed, Sort sort)
    : asks_(asks),
      knows_(knows),
      pace_(pace),
      chance_(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      sort_(sort),
      member_(chance_() % std::max<std::size_t>(1, pace.members)) {
    pace_.members = std::max<std::size_t>(1, pace_.members);
}

void Watch::start_from(Instant now, const ClusterId& cluster, Revision at, const std::vector<Record>& records,
                       Instant as_of) {
    cluster_ = cluster;
    as_of_ = as_of;
    const std::vector<ListLine> lines = view_.replace(at, records, now);
    resume_ = at;
    told_ = true;
    must_read_ = false;
    unsure_ = true;
    knows_.list_told(now, lines, true);
    enter(now, Sight::blind);
}

void Watch::start(Instant now) {
    heard_ = now;
    ask(now);
}

// --- asking ----------------------------------------------------------------------------------------------

void Watch::enter(Instant now, Sight sight) {
    unsure_ = unsure_ || sight == Sight::blind;
    if (sight == sight_ && sight != Sight::following) return;
    // Whoever is blind stays so until something current has come.
    if (sight_ == Sight::blind && sight != Sight::following) return;
    const bool news = std::exchange(sight_, sight) != sight;
    if (news) knows_.sight_told(now, sight, as_of_);
}

void Watch::wait_for(Instant now, Waiting what, Span most) {
    waiting_ = what;
    due_ = now + most;
    // Blindness is found in time, whatever is waited for.
    const Instant blind = heard_ + pace_.quiet;
    asks_.wake(sight_ == Sight::blind || blind <= now ? due_ : std::min(due_, blind));
}

// Goes on with what is needed: a full read, or the watch.
void Watch::ask(Instant now) {
    pending_.clear();
    if (!must_read_ && unsure_) {
        wait_for(now, Waiting::check, pace_.answer_in);
        return asks_.check(member_, view_.revision());
    }
    if (!must_read_) {
        enter(now, Sight::resuming);
        wait_for(now, Waiting::first_word, pace_.answer_in);
        return asks_.follow(member_, Revision{resume_.raw() + 1});
    }
    enter(now, Sight::reading);
    pages_.clear();
    pinned_ = Origin{};
    wait_for(now, Waiting::page, pace_.answer_in);
    asks_.read(member_, std::nullopt, Revision{});
}

// Full jitter: all who lost a registry at once come back spread over the whole pause.
void Watch::rest(Instant now, bool at_cap) {
    const Span grown = pace_.base * std::pow(2.0, std::min(breaks_++, most_doublings));
    const Span most = at_cap ? pace_.cap : std::min(grown, pace_.cap);
    wait_for(now, Waiting::pause, most * part());
}

double Watch::part() {
    return static_cast<double>(chance_()) / static_cast<double>(std::ranlux24_base::max());
}

void Watch::on_broken(Instant now, std::string_view why) {
    if (waiting_ == Waiting::nothing || waiting_ == Waiting::pause) return;
    if (sight_ == Sight::following) enter(now, Sight::resuming);
    if (breaks_ == 0) knows_.remark(why);
    asks_.hang_up();
    next_member();
    rest(now);
}

void Watch::on_wake(Instant now) {
    if (waiting_ == Waiting::nothing) return;
    if (now - heard_ >= pace_.quiet) enter(now, Sight::blind);
    if (now < due_) return wait_for(now, waiting_, due_ - now);
    if (waiting_ == Waiting::pause) return ask(now);
    on_broken(now, waiting_ == Waiting::word ? "an open watch has gone silent" : "no answer in time");
}

// --- whom to believe -------------------------------------------------------------------------------------

Watch::Stand Watch::stand_of(const Origin& from) const {
    if (!cluster_.raw().empty() && !from.cluster.raw().empty() && from.cluster != cluster_)
        return Stand::other;
    return from.revision < resume_ ? Stand::behind : Stand::same;
}

// A member that shows less than has been seen lags, or the registry has been set back. One member can't tell
// which: it is left for the others, and only when most of them have shown the same for the longest quiet is
// it believed.
bool Watch::trusted(Instant now, const Origin& from) {
    if (stand_of(from) == Stand::same) {
        went_back_.clear();
        take_back_ = false;
        return true;
    }
    if (went_back_.empty()) first_back_ = now;
    went_back_.insert(member_);
    if (went_back_.size() * 2 > pace_.members && now - first_back_ >= pace_.quiet) {
        if (!std::exchange(take_back_, true)) knows_.remark("the registry has gone back: it is read anew");
        must_read_ = true;
        return true;
    }
    asks_.hang_up();
    enter(now, Sight::behind);
    next_member();
    if (went_back_.size() * 2 > pace_.members)  // nothing more is to be learnt before then
        wait_for(now, Waiting::pause, first_back_ + pace_.quiet - now + pace_.base * part());
    else
        rest(now);
    return false;
}

// Something current has come.
void Watch::current(Instant now) {
    heard_ = as_of_ = now;
    if (waiting_ == Waiting::first_word) open_since_ = now;
    if (now - open_since_ >= pace_.cap * held_of_cap) breaks_ = 0;
    enter(now, Sight::following);
    wait_for(now, Waiting::word, pace_.quiet);
}

// --- the full read ---------------------------------------------------------------------------------------

void Watch::on_page(Instant now, const Page& page) {
    if (waiting_ != Waiting::page) return;
    if (pinned_.revision == Revision{}) {
        if (!trusted(now, page.from)) return;
        pinned_ = page.from;
    }
    if (pages_.size() + page.records.size() > pace_.most_records) {
        if (!std::exchange(refused_, true))
            knows_.remark("the registry's list is too long: what is known stays");
        pages_.clear();
        asks_.hang_up();
        return rest(now, true);
    }
    pages_.insert(pages_.end(), page.records.begin(), page.records.end());
    if (page.more && page.records.empty()) return on_broken(now, "a page without records has more behind it");
    if (!page.more) return finish_read(now);
    wait_for(now, Waiting::page, pace_.answer_in);
    asks_.read(member_, pages_.back().key, pinned_.revision);
}

// Empty, or mostly unreadable, where there was a list.
bool Watch::doubtful(const std::vector<Record>& records) const {
    if (!told_ || view_.entries().empty()) return false;
    if (sort_ == Sort::plain) return records.empty();
    const auto good =
        std::count_if(records.begin(), records.end(), [](const Record& r) { return line_of(r).has_value(); });
    return static_cast<double>(good) < readable_least * static_cast<double>(records.size()) || good == 0;
}

void Watch::finish_read(Instant now) {
    restarts_ = 0;
    refused_ = false;
    if (doubtful(pages_)) {
        const bool confirmed = doubted_ && (member_ != doubted_at_ || pace_.members == 1) &&
                               now - doubted_since_ >= (pace_.members == 1 ? pace_.quiet : Span{});
        if (!confirmed) {
            if (!std::exchange(doubted_, true)) {
                doubted_at_ = member_;
                doubted_since_ = now;
                knows_.remark(
                    "the registry's list is empty or unreadable: what is known stays until that is "
                    "confirmed");
            }
            pages_.clear();
            next_member();
            asks_.hang_up();
            return rest(now);
        }
        knows_.remark("an empty or unreadable list is confirmed");
    }
    ++full_reads_;
    doubted_ = unsure_ = false;
    went_back_.clear();
    take_back_ = false;
    must_read_ = false;
    if (!pinned_.cluster.raw().empty()) cluster_ = pinned_.cluster;
    const std::vector<Record> records = std::exchange(pages_, {});
    const std::vector<ListLine> lines = view_.replace(pinned_.revision, records, now);
    resume_ = pinned_.revision;
    heard_ = as_of_ = now;
    const bool complete = !std::exchange(told_, true);
    if (complete || !lines.empty()) knows_.list_told(now, lines, complete);
    std::vector<Change> all;
    all.reserve(records.size());
    for (const Record& r : records) all.push_back({r, false});
    knows_.records_told(now, resume_, all, true);
    wait_for(now, Waiting::first_word, pace_.answer_in);
    asks_.follow(member_, Revision{resume_.raw() + 1});
}

// --- the watch -------------------------------------------------------------------------------------------

// A registry that was restored and has grown past what we have seen since tells so in no number. Only its
// history does: at our revision it must hold as many records as we do, and the last changed must be ours.
void Watch::on_checked(Instant now, const Origin& from, std::size_t records,
                       const std::vector<Record>& newest) {
    if (waiting_ != Waiting::check || !trusted(now, from)) return;
    const auto& ours = view_.entries();
    const auto known = [&](const Record& r) {
        const auto it = ours.find(r.key);
        return it != ours.end() && it->second.modified == r.modified && it->second.created == r.created &&
               (it->second.unreadable || it->second.value == r.value);
    };
    const bool same = records == ours.size() && newest.size() == std::min(records, last_changed) &&
                      std::all_of(newest.begin(), newest.end(), known);
    if (!same) {
        knows_.remark("the registry has another history than the one known: it is read anew");
        must_read_ = true;
    }
    unsure_ = false;
    ask(now);
}

void Watch::on_watching(Instant now, const Origin& from) {
    if (waiting_ != Waiting::first_word) return;
    if (!trusted(now, from)) return;
    if (must_read_) return ask(now);
    current(now);
}

void Watch::on_changes(Instant now, const Origin& from, const std::vector<Change>& changes, bool goes_on) {
    if (waiting_ != Waiting::word && waiting_ != Waiting::first_word) return;
    if (!trusted(now, from)) return;
    if (must_read_) return ask(now);
    if (pending_.size() + changes.size() > pace_.most_pending) {
        pending_.clear();
        must_read_ = true;
        knows_.remark("too many changes in one piece: the list is read anew");
        asks_.hang_up();
        return rest(now);
    }
    pending_.insert(pending_.end(), changes.begin(), changes.end());
    if (goes_on) {
        heard_ = now;
        return wait_for(now, Waiting::word, pace_.quiet);
    }
    std::vector<Change> whole = std::exchange(pending_, {});
    // With changes the sender may be ahead of what it has sent; without any, all up to its revision is known.
    const Revision upto = whole.empty() ? from.revision : Revision{};
    const Revision before = view_.revision();
    const std::vector<ListLine> lines = view_.apply(upto, whole, now);
    std::erase_if(whole, [&](const Change& c) { return c.record.modified <= before; });
    resume_ = std::max(resume_, view_.revision());
    if (!lines.empty()) knows_.list_told(now, lines, false);
    if (!whole.empty()) knows_.records_told(now, view_.revision(), whole, false);
    current(now);
}

// The revisions to go on from are gone: only a full read tells what has changed since.
void Watch::on_compacted(Instant now) {
    if (waiting_ == Waiting::nothing || waiting_ == Waiting::pause) return;
    pages_.clear();
    pending_.clear();
    asks_.hang_up();
    // The first one of a row costs no pause: what has happened meanwhile may be urgent.
    const bool at_once = !must_read_ && restarts_ == 0;
    must_read_ = true;
    if (at_once) {
        restarts_ = 1;
        return ask(now);
    }
    if (++restarts_ <= pace_.restarts) return rest(now);
    restarts_ = 0;
    rest(now, true);
}

// It lags, or has been set back: what it lacks says no more than a revision below ours does.
void Watch::on_not_there(Instant now) {
    if (waiting_ == Waiting::nothing || waiting_ == Waiting::pause) return;
    if (trusted(now, Origin{cluster_, Revision{resume_.raw() - 1}})) ask(now);
}

}  // namespace irismux::registry
