#include "fleet/health_monitor.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

// Members that mark a cache before it is watched.
constexpr std::size_t least_marks = 2;
// For how many probe intervals a result counts: one may be lost and the next be late.
constexpr double result_counts_for = 2.5;
// Answers in a row that make a cache well: a process that has just started may fail again.
constexpr std::int64_t well_after = 2;
constexpr std::int64_t most_counted = 1'000'000;
constexpr std::size_t most_watched = 1024;

}  // namespace

void HealthMonitor::on_ejection_changed(const CacheId& cache, bool is) {
    if (is)
        ejected_caches_.insert(cache);
    else
        ejected_caches_.erase(cache);
    if (!is) healthy_.erase(cache);
}

const std::set<CacheId>& HealthMonitor::update_monitored(const Agent& agent) {
    std::map<CacheId, std::size_t> mark_counts;
    for (const CacheId& c : ejected_caches_) ++mark_counts[c];
    for (const auto& [name, peer] : agent.membership().members())
        for (const CacheId& c : peer.member.ejected_caches) ++mark_counts[c];
    std::set<CacheId> now_watched;
    for (const auto& [cache, count] : mark_counts)
        if ((count >= least_marks || monitored_.contains(cache)) && now_watched.size() < most_watched)
            now_watched.insert(cache);
    monitored_ = std::move(now_watched);
    std::erase_if(checks_, [&](const auto& l) { return !monitored_.contains(l.first); });
    return monitored_;
}

void HealthMonitor::on_probe_result(TimePoint now, const CacheId& cache, const HealthRecord& result,
                                    const Agent& agent) {
    if (!ejected_caches_.contains(cache)) return;
    if (!result.healthy) {
        healthy_.erase(cache);
        return callbacks_.postpone_recovery_probe(cache, now + interval_ * result_counts_for);
    }
    if (result.streak < well_after || !healthy_.insert(cache).second) return;
    // One gateway after the other, so that a cache that comes back does not meet all of them at once.
    std::vector<MemberName> others;
    for (const auto& [name, peer] : agent.membership().members())
        if (peer.member.ejected_caches.contains(cache)) others.push_back(name);
    const auto rank = static_cast<double>(Duties::rank(health_check_duty(cache), agent.self().name, others));
    callbacks_.postpone_recovery_probe(cache,
                                       now + interval_ * (rank / static_cast<double>(others.size() + 1)));
}

bool HealthMonitor::may_check(TimePoint now, const CacheId& cache, const Agent& agent) const {
    const auto it = checks_.find(cache);
    return it != checks_.end() && it->second.under_way && agent.may_act(now, health_check_duty(cache));
}

void HealthMonitor::on_check_not_permitted(TimePoint now, const CacheId& cache, Agent& agent) {
    if (ejected_caches_.contains(cache))
        callbacks_.postpone_recovery_probe(cache, now);
    else
        on_health_check_done(now, cache, true, agent);
}

void HealthMonitor::run_due_checks(TimePoint now, Agent& agent) {
    next_check_at_ = now + idle_interval_;
    for (const CacheId& cache : monitored_) {
        const DutyName duty = health_check_duty(cache);
        if (!agent.may_begin_work(now, duty)) {
            checks_.erase(cache);
            continue;
        }
        HealthCheck& probe = checks_[cache];
        if (now >= probe.next) {
            on_health_check_done(now, cache, false, agent);
            probe.next = now + interval_;
            probe.under_way = true;
            callbacks_.start_health_check(cache);
        }
        next_check_at_ = std::min(next_check_at_, probe.next);
    }
}

// The result is written under the lease as it is now, not as it was when the probe was sent.
void HealthMonitor::on_health_check_done(TimePoint now, const CacheId& cache, bool well, Agent& agent) {
    const auto it = checks_.find(cache);
    if (it == checks_.end() || !std::exchange(it->second.under_way, false)) return;
    const DutyName duty = health_check_duty(cache);
    HealthRecord& last = it->second.last;
    last.streak = last.healthy == well ? std::min(last.streak + 1, most_counted) : 1;
    last.healthy = well;
    last.token = agent.token_of(duty);
    last.owner = agent.self();
    agent.write_fenced(now, duty, health_record_key(cache), serialize(last));
}

}  // namespace irismux::fleet
