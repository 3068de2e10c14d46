// The endpoint list at one revision of a registry. Performs no I/O; the caller passes the time with each
// call.
//
// Each change of the view returns the updates for a Router. A Router that applies all updates in order has
// the same list as the view. A record that cannot be parsed does not delay the other records. The last
// readable value of such a record stays in use.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/endpoint_record.hpp"
#include "registry/record.hpp"

namespace irismux::registry {

/// Parses the endpoint that a record describes.
/// @return std::nullopt if the value cannot be parsed or its id differs from the record's key.
std::optional<EndpointRecord> parse_endpoint(const Record& record);

class EndpointView {
public:
    struct Entry {
        Revision created, modified;
        std::string value;  ///< the last value that could be parsed; empty if there was none
        std::optional<EndpointRecord> endpoint;  ///< the endpoint in the last returned update
        bool unreadable = false;                 ///< the newest value cannot be parsed
    };

    Revision revision() const { return revision_; }
    const std::map<RecordKey, Entry>& entries() const { return entries_; }
    /// Number of records whose newest value cannot be parsed.
    std::size_t unreadable() const { return unreadable_; }

    /// Replaces the list with a full list, and returns the differences as updates. A record that is missing
    /// in the full list is returned as removed. A record that was deleted and created again is returned as
    /// removed and then as new. A changed record is returned once, and an unchanged record is not returned.
    std::vector<EndpointRecord> replace(Revision at, const std::vector<Record>& records, TimePoint now);

    /// Applies changes, which are in order of their revisions. Changes that are not newer than the view are
    /// repeats and are ignored.
    /// @param covered the revision up to which all changes are known; zero: only the given changes are known.
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
