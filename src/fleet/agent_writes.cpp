// Publishes changes of this member's record, and does fenced writes on behalf of the fleet.
#include <algorithm>

#include "fleet/agent.hpp"

namespace irismux::fleet {
namespace {

constexpr std::size_t max_pending_writes = 64;
// The watch delivers a publication to all members. A member publishes once per heartbeat interval in a fleet
// of up to this size, and proportionally less often in larger fleets.
constexpr std::size_t members_per_publication_interval = 64;

}  // namespace

bool Agent::next_publication(TimePoint now) {
    const std::string wanted = serialize(own_record());
    if (record_text_ == wanted || now < next_publication_at_) return false;
    const double intervals = static_cast<double>(membership_.members().size()) /
                             static_cast<double>(members_per_publication_interval);
    next_publication_at_ = now + membership_.heartbeat_interval() * std::max(1.0, intervals);
    const Key own = member_key(identity_.name);
    submit(now, Purpose::publish, {{own_heartbeat(), {own, record_text_}}, {{own, wanted}}, {}});
    return true;
}

bool Agent::write_fenced(TimePoint now, const DutyName& duty, const Key& key, const std::string& value) {
    return write_fenced(now, duty, key, FencedWrite{{}, {{key, value}}});
}

bool Agent::write_fenced(TimePoint now, const DutyName& duty, const Key& key, FencedWrite write_request) {
    if (!may_begin_work(now, duty) || pending_writes_.size() >= max_pending_writes) return false;
    pending_writes_.push_back({duty, key, std::move(write_request)});
    advance(now);
    return true;
}

bool Agent::next_write(TimePoint now) {
    while (!pending_writes_.empty() && !may_act(now, pending_writes_.front().duty))
        finish_write(WriteOutcome::refused);
    if (pending_writes_.empty()) return false;
    const PendingWrite& write = pending_writes_.front();
    const auto& [compares, writes] = write.write_request;
    // The write of a former owner fails because the transaction compares this member's newest heartbeat, and
    // the duty's record as this member claimed it.
    Transaction transaction{
        {own_heartbeat(), {duty_key(write.duty), duties_.all().at(write.duty).text}}, writes, {}};
    transaction.compares.insert(transaction.compares.end(), compares.begin(), compares.end());
    submit(now, Purpose::write, std::move(transaction));
    return true;
}

void Agent::finish_write(WriteOutcome outcome) {
    const PendingWrite write = std::move(pending_writes_.front());
    pending_writes_.pop_front();
    observer_->on_write_outcome(write.duty, write.key, outcome);
}

}  // namespace irismux::fleet
