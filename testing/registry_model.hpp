// A model of a key-value registry: one numbered history of records, compaction, members that lag, restores
// from a backup. Stand-ins serve it over sockets; tests of the core ask it directly.
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
    Revision oldest() const { return states_.begin()->first; }  // older ones are compacted
    const ClusterId& cluster() const { return cluster_; }

    // One transaction; changes of keys that aren't there are left out. Returns the newest revision.
    Revision commit(const std::vector<std::pair<RecordKey, std::optional<std::string>>>& writes);
    Revision put(const std::string& key, const std::string& value) {
        return commit({{RecordKey{key}, value}});
    }
    Revision erase(const std::string& key) { return commit({{RecordKey{key}, std::nullopt}}); }

    // Forgets the history before that revision; reads at it still work.
    void compact(Revision to);
    // Back to what a backup held, as another cluster or as the same; what came after never was.
    void restore(Revision backup, bool another_cluster);

    // None: compacted or not there yet.
    const State* at(Revision r) const;
    // Changes with revisions in [from, upto], oldest first; none where `from` is compacted.
    std::optional<std::vector<Change>> changes(Revision from, Revision upto) const;

private:
    ClusterId cluster_{"1001"};
    std::map<Revision, State> states_;
    std::map<Revision, std::vector<Change>> history_;
};

// The value of a record of the list, as line_of reads it.
std::string endpoint_value(const std::string& id, const std::string& state, double weight = 1,
                           std::int64_t started_ms = 0, const std::string& address = "");

}  // namespace irismux::test_support
