#include "fleet/health_watch.hpp"

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

void HealthWatch::marked(const CacheId& cache, bool is) {
    if (is)
        marks_.insert(cache);
    else
        marks_.erase(cache);
    if (!is) well_.erase(cache);
}

const std::set<CacheId>& HealthWatch::watched(const Agent& agent) {
    std::map<CacheId, std::size_t> mark_counts;
    for (const CacheId& c : marks_) ++mark_counts[c];
    for (const auto& [name, peer] : agent.membership().peers())
        for (const CacheId& c : peer.member.marks) ++mark_counts[c];
    std::set<CacheId> now_watched;
    for (const auto& [cache, count] : mark_counts)
        if ((count >= least_marks || watched_.contains(cache)) && now_watched.size() < most_watched)
            now_watched.insert(cache);
    watched_ = std::move(now_watched);
    std::erase_if(probes_, [&](const auto& l) { return !watched_.contains(l.first); });
    return watched_;
}

void HealthWatch::on_probe_result(Instant now, const CacheId& cache, const ProbeResult& result,
                                  const Agent& agent) {
    if (!marks_.contains(cache)) return;
    if (!result.well) {
        well_.erase(cache);
        return port_.trial_from(cache, now + look_every_ * result_counts_for);
    }
    if (result.streak < well_after || !well_.insert(cache).second) return;
    // One gateway after the other, so that a cache that comes back does not meet all of them at once.
    std::vector<MemberName> others;
    for (const auto& [name, peer] : agent.membership().peers())
        if (peer.member.marks.contains(cache)) others.push_back(name);
    const auto rank = static_cast<double>(Duties::rank(health_watch_duty(cache), agent.self().name, others));
    port_.trial_from(cache, now + look_every_ * (rank / static_cast<double>(others.size() + 1)));
}

bool HealthWatch::may_probe(Instant now, const CacheId& cache, const Agent& agent) const {
    const auto it = probes_.find(cache);
    return it != probes_.end() && it->second.under_way && agent.may_act(now, health_watch_duty(cache));
}

void HealthWatch::not_permitted(Instant now, const CacheId& cache, Agent& agent) {
    if (marks_.contains(cache))
        port_.trial_from(cache, now);
    else
        on_probe_done(now, cache, true, agent);
}

void HealthWatch::tick(Instant now, Agent& agent) {
    due_ = now + round_;
    for (const CacheId& cache : watched_) {
        const DutyName duty = health_watch_duty(cache);
        if (!agent.may_begin(now, duty)) {
            probes_.erase(cache);
            continue;
        }
        Probe& probe = probes_[cache];
        if (now >= probe.next) {
            on_probe_done(now, cache, false, agent);
            probe.next = now + look_every_;
            probe.under_way = true;
            port_.send_probe(cache);
        }
        due_ = std::min(due_, probe.next);
    }
}

// The result is written under the lease as it is now, not as it was when the probe was sent.
void HealthWatch::on_probe_done(Instant now, const CacheId& cache, bool well, Agent& agent) {
    const auto it = probes_.find(cache);
    if (it == probes_.end() || !std::exchange(it->second.under_way, false)) return;
    const DutyName duty = health_watch_duty(cache);
    ProbeResult& last = it->second.last;
    last.streak = last.well == well ? std::min(last.streak + 1, most_counted) : 1;
    last.well = well;
    last.token = agent.token_of(duty);
    last.by = agent.self();
    agent.write_fenced(now, duty, probe_result_key(cache), serialize(last));
}

}  // namespace irismux::fleet
