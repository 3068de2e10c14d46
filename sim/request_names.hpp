// The simulator's names of lookups and the identities that stand for them inside. A name is forgotten once
// its lookup has ended and none of its sends is out; what still comes under it finds nothing.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "irismux/ids.hpp"

namespace irismux::sim {

class LookupNames {
public:
    // A new lookup of that name.
    RequestId begin(const std::string& name) {
        const RequestId id{++last_};
        by_name_[name] = id;
        lookups_[id] = {name};
        return id;
    }
    std::optional<RequestId> find(const std::string& name) const {
        const auto it = by_name_.find(name);
        return it == by_name_.end() ? std::nullopt : std::optional(it->second);
    }
    const std::string& name_of(RequestId id) const { return lookups_.at(id).name; }

    void send_began(RequestId id) { ++lookups_.at(id).out; }
    void send_ended(RequestId id) {
        if (Lookup& lookup = lookups_.at(id); lookup.out > 0) --lookup.out;
    }
    void lookup_ended(RequestId id) { lookups_.at(id).ended = true; }
    void forget_if_over(RequestId id) {
        const auto it = lookups_.find(id);
        if (it == lookups_.end() || !it->second.ended || it->second.out > 0) return;
        const auto named = by_name_.find(it->second.name);
        if (named != by_name_.end() && named->second == id) by_name_.erase(named);
        lookups_.erase(it);
    }

private:
    struct Lookup {
        std::string name;
        std::size_t out = 0;  // sends
        bool ended = false;
    };
    std::uint64_t last_ = 0;
    std::map<std::string, RequestId> by_name_;
    std::map<RequestId, Lookup> lookups_;
};

}  // namespace irismux::sim
