// Tells a lagging registry member from a registry that was rolled back.
//
// One member that shows less than was seen before may merely lag. The registry counts as rolled back once
// most members have shown less for PollPolicy::watch_timeout.
#pragma once

#include <set>

#include "registry/poll_policy.hpp"
#include "registry/record.hpp"

namespace irismux::registry {

class RollbackDetector {
public:
    enum class Verdict {
        member_lags,       ///< other members may be current
        most_members_lag,  ///< most members, but not for long enough: wait until confirmation_time()
        rolled_back,       ///< first time
        still_rolled_back
    };

    explicit RollbackDetector(const PollPolicy& policy)
        : members_(policy.members), confirmation_delay_(policy.watch_timeout) {}

    /// A member replied with a revision below the one seen, or from another cluster.
    [[nodiscard]] Verdict on_older_reply(TimePoint now, MemberIndex member) {
        if (older_members_.empty()) first_older_reply_at_ = now;
        older_members_.insert(member);
        if (older_members_.size() * 2 <= members_) return Verdict::member_lags;
        if (now < confirmation_time()) return Verdict::most_members_lag;
        const Verdict verdict = confirmed_ ? Verdict::still_rolled_back : Verdict::rolled_back;
        confirmed_ = true;
        return verdict;
    }

    /// A member is current, or a full read has replaced the view.
    void reset() {
        older_members_.clear();
        confirmed_ = false;
    }

    /// When most members will have shown less for long enough.
    TimePoint confirmation_time() const { return first_older_reply_at_ + confirmation_delay_; }

private:
    std::size_t members_;
    Duration confirmation_delay_;
    std::set<MemberIndex> older_members_;
    TimePoint first_older_reply_at_;
    bool confirmed_ = false;
};

}  // namespace irismux::registry
