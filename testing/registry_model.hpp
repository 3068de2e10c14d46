// An in-memory model of a key-value registry: records with a numbered history, compaction, reads of older
// revisions for registry members that lag, and restores from a backup. FakeRegistry serves the model over
// sockets. Tests of the watch read the model directly.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "registry/record.hpp"

namespace irismux::test_support {

using registry::Change;
using registry::ClusterId;
using registry::Record;
using registry::RecordKey;
using registry::Revision;

class RegistryModel {
public:
    using State = std::map<RecordKey, Record>;

    RegistryModel() { states_[Revision{1}] = {}; }

    Revision newest() const { return states_.rbegin()->first; }
    Revision oldest() const { return states_.begin()->first; }  // older revisions are compacted
    const ClusterId& cluster() const { return cluster_; }

    // Commits one transaction and returns the newest revision. Deletes of missing keys are ignored.
    Revision commit(const std::vector<std::pair<RecordKey, std::optional<std::string>>>& writes);
    Revision put(const std::string& key, const std::string& value) {
        return commit({{RecordKey{key}, value}});
    }
    Revision erase(const std::string& key) { return commit({{RecordKey{key}, std::nullopt}}); }

    // Drops the history before this revision. Reads at this revision still work.
    void compact(Revision to);
    // Restores the backup of a revision and drops all later revisions. If `another_cluster` is true, the
    // registry replies under a new cluster id afterwards.
    void restore(Revision backup, bool another_cluster);

    // Returns the state at a revision, or nullptr if the revision is compacted or does not exist yet.
    const State* at(Revision r) const;
    // Returns the changes with revisions in [from, upto], oldest first, or std::nullopt if `from` is
    // compacted.
    std::optional<std::vector<Change>> changes(Revision from, Revision upto) const;

private:
    ClusterId cluster_{"1001"};
    std::map<Revision, State> states_;
    std::map<Revision, std::vector<Change>> history_;
};

// Returns the value of an endpoint's record in the registry, in the form that parse_endpoint_record() reads.
std::string endpoint_value(const std::string& id, const std::string& state, double weight = 1,
                           std::int64_t started_ms = 0, const std::string& address = "");

}  // namespace irismux::test_support
