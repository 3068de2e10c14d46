#include "fleet/site_reporter.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

// Of a term: as often as heartbeats go out at rest.
constexpr double refresh_of_term = 0.25;

std::map<CacheId, std::size_t> marks_of(const Agent& agent) {
    std::map<CacheId, std::size_t> marks;
    for (const CacheId& cache : agent.ejected_caches()) ++marks[cache];
    for (const auto& [name, other] : agent.membership().members())
        for (const CacheId& cache : other.member.ejected_caches) ++marks[cache];
    return marks;
}

}  // namespace

SiteReporter::SiteReporter(Settings settings, TimePoint began)
    : settings_(std::move(settings)),
      serving_allowed_at_(began + longest_counted(settings_.term, settings_.drift)),
      keeper_({settings_.self, settings_.instance_id, settings_.term, settings_.acknowledge_interval,
               settings_.term * refresh_of_term}) {}

void SiteReporter::on_heartbeat(TimePoint now, std::int64_t unix_ms, TimePoint sent, HeartbeatNumber number,
                                const std::vector<Entry>& shown, const Agent& agent) {
    FleetSnapshot look{sent, now, number.raw(), unix_ms, {}, {}, {}, {}};
    bool whole = false;
    for (const auto& [key, text] : shown) {
        whole |= key == roster_key();
        if (key == roster_key()) look.roster = text;
        if (key == digest_key()) look.former_digest = text;
        if (key == generation_key()) look.generation = text;
        if (const auto member = heartbeat_owner(key)) look.heartbeats[*member] = text;
    }
    generation_shown_ = look.generation;
    const auto generation = look.generation ? read_generation(*look.generation) : std::nullopt;
    if (generation) acknowledgement_.on_generation(*generation);
    if (!whole) return;
    keeper_.on_snapshot(look, acknowledgement_.claim(), marks_of(agent));
    generation_write_pending_ = false;  // what came of it is seen here
}

void SiteReporter::on_written(const Key& key) {
    if (key == digest_key()) digest_write_pending_ = false;
}

void SiteReporter::advance(TimePoint now, Agent& agent) {
    const bool owner = agent.may_begin_work(now, digest_duty());
    HeartbeatReads look;
    look.records = {generation_key()};
    if (owner) {
        look.records.insert(look.records.end(), {roster_key(), digest_key()});
        look.heartbeats = keeper_.names();
        look.frequent = keeper_.uneven();
    } else {
        keeper_.reset();
    }
    agent.set_heartbeat_reads(now, std::move(look));
    agent.set_applied_revisions(now, acknowledgement_.claim());
    if (owner) write_due(now, agent);
}

void SiteReporter::write_due(TimePoint now, Agent& agent) {
    if (!generation_write_pending_) {
        const std::string id = settings_.instance_id + '/' + std::to_string(generations_ + 1);
        if (const auto next = keeper_.next_generation(id)) {
            ++generations_;
            generation_write_pending_ = true;
            const FencedWrite chore{{{generation_key(), generation_shown_}},
                                    {{generation_key(), serialize(*next)}}};
            if (!agent.write_fenced(now, digest_duty(), generation_key(), chore))
                generation_write_pending_ = false;
        }
    }
    if (digest_write_pending_) return;
    if (const auto digest = keeper_.next(now)) {
        digest_write_pending_ = true;
        if (!agent.write_fenced(now, digest_duty(), digest_key(), *digest)) digest_write_pending_ = false;
    }
}

}  // namespace irismux::fleet
