/// The duties of a fleet, according to the records that one member has received, and the order of the members
/// for each duty. The order uses rendezvous hashing, so that the loss of one member moves only that member's
/// duties. Does no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/lease.hpp"
#include "fleet/membership.hpp"

namespace irismux::fleet {

class Duties {
public:
    /// Maximum number of duties followed at one time, including the duties that this member has given up.
    static constexpr std::size_t max_duties = 4096;

    /// One duty, according to the records that this member has received.
    struct Duty {
        std::optional<std::string> text;            ///< value of the newest known record
        std::optional<DutyRecord> record;           ///< empty if there is no record or it can't be parsed
        registry::Revision revision;                ///< revision of the newest known record
        bool known = false;                         ///< the registry has shown the record or its absence
        bool wanted = true;                         ///< false: the duty is removed once it is given up
        std::optional<Instance> released_instance;  ///< an operator asked this instance to release the duty
        std::optional<TimePoint> unowned_since;     ///< empty unless the duty is known to have no owner
        FencingToken given_up;  ///< records that name this member with a token up to this one are ignored
        Lease lease;            ///< this member's lease of the duty
    };

    /// Sets the duties that this member follows. Records of all other duties are ignored.
    /// @return false if this member does not follow some of the duties, because it would follow more than
    /// max_duties.
    bool set_names(const std::set<DutyName>& names);
    /// Stops following the duty but keeps the token that this member has given up, since a late record may
    /// still name this member as the owner.
    void remove(const DutyName&);
    /// Drops the given-up tokens of removed duties. Must be called when this member begins a new incarnation.
    /// No record can name the new incarnation together with a token that the member gave up earlier, so these
    /// tokens are no longer needed.
    void forget_given_up() { given_up_.clear(); }
    std::map<DutyName, Duty>& all() { return all_; }
    const std::map<DutyName, Duty>& all() const { return all_; }
    /// Applies a record with its value at revision `at`. A record at an older revision than the known record
    /// is ignored.
    /// @return true if the duty is followed and its record has changed or is known for the first time.
    bool on_record(registry::Revision at, const DutyName&, const std::optional<std::string>& text);
    /// Must be called before all records are delivered again, possibly with their values at a lower revision.
    /// A duty that is not in `listed` has no record.
    void on_full_list(const std::set<DutyName>& listed);

    /// Returns whether one member ranks before the other in the duty's order.
    static bool ranks_before(const DutyName&, const MemberName& one, const MemberName& other);
    /// Returns the rank of `self` in the duty's order among `self` and `others`. Rank 0 is the first.
    static std::size_t rank(const DutyName&, const MemberName& self, const std::vector<MemberName>& others);

private:
    std::map<DutyName, Duty> all_;
    std::map<DutyName, FencingToken> given_up_;  // tokens given up of removed duties
};

}  // namespace irismux::fleet
