#include "fleet/site_reporter.hpp"

#include <algorithm>

namespace irismux::fleet {
namespace {

// Of a term: as often as heartbeats go out at rest.
constexpr double refresh_of_term = 0.25;

std::map<CacheId, std::size_t> marks_of(const Agent& agent) {
    std::map<CacheId, std::size_t> marks;
    for (const CacheId& cache : agent.marked_caches()) ++marks[cache];
    for (const auto& [name, other] : agent.membership().peers())
        for (const CacheId& cache : other.member.marks) ++marks[cache];
    return marks;
}

}  // namespace

SiteReporter::SiteReporter(Settings settings, Instant began)
    : settings_(std::move(settings)),
      serves_from_(began + longest_counted(settings_.term, settings_.drift)),
      keeper_({settings_.self, settings_.instance_id, settings_.term, settings_.acknowledge_every,
               settings_.term * refresh_of_term}) {}

void SiteReporter::on_heartbeat(Instant now, std::int64_t unix_ms, Instant sent, HeartbeatNumber number,
                                const std::vector<Entry>& shown, const Agent& agent) {
    Look look{sent, now, number.raw(), unix_ms, {}, {}, {}, {}};
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
    keeper_.on_look(look, acknowledgement_.claim(), marks_of(agent));
    generation_out_ = false;  // what came of it is seen here
}

void SiteReporter::on_written(const Key& key) {
    if (key == digest_key()) digest_out_ = false;
}

void SiteReporter::go_on(Instant now, Agent& agent) {
    const bool owner = agent.may_begin(now, digest_duty());
    HeartbeatReads look;
    look.records = {generation_key()};
    if (owner) {
        look.records.insert(look.records.end(), {roster_key(), digest_key()});
        look.heartbeats = keeper_.names();
        look.frequent = keeper_.uneven();
    } else {
        keeper_.drop();
    }
    agent.set_heartbeat_reads(now, std::move(look));
    agent.set_claim(now, acknowledgement_.claim());
    if (owner) write_due(now, agent);
}

void SiteReporter::write_due(Instant now, Agent& agent) {
    if (!generation_out_) {
        const std::string id = settings_.instance_id + '/' + std::to_string(generations_ + 1);
        if (const auto next = keeper_.next_generation(id)) {
            ++generations_;
            generation_out_ = true;
            const FencedWrite chore{{{generation_key(), generation_shown_}},
                                    {{generation_key(), serialize(*next)}}};
            if (!agent.write_fenced(now, digest_duty(), generation_key(), chore)) generation_out_ = false;
        }
    }
    if (digest_out_) return;
    if (const auto digest = keeper_.next(now)) {
        digest_out_ = true;
        if (!agent.write_fenced(now, digest_duty(), digest_key(), *digest)) digest_out_ = false;
    }
}

}  // namespace irismux::fleet
