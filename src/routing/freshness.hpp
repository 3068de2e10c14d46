// Rule 5: no copy is served that a purge forbids. Also: how old a copy may be otherwise, and how it is kept.
#pragma once

#include <optional>

#include "irismux/deployment.hpp"
#include "routing/pending_request.hpp"
#include "routing/purge_table.hpp"

namespace irismux::routing {

class FreshnessPolicy {
public:
    explicit FreshnessPolicy(const Deployment& deployment);

    /// Copies older than `age` must not be served.
    void on_purge(Duration age, PurgeGroupId group, const std::optional<ObjectName>& object, TimePoint now);

    /// Request going down: begins a new plan with how the copy may be served and kept. Stale copies are
    /// allowed once on_result has seen the source fail.
    void begin_plan(PendingRequest& request, TimePoint now) const;
    /// Result coming up.
    static void on_result(PendingRequest& request, const AttemptResult& result);

    /// The oldest copy that may be served; zero: the kind's fresh_for.
    [[nodiscard]] Duration max_age(const PendingRequest& request, bool allow_stale, TimePoint now) const;

private:
    [[nodiscard]] Duration max_age_by_purges(const Request& request, TimePoint now) const;

    PurgeTable purges_;
    Duration timer_resolution_;
    bool coalescing_;
};

}  // namespace irismux::routing
