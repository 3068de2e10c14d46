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

enum class Sight { reading, resuming, following, behind, blind };
std::string_view word_of(Sight sight);

constexpr std::size_t last_changed = 8;  // records that a check compares

// What a Watch asks of its carrier. Each ask replaces the one before; answers to a former one must not be
// told.
class Asks {
public:
    virtual ~Asks() = default;
    // Records behind `after` (none: from the first) at that revision (zero: the newest).
    virtual void read(MemberNo, const std::optional<RecordKey>& after, Revision at) = 0;
    // How many records there are at that revision, and the `last_changed` of them that were changed last.
    virtual void check(MemberNo, Revision at) = 0;
    virtual void follow(MemberNo, Revision from) = 0;
    virtual void hang_up() = 0;
    virtual void wake(Instant at) = 0;  // one at a time
};

// Who is told what is known.
class Knows {
public:
    virtual ~Knows() = default;
    virtual void list_told(Instant now, const std::vector<ListLine>& lines, bool complete) = 0;
    // The records behind it: all there are at that revision, or those changed since the ones told last.
    virtual void records_told(Instant, Revision, const std::vector<Change>&, bool /*all*/) {}
    // What is known was whole at `as_of`.
    virtual void sight_told(Instant now, Sight sight, Instant as_of) = 0;
    virtual void remark(std::string_view plain_line) = 0;
};

// What the records are: of caches, or of whoever reads records_told(), where none is unreadable.
enum class Sort { caches, plain };

struct Pace {
    std::size_t members = 1;
    Span base = Span::micros(50'000);          // full jitter: a pause is drawn from zero to base * 2^n,
    Span cap = Span::micros(5'000'000);        // and to this at most
    Span answer_in = Span::micros(1'000'000);  // an ask is answered by then, or its member left
    Span quiet = Span::micros(2'000'000);      // a watch says something at least this often
    std::size_t most_records = 16'384;         // a longer list is refused, and the one known stays
    std::size_t most_pending = 16'384;         // changes of one revision still in pieces; beyond: a full read
    int restarts = 4;                          // full reads begun over in a row before a pause at the cap
    bool operator==(const Pace&) const = default;
};

class Watch {
public:
    Watch(Asks& asks, Knows& knows, const Pace& pace, std::uint64_t seed, Sort sort = Sort::caches);

    // From what was stored: in force at once, but as old as it is.
    void start_from(Instant now, const ClusterId&, Revision, const std::vector<Record>&, Instant as_of);
    void start(Instant now);

    void on_page(Instant now, const Page& page);
    void on_checked(Instant now, const Origin& from, std::size_t records, const std::vector<Record>& newest);
    void on_watching(Instant now, const Origin& from);
    // The changes of whole revisions, or, where `goes_on`, a first part of them.
    void on_changes(Instant now, const Origin& from, const std::vector<Change>& changes, bool goes_on);
    void on_compacted(Instant now);
    // The revision asked for is one that the member has not reached.
    void on_not_there(Instant now);
    void on_broken(Instant now, std::string_view why);
    void on_wake(Instant now);

    Sight sight() const { return sight_; }
    const View& view() const { return view_; }
    const ClusterId& cluster() const { return cluster_; }
    Instant as_of() const { return as_of_; }
    std::uint64_t full_reads() const { return full_reads_; }  // brought to an end and believed

private:
    enum class Waiting { nothing, pause, page, check, first_word, word };
    enum class Stand { same, behind, other };  // an answer's sender, against what has been seen

    void enter(Instant now, Sight sight);
    void ask(Instant now);
    void rest(Instant now, bool at_cap = false);
    double part();  // of a pause, by chance
    void wait_for(Instant now, Waiting what, Span most);
    Stand stand_of(const Origin& from) const;
    bool trusted(Instant now, const Origin& from);
    void finish_read(Instant now);
    bool doubtful(const std::vector<Record>& records) const;
    void current(Instant now);
    void next_member() { member_ = MemberNo{(member_.raw() + 1) % pace_.members}; }

    Asks& asks_;
    Knows& knows_;
    Pace pace_;
    std::ranlux24_base chance_;
    Sort sort_;
    View view_;
    ClusterId cluster_;
    Sight sight_ = Sight::reading;
    bool told_ = false;      // a first list has been told
    bool must_read_ = true;  // a watch alone would leave a gap
    bool unsure_ = false;    // so long without a word that the registry may have been restored meanwhile
    MemberNo member_;
    Waiting waiting_ = Waiting::nothing;
    Instant due_, heard_, as_of_;
    int breaks_ = 0;    // in a row, without a stretch that held
    int restarts_ = 0;  // full reads begun over in a row
    std::uint64_t full_reads_ = 0;
    Instant open_since_;

    Revision resume_;  // up to here nothing is missing
    std::vector<Record> pages_;
    Origin pinned_;
    std::vector<Change> pending_;

    std::set<MemberNo> went_back_;  // members that showed a registry before what we have seen
    Instant first_back_;
    bool take_back_ = false;  // a full read of such a registry is to be believed
    bool doubted_ = false;    // the last full read was no instruction
    MemberNo doubted_at_;
    Instant doubted_since_;
    bool refused_ = false;  // said once: the list is too long
};

}  // namespace irismux::registry
