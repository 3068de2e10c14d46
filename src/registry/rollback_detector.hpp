// Tells a lagging registry member from a registry that was rolled back.
//
// A single member whose replies are older than the view may merely lag. The registry counts as rolled back
// once the replies of most registry members have been older than the view for PollPolicy::watch_timeout.
#pragma once

#include <set>

#include "registry/poll_policy.hpp"
#include "registry/record.hpp"

namespace irismux::registry {

class RollbackDetector {
public:
    enum class Verdict {
        member_lags,       ///< this registry member lags; others may be current
        most_members_lag,  ///< most members lag, but not for long enough: wait until confirmation_time()
        rolled_back,       ///< the registry counts as rolled back; returned once
        still_rolled_back  ///< returned after rolled_back
    };

    explicit RollbackDetector(const PollPolicy& policy)
        : members_(policy.members), confirmation_delay_(policy.watch_timeout) {}

    /// Must be called when a registry member's reply has a revision below the newest revision seen, or comes
    /// from another cluster.
    [[nodiscard]] Verdict on_older_reply(TimePoint now, MemberIndex member) {
        if (older_members_.empty()) first_older_reply_at_ = now;
        older_members_.insert(member);
        if (older_members_.size() * 2 <= members_) return Verdict::member_lags;
        if (now < confirmation_time()) return Verdict::most_members_lag;
        const Verdict verdict = confirmed_ ? Verdict::still_rolled_back : Verdict::rolled_back;
        confirmed_ = true;
        return verdict;
    }

    /// Must be called when a registry member is current, or when a full read has replaced the view.
    void reset() {
        older_members_.clear();
        confirmed_ = false;
    }

    /// Returns the time at which the replies of most registry members will have been older than the view for
    /// watch_timeout.
    TimePoint confirmation_time() const { return first_older_reply_at_ + confirmation_delay_; }

private:
    std::size_t members_;
    Duration confirmation_delay_;
    std::set<MemberIndex> older_members_;
    TimePoint first_older_reply_at_;
    bool confirmed_ = false;
};

}  // namespace irismux::registry
