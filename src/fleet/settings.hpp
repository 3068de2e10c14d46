// A gateway's own settings of its fleet: the table [fleet] of the parts file.
#pragma once

#include <string>

#include "fleet/records.hpp"
#include "registry/settings.hpp"

namespace irismux::fleet {

struct Settings {
    SharedConfig shared_config;
    MemberName name;                              // of this gateway as a member
    registry::Settings registry;                  // with the fleet's own prefix
    Span look_every = Span::micros(2'000'000);    // between probes of one cache
    Span sweep_every = Span::micros(60'000'000);  // between two passes of the garbage collector
    std::string keep_in;  // folder of the store of tokens seen; empty: they are not kept
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::fleet
