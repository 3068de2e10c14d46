// What a gateway is told of its fleet: the table [fleet] of the parts.
#pragma once

#include <string>

#include "fleet/records.hpp"
#include "registry/settings.hpp"

namespace irismux::fleet {

struct Settings {
    SharedConfig shared_config;
    MemberName name;
    registry::Settings registry;  // the registry's, with the fleet's own prefix
    Span look_every = Span::micros(2'000'000);
    Span sweep_every = Span::micros(60'000'000);
    std::string keep_in;  // folder of the store that keeps the epochs seen; empty: none
    bool operator==(const Settings&) const = default;
};

}  // namespace irismux::fleet
