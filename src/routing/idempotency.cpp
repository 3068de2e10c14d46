#include "routing/idempotency.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

bool may_have_effect(const Attempt& attempt) { return attempt.may_have_run || attempt.in_flight(); }

}  // namespace

bool IdempotencyPolicy::may_attempt(const PendingRequest& request, const Attempt* except,
                                    TimePoint now) const {
    const ObjectKind& kind = *request.kind;
    for (const Attempt& attempt : request.attempts) {
        if (&attempt == except || !may_have_effect(attempt)) continue;
        if (kind.effect == Effect::non_idempotent) return false;
        const bool key_may_be_forgotten = now + timer_resolution_ > attempt.started_at + kind.dedup_window;
        if (kind.effect == Effect::deduplicated && key_may_be_forgotten) return false;
    }
    return true;
}

bool IdempotencyPolicy::may_use_cell(const PendingRequest& request, CellId cell) {
    const ObjectKind& kind = *request.kind;
    if (kind.effect != Effect::deduplicated || kind.dedup_scope != DedupScope::cell) return true;
    const auto last = std::find_if(request.attempts.rbegin(), request.attempts.rend(), may_have_effect);
    return last == request.attempts.rend() || last->cell == cell;
}

bool IdempotencyPolicy::may_reject(const PendingRequest& request) {
    const ObjectKind& kind = *request.kind;
    if (kind.effect == Effect::idempotent) return true;
    if (kind.effect == Effect::deduplicated && kind.dedup_scope == DedupScope::all) return true;
    return std::none_of(request.attempts.begin(), request.attempts.end(), may_have_effect);
}

void IdempotencyPolicy::record_result(Attempt& attempt, const AttemptResult& result) {
    switch (result.outcome) {
        case Outcome::overloaded:
        case Outcome::connection_refused:
        case Outcome::superseded:
        case Outcome::cache_miss:
            attempt.may_have_run = false;
            return;
        default:
            attempt.may_have_run = true;
    }
}

}  // namespace irismux::routing
