#include "routing/freshness.hpp"

#include <algorithm>

namespace irismux::routing {
namespace {

// Storage ranks. Caches evict copies of repeatedly requested objects after copies of objects requested once.
constexpr int not_kept_rank = 0;
constexpr int new_object_rank = 2;
constexpr int repeated_object_rank = 3;
// Smallest age limit. Zero would mean that no purge applies.
constexpr Duration min_max_age = Duration::micros(1);

int storage_rank(const PendingRequest& request) {
    if (request.kind->uncacheable) return not_kept_rank;
    return request.object_is_repeated ? repeated_object_rank : new_object_rank;
}

}  // namespace

FreshnessPolicy::FreshnessPolicy(const Deployment& deployment)
    : purges_(deployment.purge_retention),
      timer_resolution_(deployment.timer_resolution),
      coalescing_(deployment.capabilities.coalescing) {}

void FreshnessPolicy::on_purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object,
                               TimePoint now) {
    purges_.add(now - age, group, object, now);
}

void FreshnessPolicy::begin_plan(PendingRequest& request, TimePoint now) const {
    const ObjectKind& kind = *request.kind;
    request.plan = AttemptPlan{};
    request.plan.storage_rank = storage_rank(request);
    request.plan.coalesce = coalescing_ && !kind.uncacheable;
    request.plan.revalidate = kind.fresh_for > Duration{};
    request.plan.max_age = max_age(request, request.allow_stale, now);
}

void FreshnessPolicy::on_result(PendingRequest& request, const AttemptResult& result) {
    if (source_at_fault(result.cache_status)) request.allow_stale = true;
}

Duration FreshnessPolicy::max_age(const PendingRequest& request, bool allow_stale, TimePoint now) const {
    const ObjectKind& kind = *request.kind;
    const bool becomes_stale = kind.fresh_for > Duration{};
    const Duration by_kind =
        allow_stale && becomes_stale ? kind.fresh_for + kind.stale_if_error_for : kind.fresh_for;
    const Duration by_purges = max_age_by_purges(request.request, now);
    if (by_purges > Duration{}) return becomes_stale ? std::min(by_kind, by_purges) : by_purges;
    return allow_stale ? by_kind : Duration{};
}

// Returns the maximum age that the purges allow for a copy, or zero if no purge applies.
Duration FreshnessPolicy::max_age_by_purges(const Request& request, TimePoint now) const {
    const std::optional<TimePoint> purged_at = purges_.newest(request.object, request.purge_group, now);
    if (!purged_at) return Duration{};
    return std::max(now - *purged_at - timer_resolution_, min_max_age);
}

}  // namespace irismux::routing
