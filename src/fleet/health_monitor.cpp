#include "fleet/health_monitor.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

constexpr std::size_t min_ejecting_members = 2;
// Number of check intervals for which a received result is valid. With 2.5 intervals the result stays valid
// even if the next result is lost and the result after the lost one is up to half an interval late.
constexpr double result_lifetime_intervals = 2.5;
// Number of consecutive passed checks after which the gateways send their recovery probes to the cache. One
// passed check is not enough, since a process that has just started may fail again after that check.
constexpr std::int64_t min_healthy_streak = 2;
constexpr std::int64_t max_streak = 1'000'000;
constexpr std::size_t max_monitored_caches = 1024;

}  // namespace

void HealthMonitor::on_ejection_changed(const CacheId& cache, bool ejected) {
    if (ejected)
        ejected_caches_.insert(cache);
    else
        ejected_caches_.erase(cache);
    if (!ejected) healthy_.erase(cache);
}

const std::set<CacheId>& HealthMonitor::update_monitored(const Agent& agent) {
    std::map<CacheId, std::size_t> ejecting_members;
    for (const CacheId& cache : ejected_caches_) ++ejecting_members[cache];
    for (const auto& [name, member] : agent.membership().members())
        for (const CacheId& cache : member.member.ejected_caches) ++ejecting_members[cache];
    std::set<CacheId> now_monitored;
    for (const auto& [cache, count] : ejecting_members)
        if ((count >= min_ejecting_members || monitored_.contains(cache)) &&
            now_monitored.size() < max_monitored_caches)
            now_monitored.insert(cache);
    monitored_ = std::move(now_monitored);
    std::erase_if(checks_, [&](const auto& check) { return !monitored_.contains(check.first); });
    return monitored_;
}

void HealthMonitor::on_published_result(TimePoint now, const CacheId& cache, const HealthRecord& result,
                                        const Agent& agent) {
    if (!ejected_caches_.contains(cache)) return;
    if (!result.healthy) {
        healthy_.erase(cache);
        return callbacks_.postpone_recovery_probe(cache, now + interval_ * result_lifetime_intervals);
    }
    if (result.streak < min_healthy_streak || !healthy_.insert(cache).second) return;
    // The gateways send their recovery probes one after the other, so that a recovering cache does not get
    // all probes at the same time.
    std::vector<MemberName> others;
    for (const auto& [name, member] : agent.membership().members())
        if (member.member.ejected_caches.contains(cache)) others.push_back(name);
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
        HealthCheck& check = checks_[cache];
        if (now >= check.next) {
            on_health_check_done(now, cache, false, agent);
            check.next = now + interval_;
            check.under_way = true;
            callbacks_.start_health_check(cache);
        }
        next_check_at_ = std::min(next_check_at_, check.next);
    }
}

// The result is written under the current lease, not under the lease at the time when the check was sent.
void HealthMonitor::on_health_check_done(TimePoint now, const CacheId& cache, bool healthy, Agent& agent) {
    const auto it = checks_.find(cache);
    if (it == checks_.end() || !it->second.under_way) return;
    it->second.under_way = false;
    const DutyName duty = health_check_duty(cache);
    HealthRecord& last = it->second.last;
    last.streak = last.healthy == healthy ? std::min(last.streak + 1, max_streak) : 1;
    last.healthy = healthy;
    last.token = agent.token_of(duty);
    last.owner = agent.self();
    agent.write_fenced(now, duty, health_record_key(cache), serialize(last));
}

}  // namespace irismux::fleet
