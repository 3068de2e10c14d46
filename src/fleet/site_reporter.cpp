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
      serving_allowed_at_(began + max_counted_time(settings_.term, settings_.drift)),
      digest_builder_({settings_.self, settings_.instance_id, settings_.term, settings_.acknowledge_interval,
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
    shown_generation_text_ = look.generation;
    const auto generation = look.generation ? parse_generation(*look.generation) : std::nullopt;
    if (generation) applied_.on_generation(*generation);
    if (!whole) return;
    digest_builder_.on_snapshot(look, applied_.applied_revisions(), marks_of(agent));
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
        look.heartbeats = digest_builder_.member_names();
        look.frequent = digest_builder_.has_lagging_members();
    } else {
        digest_builder_.reset();
    }
    agent.set_heartbeat_reads(now, std::move(look));
    agent.set_applied_revisions(now, applied_.applied_revisions());
    if (owner) write_due(now, agent);
}

void SiteReporter::write_due(TimePoint now, Agent& agent) {
    if (!generation_write_pending_) {
        const std::string id = settings_.instance_id + '/' + std::to_string(proposed_generations_ + 1);
        if (const auto next = digest_builder_.next_generation(id)) {
            ++proposed_generations_;
            generation_write_pending_ = true;
            const FencedWrite chore{{{generation_key(), shown_generation_text_}},
                                    {{generation_key(), serialize(*next)}}};
            if (!agent.write_fenced(now, digest_duty(), generation_key(), chore))
                generation_write_pending_ = false;
        }
    }
    if (digest_write_pending_) return;
    if (const auto digest = digest_builder_.next_digest(now)) {
        digest_write_pending_ = true;
        if (!agent.write_fenced(now, digest_duty(), digest_key(), *digest)) digest_write_pending_ = false;
    }
}

}  // namespace irismux::fleet
