/// A local copy of all watched records, which are all records except heartbeats. The copy may lag behind the
/// results of this member's own transactions. Does no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/agent.hpp"

namespace irismux::fleet {

class RecordMirror {
public:
    using Records = std::map<Key, std::string>;

    /// Applies the changes. If `all` is true, the changes are the whole content, and all other records are
    /// dropped.
    void apply(const std::vector<KeyValue>& changes, bool all) {
        if (all) records_.clear();
        for (const auto& [key, text] : changes)
            if (text)
                records_[key] = *text;
            else
                records_.erase(key);
    }
    const Records& records() const { return records_; }
    /// @return std::nullopt if there is no such record.
    RecordValue at(const Key& key) const {
        const auto it = records_.find(key);
        return it == records_.end() ? RecordValue{} : RecordValue{it->second};
    }

private:
    Records records_;  // the watch limits the number of records
};

}  // namespace irismux::fleet
