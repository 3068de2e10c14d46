// Takes away what dead members left behind: a duty of the fleet, so one at a time does it. No I/O.
//
//   duty/watch/…   that nobody owns any more and this member does not know of; its epoch goes into the floor
//   aside/…        about an instance that has gone
//   seen/…         of a watch that is no more
//
// Nothing is taken that has not stood there unchanged, and as litter, for two waits by this owner's own
// clock. Each removal is one transaction with the place that has been reached, so that a successor goes on
// behind it, and whatever was half done is done or undone, by one of them. Other duties' records stay: their
// names are few.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

DutyName garbage_collection_duty();  // the duty's name

class GarbageCollector {
public:
    // A pass begins `every` after the one before, as this owner sees it.
    GarbageCollector(Span every, Span rests) : every_(every), rests_(rests) {}

    // What to write next, if anything is due. One chore is out at a time; its end is told.
    std::optional<FencedWrite> next(Instant now, const RecordMirror& record_mirror, const Agent& agent);
    void told(Instant now, WriteOutcome done);
    Instant due() const { return next_; }

private:
    std::optional<FencedWrite> removal(const Key& key, const std::string& text,
                                       const RecordMirror& record_mirror, const Agent& agent) const;

    Span every_, rests_;
    void look_over(Instant now, const RecordMirror& record_mirror, const Agent& agent);

    bool out_ = false, ends_pass_ = false;
    Instant next_;
    std::set<Key> ready_;  // to be taken in this pass
    bool looked_over_ = false;
    struct Lying {
        std::string text;
        Instant since;
    };
    std::map<Key, Lying> litter_;  // as many as there are records
};

}  // namespace irismux::fleet
