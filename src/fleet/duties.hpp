// Which duties there are and who is to have which: highest random weight over the members' names, so that one
// member's loss moves its own duties and no others. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/membership.hpp"
#include "fleet/tenure.hpp"

namespace irismux::fleet {

class Duties {
public:
    struct Duty {
        std::optional<std::string> text;  // the newest record known
        std::optional<DutyRecord> record;
        registry::Revision at;
        bool known = false;
        std::optional<Instant> free_since;  // nobody owns it, as far as is known
        EpochNo given_up;                   // records that name us up to here are not heeded
        Tenure tenure;
    };

    // Those not named any more are let go of; records of duties that nobody here knows are left alone.
    void are(const std::set<DutyName>& names);
    std::map<DutyName, Duty>& all() { return all_; }
    const std::map<DutyName, Duty>& all() const { return all_; }
    // What a record shows. Whether the duty is one of ours and that was news.
    bool record(registry::Revision at, const DutyName&, const std::optional<std::string>& text);
    // A whole list follows: older revisions count again, and what is not in it is not there.
    void whole_list(const std::set<DutyName>& listed);

    // Place of `self` in the duty's order over itself and the others that are counted on; 0 is the first.
    static std::size_t place(const DutyName&, const MemberName& self, const std::vector<MemberName>& others);

private:
    static constexpr std::size_t most = 4096;
    std::map<DutyName, Duty> all_;
};

}  // namespace irismux::fleet
