// The endpoint list at one revision of a registry. No I/O; the time comes with each call.
//
// Each change of the view returns the updates for a Router; one that applies them all, in order, has the same
// list. A record that cannot be parsed does not delay the others: its last good form stays in force.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "registry/record.hpp"

namespace irismux::registry {

/// The endpoint that a record describes; none if it cannot be parsed or its id is not its key.
std::optional<EndpointRecord> parse_endpoint(const Record& record);

class EndpointView {
public:
    struct Entry {
        Revision created, modified;
        std::string value;  ///< the last good form, as the registry has it; empty: none so far
        std::optional<EndpointRecord> endpoint;  ///< as in the last update returned
        bool unreadable = false;                 ///< the newest form cannot be parsed
    };

    Revision revision() const { return revision_; }
    const std::map<RecordKey, Entry>& entries() const { return entries_; }
    /// Records whose newest form cannot be parsed.
    std::size_t unreadable() const { return unreadable_; }

    /// Replaces the list by a full one. A record that is missing is reported as removed; one deleted and
    /// created anew as removed and then as new; one that only changed, once; an equal one not at all.
    std::vector<EndpointRecord> replace(Revision at, const std::vector<Record>& records, TimePoint now);

    /// Applies changes in order of their revisions; those not newer than the view are repeats and ignored.
    /// @param covered all changes up to this revision are known; zero: only those given.
    std::vector<EndpointRecord> apply(Revision covered, const std::vector<Change>& changes, TimePoint now);

private:
    using Entries = std::map<RecordKey, Entry>;

    void upsert(const Record& record, TimePoint now, std::vector<EndpointRecord>& updates);
    void update_endpoint(Entry& entry, const Record& record, EndpointRecord endpoint, TimePoint now,
                         std::vector<EndpointRecord>& updates);
    void set_start_of_new_endpoint(const RecordKey& key, EndpointUpdate& update, TimePoint now);
    void remove(Entries::iterator it, std::vector<EndpointRecord>& updates);

    Revision revision_;
    bool complete_ = false;  // a full list has been applied
    Entries entries_;
    std::map<RecordKey, TimePoint> started_at_of_removed_;
    std::size_t unreadable_ = 0;
};

}  // namespace irismux::registry
