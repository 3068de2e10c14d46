/// The duties of a fleet as one member knows them, and the order of the members for each: rendezvous hashing,
/// so that the loss of one member moves only that member's duties. No I/O.
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
    /// Followed at once, those given up among them.
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

    /// The duties that are wanted; records of any others are ignored. False: there are more than max_duties,
    /// and some are not followed.
    bool set_names(const std::set<DutyName>& names);
    /// The token given up is remembered, since a late record may still name us.
    void remove(const DutyName&);
    /// For a new incarnation: no record can name it with a token given up before.
    void forget_given_up() { given_up_.clear(); }
    std::map<DutyName, Duty>& all() { return all_; }
    const std::map<DutyName, Duty>& all() const { return all_; }
    /// A record as of that revision; older ones than known are ignored. True: the duty is followed, and its
    /// record has changed or is known for the first time.
    bool on_record(registry::Revision at, const DutyName&, const std::optional<std::string>& text);
    /// All records follow, of a possibly lower revision; duties that are not listed have no record.
    void on_full_list(const std::set<DutyName>& listed);

    /// Whether one member comes before the other in the duty's order.
    static bool ranks_before(const DutyName&, const MemberName& one, const MemberName& other);
    /// Rank of `self` in the duty's order among itself and the others; 0 is the first.
    static std::size_t rank(const DutyName&, const MemberName& self, const std::vector<MemberName>& others);

private:
    std::map<DutyName, Duty> all_;
    std::map<DutyName, FencingToken> given_up_;  // of removed duties
};

}  // namespace irismux::fleet
