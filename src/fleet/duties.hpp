/// The duties of a fleet as one member knows them, and the order of the members for each duty. The order uses
/// rendezvous hashing, so that the loss of one member moves only that member's duties. Does no I/O.
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
    /// Maximum number of duties followed at one time, including those given up.
    static constexpr std::size_t max_duties = 4096;

    /// One duty as this member knows it.
    struct Duty {
        std::optional<std::string> text;            ///< of the newest record known
        std::optional<DutyRecord> record;           ///< none: there is none, or it can't be parsed
        registry::Revision revision;                ///< of that record
        bool known = false;                         ///< a record, or that there is none, has been shown
        bool wanted = true;                         ///< false: it is removed as soon as it has been given up
        std::optional<Instance> released_instance;  ///< an operator asked this instance to leave it to others
        std::optional<TimePoint> unowned_since;     ///< none: it is owned, as far as is known
        FencingToken given_up;  ///< records that name us with a token up to this are ignored
        Lease lease;            ///< of this member
    };

    /// Sets the duties that this member follows. Records of all other duties are ignored.
    /// @return false if this member does not follow some of the duties, because it would follow more than
    /// max_duties.
    bool set_names(const std::set<DutyName>& names);
    /// Stops following the duty but keeps the token given up, since a late record may still name this member.
    void remove(const DutyName&);
    /// Must be called for a new incarnation, which no record can name with a token given up earlier.
    void forget_given_up() { given_up_.clear(); }
    std::map<DutyName, Duty>& all() { return all_; }
    const std::map<DutyName, Duty>& all() const { return all_; }
    /// Applies a record with its value at revision `at`; a revision older than the known one is ignored.
    /// @return true if the duty is followed and its record has changed or is known for the first time.
    bool on_record(registry::Revision at, const DutyName&, const std::optional<std::string>& text);
    /// Called before all records are delivered again, possibly with their values at a lower revision. Duties
    /// that are not listed have no record.
    void on_full_list(const std::set<DutyName>& listed);

    /// Returns whether one member ranks before the other in the duty's order.
    static bool ranks_before(const DutyName&, const MemberName& one, const MemberName& other);
    /// Returns the rank of `self` in the duty's order among itself and the others; 0 is the first.
    static std::size_t rank(const DutyName&, const MemberName& self, const std::vector<MemberName>& others);

private:
    std::map<DutyName, Duty> all_;
    std::map<DutyName, FencingToken> given_up_;  // of removed duties
};

}  // namespace irismux::fleet
