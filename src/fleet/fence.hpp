/// Rejects a fencing token that is lower than a token already seen for the same duty. Does no I/O.
///
/// The fence forgets duties whose records were removed from the registry, so that its size does not grow with
/// every name ever seen. If the fence has no token of a duty, it accepts only a token above all forgotten
/// tokens. This restriction ends once the registry's own record of the duty is received.
///
/// Guarantee: for one duty this member never accepts a token that is lower than a token accepted before, and
/// never accepts one token of two owners. The guarantee holds across a restart if restore() is called with
/// the bytes that serialize() returned. Premise: the stored state is not lost with the machine. Without the
/// stored state, the registry's transactions still ensure that no duty has two owners, but the member does
/// not reject the old tokens of a restored registry.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/records.hpp"

namespace irismux::fleet {

/// The owner of a duty and the fencing token of its lease.
struct LeaseHolder {
    FencingToken token;
    MemberName owner;
    Incarnation incarnation;
    auto operator<=>(const LeaseHolder&) const = default;
};

class Fence {
public:
    /// Stores the tokens of at most `most` duties and rejects the tokens of any other duty.
    explicit Fence(std::size_t most = 4096) : max_duties_(most) {}

    /// Returns whether the holder's token is valid. If the token is valid, the fence accepts no lower token
    /// of this duty from then on.
    bool accepts(const DutyName& duty, const LeaseHolder& holder);
    /// Like accepts(), but for the holder in the registry's own record of the duty. The duty may be unknown
    /// to the fence.
    bool on_record(const DutyName& duty, const LeaseHolder& holder);
    /// Called after the duty's record has been removed from the registry. The next owner of the duty will
    /// have a higher token.
    void forget(const DutyName& duty);
    /// Returns the token already seen that makes the fence reject this holder, or zero if the fence does not
    /// reject the holder.
    FencingToken conflicting_token(const DutyName& duty, const LeaseHolder& holder) const;
    /// Returns the highest token seen for the duty, or zero if there is none.
    FencingToken highest(const DutyName& duty) const;

    std::string serialize() const;
    /// @return false if the bytes can't be parsed; in this case the fence is unchanged.
    bool restore(std::string_view bytes);

private:
    std::size_t max_duties_;
    FencingToken highest_forgotten_;  // the highest token of all forgotten duties
    std::map<DutyName, LeaseHolder> holders_;
};

}  // namespace irismux::fleet
