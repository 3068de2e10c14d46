/// Refuses fencing tokens below one that has been seen. No I/O.
///
/// Duties whose records were removed from the registry are forgotten, so that the memory does not grow with
/// names ever seen. An order for an unknown duty counts only above all forgotten tokens, until the registry
/// itself shows the duty.
///
/// Guarantee: for one duty this member never accepts a token lower than one that it has accepted, nor one
/// token under two owners; also after a restart, if restore() is given what serialize() returned. Premise:
/// the stored state is not lost with the machine. Without it a member starts with no memory, which is safe
/// for ownership (the registry's transactions ensure that) but does not refuse the old tokens of a restored
/// registry.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// Who holds a duty under which token.
struct LeaseHolder {
    FencingToken token;
    MemberName owner;
    Incarnation incarnation;
    auto operator<=>(const LeaseHolder&) const = default;
};

class Fence {
public:
    /// Tokens of more duties than `most` are refused.
    explicit Fence(std::size_t most = 4096) : max_duties_(most) {}

    /// Whether an order under that token is to be obeyed; if so, no lower one is ever again.
    bool accepts(const DutyName& duty, const LeaseHolder& holder);
    /// As accepts(), for the registry's own record.
    bool on_record(const DutyName& duty, const LeaseHolder& holder);
    /// The duty's record has been removed: its next owner has a higher token.
    void forget(const DutyName& duty);
    /// The token seen because of which this holder is refused; zero: none.
    FencingToken conflicting_token(const DutyName& duty, const LeaseHolder& holder) const;
    /// The highest token seen of that duty; zero: none.
    FencingToken highest(const DutyName& duty) const;

    std::string serialize() const;
    /// False: it can't be parsed, and nothing has changed.
    bool restore(std::string_view bytes);

private:
    std::size_t max_duties_;
    FencingToken highest_forgotten_;  // the highest of forgotten duties
    std::map<DutyName, LeaseHolder> holders_;
};

}  // namespace irismux::fleet
