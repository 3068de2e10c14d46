#include "fleet/site_reporter.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

// While nothing changes, a digest is written as often as a heartbeat is sent.
constexpr double refresh_share_of_term = 0.25;

std::map<CacheId, std::size_t> ejections_by_cache(const Agent& agent) {
    std::map<CacheId, std::size_t> ejections;
    for (const CacheId& cache : agent.ejected_caches()) ++ejections[cache];
    for (const auto& [name, other] : agent.membership().members())
        for (const CacheId& cache : other.member.ejected_caches) ++ejections[cache];
    return ejections;
}

}  // namespace

SiteReporter::SiteReporter(Settings settings, TimePoint process_start)
    : settings_(std::move(settings)),
      serving_allowed_at_(process_start + max_counted_time(settings_.term, settings_.drift)),
      digest_builder_({settings_.self, settings_.instance_id, settings_.term, settings_.acknowledge_interval,
                       settings_.term * refresh_share_of_term}) {}

void SiteReporter::on_heartbeat(TimePoint now, std::int64_t unix_ms, TimePoint sent, HeartbeatNumber number,
                                const std::vector<KeyValue>& shown, const Agent& agent) {
    FleetSnapshot snapshot{sent, now, number.raw(), unix_ms, {}, {}, {}, {}};
    bool roster_shown = false;
    for (const auto& [key, text] : shown) {
        roster_shown |= key == roster_key();
        if (key == roster_key()) snapshot.roster = text;
        if (key == digest_key()) snapshot.former_digest = text;
        if (key == generation_key()) snapshot.generation = text;
        if (const auto member = heartbeat_owner(key)) snapshot.heartbeats[*member] = text;
    }
    shown_generation_text_ = snapshot.generation;
    const auto generation = snapshot.generation ? parse_generation(*snapshot.generation) : std::nullopt;
    if (generation) applied_.on_generation(*generation);
    if (!roster_shown) return;
    digest_builder_.on_snapshot(snapshot, applied_.applied_revisions(), ejections_by_cache(agent));
    generation_write_pending_ = false;  // the write's outcome is in this snapshot
}

void SiteReporter::on_written(const Key& key) {
    if (key == digest_key()) digest_write_pending_ = false;
}

void SiteReporter::advance(TimePoint now, Agent& agent) {
    const bool owner = agent.may_begin_work(now, digest_duty());
    HeartbeatReads reads;
    reads.records = {generation_key()};
    if (owner) {
        reads.records.insert(reads.records.end(), {roster_key(), digest_key()});
        reads.heartbeats = digest_builder_.member_names();
        reads.frequent = digest_builder_.has_lagging_members();
    } else {
        digest_builder_.reset();
    }
    agent.set_heartbeat_reads(now, std::move(reads));
    agent.set_applied_revisions(now, applied_.applied_revisions());
    if (owner) write_due_records(now, agent);
}

void SiteReporter::write_due_records(TimePoint now, Agent& agent) {
    if (!generation_write_pending_) {
        const std::string id = settings_.instance_id + '/' + std::to_string(proposed_generations_ + 1);
        if (const auto next = digest_builder_.next_generation(id)) {
            ++proposed_generations_;
            generation_write_pending_ = true;
            const FencedWrite write{{{generation_key(), shown_generation_text_}},
                                    {{generation_key(), serialize(*next)}}};
            if (!agent.write_fenced(now, digest_duty(), generation_key(), write))
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
