/// Removes records that dead members left behind. Garbage collection is a duty of the fleet, so one member at
/// a time does it. Does no I/O. These records are garbage:
///
///   duty/watch/...  the duty to check a cache, if no live member owns the duty and this member does not
///                   follow the duty; the floor keeps the token of the removed record
///   aside/...       an operator's release of a duty, if the released instance is no longer a member
///   seen/...        the result of a cache's health check, if the duty to check that cache has no record
///
/// A record is removed only after it has been garbage, with an unchanged value, for a minimum time by this
/// owner's clock. Each removal is one transaction that also stores the key of the removed record, so that the
/// next owner continues the pass after this key. The records of all other duties are never removed, since
/// only few names of such duties exist.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/agent.hpp"
#include "fleet/record_mirror.hpp"

namespace irismux::fleet {

DutyName garbage_collection_duty();

class GarbageCollector {
public:
    /// A pass begins `interval` after the end of the previous pass, by this owner's clock.
    GarbageCollector(Duration interval, Duration minimum_age)
        : interval_(interval), minimum_age_(minimum_age) {}

    /// Returns the next write if one is due. One write is in flight at a time.
    std::optional<FencedWrite> next_write(TimePoint now, const RecordMirror& record_mirror,
                                          const Agent& agent);
    /// Called with the outcome of the write that next_write() has returned.
    void on_written(TimePoint now, WriteOutcome outcome);
    /// Returns when next_write() must be called again if no write is in flight.
    TimePoint next_pass_at() const { return next_pass_at_; }

private:
    // The value of a record that is garbage, and the time at which the record was first seen as garbage with
    // this value.
    struct Candidate {
        std::string text;
        TimePoint since;
    };

    std::optional<FencedWrite> removal(const Key& key, const std::string& text,
                                       const RecordMirror& record_mirror, const Agent& agent) const;

    std::optional<FencedWrite> duty_removal(const Key& key, const std::string& text, const DutyName& duty,
                                            const RecordMirror& record_mirror, const Agent& agent) const;
    void scan(TimePoint now, const RecordMirror& record_mirror, const Agent& agent);

    Duration interval_, minimum_age_;
    bool write_under_way_ = false;
    bool write_ends_pass_ = false;
    TimePoint next_pass_at_;
    std::set<Key> ready_removals_;         // records still to be removed in this pass
    bool scanned_ = false;                 // the scan of this pass is done
    std::map<Key, Candidate> candidates_;  // at most as many as there are records
};

}  // namespace irismux::fleet
