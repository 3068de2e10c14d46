#include "fleet/health_watch.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

constexpr std::size_t watched_by_least = 2;
// Of the pace of looks: for how long a finding counts. One may be lost and the next be late.
constexpr double counts_for = 2.5;
// Answers in a row that make a cache well: a process that has just come up may fall again.
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
    std::map<CacheId, std::size_t> held;
    for (const CacheId& c : marks_) ++held[c];
    for (const auto& [name, o] : agent.membership().peers())
        for (const CacheId& c : o.member.marks) ++held[c];
    std::set<CacheId> now_watched;
    for (const auto& [cache, times] : held)
        if ((times >= watched_by_least || watched_.contains(cache)) && now_watched.size() < most_watched)
            now_watched.insert(cache);
    watched_ = std::move(now_watched);
    std::erase_if(probes_, [&](const auto& l) { return !watched_.contains(l.first); });
    return watched_;
}

void HealthWatch::on_probe_result(Instant now, const CacheId& cache, const ProbeResult& f,
                                  const Agent& agent) {
    if (!marks_.contains(cache)) return;
    if (!f.well) {
        well_.erase(cache);
        return port_.trial_from(cache, now + look_every_ * counts_for);
    }
    if (f.streak < well_after || !well_.insert(cache).second) return;
    // One after the other, so that what comes back is not met by all at once.
    std::vector<MemberName> others;
    for (const auto& [name, o] : agent.membership().peers())
        if (o.member.marks.contains(cache)) others.push_back(name);
    const auto place = static_cast<double>(Duties::rank(health_watch_duty(cache), agent.self().name, others));
    port_.trial_from(cache, now + look_every_ * (place / static_cast<double>(others.size() + 1)));
}

bool HealthWatch::may_probe(Instant now, const CacheId& cache, const Agent& agent) const {
    const auto it = probes_.find(cache);
    return it != probes_.end() && it->second.out && agent.may_act(now, health_watch_duty(cache));
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
        Probe& l = probes_[cache];
        if (now >= l.next) {
            on_probe_done(now, cache, false, agent);
            l.next = now + look_every_;
            l.out = true;
            port_.send_probe(cache);
        }
        due_ = std::min(due_, l.next);
    }
}

// The finding is judged and written under the term as it is now, not as it was when the look went out.
void HealthWatch::on_probe_done(Instant now, const CacheId& cache, bool well, Agent& agent) {
    const auto it = probes_.find(cache);
    if (it == probes_.end() || !std::exchange(it->second.out, false)) return;
    const DutyName duty = health_watch_duty(cache);
    ProbeResult& last = it->second.last;
    last.streak = last.well == well ? std::min(last.streak + 1, most_counted) : 1;
    last.well = well;
    last.token = agent.token_of(duty);
    last.by = agent.self();
    agent.write_fenced(now, duty, probe_result_key(cache), serialize(last));
}

}  // namespace irismux::fleet
