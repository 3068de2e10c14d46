// All records of the fleet but signs of life, as the watch shows them; deals may be ahead of it. No I/O.
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

    void apply(const std::vector<Entry>& changes, bool all) {
        if (all) records_.clear();
        for (const auto& [key, text] : changes)
            if (text)
                records_[key] = *text;
            else
                records_.erase(key);
    }
    const Records& records() const { return records_; }
    Text at(const Key& key) const {
        const auto it = records_.find(key);
        return it == records_.end() ? Text{} : Text{it->second};
    }

private:
    Records records_;  // as many as the watch follows
};

}  // namespace irismux::fleet
