// Which duties there are and who is to have which: highest random weight over the members' names, so that one
// member's loss moves its own duties and no others. No I/O.
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
    struct Duty {
        std::optional<std::string> text;  // the newest record known
        std::optional<DutyRecord> record;
        registry::Revision at;
        bool known = false;
        bool wanted = true;                    // false: it is let go of as soon as it has been given up
        std::optional<Instance> released;      // who is to leave it to others
        std::optional<Instant> unowned_since;  // nobody owns it, as far as is known
        FencingToken given_up;                 // records that name us up to here are not heeded
        Lease lease;
    };

    // Records of duties that nobody here knows are left alone. False: there are too many, and some are not
    // taken up.
    bool set_names(const std::set<DutyName>& names);
    // What was given up of it is remembered: a record that comes late may still name us.
    void remove(const DutyName&);
    // None of what was given up can be shown any more: from here on this member has another start number.
    void forget_given_up() { given_up_.clear(); }
    std::map<DutyName, Duty>& all() { return all_; }
    const std::map<DutyName, Duty>& all() const { return all_; }
    // What a record shows. Whether the duty is one of ours and that was news.
    bool record(registry::Revision at, const DutyName&, const std::optional<std::string>& text);
    // A whole list follows: older revisions count again, and what is not in it is not there.
    void on_full_list(const std::set<DutyName>& listed);

    // Whether one comes before the other in the duty's order.
    static bool precedes(const DutyName&, const MemberName& one, const MemberName& other);
    // Place of `self` in the duty's order over itself and the others that are counted on; 0 is the first.
    static std::size_t rank(const DutyName&, const MemberName& self, const std::vector<MemberName>& others);

private:
    static constexpr std::size_t most = 4096;
    std::map<DutyName, Duty> all_;
    std::map<DutyName, FencingToken> given_up_;  // of duties let go of
};

}  // namespace irismux::fleet
