// The refusal of epochs below one that has been seen, whatever showed it. No I/O.
//
// What has been swept from the registry is let go of here, too, so that nothing grows with names ever seen;
// of a duty that is not known, an order counts only above all that was let go of, until the registry itself
// shows the duty.
//
// Guarantee: of one duty this member never accepts an epoch lower than one that it has accepted, nor one
// number under two owners; also after a restart, if what kept() gave is told to kept_was(). Premise: what is
// kept is not lost with the machine; where it is, a member starts with no memory, which is safe for ownership
// (the registry's transactions keep that) and costs the refusal of a restored registry's old epochs.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

struct Holder {
    FencingToken token;
    MemberName owner;
    Incarnation start;
    auto operator<=>(const Holder&) const = default;
};

class Fence {
public:
    // Epochs of more duties than that are refused: nothing grows with names ever seen.
    explicit Fence(std::size_t most = 4096) : most_(most) {}

    // Whether an order under that epoch is to be heeded; if so, lower ones never are again.
    bool accepts(const DutyName& duty, const Holder& holder);
    // As accepts(), for what the registry's own record says.
    bool shown(const DutyName& duty, const Holder& holder);
    // Its record has been swept: whoever owns it next does so above it.
    void forget(const DutyName& duty);
    // The epoch that stands against this one; zero: none does.
    FencingToken against(const DutyName& duty, const Holder& holder) const;
    FencingToken highest(const DutyName& duty) const;

    std::string serialize() const;         // for the store
    bool restore(std::string_view bytes);  // false: it can't be read, and nothing was learnt

private:
    std::size_t most_;
    FencingToken forgotten_;  // the highest of those let go of
    std::map<DutyName, Holder> seen_;
};

}  // namespace irismux::fleet
