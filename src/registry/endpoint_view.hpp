// The list of caches at one revision of a registry. No I/O; the instant comes with each call.
//
// Whatever changes it returns the lines to tell a Router, so that one who takes them all, in order, holds the
// same list. A record that can't be read never holds up the others: its last good form stays.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "registry/record.hpp"

namespace irismux::registry {

// The line that a record holds; none where it can't be read or does not name its own key.
std::optional<EndpointRecord> parse_endpoint(const Record& record);

class EndpointView {
public:
    struct Entry {
        Revision created, modified;
        std::string value;  // the last good form, as the registry holds it; empty: none yet
        std::optional<EndpointRecord> endpoint;  // as told
        bool unreadable = false;                 // the newest form can't be read
    };

    Revision revision() const { return revision_; }
    const std::map<RecordKey, Entry>& entries() const { return entries_; }
    std::size_t unreadable() const { return unreadable_; }  // records whose newest form can't be read

    // The whole list at a revision. What is no longer there is told as gone, what was deleted and created
    // anew as gone and then as new and cold, what only changed once, the rest not at all.
    std::vector<EndpointRecord> replace(Revision at, const std::vector<Record>& records, TimePoint now);

    // All changes up to a revision, in its order. What is not newer than the view is dropped as a repeat.
    std::vector<EndpointRecord> apply(Revision upto, const std::vector<Change>& changes, TimePoint now);

    // Nothing has changed up to here.
    void advance(Revision to) { revision_ = std::max(revision_, to); }

private:
    void put(const Record& record, TimePoint now, std::vector<EndpointRecord>& told);
    void remove(std::map<RecordKey, Entry>::iterator it, std::vector<EndpointRecord>& told);

    Revision revision_;
    bool complete_ = false;
    std::map<RecordKey, Entry> entries_;
    std::map<RecordKey, TimePoint>
        removed_since_;  // starts of those taken away: 1,024 at most, then all are forgotten
    std::size_t unreadable_ = 0;
};

}  // namespace irismux::registry
