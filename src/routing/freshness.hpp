// Ensures that a purged copy is never served. Also decides the maximum age of a served copy and the rank at
// which a copy is stored.
#pragma once

#include <optional>

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"
#include "routing/purge_table.hpp"

namespace irismux::routing {

class FreshnessPolicy {
public:
    explicit FreshnessPolicy(const Deployment& deployment);

    /// Applies a purge; see Router::on_purge().
    void on_purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);

    /// Begins a new plan and sets how a copy may be served and stored. Stale copies are allowed after
    /// on_result() has recorded a failure of the source.
    void begin_plan(PendingRequest& request, TimePoint now) const;
    /// Allows stale copies for the request if the result reports a failure of the source.
    static void on_result(PendingRequest& request, const AttemptResult& result);

    /// @return maximum age of a served copy; zero: ObjectKind::fresh_for applies
    [[nodiscard]] Duration max_age(const PendingRequest& request, bool allow_stale, TimePoint now) const;

private:
    [[nodiscard]] Duration max_age_by_purges(const Request& request, TimePoint now) const;

    PurgeTable purges_;
    Duration timer_resolution_;
    bool coalescing_;
};

}  // namespace irismux::routing
